//! Events: what the host reports to the core.
use super::{
    EndpointEntry, EndpointId, LoadReport, Message, MessageId, RecoveredMessage, Settings, TimeDelta,
    Timestamp,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// The destination answered with an error; the operation may have run.
    Failure,
    /// Rejected; the operation never ran.
    Rejected {
        /// The delay that the answer asked for, if it named one.
        retry_after: Option<TimeDelta>,
    },
    /// No answer in time; the operation may have run.
    TimedOut,
    /// No connection; the operation never ran.
    ConnectFailed,
    /// The connection broke; the operation may have run.
    Reset,
    /// Cancelled by this sender; the operation may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Put off by this sender before anything was written: it counts as no attempt.
    Deferred,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client submitted a message.
    Message(Message),
    /// A message goes on after a restart; these come in the order in which they were first accepted.
    Recovered(RecoveredMessage),
    /// An answer asked for a delay without rejecting a message.
    RetryAfter {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// The delay.
        wait: TimeDelta,
    },
    /// The end of a message was acknowledged; see [`Settings::completion_requires_acknowledgement`].
    CompletionAcknowledged(MessageId),
    /// The process ends at that time: what cannot end before is left for the next one.
    Shutdown(Timestamp),
    /// The next process takes over at that time, with all messages held: no call outlasts it, and messages go on being
    /// accepted.
    Handover(Timestamp),
    /// From now on these settings hold. Classes keep their numbers; kinds, zones and the sender's own zone are as before.
    Settings(Box<Settings>),
    /// An attempt has ended.
    AttemptEnded {
        /// The message.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: TimeDelta,
        /// Whether the message is over, through this attempt or before.
        completes: bool,
        /// The endpoint's load report, if any.
        report: Option<LoadReport>,
    },
    /// Nobody wants this message any more.
    Cancelled(MessageId),
    /// All endpoints, in place of those before.
    EndpointSnapshot(Vec<EndpointEntry>),
    /// Endpoints that have changed.
    EndpointUpdates(Vec<EndpointEntry>),
    /// A poll of discovery failed, or the watch broke.
    DiscoveryFailed,
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) fired.
    TimerFired,
}
