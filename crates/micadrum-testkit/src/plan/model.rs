//! What a plan consists of: message classes, destinations, endpoints, senders, client operations and faults.
use crate::scenario::{
    CutDirection, FaultKind, FolderContent, FolderError, StopMethod, SystemCall, WritePoint,
};
use crate::units::Span;

/// The message classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Debits an account: not idempotent, so it must never take effect twice.
    Charge,
    /// Has an idempotency key, and is delivered in order for each vehicle.
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

    /// Returns how long after its submission a message may be delivered.
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

    /// Returns the maximum number of messages in one call.
    pub fn max_batch_size(self) -> usize {
        if self == Self::Bank { 5 } else { 1 }
    }

    /// Returns whether limits hold for each endpoint rather than for the whole destination.
    pub fn has_endpoint_limits(self) -> bool {
        self == Self::Bank
    }
}

/// The limit on the calls that a destination admits from all senders together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Its capacity alone.
    None,
    /// Calls per second.
    Rate(f64),
    /// Calls in each window of 2 s.
    Window(u32),
}

/// A destination of messages.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Its number, from 0.
    pub number: u32,
    /// Its kind.
    pub kind: Kind,
    /// Share of the traffic that is addressed to it.
    pub share: f64,
    /// Calls per second that all its endpoints together can serve when they are warm.
    pub capacity: f64,
    /// Its limit; that of each endpoint where limits hold for each endpoint.
    pub limit: Limit,
    /// Share of its rejections that carry a Retry-After.
    pub retry_after_share: f64,
    /// Mean service time of a call, in microseconds.
    pub mean_service_us: f64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointPlan>,
}

/// An endpoint of a destination.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its number among the endpoints of all destinations, which also gives its address.
    pub number: u32,
    /// Its id in the endpoint list.
    pub id: String,
    /// Its zone, an index into the scenario's `buildings`.
    pub building: usize,
    /// Maximum number of concurrent calls.
    pub slots: usize,
}

/// A sender of the fleet.
#[derive(Clone, Debug)]
pub struct SenderPlan {
    /// Its number, from 0.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// Its zone, an index into the scenario's `buildings`.
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
    /// The vehicle, for messages of a class that is delivered in order.
    pub vehicle: Option<u32>,
    /// Length of the body in bytes.
    pub body: usize,
    /// The idempotency key.
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
    /// Numbers of the affected senders, in the order in which the fault reaches them.
    pub senders: Vec<u32>,
    /// Share of the calls that is affected.
    pub call_share: f64,
    /// How a restart ends the process.
    pub stop_method: StopMethod,
    /// Number of senders that are restarted at once.
    pub batch: usize,
    /// Interval between two batches, pauses or breaks.
    pub interval: Span,
    /// Length of a pause.
    pub pause: Span,
    /// Added delay.
    pub delay: Span,
    /// Which write to the journal the fault hits, counted from 1.
    pub nth: u64,
    /// At which point of that write.
    pub write_point: WritePoint,
    /// How long a sender stays down.
    pub downtime: Span,
    /// The direction of a cut.
    pub direction: CutDirection,
    /// Numbers of the senders that a cut separates from; all others if not given.
    pub cut_peers: Option<Vec<u32>>,
    /// Whether a cut separates from the destinations too.
    pub cuts_destinations: bool,
    /// Maximum of the random delay that is added to `delay`.
    pub jitter: Span,
    /// Period over which the senders that lost power come back.
    pub return_period: Span,
    /// The content of the state folder after a restart.
    pub folder: FolderContent,
    /// Numbers of the senders that never come back.
    pub lost_senders: Vec<u32>,
    /// Maximum error of the senders' clocks afterwards.
    pub max_clock_error: Span,
    /// How system calls are made to fail.
    pub system: SystemFault,
}

/// How system calls of senders are made to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemFault {
    /// Which calls fail.
    pub call: SystemCall,
    /// With which error changes of the state folder fail.
    pub error: Option<FolderError>,
    /// Whether failing writes to the state folder write a part first.
    pub is_torn: bool,
    /// By how much the wall clock is stepped, in microseconds.
    pub step_us: i64,
}

/// A deliberate error in the senders' configuration, which makes faulty senders of correct ones, so that tests can show
/// that the invariant checker detects their violations.
#[derive(Clone, Debug)]
pub struct ConfigOverride {
    /// The position in the configuration, as a JSON pointer (RFC 6901).
    pub pointer: String,
    /// The value to put there.
    pub value: serde_json::Value,
}
