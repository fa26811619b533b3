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
pub struct CompletedIds {
    until: BTreeMap<Arc<str>, u64>,
    order: BTreeSet<(u64, Arc<str>)>,
    bytes: u64,
    most: usize,
    most_bytes: u64,
}

impl CompletedIds {
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
mod tests;
