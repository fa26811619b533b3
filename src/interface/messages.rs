//! Messages as they reach the core.
use super::{ClassId, DestinationId, MessageId, OrderKey, TenantId, TimeDelta, Timestamp, ZoneId};

/// A new message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its identifier.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Its ordering key, if it keeps order.
    pub key: Option<OrderKey>,
    /// Its destination.
    pub destination: DestinationId,
    /// The time left until it is given up.
    pub time_to_live: TimeDelta,
}

/// A message that an earlier process of this sender accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredMessage {
    /// The message, with the time that is left to it now.
    pub message: Message,
    /// Attempts that earlier processes made.
    pub attempts: u32,
    /// The first attempt that may have had an effect, such as one in flight when its process ended: when it was sent on
    /// the host's clock, and to which zone.
    pub first_uncertain_attempt: Option<(Timestamp, ZoneId)>,
    /// Whether it has ended, and only [`Event::CompletionAcknowledged`](super::Event::CompletionAcknowledged) is to come.
    pub ended: bool,
}
