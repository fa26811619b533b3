//! Pending messages: accepted, but neither completed nor, if they failed, acknowledged by the platform.
use super::record::{Attempt, FinalOutcome, SubmittedMessage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of bytes that a message takes in a compacted file in addition to its texts and body: frame,
/// numbers and two attempts.
const MESSAGE_OVERHEAD_BYTES: u64 = 256;

/// A message that is not completed, or whose final outcome the platform has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMessage {
    pub message: SubmittedMessage,
    /// In microseconds of engine time, which is valid across processes.
    pub deadline: u64,
    pub attempts_started: u32,
    /// The first attempt that may have been processed.
    pub first_uncertain_attempt: Option<Attempt>,
    /// The attempt that is in flight, or was when the process ended.
    pub active_attempt: Option<Attempt>,
    /// Set once the outcome is final and only its notification is pending.
    pub final_outcome: Option<FinalOutcome>,
}

impl PendingMessage {
    /// Creates a message without attempts.
    pub fn new(message: SubmittedMessage, deadline: u64) -> Self {
        Self {
            message,
            deadline,
            attempts_started: 0,
            first_uncertain_attempt: None,
            active_attempt: None,
            final_outcome: None,
        }
    }

    /// Returns the maximum number of bytes that the message takes in a compacted file.
    pub(super) fn stored_bytes(&self) -> u64 {
        let SubmittedMessage { id, class, tenant, key, idempotency_key, body, .. } = &self.message;
        let optional = [tenant, key, idempotency_key].map(|text| text.as_ref().map_or(0, String::len));
        let texts = id.len() + class.len() + optional.iter().sum::<usize>();
        (texts + body.len()) as u64 + MESSAGE_OVERHEAD_BYTES
    }

    pub(super) fn start_attempt(&mut self, attempt: Attempt) {
        self.attempts_started += 1;
        self.active_attempt = Some(attempt);
    }

    pub(super) fn end_attempt(&mut self, uncertain: bool) {
        let ended = self.active_attempt.take();
        if uncertain && self.first_uncertain_attempt.is_none() {
            self.first_uncertain_attempt = ended;
        }
    }

    pub(super) fn set_uncertain_attempt(&mut self, attempt: Attempt) {
        self.attempts_started = self.attempts_started.max(1);
        self.first_uncertain_attempt = Some(attempt);
        self.active_attempt = None;
    }

    pub(super) fn defer_attempt(&mut self) {
        // If the record of the attempt's start was not written, there is nothing to undo.
        if self.active_attempt.take().is_some() {
            self.attempts_started = self.attempts_started.saturating_sub(1);
        }
    }
}

/// All pending messages by number, and the space that they take.
#[derive(Default)]
pub(super) struct PendingTable {
    messages: BTreeMap<u32, PendingMessage>,
    bytes: u64,
}

impl PendingTable {
    pub fn insert(&mut self, number: u32, pending: PendingMessage) {
        self.bytes += pending.stored_bytes();
        if let Some(replaced) = self.messages.insert(number, pending) {
            self.bytes -= replaced.stored_bytes();
        }
    }

    pub fn remove(&mut self, number: u32) -> Option<PendingMessage> {
        let removed = self.messages.remove(&number)?;
        self.bytes -= removed.stored_bytes();
        Some(removed)
    }

    /// Applies `change` to a message if it is pending. `change` must not alter the size of the message.
    pub fn update(&mut self, number: u32, change: impl FnOnce(&mut PendingMessage)) {
        if let Some(pending) = self.messages.get_mut(&number) {
            change(pending);
        }
    }

    /// Sets the final outcome of a message and drops its body, which will not be sent again.
    pub fn finish(&mut self, number: u32, outcome: FinalOutcome) {
        if let Some(pending) = self.messages.get_mut(&number) {
            pending.final_outcome = Some(outcome);
            self.bytes -= std::mem::take(&mut pending.message.body).len() as u64;
        }
    }

    pub fn get(&self, number: u32) -> Option<&PendingMessage> {
        self.messages.get(&number)
    }

    /// Returns the messages in the order in which they were accepted.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &PendingMessage)> {
        self.messages.iter().map(|(number, pending)| (*number, pending))
    }

    pub fn first_number(&self) -> Option<u32> {
        self.messages.first_key_value().map(|(number, _)| *number)
    }

    /// Returns the maximum number of bytes that the messages take in a compacted file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
