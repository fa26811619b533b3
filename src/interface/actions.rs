//! Actions: requests of the core to the host.
use super::{EndpointId, MessageId, TimeDelta, Timestamp};

/// An operation that the host has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint. Sends to the same endpoint in one step may share a call.
    Send {
        /// The message to send.
        message: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires: Timestamp,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The message of the attempt.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// End an undelivered message that the client may safely submit again.
    Return {
        /// The message to end.
        message: MessageId,
        /// The delay after which the client may submit the message again; `None` if unknown.
        retry_after: Option<TimeDelta>,
    },
    /// End an undelivered message whose operation may have run.
    Fail(MessageId),
    /// Call [`DeliveryEngine::step`](crate::DeliveryEngine::step) with
    /// [`Event::TimerFired`](super::Event::TimerFired) after this delay.
    SetTimer(TimeDelta),
    /// Watch discovery for changes of endpoints.
    WatchEndpoints,
    /// Request the complete list of endpoints from discovery once.
    PollEndpoints,
    /// Check the health of an endpoint.
    CheckHealth(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Drop the ID of a removed endpoint; if it is listed again, it may get a new one.
    ForgetEndpoint(EndpointId),
    /// Write a line to the log.
    Log(String),
}
