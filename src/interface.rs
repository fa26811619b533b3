//! The interface of the decision module: settings, events, actions, and the types of ids and time.
//!
//! Nothing here decides anything. All times are whole microseconds on the host's clock.
use serde::{Deserialize, Serialize};

/// A point on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Span(pub u64);

/// Microseconds as seconds.
pub(crate) fn seconds(span: u64) -> f64 {
    span as f64 / 1e6
}

/// So many microseconds after a time.
pub(crate) fn after(time: Time, span: f64) -> Time {
    Time(time.0 + span.max(0.0) as u64)
}

/// Microseconds from one time to another, none where that comes first.
pub(crate) fn since(now: Time, then: Time) -> u64 {
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
pub enum Group {
    /// All of them.
    All,
    /// Those in the zone of the endpoint that had it first.
    Zone,
}

/// What a repeat of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Nothing: it may be repeated freely.
    Safe,
    /// It is dropped by the endpoints of `group`, for `window` from the first attempt that may have run.
    Keyed {
        /// The endpoints that drop it.
        group: Group,
        /// For how long they do.
        window: Span,
    },
    /// A second effect: never repeated once it may have run.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Delivered within this time, a message earns its full worth.
    pub aim: Span,
    /// Time from first hand-in until the message is given up.
    pub deadline: Span,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// What a repeat does.
    pub repeat: Repeat,
    /// Messages of one key go one at a time, in the order taken.
    pub ordered: bool,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to the late worth at the deadline.
    Even,
    /// By half with each further aim, not below the late worth.
    Halves,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its endpoints are separate routes, each with its own limit, pace and outages.
    pub routes_apart: bool,
    /// Messages that one call carries at most.
    pub batch: usize,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all senders, that count as within its share.
    pub allowance_per_s: f64,
}

/// How the list of endpoints reaches the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// By itself.
    Pushed,
    /// Only when asked for.
    OnRequest,
}

/// What the capacity hint of a list entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hints {
    /// Nothing.
    None,
    /// Calls a second that the destination (or route) takes from all senders together.
    CallsPerSecond,
}

/// Figures of the six rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Sends to a draining or removed endpoint stop within this.
    pub drain_grace: Span,
    /// A destination returning from an outage has at least this share of its capacity.
    pub cold_share: f64,
    /// And all of it after this.
    pub ramp: Span,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, it falls over.
    pub fall: Span,
    /// An ordered key rests this long after an attempt that may still run.
    pub order_settle: Span,
    /// A sender that neither subscribes nor asks for this long counts as told.
    pub must_ask_in: Span,
}

/// Everything a sender is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a message above its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Zone of this sender.
    pub zone: ZoneId,
    /// Senders that share the traffic.
    pub senders: usize,
    /// Calls out at once at most.
    pub slots: usize,
    /// Messages held at most.
    pub most_held: usize,
    /// Attempts for one message at most.
    pub max_attempts: u32,
    /// Shortest time between two steps.
    pub period: Span,
    /// Connections not made within this are unreachable.
    pub connect_timeout: Span,
    /// How worth falls.
    pub decay: Decay,
    /// How the list comes.
    pub discovery: Discovery,
    /// What list hints say.
    pub hints: Hints,
    /// Health checks are allowed.
    pub probes: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// The end of a message that is not delivered is over only with [`Event::Noticed`], not at once.
    pub ends_noticed: bool,
    /// The host can give up a call only with all of its messages, not one by one.
    pub calls_expire_whole: bool,
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
        check(self.slots > 0, "slots: 0 calls may be out")?;
        check(self.senders > 0 && self.max_attempts > 0, "senders or max_attempts: 0")
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
    pub budget: Span,
}

/// A message that an earlier process of this sender took on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// The message, with the time that is left to it now.
    pub message: Message,
    /// Attempts that earlier processes made.
    pub attempts: u32,
    /// The first attempt that may have run, such as one that was out when its process ended: when it was sent
    /// on the host's clock, and to which zone.
    pub ran: Option<(Time, ZoneId)>,
    /// It has ended, and only [`Event::Noticed`] is to come.
    pub ended: bool,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// In service, as far as the list knows.
    Active,
    /// Draining.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub listing: Listing,
    /// Capacity hint, see [`Hints`].
    pub hint: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// The destination answered with an error; may have run.
    Failure,
    /// Turned away; never ran. The wait it told, if any.
    Full(Option<Span>),
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Void,
    /// Held back by this sender itself, before anything was written: it counts as no attempt.
    Withheld,
}

/// What an answer tells of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of the limit that is left.
    pub left: f64,
    /// The limit, in calls a second; 0 for none.
    pub limit: f64,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Message(Message),
    /// A message goes on after a restart; these come in the order in which they were first taken.
    Resumed(Resumed),
    /// An answer told a wait without turning a message away.
    Told {
        /// The endpoint that told it.
        endpoint: EndpointId,
        /// How long.
        wait: Span,
    },
    /// The end of a message is known to whom it concerns; see [`Settings::ends_noticed`].
    Noticed(MessageId),
    /// The process ends then: what cannot end before is left for the next one.
    WindDown(Time),
    /// The next process takes this one's place then, and all that is held: no call outlasts it, and messages go on being
    /// taken on.
    HandOver(Time),
    /// From now on these settings hold. Classes keep their numbers; kinds, zones and the sender's own are as before.
    Settings(Box<Settings>),
    /// An attempt has ended.
    Ended {
        /// The message.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Span,
        /// Whether the message is over, through this or before.
        last: bool,
        /// The endpoint's report, if any.
        report: Option<Report>,
    },
    /// Nobody wants this message any more.
    Withdrawn(MessageId),
    /// The whole list, replacing the one before.
    FullList(Vec<Entry>),
    /// Changed lines of the list.
    ListChanges(Vec<Entry>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// A health check has ended.
    Checked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A wake-up that was asked for.
    Woken,
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
        expires: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt.
        attempt: u32,
    },
    /// End a message undelivered; the client may safely come again.
    Refuse {
        /// The message.
        message: MessageId,
        /// When coming again may help; none where nothing is known.
        after: Option<Span>,
    },
    /// End a message undelivered, with no promise about its effect.
    Fail(MessageId),
    /// Step again after this, even if nothing happens.
    WakeIn(Span),
    /// Ask for all further changes of the list.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// Check an endpoint's health.
    Probe(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Nothing of an endpoint that has gone matters any more; listed again, it may have another number.
    Forget(EndpointId),
    /// A line for people on call.
    Log(String),
}
