//! Ids of messages that are over, for as long as a client may still come with one: it must not be delivered once
//! more. Free of I/O and clocks; times are wall time in microseconds, as they outlast the process.
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An id is known for at least so long after its message was over.
const KEEP: u64 = 30_000_000;
/// And so long past its message's deadline: a client does not come with it later.
const PAST_DEADLINE: u64 = 1_000_000;
/// Room that an id takes besides its text, in a file as in memory.
const OVERHEAD: u64 = 24;

/// Such ids, bounded in number and in bytes: past either, those go first that are wanted the shortest.
#[derive(Debug)]
pub struct Over {
    until: BTreeMap<Arc<str>, u64>,
    order: BTreeSet<(u64, Arc<str>)>,
    bytes: u64,
    most: usize,
    most_bytes: u64,
}

impl Over {
    /// None yet; at most so many, and so many bytes, are kept.
    pub fn new(most: usize, most_bytes: u64) -> Self {
        Self { until: BTreeMap::new(), order: BTreeSet::new(), bytes: 0, most, most_bytes }
    }

    /// Whether a message of that id is over, as far as is still known.
    pub fn holds(&self, id: &str) -> bool {
        self.until.contains_key(id)
    }

    /// The message of that id, which had time until `deadline`, is over since `at`.
    pub fn add(&mut self, id: &str, at: u64, deadline: u64) {
        self.keep(id.into(), (at + KEEP).max(deadline.saturating_add(PAST_DEADLINE)), at);
    }

    /// Keeps an id until then, and forgets those whose time is up `now`.
    pub fn keep(&mut self, id: Arc<str>, until: u64, now: u64) {
        if let Some(before) = self.until.insert(id.clone(), until) {
            self.order.remove(&(before, id.clone()));
        } else {
            self.bytes += size(&id);
        }
        self.order.insert((until, id));
        while self.order.len() > self.most
            || self.bytes > self.most_bytes
            || self.order.first().is_some_and(|(until, _)| *until < now)
        {
            let Some((_, id)) = self.order.pop_first() else { return };
            self.until.remove(&id);
            self.bytes -= size(&id);
        }
    }

    /// Keeps all of them for at least as long as if they were over `now`.
    pub fn all_from(&mut self, now: u64) {
        let until = now + KEEP;
        let early = self.order.iter().take_while(|(end, _)| *end < until).map(|(_, id)| id.clone());
        for id in early.collect::<Vec<_>>() {
            self.keep(id, until, 0);
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All of them, with until when they are kept.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.order.iter().map(|(until, id)| (id, *until))
    }

    /// Room that they take in a file, at the most.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn size(id: &str) -> u64 {
    id.len() as u64 + OVERHEAD
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ids that are kept for ever, or forgotten while a client may still come with them.
    #[test]
    fn ids_are_kept_for_their_time_and_in_their_room() {
        let mut over = Over::new(3, 1_000);
        over.add("long", 0, 100_000_000);
        over.add("short", 0, 1);
        over.add("short", 5, 1);
        assert!(over.holds("long") && over.holds("short"));
        over.add("other", 30_000_006, 0);
        assert!(over.holds("long") && !over.holds("short"), "its time was up");
        over.add("a", 30_000_007, 0);
        over.add("b", 30_000_008, 0);
        assert_eq!(over.iter().map(|(id, _)| &**id).collect::<Vec<_>>(), ["a", "b", "long"]);
        over.add(&"x".repeat(940), 30_000_009, 200_000_000);
        assert!(over.bytes() <= 1_000 && !over.holds("b") && over.holds("long"), "{over:?}");
    }

    /// Guards against ids that are forgotten at once, as the clock has moved on by hours over a loss of power.
    #[test]
    fn ids_of_before_a_jump_of_the_clock_are_kept() {
        let mut over = Over::new(9, 1_000);
        over.add("a", 0, 0);
        over.add("b", 0, 9_000_000_000_000);
        over.all_from(3_600_000_000);
        over.add("c", 3_600_000_001, 0);
        assert_eq!(over.iter().map(|(id, _)| &**id).collect::<Vec<_>>(), ["a", "c", "b"]);
    }
}
