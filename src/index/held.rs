//! A message that is held, and how far it has got.
use super::waiting::Slip;
use crate::{EndpointId, Message, Time, ZoneId};

/// An attempt that is out.
#[derive(Clone, Copy)]
pub struct Try {
    /// Where to.
    pub endpoint: EndpointId,
    /// The call that carries it.
    pub call: u64,
}

/// Where a message stands.
#[derive(Clone, Copy)]
pub enum Stage {
    /// For its turn, not before this.
    Waiting(Time),
    /// For the outcome of an attempt.
    Out(Try),
    /// Ended, with an attempt still out: kept for the slot and for the order of its key.
    Over(Try),
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub struct Ran {
    /// When it was sent.
    pub sent: Time,
    /// To which zone.
    pub zone: ZoneId,
}

/// The message.
#[derive(Clone)]
pub struct Held {
    /// As it was handed in.
    pub message: Message,
    /// When its time is up.
    pub deadline: Time,
    /// Its place among all that were taken on.
    pub place: u64,
    /// Attempts begun so far.
    pub attempts: u32,
    /// Where it stands.
    pub stage: Stage,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
    /// An earlier process took it on and did not try it: this one owes it a try.
    pub found: bool,
    /// How the books have it, while it waits.
    pub slip: Option<Slip>,
}
