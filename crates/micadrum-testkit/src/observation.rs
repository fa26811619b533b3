//! The observations of destinations, the platform, clients and machines: the only input of the invariant
//! checker.
use crate::plan::Class;

/// Microseconds: a time since the start of the run, or a duration.
pub type Micros = u64;

/// The result of an attempt: how a call ended for one of its messages, as the endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The message was delivered.
    Delivered,
    /// The endpoint answered with an error: the message may have taken effect.
    Failed,
    /// The call was rejected as over capacity: the message has not taken effect.
    Overloaded,
    /// The answer was corrupted or the endpoint broke the connection: the message may have taken effect.
    Corrupted,
}

/// The outcome of a client's submission of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The message was accepted: status 202 or 200.
    Accepted,
    /// The message was rejected: status 429 or 503, or no connection.
    Rejected,
    /// The response has any other status.
    Failed,
    /// No answer arrived within the client's timeout.
    TimedOut,
    /// The connection was closed or refused before an answer arrived.
    ConnectionClosed,
}

/// An event of a run that the invariants and the service metrics are computed from.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A sender reported that it is ready.
    Ready {
        /// Number of the sender.
        sender: u32,
    },
    /// A sender's process was signalled to exit, by SIGTERM or SIGKILL.
    ShutdownRequested {
        /// Number of the sender.
        sender: u32,
        /// Whether the signal was SIGKILL.
        killed: bool,
    },
    /// A sender's process exited.
    Exited {
        /// Number of the sender.
        sender: u32,
        /// Whether the exit was requested, and the process was killed or exited without an error.
        expected: bool,
    },
    /// A sender's machine was lost with everything on it.
    MachineLost {
        /// Number of the sender.
        sender: u32,
    },
    /// A client submitted a message.
    Submitted {
        /// Id of the message.
        id: String,
        /// Number of the operation that the message belongs to.
        operation: u64,
        /// Number of the sender that the message was submitted to.
        sender: u32,
        /// Class of the message.
        class: Class,
        /// The vehicle, if the class is delivered in order.
        vehicle: Option<u32>,
        /// The time until which the message may be delivered.
        deadline: Micros,
    },
    /// A client's submission was answered, timed out or lost its connection.
    Answered {
        /// Id of the message.
        id: String,
        /// The outcome of the submission.
        answer: SubmissionAnswer,
    },
    /// Discovery reported the state of an endpoint to a sender.
    Listed {
        /// Number of the sender.
        sender: u32,
        /// Id of the endpoint in the endpoint list.
        endpoint: String,
        /// Whether the endpoint is in service.
        serving: bool,
    },
    /// The last byte of a call arrived at an endpoint.
    CallBegan {
        /// Number of the call.
        call: u64,
        /// Number of the sender.
        sender: u32,
        /// Id of the endpoint in the endpoint list.
        endpoint: String,
        /// The route: a destination, or one endpoint of a destination whose limits apply to each endpoint.
        /// Limits, Retry-After and outages apply to a route.
        route: u32,
        /// Ids of the call's messages.
        ids: Vec<String>,
        /// When the sender sent the first byte.
        sent_at: Micros,
    },
    /// A message took effect at a destination. A repeat that the destination recognized and dropped takes
    /// none.
    TookEffect {
        /// Id of the message.
        id: String,
    },
    /// An endpoint answered a call, or would have but for a fault that corrupted the answer or broke the
    /// connection.
    CallAnswered {
        /// Number of the call.
        call: u64,
        /// The result of the attempt for each message.
        ends: Vec<(String, AttemptResult)>,
        /// The time that a Retry-After in the answer names, if there is one.
        retry_after: Option<Micros>,
        /// The time at which the sender receives the answer.
        received_at: Micros,
        /// The time until which the call was in flight: when it was answered, or the sender closed the
        /// connection.
        in_flight_until: Micros,
    },
    /// The answer to a call did not reach the sender, which had closed the connection before.
    AnswerLost {
        /// Number of the call.
        call: u64,
    },
    /// A sender closed the connection of a call that had no answer.
    CallClosed {
        /// Number of the call.
        call: u64,
        /// When the sender closed the connection.
        closed_at: Micros,
    },
    /// The platform acknowledged the notification that a message failed or was returned.
    Notified {
        /// Id of the message.
        id: String,
        /// Whether the message was reported as returned rather than failed.
        returned: bool,
    },
    /// A sender's process is suspended: it receives and sends nothing.
    Paused {
        /// Number of the sender.
        sender: u32,
        /// When the process resumes.
        until: Micros,
    },
    /// The platform stops acknowledging the notifications of a sender.
    NotificationsBlocked {
        /// Number of the sender.
        sender: u32,
        /// When the platform starts to acknowledge notifications again.
        until: Micros,
    },
    /// An outage of a route began or ended.
    Outage {
        /// The route, as in [`Observation::CallBegan`].
        route: u32,
        /// Whether the outage began.
        began: bool,
    },
    /// A route in slow start failed by overload.
    Overloaded {
        /// The route that failed, as in [`Observation::CallBegan`].
        route: u32,
        /// Numbers of the senders whose calls overloaded it, one entry for each call.
        senders: Vec<u32>,
        /// Number of calls that the route could have served in that time.
        budget: f64,
        /// Id of the endpoint that received the last of the calls.
        endpoint: String,
    },
}
