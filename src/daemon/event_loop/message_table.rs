//! The messages that this sender is responsible for: the journal, and an index of message numbers by ID.
use crate::daemon::journal::{FinalOutcome, Journal, JournalError, PendingMessage};
use std::collections::BTreeMap;

/// The journal, with the indexes that are kept only in memory.
pub(super) struct MessageTable {
    pub(super) journal: Journal,
    /// The number of each message in the journal, by its ID.
    numbers: BTreeMap<String, u32>,
    /// The number of messages that ended undelivered and whose notification the platform has not
    /// acknowledged.
    unacknowledged: usize,
}

impl MessageTable {
    /// Creates a table for `journal`. The messages in the journal are to be registered afterwards.
    pub(super) fn new(journal: Journal) -> Self {
        Self { journal, numbers: BTreeMap::new(), unacknowledged: 0 }
    }

    /// Returns whether a message with this ID was accepted, including completed messages that the journal
    /// remembers.
    pub(super) fn has_accepted(&self, id: &str) -> bool {
        self.numbers.contains_key(id) || self.journal.is_completed(id)
    }

    /// Returns the number of messages, including ended ones whose notification is not acknowledged.
    pub(super) fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Returns the number of messages that have not ended.
    pub(super) fn unfinished(&self) -> usize {
        self.numbers.len() - self.unacknowledged
    }

    /// Records a new message, and returns its number.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be written; the message is not accepted.
    pub(super) fn accept(&mut self, pending: PendingMessage) -> Result<u32, JournalError> {
        let id = pending.message.id.clone();
        let number = self.journal.accept(pending)?;
        self.numbers.insert(id, number);
        Ok(number)
    }

    /// Registers a message that the journal held when it was opened.
    pub(super) fn register(&mut self, id: String, number: u32) {
        self.numbers.insert(id, number);
    }

    /// Counts a message that an earlier process ended and whose notification is not acknowledged.
    pub(super) fn register_unacknowledged(&mut self) {
        self.unacknowledged += 1;
    }

    /// Records that a message ended undelivered, and counts its notification as unacknowledged.
    pub(super) fn finish(&mut self, number: u32, outcome: FinalOutcome) -> Result<(), JournalError> {
        let recorded = self.journal.finish(number, outcome);
        self.unacknowledged += 1;
        recorded
    }

    /// Removes a message that was delivered or whose notification was acknowledged. `now` is the wall time in
    /// microseconds. Returns `None` if there is no such message.
    pub(super) fn remove(&mut self, number: u32, now: u64) -> Option<Result<(), JournalError>> {
        let pending = self.journal.get(number)?;
        self.numbers.remove(&pending.message.id);
        if pending.final_outcome.is_some() {
            self.unacknowledged -= 1;
        }
        Some(self.journal.complete(number, now))
    }
}
