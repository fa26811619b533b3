//! Actions: what the core asks of the host.
use super::{EndpointId, MessageId, TimeDelta, Timestamp};

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message; sends of one step to one endpoint may share a call.
    Send {
        /// The message.
        message: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When the attempt is given up.
        expires: Timestamp,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt.
        attempt: u32,
    },
    /// End a message undelivered; the client may safely submit it again.
    Return {
        /// The message.
        message: MessageId,
        /// When submitting it again may help; none where nothing is known.
        retry_after: Option<TimeDelta>,
    },
    /// End a message undelivered, with no promise about its effect.
    Fail(MessageId),
    /// Step again after this delay, even if nothing happens.
    SetTimer(TimeDelta),
    /// Watch all further changes of endpoints.
    WatchEndpoints,
    /// Poll discovery once for all endpoints.
    PollEndpoints,
    /// Check the health of an endpoint.
    CheckHealth(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Forget a removed endpoint; listed again, it may get another number.
    ForgetEndpoint(EndpointId),
    /// Write a line to the log.
    Log(String),
}
