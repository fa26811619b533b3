//! New and recovered messages.
use super::{ClassId, DestinationId, MessageId, OrderKey, TenantId, TimeDelta, Timestamp, ZoneId};

/// A message to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// The number that the host assigned to the message.
    pub id: MessageId,
    /// The class, which determines deadline, weight and retries.
    pub class: ClassId,
    /// The tenant; `None` if the settings define no tenants.
    pub tenant: Option<TenantId>,
    /// The ordering key; `None` if the message may be sent in any order.
    pub key: Option<OrderKey>,
    /// The destination to deliver to.
    pub destination: DestinationId,
    /// The remaining time until the message's deadline.
    pub time_to_live: TimeDelta,
}

/// A message that an earlier process of this sender accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredMessage {
    /// The message, with the time that remains now.
    pub message: Message,
    /// The number of attempts by earlier processes.
    pub attempts: u32,
    /// When, on the host's clock, and to which zone the first attempt was sent whose operation may have run,
    /// such as one in flight when its process ended.
    pub first_uncertain_attempt: Option<(Timestamp, ZoneId)>,
    /// Whether the message has ended and only awaits
    /// [`Event::CompletionAcknowledged`](super::Event::CompletionAcknowledged).
    pub ended: bool,
}
