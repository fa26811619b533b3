//! The settings of the core and their validation.
use super::{TimeDelta, ZoneId};
use serde::{Deserialize, Serialize};

/// The endpoints of a destination that recognize an idempotency key after one of them has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    #[serde(rename = "All")]
    Destination,
    /// The endpoints in the zone of the one that received the first attempt.
    Zone,
}

/// Whether an operation can be repeated without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The operation can be repeated any number of times.
    #[serde(rename = "Safe")]
    Idempotent,
    /// Endpoints within `scope` deduplicate by idempotency key, for `window` from the first attempt that may
    /// have run.
    #[serde(rename = "Keyed")]
    WithKey {
        /// The endpoints that recognize the key.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// How long the endpoints remember the key.
        window: TimeDelta,
    },
    /// Repeating the operation has a second effect, so it is never retried once it may have run.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A class of messages. The serde names of the fields are those stored in `classes.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The time within which a message must be delivered to have its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: TimeDelta,
    /// The time from the first submission until the message expires.
    pub deadline: TimeDelta,
    /// The weight of a message that is delivered within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The fraction of the weight that remains at the deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether attempts may be repeated.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are sent one at a time, in the order of acceptance.
    pub ordered: bool,
}

/// How the weight of a message decreases after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightDecay {
    /// The weight decreases linearly to the late weight at the deadline.
    Linear,
    /// The weight halves with each further latency objective that passes, down to the late weight.
    Exponential,
}

/// The properties that all destinations of one kind share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationKind {
    /// Whether each endpoint has its own limit, pace and outages; otherwise the endpoints share those of the
    /// destination.
    pub limits_per_endpoint: bool,
    /// The maximum number of messages per call.
    pub max_batch_size: usize,
}

/// A tenant that shares the capacity with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// The quota, in messages per second from all senders together.
    pub quota_per_second: f64,
}

/// How the sender learns of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes on a watch.
    Watch,
    /// The sender polls discovery.
    Poll,
}

/// What the capacity hint of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHints {
    /// Hints are ignored.
    None,
    /// The capacity of the destination, or of the endpoint if each has its own limit, in calls per second
    /// from all senders together.
    CallsPerSecond,
}

/// The parameters of the six rules of delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The time within which sends to a draining or removed endpoint must stop.
    pub drain_grace: TimeDelta,
    /// The minimum fraction of its capacity that a destination has when it recovers from an outage.
    pub slow_start_share: f64,
    /// The time from the recovery until a destination has its full capacity.
    pub slow_start_duration: TimeDelta,
    /// The multiple of its current capacity above which a destination is overloaded.
    pub overload_factor: f64,
    /// The time for which a destination must be overloaded until it fails.
    pub overload_window: TimeDelta,
    /// How long an ordering key is held after an attempt that may still be running.
    pub ordering_hold: TimeDelta,
    /// The time without a watch or a poll after which the sender is treated as informed of all changes.
    pub discovery_staleness_limit: TimeDelta,
}

/// The configuration of the core.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of messages, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Kinds of destination, indexed by [`KindId`](super::KindId).
    pub kinds: Vec<DestinationKind>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a message above its tenant's quota has.
    pub over_quota_weight: f64,
    /// The zone of this sender.
    pub zone: ZoneId,
    /// The number of senders that share the traffic.
    pub fleet_size: usize,
    /// The maximum number of calls in flight.
    pub max_concurrent_calls: usize,
    /// The maximum number of messages held.
    pub max_pending_messages: usize,
    /// The maximum number of attempts per message.
    pub max_attempts: u32,
    /// The minimum time between two steps.
    pub min_step_interval: TimeDelta,
    /// The time after which a connection attempt fails.
    pub connect_timeout: TimeDelta,
    /// How weights decrease after the latency objective.
    pub weight_decay: WeightDecay,
    /// How the sender learns of endpoints.
    pub discovery: DiscoveryMode,
    /// The meaning of the capacity hints in discovery entries.
    pub capacity_hints: CapacityHints,
    /// Whether health checks are allowed.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether an undelivered message stays until
    /// [`Event::CompletionAcknowledged`](super::Event::CompletionAcknowledged) instead of being dropped when
    /// it ends.
    pub completion_requires_acknowledgement: bool,
    /// Whether all messages of a call must expire at the same time, because the host cannot cancel them
    /// individually.
    pub batch_expires_together: bool,
    /// The parameters of the rules of delivery.
    pub rules: Rules,
}

/// The maximum assumed pause of a process between reading the clock and writing a call.
pub const MAX_PROCESS_PAUSE: TimeDelta = TimeDelta(150_000);

impl Settings {
    /// Returns how long after the first attempt that may have run another one may be scheduled. This is less
    /// than `window`, so that the attempt is written before the destination forgets the key, even if the
    /// process pauses.
    #[must_use]
    pub fn retry_window(&self, window: TimeDelta) -> TimeDelta {
        TimeDelta(window.0.saturating_sub(self.min_step_interval.0 + MAX_PROCESS_PAUSE.0))
    }

    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, what| if ok { Ok(()) } else { Err(SettingsError(what)) };
        check(
            !self.classes.is_empty() && !self.kinds.is_empty(),
            "classes, kinds: at least one of each is required",
        )?;
        check(
            self.classes.iter().all(|class| class.deadline.0 > 0),
            "classes: each deadline (hard_limit) must be greater than 0",
        )?;
        check(self.max_concurrent_calls > 0, "slots: max_calls must be at least 1, got 0")?;
        check(
            self.fleet_size > 0 && self.max_attempts > 0,
            "senders: fleet_size and max_attempts must be at least 1",
        )
    }
}

/// An invalid setting, named by the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid setting: {0}")]
pub struct SettingsError(pub &'static str);
