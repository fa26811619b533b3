//! The messages that this sender is responsible for: their journal, and their numbers by ID.
use crate::daemon::journal::{FinalOutcome, Journal, JournalError, PendingMessage};
use std::collections::BTreeMap;

/// The journal with the indexes that the event loop keeps beside it.
pub(super) struct MessageTable {
    pub(super) journal: Journal,
    /// The number of each message in the journal, by its ID.
    numbers: BTreeMap<String, u32>,
    /// Messages that have ended undelivered, and whose notification the platform has not acknowledged.
    unacknowledged: usize,
}

impl MessageTable {
    /// A table over `journal`, whose messages are still to be registered.
    pub(super) fn new(journal: Journal) -> Self {
        Self { journal, numbers: BTreeMap::new(), unacknowledged: 0 }
    }

    /// Whether a message with this ID was accepted, including one that completed a while ago.
    pub(super) fn has_accepted(&self, id: &str) -> bool {
        self.numbers.contains_key(id) || self.journal.is_completed(id)
    }

    /// Counts all messages, including those of which only the platform's acknowledgement is missing.
    pub(super) fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Counts the messages that have not ended.
    pub(super) fn unfinished(&self) -> usize {
        self.numbers.len() - self.unacknowledged
    }

    /// Records a new message, and returns its number.
    ///
    /// # Errors
    /// The journal cannot be written; the message is not accepted.
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

    /// Counts a message that ended before this process and whose notification is not acknowledged.
    pub(super) fn register_unacknowledged(&mut self) {
        self.unacknowledged += 1;
    }

    /// Records that a message ended undelivered; its notification is still to be acknowledged.
    pub(super) fn finish(&mut self, number: u32, outcome: FinalOutcome) -> Result<(), JournalError> {
        let recorded = self.journal.finish(number, outcome);
        self.unacknowledged += 1;
        recorded
    }

    /// Removes a message for which nothing is left to do, at `now` in microseconds of wall time; `None` if
    /// there is no such message.
    pub(super) fn remove(&mut self, number: u32, now: u64) -> Option<Result<(), JournalError>> {
        let pending = self.journal.get(number)?;
        self.numbers.remove(&pending.message.id);
        if pending.final_outcome.is_some() {
            self.unacknowledged -= 1;
        }
        Some(self.journal.complete(number, now))
    }
}
