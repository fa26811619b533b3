//! The state of one message that the engine holds.
use super::pending::PendingEntry;
use crate::{EndpointId, Message, Timestamp, ZoneId};

/// An attempt in flight.
#[derive(Clone, Copy)]
pub struct ActiveAttempt {
    /// The endpoint to which the attempt is sent.
    pub endpoint: EndpointId,
    /// The number of the call that carries the attempt.
    pub call: u64,
}

/// The phase of a message.
#[derive(Clone, Copy)]
pub enum Phase {
    /// The message waits to be sent, and is not sent before this time.
    Pending(Timestamp),
    /// The message waits for the outcome of an attempt.
    InFlight(ActiveAttempt),
    /// The message has ended while an attempt is in flight. It is kept to count the call and to preserve the
    /// order of its key.
    Detached(ActiveAttempt),
}

/// An attempt whose outcome is unknown, so that it may have had an effect.
#[derive(Clone, Copy)]
pub struct UncertainAttempt {
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// The zone of the endpoint.
    pub zone: ZoneId,
}

/// A message and the progress of its delivery.
#[derive(Clone)]
pub struct MessageState {
    /// The message as it was submitted.
    pub message: Message,
    /// When the time to live of the message ends.
    pub deadline: Timestamp,
    /// The number of the message in the order of acceptance.
    pub sequence: u64,
    /// The number of attempts started so far.
    pub attempts: u32,
    /// Whether the message is pending, in flight, or ended with an attempt in flight.
    pub phase: Phase,
    /// The first attempt that may have had an effect.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    /// Whether an earlier process accepted the message but made no attempt, so that this process has to make
    /// one.
    pub recovered_untried: bool,
    /// The entry of the message in the indices; `None` unless it is pending.
    pub entry: Option<PendingEntry>,
}
