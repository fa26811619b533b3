//! The interface of the decision module: settings, events, actions, and the types of ids and time.
//!
//! Nothing here decides anything. All times are whole microseconds on the host's clock.
use serde::{Deserialize, Serialize};

/// A point on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct TimeDelta(pub u64);

/// Microseconds as seconds.
pub(crate) fn seconds(span: u64) -> f64 {
    span as f64 / 1e6
}

/// So many microseconds after a time.
pub(crate) fn after(time: Timestamp, span: f64) -> Timestamp {
    Timestamp(time.0 + span.max(0.0) as u64)
}

/// Microseconds from one time to another, none where that comes first.
pub(crate) fn since(now: Timestamp, then: Timestamp) -> u64 {
    now.0.saturating_sub(then.0)
}

/// A message, as the host numbers it; never used again within the life of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// A destination: the firm's system that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// An endpoint, interned by the host in the order in which it first heard of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// What an ordered message is about: messages of one key go out one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Index into [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A zone, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Which endpoints of a destination drop a repeat of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    /// All of them.
    #[serde(rename = "All")]
    Destination,
    /// Those in the zone of the endpoint that had it first.
    Zone,
}

/// What a repeat of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Nothing: it may be repeated freely.
    #[serde(rename = "Safe")]
    Idempotent,
    /// It is dropped by the endpoints of `group`, for `window` from the first attempt that may have run.
    #[serde(rename = "Keyed")]
    WithKey {
        /// The endpoints that drop it.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// For how long they do.
        window: TimeDelta,
    },
    /// A second effect: never repeated once it may have run.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Delivered within this time, a message earns its full worth.
    #[serde(rename = "aim")]
    pub latency_objective: TimeDelta,
    /// Time from first hand-in until the message is given up.
    pub deadline: TimeDelta,
    /// Worth of one message.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// What a repeat does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Messages of one key go one at a time, in the order taken.
    pub ordered: bool,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightDecay {
    /// Evenly, down to the late worth at the deadline.
    Linear,
    /// By half with each further aim, not below the late worth.
    Exponential,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationKind {
    /// Its endpoints are separate routes, each with its own limit, pace and outages.
    pub limits_per_endpoint: bool,
    /// Messages that one call carries at most.
    pub max_batch_size: usize,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all senders, that count as within its share.
    pub quota_per_second: f64,
}

/// How the list of endpoints reaches the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// By itself.
    Watch,
    /// Only when asked for.
    Poll,
}

/// What the capacity hint of a list entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHints {
    /// Nothing.
    None,
    /// Calls a second that the destination (or route) takes from all senders together.
    CallsPerSecond,
}

/// Figures of the six rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Sends to a draining or removed endpoint stop within this.
    pub drain_grace: TimeDelta,
    /// A destination returning from an outage has at least this share of its capacity.
    pub slow_start_share: f64,
    /// And all of it after this.
    pub slow_start_duration: TimeDelta,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, it falls over.
    pub overload_window: TimeDelta,
    /// An ordered key rests this long after an attempt that may still run.
    pub ordering_hold: TimeDelta,
    /// A sender that neither subscribes nor asks for this long counts as told.
    pub discovery_staleness_limit: TimeDelta,
}

/// Everything a sender is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a message above its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// Zone of this sender.
    pub zone: ZoneId,
    /// Senders that share the traffic.
    pub fleet_size: usize,
    /// Calls out at once at most.
    pub max_concurrent_calls: usize,
    /// Messages held at most.
    pub max_pending_messages: usize,
    /// Attempts for one message at most.
    pub max_attempts: u32,
    /// Shortest time between two steps.
    pub min_step_interval: TimeDelta,
    /// Connections not made within this are unreachable.
    pub connect_timeout: TimeDelta,
    /// How worth falls.
    pub weight_decay: WeightDecay,
    /// How the list comes.
    pub discovery: DiscoveryMode,
    /// What list hints say.
    pub capacity_hints: CapacityHints,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// Attempts may be called off.
    pub cancellation: bool,
    /// The end of a message that is not delivered is over only with [`Event::Noticed`], not at once.
    pub completion_requires_acknowledgement: bool,
    /// The host can give up a call only with all of its messages, not one by one.
    pub batch_expires_together: bool,
    /// Figures of the rules.
    pub rules: Rules,
}

impl Settings {
    /// Whether they can be acted on.
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

/// Why settings cannot be acted on; the text names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// A new message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Its key, if it keeps order.
    pub key: Option<OrderKey>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Time left until it is given up.
    pub time_to_live: TimeDelta,
}

/// A message that an earlier process of this sender took on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredMessage {
    /// The message, with the time that is left to it now.
    pub message: Message,
    /// Attempts that earlier processes made.
    pub attempts: u32,
    /// The first attempt that may have run, such as one that was out when its process ended: when it was sent
    /// on the host's clock, and to which zone.
    pub first_uncertain_attempt: Option<(Timestamp, ZoneId)>,
    /// It has ended, and only [`Event::Noticed`] is to come.
    pub ended: bool,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service, as far as the list knows.
    Active,
    /// Draining.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: EndpointState,
    /// Capacity hint, see [`Hints`].
    pub capacity_hint: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// The destination answered with an error; may have run.
    Failure,
    /// Turned away; never ran. The wait it told, if any.
    Rejected {
        /// The delay that the answer asked for, if it named one.
        retry_after: Option<TimeDelta>,
    },
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Held back by this sender itself, before anything was written: it counts as no attempt.
    Deferred,
}

/// What an answer tells of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is left.
    pub remaining_share: f64,
    /// The limit, in calls a second; 0 for none.
    pub limit_per_second: f64,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Message(Message),
    /// A message goes on after a restart; these come in the order in which they were first taken.
    Recovered(RecoveredMessage),
    /// An answer told a wait without turning a message away.
    RetryAfter {
        /// The endpoint that told it.
        endpoint: EndpointId,
        /// How long.
        wait: TimeDelta,
    },
    /// The end of a message is known to whom it concerns; see [`Settings::ends_noticed`].
    CompletionAcknowledged(MessageId),
    /// The process ends then: what cannot end before is left for the next one.
    Shutdown(Timestamp),
    /// The next process takes this one's place then, and all that is held: no call outlasts it, and messages go on being
    /// taken on.
    Handover(Timestamp),
    /// From now on these settings hold. Classes keep their numbers; kinds, zones and the sender's own are as before.
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
        /// Whether the message is over, through this or before.
        completes: bool,
        /// The endpoint's report, if any.
        report: Option<LoadReport>,
    },
    /// Nobody wants this message any more.
    Cancelled(MessageId),
    /// The whole list, replacing the one before.
    EndpointSnapshot(Vec<EndpointEntry>),
    /// Changed lines of the list.
    EndpointUpdates(Vec<EndpointEntry>),
    /// Asking for the list failed, or the subscription broke.
    DiscoveryFailed,
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A wake-up that was asked for.
    TimerFired,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message; sends of one step to one endpoint may share a call.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
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
    /// End a message undelivered; the client may safely come again.
    Return {
        /// The message.
        message: MessageId,
        /// When coming again may help; none where nothing is known.
        retry_after: Option<TimeDelta>,
    },
    /// End a message undelivered, with no promise about its effect.
    Fail(MessageId),
    /// Step again after this, even if nothing happens.
    SetTimer(TimeDelta),
    /// Ask for all further changes of the list.
    WatchEndpoints,
    /// Ask for the whole list once.
    PollEndpoints,
    /// Check an endpoint's health.
    CheckHealth(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Nothing of an endpoint that has gone matters any more; listed again, it may have another number.
    ForgetEndpoint(EndpointId),
    /// A line for people on call.
    Log(String),
}
