//! The parts of a plan: message classes, destinations, endpoints, senders, client operations and faults.
use crate::scenario::{
    CutDirection, FaultKind, FolderContent, FolderError, RepeatTrigger, StopMethod, SystemCall, WritePoint,
};
use crate::units::Span;

/// The message classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A message that debits an account; not idempotent, so the debit must never take effect twice.
    Charge,
    /// A message with an idempotency key, delivered in order for each vehicle.
    TripRecord,
}

impl Class {
    /// All message classes.
    pub const ALL: [Self; 2] = [Self::Charge, Self::TripRecord];

    /// Returns the name that the class has on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Charge => "charge",
            Self::TripRecord => "trip-record",
        }
    }

    /// Returns the maximum time from the submission of a message to its delivery.
    pub fn deadline(self) -> Span {
        match self {
            Self::Charge => Span::seconds(16),
            Self::TripRecord => Span::seconds(20),
        }
    }
}

/// The kinds of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Large, with a rate limit or a windowed limit for each endpoint; accepts batches.
    Bank,
    /// Small, with a rate limit or none.
    Fleet,
    /// Of any size, with a rate limit or none.
    Leasing,
}

impl Kind {
    /// Returns the name that the kind has in the settings.
    pub fn name(self) -> &'static str {
        ["bank", "fleet", "leasing"][self as usize]
    }

    /// Returns the maximum number of messages in one call, which is 1 for kinds that accept no batches.
    pub fn max_batch_size(self) -> usize {
        if self == Self::Bank { 5 } else { 1 }
    }

    /// Returns whether limits apply to each endpoint separately rather than to the whole destination.
    pub fn has_endpoint_limits(self) -> bool {
        self == Self::Bank
    }
}

/// The limit of a destination on the calls of all senders together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No limit; only the capacity restricts the calls.
    None,
    /// This number of calls per second.
    Rate(f64),
    /// This number of calls in each window of 2 s.
    Window(u32),
}

/// A destination of messages.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The destination's number, from 0.
    pub number: u32,
    /// The kind of destination.
    pub kind: Kind,
    /// Share of the traffic that is addressed to the destination.
    pub share: f64,
    /// Calls per second that all endpoints together can serve when they are warm.
    pub capacity: f64,
    /// The limit, which applies to each endpoint separately if [`Kind::has_endpoint_limits`] returns true.
    pub limit: Limit,
    /// Share of the rejections that carry a `Retry-After` header.
    pub retry_after_share: f64,
    /// Mean service time of a call, in microseconds.
    pub mean_service_us: f64,
    /// The endpoints that serve the destination.
    pub endpoints: Vec<EndpointPlan>,
}

/// An endpoint of a destination.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// The number among the endpoints of all destinations, from 0; determines the simulated address.
    pub number: u32,
    /// The id in the endpoint list.
    pub id: String,
    /// The zone, an index into the scenario's `buildings`.
    pub building: usize,
    /// Maximum number of concurrent calls.
    pub slots: usize,
}

/// A sender of the fleet.
#[derive(Clone, Debug)]
pub struct SenderPlan {
    /// The sender's number, from 0.
    pub number: u32,
    /// The sender's unique name.
    pub name: String,
    /// The zone, an index into the scenario's `buildings`.
    pub building: usize,
}

/// One operation of a client, which submits a message.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the message is first submitted.
    pub at: Span,
    /// The operation's number, from 0.
    pub number: u64,
    /// The class of the message.
    pub class: Class,
    /// The tenant, an index into [`TENANTS`](super::TENANTS).
    pub tenant: usize,
    /// The number of the destination.
    pub destination: u32,
    /// The number of the vehicle, within which trip records are delivered in order; `None` for charges.
    pub vehicle: Option<u32>,
    /// Length of the message body, in bytes.
    pub body: usize,
    /// The idempotency key, unique to the operation.
    pub key: String,
}

/// A fault, with its targets and all parameters resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins.
    pub from: Span,
    /// When the fault ends; equal to `from` for a fault without duration.
    pub until: Span,
    /// Numbers of the affected endpoints.
    pub endpoints: Vec<u32>,
    /// Numbers of the affected senders, in the order in which they are affected.
    pub senders: Vec<u32>,
    /// Share of the calls that are affected, or share of the limit that remains.
    pub call_share: f64,
    /// How a restart stops the process.
    pub stop_method: StopMethod,
    /// Number of senders that are restarted at once.
    pub batch: usize,
    /// Time from the start of one batch, pause or break to the start of the next.
    pub interval: Span,
    /// Length of each pause of the fault.
    pub pause: Span,
    /// Delay that the fault adds.
    pub delay: Span,
    /// Number of the write to the journal at which the process is killed, from 1.
    pub nth: u64,
    /// The point of that write at which the process is killed.
    pub write_point: WritePoint,
    /// Time from the end of a sender's process to its next start.
    pub downtime: Span,
    /// The direction in which a cut drops traffic, seen from the affected senders.
    pub direction: CutDirection,
    /// Numbers of the senders that the affected senders are cut off from; `None` means all others.
    pub cut_peers: Option<Vec<u32>>,
    /// Whether a cut also separates the affected senders from the destinations.
    pub cuts_destinations: bool,
    /// Maximum of the random delay that is added to `delay`.
    pub jitter: Span,
    /// Period over which the starts of the senders after a power loss are spread.
    pub return_period: Span,
    /// The content of the state folder after a restart.
    pub folder: FolderContent,
    /// Numbers of the senders that do not start again after a power loss.
    pub lost_senders: Vec<u32>,
    /// Maximum error of the senders' wall clocks after a power loss, in either direction.
    pub max_clock_error: Span,
    /// The event after which a response is sent a second time.
    pub repeat_trigger: RepeatTrigger,
    /// The parameters of faults of system calls, wall clocks and state folders.
    pub system: SystemFault,
}

/// The parameters of faults of the senders' system calls, wall clocks and state folders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemFault {
    /// The system calls that are affected.
    pub call: SystemCall,
    /// The error of failing changes to the state folder; `None` means that any of them may occur.
    pub error: Option<FolderError>,
    /// Whether a failing write to the state folder writes a part of its data first.
    pub is_torn: bool,
    /// The step of the wall clock, in microseconds; negative if it is set back.
    pub step_us: i64,
}

/// A change to the senders' configuration that makes them violate an invariant, so that tests can show that
/// the invariant checker detects the violation.
#[derive(Clone, Debug)]
pub struct ConfigOverride {
    /// The position of the value in the configuration, as a JSON pointer (RFC 6901).
    pub pointer: String,
    /// The value that replaces the one at `pointer`.
    pub value: serde_json::Value,
}
