//! The state of one message that the engine holds.
use super::pending::PendingEntry;
use crate::{EndpointId, Message, Timestamp, ZoneId};

/// An attempt in flight.
#[derive(Clone, Copy)]
pub struct ActiveAttempt {
    /// The endpoint called.
    pub endpoint: EndpointId,
    /// The number of the call that carries the attempt.
    pub call: u64,
}

/// How far a message has got.
#[derive(Clone, Copy)]
pub enum Phase {
    /// It waits to be sent, not before this time.
    Pending(Timestamp),
    /// It waits for the outcome of an attempt.
    InFlight(ActiveAttempt),
    /// It has ended with an attempt in flight: kept for the count of calls and for the order of its key.
    Detached(ActiveAttempt),
}

/// An attempt that may have had an effect.
#[derive(Clone, Copy)]
pub struct UncertainAttempt {
    /// When it was sent.
    pub sent_at: Timestamp,
    /// The zone of its endpoint.
    pub zone: ZoneId,
}

/// A message and what was done about it.
#[derive(Clone)]
pub struct MessageState {
    /// The message as it was submitted.
    pub message: Message,
    /// When its time is up.
    pub deadline: Timestamp,
    /// Its number in the order of acceptance.
    pub sequence: u64,
    /// Attempts started so far.
    pub attempts: u32,
    /// How far it has got.
    pub phase: Phase,
    /// The first attempt that may have had an effect.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    /// Whether an earlier process accepted it and made no attempt: this process owes it one.
    pub recovered_untried: bool,
    /// How the indices hold it, while it is pending.
    pub entry: Option<PendingEntry>,
}
