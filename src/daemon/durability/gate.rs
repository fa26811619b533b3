//! Which records stand, and when to sync: a group commit, free of I/O and clocks.
//!
//! One sync is out at a time; what is written meanwhile goes with the next. A sync that fails is final for its file (the
//! system may have thrown the pages away, and a second sync would say yes): nothing of it counts as written until all
//! that is owed stands in a new file.
use std::time::Duration;

/// What the gate wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Nothing, or not before then.
    Wait(Option<Duration>),
    /// A sync, of all that is written now.
    Sync,
    /// A new file.
    NewFile,
}

/// The state of one journal's file.
#[derive(Debug)]
pub struct Gate {
    /// So long a record waits for others before it is synced.
    delay: Duration,
    written: u64,
    standing: u64,
    /// What the sync that is out will have made stand.
    syncing: Option<u64>,
    /// When the oldest record that is not on its way was written.
    since: Option<Duration>,
    /// The file is lost: when to try a new one.
    failed: Option<Duration>,
    /// Counts files: a sync of one before says nothing of this one.
    file: u64,
}

impl Gate {
    /// Of a file all of which stands.
    pub fn new(delay: Duration) -> Self {
        Self { delay, written: 0, standing: 0, syncing: None, since: None, failed: None, file: 0 }
    }

    /// Records up to `mark` are written.
    pub fn written(&mut self, mark: u64, now: Duration) {
        if mark > self.written {
            self.written = mark;
            self.since.get_or_insert(now);
        }
    }

    /// What is to be done now.
    pub fn wanted(&self, now: Duration) -> Wanted {
        if let Some(at) = self.failed {
            return if now >= at { Wanted::NewFile } else { Wanted::Wait(Some(at)) };
        }
        match self.since.map(|since| since + self.delay) {
            Some(due) if self.syncing.is_none() => {
                if now >= due {
                    Wanted::Sync
                } else {
                    Wanted::Wait(Some(due))
                }
            }
            _ => Wanted::Wait(None),
        }
    }

    /// A sync of all that is written goes out; which file it is of.
    pub fn sync_begins(&mut self) -> u64 {
        self.syncing = Some(self.written);
        self.since = None;
        self.file
    }

    /// It has ended.
    pub fn sync_ended(&mut self, file: u64, done: bool, now: Duration) {
        if file != self.file {
            return;
        }
        let Some(mark) = self.syncing.take() else { return };
        if done {
            self.standing = self.standing.max(mark);
        } else {
            self.failed = Some(now);
        }
    }

    /// All that is owed stands in a new file.
    pub fn new_file(&mut self) {
        self.file += 1;
        self.standing = self.written;
        (self.syncing, self.since, self.failed) = (None, None, None);
    }

    /// A new file could not be had.
    pub fn no_new_file(&mut self, again: Duration) {
        self.failed = Some(again);
    }

    /// The last record up to which all stand.
    pub fn standing(&self) -> u64 {
        self.standing
    }

    /// Whether the file is lost and no other one there yet: nothing new can be promised.
    pub fn has_failed(&self) -> bool {
        self.failed.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::daemon::durability::Held;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Guards against an act that goes out before its record stands, and one that waits though it does.
    #[test]
    fn what_is_written_during_a_sync_waits_for_the_next() {
        let (mut gate, mut held) = (Gate::new(ms(2)), Held::default());
        gate.written(1, ms(0));
        held.hold(1, "a");
        assert_eq!(gate.wanted(ms(1)), Wanted::Wait(Some(ms(2))));
        gate.written(2, ms(1));
        held.hold(2, "b");
        assert_eq!(gate.wanted(ms(2)), Wanted::Sync);
        let file = gate.sync_begins();
        gate.written(3, ms(3));
        held.hold(3, "c");
        assert_eq!(gate.wanted(ms(9)), Wanted::Wait(None), "one at a time");
        assert_eq!(held.next(gate.standing()), None);
        gate.sync_ended(file, true, ms(9));
        assert_eq!([held.next(gate.standing()), held.next(gate.standing())], [Some("a"), Some("b")]);
        assert_eq!((held.next(gate.standing()), gate.wanted(ms(9))), (None, Wanted::Sync));
        let file = gate.sync_begins();
        gate.sync_ended(file, true, ms(10));
        assert_eq!((held.next(gate.standing()), held.is_empty()), (Some("c"), true));
        assert_eq!(gate.wanted(ms(99)), Wanted::Wait(None));
    }

    /// Guards against a second sync of a file whose first one failed, and a late yes of a file that was given up.
    #[test]
    fn a_failed_sync_is_final_for_its_file() {
        let mut gate = Gate::new(ms(0));
        gate.written(1, ms(0));
        let first = gate.sync_begins();
        gate.sync_ended(first, false, ms(5));
        assert_eq!((gate.wanted(ms(5)), gate.standing(), gate.has_failed()), (Wanted::NewFile, 0, true));
        gate.no_new_file(ms(1000));
        gate.written(2, ms(6));
        assert_eq!(gate.wanted(ms(6)), Wanted::Wait(Some(ms(1000))));
        gate.sync_ended(first, true, ms(7));
        assert_eq!(gate.standing(), 0, "nothing is out");
        gate.new_file();
        assert_eq!(
            (gate.standing(), gate.has_failed(), gate.wanted(ms(1000))),
            (2, false, Wanted::Wait(None))
        );
        gate.written(3, ms(1001));
        let second = gate.sync_begins();
        gate.sync_ended(first, true, ms(1002));
        assert_eq!(gate.standing(), 2, "a yes of the file before");
        gate.sync_ended(second, true, ms(1003));
        assert_eq!(gate.standing(), 3);
    }
}
