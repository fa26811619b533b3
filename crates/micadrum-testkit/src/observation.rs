//! What destinations, platform, clients and machines observe: all that the invariant checker goes by.
use crate::plan::Class;

/// Microseconds: a time since the start of the run, or a duration.
pub type Micros = u64;

/// How a call ended for one of its messages, as the endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The message was delivered.
    Delivered,
    /// The call failed: the message may have taken effect.
    Failed,
    /// The call was rejected as over capacity: the message has not taken effect.
    Overloaded,
    /// The answer was corrupted or the endpoint broke the connection: the message may have taken effect.
    Corrupted,
}

/// The answer to a client that submitted a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The message was accepted: status 202 or 200.
    Accepted,
    /// The message was rejected: status 429 or 503, or no connection.
    Rejected,
    /// Any other status.
    Failed,
    /// No answer within the client's timeout.
    TimedOut,
    /// The connection ended, or was refused, before an answer came.
    ConnectionClosed,
}

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A sender reported that it is ready.
    Ready {
        /// Number of the sender.
        sender: u32,
    },
    /// A sender's process was told to end, by SIGTERM or SIGKILL.
    ShutdownRequested {
        /// Number of the sender.
        sender: u32,
        /// Whether by SIGKILL.
        killed: bool,
    },
    /// A sender's process ended.
    Exited {
        /// Number of the sender.
        sender: u32,
        /// Whether the process was told to end, and was killed or ended without an error.
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
        /// Until when the message may be delivered.
        deadline: Micros,
    },
    /// A client got an answer to its submission, or gave up on it.
    Answered {
        /// Id of the message.
        id: String,
        /// The answer.
        answer: SubmissionAnswer,
    },
    /// Discovery told a sender the state of an endpoint.
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
        /// The route: a destination, or one endpoint of a destination whose limits apply to each endpoint. Limits,
        /// Retry-After and outages apply to a route.
        route: u32,
        /// Ids of the call's messages.
        ids: Vec<String>,
        /// When the sender sent the first byte.
        sent_at: Micros,
    },
    /// A message took effect at a destination. A repeat that the destination dropped does not.
    TookEffect {
        /// Id of the message.
        id: String,
    },
    /// An endpoint answered a call, or would have but for a fault that corrupted the answer or broke the connection.
    CallAnswered {
        /// Number of the call.
        call: u64,
        /// The end of each message.
        ends: Vec<(String, AttemptResult)>,
        /// The time that a Retry-After in the answer names.
        retry_after: Option<Micros>,
        /// When the sender receives the answer.
        received_at: Micros,
        /// Until when the call was in flight: until the answer arrived, or the sender closed the connection.
        in_flight_until: Micros,
    },
    /// A sender had closed the connection of a call before the answer reached it, so it cannot know the answer.
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
    /// The platform acknowledged the notification of a message's end.
    Notified {
        /// Id of the message.
        id: String,
        /// Whether the message was reported as returned rather than failed.
        returned: bool,
    },
    /// A sender is suspended: it receives and sends nothing.
    Paused {
        /// Number of the sender.
        sender: u32,
        /// When it resumes.
        until: Micros,
    },
    /// The platform acknowledges no notifications of a sender.
    NotificationsBlocked {
        /// Number of the sender.
        sender: u32,
        /// When the platform acknowledges notifications again.
        until: Micros,
    },
    /// An outage of a route began or ended.
    Outage {
        /// The route.
        route: u32,
        /// Whether the outage began.
        began: bool,
    },
    /// A route in slow start failed by overload.
    Overloaded {
        /// The route.
        route: u32,
        /// Numbers of the senders whose calls overloaded it, one entry for each call.
        senders: Vec<u32>,
        /// Number of calls that the route could have served in that time.
        budget: f64,
        /// Id of the endpoint that received the last of the calls.
        endpoint: String,
    },
}
