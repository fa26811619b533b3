//! Which records stand, and when to sync: a group commit, free of I/O and clocks.
//!
//! One sync is out at a time; what is written meanwhile goes with the next. A sync that fails is final for its file (the
//! system may have thrown the pages away, and a second sync would say yes): nothing of it counts as written until all
//! that is owed stands in a new file.
use std::time::Duration;

/// What the gate wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing, or not before then.
    Wait(Option<Duration>),
    /// A sync, of all that is written now.
    Sync,
    /// A new file.
    NewFile,
}

/// The state of one journal's file.
#[derive(Debug)]
pub struct GroupCommit {
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

impl GroupCommit {
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
    pub fn wanted(&self, now: Duration) -> NextStep {
        if let Some(at) = self.failed {
            return if now >= at { NextStep::NewFile } else { NextStep::Wait(Some(at)) };
        }
        match self.since.map(|since| since + self.delay) {
            Some(due) if self.syncing.is_none() => {
                if now >= due {
                    NextStep::Sync
                } else {
                    NextStep::Wait(Some(due))
                }
            }
            _ => NextStep::Wait(None),
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
mod tests;
