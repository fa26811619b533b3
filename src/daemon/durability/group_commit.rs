//! Group commit: decides when to sync the journal, and tracks which of its records are durable. No I/O and no
//! clock.
//!
//! At most one sync runs at a time; records written meanwhile are covered by the next one. A failed sync is
//! final for its file: the kernel may have dropped the dirty pages, so that a second sync would report
//! success. No further record of that file counts as durable until the journal's state has been written to a
//! new file.
//!
//! Times are durations since an origin that the caller chooses.
use std::time::Duration;

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Do nothing until this time, or until the next change if `None`.
    Wait(Option<Duration>),
    /// Sync everything written so far.
    Sync,
    /// Replace the file with a new one.
    ReplaceFile,
}

/// How a sync ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncResult {
    /// The records that were written when the sync started are durable.
    Durable,
    /// The file can no longer be relied on and has to be replaced.
    Failed,
}

impl<T, E> From<&Result<T, E>> for SyncResult {
    fn from(result: &Result<T, E>) -> Self {
        if result.is_ok() { Self::Durable } else { Self::Failed }
    }
}

/// The group commit state of one journal.
#[derive(Debug)]
pub struct GroupCommit {
    /// How long a record waits for others before it is synced.
    delay: Duration,
    /// Sequence number of the last record that was written.
    written_sequence: u64,
    /// Sequence number up to which all records are durable.
    durable_sequence: u64,
    /// Sequence number up to which the running sync covers the records; `None` if no sync is running.
    syncing_sequence: Option<u64>,
    /// When the oldest record that no sync covers yet was written.
    oldest_unsynced_at: Option<Duration>,
    /// When to replace the file next; `None` unless a sync of it has failed.
    replace_at: Option<Duration>,
    /// Number of times the file was replaced; tells a sync of an earlier file from one of the current file.
    generation: u64,
}

impl GroupCommit {
    /// Creates the state of a journal in which all records are durable. A sync is due when the oldest record
    /// that no sync covers has waited for `delay`.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            written_sequence: 0,
            durable_sequence: 0,
            syncing_sequence: None,
            oldest_unsynced_at: None,
            replace_at: None,
            generation: 0,
        }
    }

    /// Notes that the records up to `sequence` were written by `now`.
    pub fn records_written(&mut self, sequence: u64, now: Duration) {
        if sequence > self.written_sequence {
            self.written_sequence = sequence;
            self.oldest_unsynced_at.get_or_insert(now);
        }
    }

    /// Returns the step to perform at `now`.
    pub fn next_step(&self, now: Duration) -> NextStep {
        if let Some(at) = self.replace_at {
            return if now >= at { NextStep::ReplaceFile } else { NextStep::Wait(Some(at)) };
        }
        let sync_at = self.oldest_unsynced_at.map(|since| since + self.delay);
        match sync_at.filter(|_| self.syncing_sequence.is_none()) {
            None => NextStep::Wait(None),
            Some(at) if now >= at => NextStep::Sync,
            Some(at) => NextStep::Wait(Some(at)),
        }
    }

    /// Notes that a sync of everything written so far has started, and returns the generation of its file.
    pub fn sync_started(&mut self) -> u64 {
        self.syncing_sequence = Some(self.written_sequence);
        self.oldest_unsynced_at = None;
        self.generation
    }

    /// Notes that the sync of the file of `generation` has ended. Has no effect if that file was replaced
    /// since.
    pub fn sync_ended(&mut self, generation: u64, result: SyncResult, now: Duration) {
        if generation != self.generation {
            return;
        }
        let Some(sequence) = self.syncing_sequence.take() else { return };
        match result {
            SyncResult::Durable => self.durable_sequence = self.durable_sequence.max(sequence),
            SyncResult::Failed => self.replace_at = Some(now),
        }
    }

    /// Notes that the journal's state is durable in a new file.
    pub fn file_replaced(&mut self) {
        self.generation += 1;
        self.durable_sequence = self.written_sequence;
        self.syncing_sequence = None;
        self.oldest_unsynced_at = None;
        self.replace_at = None;
    }

    /// Notes that the file could not be replaced. The next attempt is due at `retry_at`.
    pub fn replacement_failed(&mut self, retry_at: Duration) {
        self.replace_at = Some(retry_at);
    }

    /// Returns the sequence number up to which all records are durable.
    pub fn durable_sequence(&self) -> u64 {
        self.durable_sequence
    }

    /// Returns whether a sync of the file has failed and the file is not replaced yet, so that no new record
    /// can become durable.
    pub fn has_failed(&self) -> bool {
        self.replace_at.is_some()
    }
}

#[cfg(test)]
mod tests;
