//! Settings of the core.
use super::{TimeDelta, ZoneId};
use serde::{Deserialize, Serialize};

/// Which endpoints of a destination deduplicate an attempt under an idempotency key that they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    /// All of them.
    #[serde(rename = "All")]
    Destination,
    /// Those in the zone of the endpoint that received the first attempt.
    Zone,
}

/// What a repeated attempt would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Nothing: the operation may be repeated freely.
    #[serde(rename = "Safe")]
    Idempotent,
    /// Nothing where the idempotency key is known: within `scope`, for `window` from the first attempt that may have
    /// run.
    #[serde(rename = "Keyed")]
    WithKey {
        /// The endpoints that deduplicate.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// For how long they do.
        window: TimeDelta,
    },
    /// A second effect: never repeated once it may have run.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A class of messages. The names of its fields in JSON are those of the stored `classes.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Delivered within this time, a message has its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: TimeDelta,
    /// Time from the first submission until the message is given up.
    pub deadline: TimeDelta,
    /// Weight of one message.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that is left at the deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// What a repeated attempt does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether messages of one key go one at a time, in the order of acceptance.
    pub ordered: bool,
}

/// How the weight of a message falls after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightDecay {
    /// Linearly, down to the late weight at the deadline.
    Linear,
    /// By half with each further latency objective, not below the late weight.
    Exponential,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationKind {
    /// Whether each endpoint has a limit, a pace and outages of its own; otherwise they share those of the destination.
    pub limits_per_endpoint: bool,
    /// Most messages that one call carries.
    pub max_batch_size: usize,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, from all senders together, that count as within its quota.
    pub quota_per_second: f64,
}

/// How endpoints reach the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes on a watch.
    Watch,
    /// The sender polls.
    Poll,
}

/// What the capacity hint of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHints {
    /// Nothing.
    None,
    /// Calls a second that the destination (or route) takes from all senders together.
    CallsPerSecond,
}

/// The figures of the six rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Sends to a draining or removed endpoint stop within this time.
    pub drain_grace: TimeDelta,
    /// A destination that recovers from an outage has at least this share of its capacity ...
    pub slow_start_share: f64,
    /// ... and all of it after this time.
    pub slow_start_duration: TimeDelta,
    /// A destination that gets more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long fails.
    pub overload_window: TimeDelta,
    /// An ordering key is held this long after an attempt that may still run.
    pub ordering_hold: TimeDelta,
    /// A sender that has neither watched nor polled for this long counts as notified.
    pub discovery_staleness_limit: TimeDelta,
}

/// Everything that the core is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a message above its tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// Zone of this sender.
    pub zone: ZoneId,
    /// Senders that share the traffic.
    pub fleet_size: usize,
    /// Most calls in flight.
    pub max_concurrent_calls: usize,
    /// Most messages held.
    pub max_pending_messages: usize,
    /// Most attempts for one message.
    pub max_attempts: u32,
    /// Least time between two steps.
    pub min_step_interval: TimeDelta,
    /// An endpoint that accepts no connection within this time is unreachable.
    pub connect_timeout: TimeDelta,
    /// How weights fall.
    pub weight_decay: WeightDecay,
    /// How endpoints reach the sender.
    pub discovery: DiscoveryMode,
    /// What capacity hints mean.
    pub capacity_hints: CapacityHints,
    /// Whether health checks are allowed.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether an undelivered message is over only with
    /// [`Event::CompletionAcknowledged`](super::Event::CompletionAcknowledged), not at once.
    pub completion_requires_acknowledgement: bool,
    /// Whether the host can give up a call only with all of its messages, not one by one.
    pub batch_expires_together: bool,
    /// The figures of the rules.
    pub rules: Rules,
}

/// How long a process may be held up between reading its clock and writing.
pub const MAX_HOLD_UP: TimeDelta = TimeDelta(150_000);

impl Settings {
    /// Returns how long after the first attempt that may have run a further one may be decided on: it is written before the
    /// destination forgets the key after `window`, also if the process is held up.
    #[must_use]
    pub fn retry_window(&self, window: TimeDelta) -> TimeDelta {
        TimeDelta(window.0.saturating_sub(self.min_step_interval.0 + MAX_HOLD_UP.0))
    }

    /// Checks whether the settings can be acted on.
    ///
    /// # Errors
    /// The first setting that cannot.
    pub fn check(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, what| if ok { Ok(()) } else { Err(SettingsError(what)) };
        check(!self.classes.is_empty() && !self.kinds.is_empty(), "classes or kinds: none given")?;
        check(self.classes.iter().all(|class| class.deadline.0 > 0), "a class's deadline: 0")?;
        check(self.max_concurrent_calls > 0, "slots: 0 calls may be out")?;
        check(self.fleet_size > 0 && self.max_attempts > 0, "senders or max_attempts: 0")
    }
}

/// The first setting that cannot be acted on; the text names it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unusable setting: {0}")]
pub struct SettingsError(pub &'static str);
