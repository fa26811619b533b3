//! Events: reports of the host to the core.
use super::{
    EndpointEntry, EndpointId, LoadReport, Message, MessageId, RecoveredMessage, Settings, TimeDelta,
    Timestamp,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Success,
    /// The destination answered with an error; the operation may have run.
    Failure,
    /// The destination rejected the message; the operation never ran.
    Rejected {
        /// The Retry-After delay in the answer, if any.
        retry_after: Option<TimeDelta>,
    },
    /// No answer arrived before the attempt expired; the operation may have run.
    TimedOut,
    /// No connection was established; the operation never ran.
    ConnectFailed,
    /// The connection broke; the operation may have run.
    Reset,
    /// This sender cancelled the attempt; the operation may have run.
    Cancelled,
    /// The attempt was not sent; the operation never ran.
    NotSent,
    /// The host postponed the attempt before anything was written; it is not counted.
    Deferred,
}

/// An input of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client submitted a message.
    Message(Message),
    /// A message of an earlier process resumes. These must be reported in the order of their acceptance.
    Recovered(RecoveredMessage),
    /// An answer that rejected no message carried a Retry-After.
    RetryAfter {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// The delay that the Retry-After requests.
        wait: TimeDelta,
    },
    /// The end of a message was acknowledged; see [`Settings::completion_requires_acknowledgement`].
    CompletionAcknowledged(MessageId),
    /// The process will end at this time; messages that are still pending are left for the next process.
    Shutdown(Timestamp),
    /// The next process takes over all held messages at this time. No call starts that may outlast it;
    /// messages are accepted until then.
    Handover(Timestamp),
    /// Replaces the settings. Existing classes keep their numbers; kinds, zones and the sender's zone must
    /// not change.
    Settings(Box<Settings>),
    /// An attempt has ended.
    AttemptEnded {
        /// The message of the attempt.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The time since the attempt was sent.
        elapsed: TimeDelta,
        /// Whether the message has ended, with this attempt or earlier.
        completes: bool,
        /// The load report in the answer, if any.
        report: Option<LoadReport>,
    },
    /// A message was cancelled.
    Cancelled(MessageId),
    /// The complete list of endpoints; replaces the previous one.
    EndpointSnapshot(Vec<EndpointEntry>),
    /// Endpoints that have changed.
    EndpointUpdates(Vec<EndpointEntry>),
    /// A poll of discovery failed, or the watch was interrupted.
    DiscoveryFailed,
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the check.
        outcome: Outcome,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) fired.
    TimerFired,
}
