//! The decision core of a sender. Its inputs (events) and outputs (actions) are in `src/interface.rs`.
//!
//! Operation-aware retries: a message is one operation under one idempotency key. It is retried only after a
//! transient failure and only as its class permits, after an exponential backoff or a Retry-After delay. Fair
//! queueing: a free call slot goes to the destination with pending messages that has the fewest calls in
//! flight. Each send must pass the guards of every [`Route`] that it uses.
//!
//! A step processes new events, due timers and sendable messages; it never iterates over all held messages.

mod events;
mod guards;
mod outcomes;
#[cfg(test)]
#[path = "tests/reference.rs"]
pub(crate) mod reference;
mod retry;
mod route;
mod scheduling;

use crate::index::calls::{Call, InFlightCalls};
use crate::index::directory::{Directory, Endpoint};
use crate::index::message_state::{ActiveAttempt, MessageState, Phase, UncertainAttempt};
use crate::index::message_table::MessageTable;
use crate::index::pending::{PendingMessages, ReadyQueue, Timer};
use crate::index::weight::{remaining_weight, update_mean_share, weight_curves};
use crate::interface::*;
use crate::pacing::pacer::RATE_WINDOW_SECONDS;
use crate::pacing::route::{OVERDUE_DEVIATIONS, ObservedOutcome};
use crate::pacing::{Health, Pacer, Route};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Minimum delay of a timer, in step intervals; blocked destinations are checked half as often.
const HEARTBEAT_STEPS: u64 = 4;
/// Maximum number of timers, of expired messages and of sends per step, to bound its duration.
const MAX_WORK_PER_STEP: usize = 1024;

/// A scheduled end of this process.
#[derive(Clone, Copy)]
struct ProcessEnd {
    at: Timestamp,
    /// Whether another process takes over the pending messages, so that new ones are accepted until the end.
    has_successor: bool,
}

/// Decides when and where one sender sends its messages. The crate documentation has an example.
#[cfg_attr(test, derive(Clone))]
pub struct DeliveryEngine {
    pub(crate) settings: Settings,
    random: ChaCha8Rng,
    pub(crate) now: Timestamp,
    pub(crate) messages: MessageTable,
    pub(crate) directory: Directory<Route>,
    calls: InFlightCalls,
    /// Removed endpoints to check for whether their state can be dropped.
    retiring: Vec<(EndpointId, DestinationId)>,
    has_more_work: bool,
    process_end: Option<ProcessEnd>,
    timer_at: Option<Timestamp>,
    watch_at: Option<Timestamp>,
    discovery_failures: u32,
    /// Learned fraction of calls that fail to connect, by kind of destination.
    connect_failure_shares: Vec<f64>,
    /// Learned fraction of all calls that receive no answer.
    lost_answer_share: f64,
    /// The idle time, in seconds, up to which a connection is assumed to be alive.
    trusted_idle_seconds: f64,
    log: Vec<String>,
}

impl DeliveryEngine {
    /// Creates an engine with no messages and no endpoints.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let polls = settings.discovery == DiscoveryMode::Poll;
        Ok(DeliveryEngine {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp(0),
            messages: MessageTable::new(PendingMessages::new(weight_curves(&settings))),
            directory: Directory::new(),
            calls: InFlightCalls::default(),
            retiring: Vec::new(),
            has_more_work: false,
            process_end: None,
            timer_at: None,
            watch_at: polls.then_some(Timestamp(0)),
            discovery_failures: 0,
            connect_failure_shares: vec![0.0; settings.kinds.len()],
            lost_answer_share: 0.0,
            trusted_idle_seconds: f64::INFINITY,
            log: Vec::new(),
            settings,
        })
    }

    /// Applies `events`, then makes all decisions that are due at `now`, and appends them to `actions`.
    pub fn step(&mut self, now: Timestamp, events: &[Event], actions: &mut Vec<Action>) {
        self.begin(now, events, actions);
        self.end_expired(actions);
        self.shed(actions);
        self.schedule(actions);
        self.finish(actions);
    }

    fn begin(&mut self, now: Timestamp, events: &[Event], actions: &mut Vec<Action>) {
        self.trusted_idle_seconds *= (seconds(since(now, self.now)) / RATE_WINDOW_SECONDS).exp();
        (self.now, self.has_more_work) = (now, false);
        self.messages.pending.advance(now, Timestamp(now.0 + self.end_margin() + 1));
        self.fire_timers();
        for event in events {
            self.apply_event(event, actions);
        }
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        self.forget_removed_endpoints(actions);
        if self.watch_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::WatchEndpoints);
        }
        self.set_timer(actions);
        actions.extend(self.log.drain(..).map(Action::Log));
    }

    fn fire_timers(&mut self) {
        for _ in 0..MAX_WORK_PER_STEP {
            match self.messages.pending.timers.take_due(self.now) {
                Some(Timer::BackoffElapsed(id)) => self.update_entry(id),
                Some(Timer::DeduplicationWindowClosed(id)) => self.messages.end_candidates.push(id),
                Some(Timer::OrderingHoldElapsed(key)) => self.messages.forget_idle_key(key, self.now),
                Some(Timer::RecheckDestination(id)) => self.messages.pending.recheck(id),
                Some(Timer::ForgetEndpoint(id, destination)) => self.retiring.push((id, destination)),
                None => return,
            }
        }
        self.has_more_work = true;
    }

    /// Requests a timer for the earliest time at which work may be due, unless an earlier one is already set.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let pending = &self.messages.pending;
        let interval = self.settings.min_step_interval.0;
        let heartbeat = HEARTBEAT_STEPS * interval;
        let blocked = pending.any_ready().then(|| Timestamp(self.now.0 + 2 * heartbeat));
        let end = pending.first_deadline().map(|deadline| self.end_by(deadline));
        let due = [pending.timers.next(), blocked, end, self.watch_at].into_iter().flatten().min();
        let Some(next) = due else { return };
        let at = match self.has_more_work {
            true => Timestamp(self.now.0 + interval),
            false => next.max(Timestamp(self.now.0 + heartbeat)),
        };
        if self.timer_at.is_none_or(|set| set <= self.now || at < set) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer(TimeDelta(at.0 - self.now.0)));
        }
    }

    /// Returns whether a message for `destination` may be accepted while `held` messages are held: there must
    /// be capacity, time before the process ends, and a known endpoint of the destination.
    pub fn admits(&self, now: Timestamp, held: usize, destination: DestinationId) -> bool {
        let connected = Timestamp(now.0 + self.settings.connect_timeout.0);
        let in_time = self.process_end.is_none_or(|end| end.has_successor || connected < end.at);
        let has_capacity = held < self.settings.max_pending_messages;
        has_capacity && in_time && self.directory.destination(destination).is_some()
    }

    /// Updates the index entries of a message whose state has changed.
    fn update_entry(&mut self, id: MessageId) {
        self.messages.update_entry(id, self.now, &self.settings);
    }

    /// Holds back newer messages of a key while an earlier attempt may still be running.
    fn hold_key(&mut self, key: OrderKey) {
        let until = Timestamp(self.now.0 + self.settings.rules.ordering_hold.0);
        self.messages.hold_key(key, until, self.now, &self.settings);
    }

    /// Returns a random number in `[0, 1)`.
    fn random_unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn pacer(&self, route: &Route) -> Pacer {
        route.pacer_at(self.now, &self.settings)
    }
}
