//! A message that is held, and how far it has got.
use super::pending::PendingEntry;
use crate::{EndpointId, Message, Timestamp, ZoneId};

/// An attempt that is out.
#[derive(Clone, Copy)]
pub struct ActiveAttempt {
    /// Where to.
    pub endpoint: EndpointId,
    /// The call that carries it.
    pub call: u64,
}

/// Where a message stands.
#[derive(Clone, Copy)]
pub enum Phase {
    /// For its turn, not before this.
    Pending(Timestamp),
    /// For the outcome of an attempt.
    InFlight(ActiveAttempt),
    /// Ended, with an attempt still out: kept for the slot and for the order of its key.
    Detached(ActiveAttempt),
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub struct UncertainAttempt {
    /// When it was sent.
    pub sent_at: Timestamp,
    /// To which zone.
    pub zone: ZoneId,
}

/// The message.
#[derive(Clone)]
pub struct MessageState {
    /// As it was handed in.
    pub message: Message,
    /// When its time is up.
    pub deadline: Timestamp,
    /// Its place among all that were taken on.
    pub sequence: u64,
    /// Attempts begun so far.
    pub attempts: u32,
    /// Where it stands.
    pub phase: Phase,
    /// The first attempt that may have run.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    /// An earlier process took it on and did not try it: this one owes it a try.
    pub recovered_untried: bool,
    /// How the books have it, while it waits.
    pub entry: Option<PendingEntry>,
}
