//! Every decision of a sender. The types it speaks, events in and actions out, are in `src/interface.rs`.
//!
//! Operation-aware retries: a message is one operation, repeated only after a transient failure and as its
//! kind permits, after a doubling wait or a told one. Fair turns: a free slot goes to the waiting destination
//! with the fewest calls out. A send must be let through by every [`Line`] on its way.
//!
//! A step looks at what happened, at what is due and at who may be sent to, never at all that is held.

mod guards;
#[cfg(test)]
#[path = "tests/reference.rs"]
pub(crate) mod reference;
mod route;
mod scheduling;

use crate::index::calls::{Call, CallProgress, InFlightCalls};
use crate::index::directory::{Directory, Endpoint};
use crate::index::keys::{KeyRelease, OrderingKeys};
use crate::index::message_state::{ActiveAttempt, MessageState, Phase, UncertainAttempt};
use crate::index::pending::{PendingEntry, PendingMessages, Readiness, Timer};
use crate::index::weight::{remaining_weight, update_mean_share, weight_curve};
use crate::interface::*;
use crate::pacing::{Health, Pacer, Route, pacer::RATE_WINDOW_SECONDS};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use route::ObservedOutcome;
use rustc_hash::FxHashMap;

/// Learned share of calls without an answer at which answers count as getting lost.
const LOST_ANSWER_THRESHOLD: f64 = 0.075;
/// Learned share of a kind's calls without a connection at which its tables count as crowded.
const CONNECT_FAILURE_THRESHOLD: f64 = 0.01;
/// Weight of one more call in a share that is learned over many lines.
const POOLED_LEARNING_WEIGHT: f64 = 0.05;
/// Steps between wake-ups at the least; held-up messages are looked at half as often.
const HEARTBEAT_STEPS: u64 = 4;
/// Of each kind of work (moments, ends, turns) a step does at most so much, so that none holds up the host.
const MAX_WORK_PER_STEP: usize = 1024;

/// A sender's decisions: see the crate's page for an example.
#[cfg_attr(test, derive(Clone))]
pub struct DeliveryEngine {
    pub(crate) settings: Settings,
    random: ChaCha8Rng,
    now: Timestamp,
    // Boxed, as a table that grows moves all of its entries in one step.
    messages: FxHashMap<MessageId, Box<MessageState>>,
    next_sequence: u64,
    pub(crate) directory: Directory<Route>,
    calls: InFlightCalls,
    keys: OrderingKeys,
    pending: PendingMessages,
    /// Messages whose windows have closed, and endpoints that may be forgotten.
    closed_windows: Vec<MessageId>,
    retiring: Vec<(EndpointId, DestinationId)>,
    has_more_work: bool,
    /// Ended, with the notice still open: until then the key is not free.
    unacknowledged: FxHashMap<MessageId, (OrderKey, u64)>,
    /// When the process ends, and whether the next one takes its place.
    ends_at: Option<(Timestamp, bool)>,
    timer_at: Option<Timestamp>,
    watch_at: Option<Timestamp>,
    discovery_failures: u32,
    /// By kind: learned share of calls that get no connection.
    connect_failure_shares: Vec<f64>,
    /// Learned share of all calls that got no answer.
    lost_answer_share: f64,
    /// Seconds for which an idle connection is trusted to be alive.
    trusted_idle_seconds: f64,
    log: Vec<String>,
}

impl DeliveryEngine {
    /// A sender with no messages and no list; an error names a setting that cannot be acted on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let asks = settings.discovery == DiscoveryMode::Poll;
        let bends = settings.classes.iter().map(|class| weight_curve(class, settings.weight_decay)).collect();
        Ok(DeliveryEngine {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp(0),
            messages: FxHashMap::default(),
            next_sequence: 0,
            directory: Directory::new(),
            calls: InFlightCalls::default(),
            keys: OrderingKeys::default(),
            pending: PendingMessages::new(bends),
            closed_windows: Vec::new(),
            retiring: Vec::new(),
            has_more_work: false,
            unacknowledged: FxHashMap::default(),
            ends_at: None,
            timer_at: None,
            watch_at: asks.then_some(Timestamp(0)),
            discovery_failures: 0,
            connect_failure_shares: vec![0.0; settings.kinds.len()],
            lost_answer_share: 0.0,
            trusted_idle_seconds: f64::INFINITY,
            log: Vec::new(),
            settings,
        })
    }

    /// Takes in all events of a round, then decides once; what the host is to do is added to `actions`.
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
        self.pending.advance(now, Timestamp(now.0 + self.end_margin() + 1));
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
            match self.pending.timers.take_due(self.now) {
                Some(Timer::BackoffElapsed(id)) => self.update_entry(id),
                Some(Timer::DeduplicationWindowClosed(id)) => self.closed_windows.push(id),
                Some(Timer::OrderingHoldElapsed(key)) => self.forget_idle_key(key),
                Some(Timer::RecheckDestination(destination)) => self.pending.recheck(destination),
                Some(Timer::ForgetEndpoint(endpoint, destination)) => {
                    self.retiring.push((endpoint, destination))
                }
                None => return,
            }
        }
        self.has_more_work = true;
    }

    /// A wake-up for the first moment at which something may be due: many senders mostly sleep.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let beat = HEARTBEAT_STEPS * self.settings.min_step_interval.0;
        let held_up = self.pending.any_ready().then(|| Timestamp(self.now.0 + 2 * beat));
        let end = self.pending.first_deadline().map(|deadline| self.end_by(deadline));
        let due = [self.pending.timers.next(), held_up, end, self.watch_at].into_iter().flatten().min();
        let Some(next) = due else { return };
        let at = match self.has_more_work {
            true => Timestamp(self.now.0 + self.settings.min_step_interval.0),
            false => next.max(Timestamp(self.now.0 + beat)),
        };
        if self.timer_at.is_none_or(|set| set <= self.now || at < set) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer(TimeDelta(at.0 - self.now.0)));
        }
    }

    fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            // A class that the settings do not name cannot be decided on: refused, nothing has run.
            Event::Message(message) if message.class.0 >= self.settings.classes.len() => {
                actions.push(Action::Return { message: message.id, retry_after: None });
            }
            Event::Message(message) => self.accept(*message),
            Event::Recovered(resumed) => self.recover(resumed),
            Event::RetryAfter { endpoint, wait } => self.apply_retry_after(*endpoint, *wait),
            Event::CompletionAcknowledged(id) => {
                if let Some((key, place)) = self.unacknowledged.remove(id) {
                    self.release_key(*id, place, key);
                }
            }
            Event::Shutdown(end) => self.ends_at = Some((*end, false)),
            Event::Handover(end) => self.ends_at = Some((*end, true)),
            Event::Settings(settings) => self.apply_settings(settings),
            Event::AttemptEnded { .. } => self.attempt_ended(event, actions),
            Event::Cancelled(id) => self.cancelled(*id),
            Event::EndpointSnapshot(entries) => self.apply_endpoints(entries, true),
            Event::EndpointUpdates(entries) => self.apply_endpoints(entries, false),
            Event::DiscoveryFailed => {
                self.discovery_failures = (self.discovery_failures + 1).min(4);
                let most = self.settings.rules.discovery_staleness_limit.0 as f64 / 2.0;
                let wait =
                    self.settings.connect_timeout.0 as f64 * f64::from(1 << self.discovery_failures) / 4.0;
                self.watch_at = Some(after(self.now, wait.min(most) * (0.5 + self.random_unit())));
            }
            Event::HealthCheckEnded { .. } => {}
            Event::TimerFired => self.timer_at = None,
        }
    }

    fn accept(&mut self, message: Message) {
        let ordered = self.settings.classes[message.class.0].ordered;
        let place = self.next_sequence;
        self.next_sequence += 1;
        let crowded = message.key.filter(|_| ordered).and_then(|k| self.keys.push(k, place, message.id));
        let deadline = Timestamp(self.now.0 + message.time_to_live.0);
        let stage = Phase::Pending(self.now);
        let held = MessageState {
            message,
            deadline,
            sequence: place,
            attempts: 0,
            phase: stage,
            first_uncertain_attempt: None,
            recovered_untried: false,
            entry: None,
        };
        self.messages.insert(message.id, Box::new(held));
        self.update_entry(message.id);
        if let Some(first) = crowded {
            self.update_entry(first);
        }
    }

    /// A message of an earlier process: its attempts count, and what may have run is known.
    fn recover(&mut self, resumed: &RecoveredMessage) {
        let RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended } = *resumed;
        if message.class.0 >= self.settings.classes.len() {
            return;
        }
        self.accept(message);
        if ended {
            self.forget_undelivered(message.id);
            return;
        }
        // What was out failed with its process. All senders that restart come back together: by chance apart.
        let (jitter, class) = (self.random_unit(), &self.settings.classes[message.class.0]);
        let wait = if attempts > 0 { guards::backoff(class, attempts, jitter) } else { 0.0 };
        let at = after(self.now, wait);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        (held.attempts, held.recovered_untried) = (attempts, attempts == 0);
        held.phase = Phase::Pending(at);
        held.first_uncertain_attempt = ran.map(|(sent, zone)| UncertainAttempt { sent_at: sent, zone });
        self.update_entry(message.id);
        if let Some(key) = message.key.filter(|_| ran.is_some()) {
            self.hold_key(key);
        }
    }

    fn apply_retry_after(&mut self, endpoint: EndpointId, wait: TimeDelta) {
        let Some(at) = self.directory.endpoint(endpoint) else { return };
        let [own, shared] = self.directory.route_slots(at);
        self.hold_route(shared.or(own), wait);
    }

    fn hold_route(&mut self, line: Option<usize>, wait: TimeDelta) {
        let Some(line) = line.map(|place| self.directory.route_mut(place)) else { return };
        line.retry_after_until = line.retry_after_until.max(Timestamp(self.now.0 + wait.0));
    }

    /// Whether a message for `destination` may be taken on: there is room beside the `held` ones and time to
    /// deliver it, and the list names the destination, or did until a short while ago.
    pub fn admits(&self, now: Timestamp, held: usize, destination: DestinationId) -> bool {
        let late = Timestamp(now.0 + self.settings.connect_timeout.0);
        let time = self.ends_at.is_none_or(|(end, succeeded)| succeeded || late < end);
        held < self.settings.max_pending_messages && time && self.directory.destination(destination).is_some()
    }

    fn apply_endpoints(&mut self, entries: &[EndpointEntry], whole: bool) {
        self.discovery_failures = 0;
        let s = &self.settings;
        let shares = |kind: KindId| s.kinds.get(kind.0).is_some_and(|kind| !kind.limits_per_endpoint);
        // The hint is the route's, or that of the destination whose endpoints share a limit.
        let line = |entry: &EndpointEntry, own: Option<EndpointId>| {
            let gate = own.is_none() == shares(entry.kind);
            let hinted = s.capacity_hints != CapacityHints::None && gate;
            Route::new(entry.destination, own, gate, if hinted { entry.capacity_hint } else { 0.0 })
        };
        let known: Vec<EndpointEntry> =
            entries.iter().filter(|e| e.kind.0 < s.kinds.len()).copied().collect();
        for (id, destination, gone, before) in self.directory.apply(&known, whole, self.now, shares, line) {
            if let Some(gone) = gone {
                let forget = Timestamp(gone.0 + self.settings.rules.slow_start_duration.0);
                self.pending.timers.set(forget, Timer::ForgetEndpoint(id, destination));
            }
            self.endpoint_state_changed(id, before);
            self.pending.mark_changed(destination);
        }
    }

    /// Who drained and is in service again was restarted: it comes back cold, to the traffic it had.
    fn endpoint_state_changed(&mut self, id: EndpointId, before: EndpointState) {
        let Some(at) = self.directory.endpoint(id) else { return };
        let health = match (before, at.state) {
            (EndpointState::Active, EndpointState::Draining) => Health::Ejected(self.now),
            (EndpointState::Draining, EndpointState::Active) => Health::SlowStart(self.now),
            _ => return,
        };
        let (now, line) = (self.now, self.directory.route_mut(at.route));
        line.pacer = Pacer { health, tokens: 1.0, ..line.pacer_at(now, &self.settings) };
    }

    /// Other settings hold from now on. A message that has had all the attempts now allowed ends.
    fn apply_settings(&mut self, settings: &Settings) {
        self.pending.set_curves(
            settings.classes.iter().map(|class| weight_curve(class, settings.weight_decay)).collect(),
        );
        self.settings = settings.clone();
        let spent = |held: &MessageState| held.attempts >= settings.max_attempts;
        self.closed_windows.extend(self.messages.iter().filter(|(_, held)| spent(held)).map(|(id, _)| *id));
    }

    /// What was learned of an endpoint that has gone is dropped once no call to it is out, no wait that it
    /// told runs on, and it has not come back for a ramp; a destination goes with its last endpoint.
    fn forget_removed_endpoints(&mut self, actions: &mut Vec<Action>) {
        let (now, leaving) = (self.now, std::mem::take(&mut self.retiring));
        let until = |line: &Route| {
            if line.in_flight.is_empty() { line.retry_after_until } else { Timestamp(u64::MAX) }
        };
        let wanted = |line: &Route| Some(until(line)).filter(|until| now < *until);
        let long_gone = Timestamp(now.0.saturating_sub(self.settings.rules.slow_start_duration.0));
        for (id, of, forgotten, again) in self.directory.retire_all(leaving, long_gone, wanted) {
            actions.extend(forgotten.then_some(Action::ForgetEndpoint(id)));
            if let Some(again) = again.filter(|at| *at < Timestamp(u64::MAX)) {
                self.pending.timers.set(again, Timer::ForgetEndpoint(id, of));
            }
            self.pending.mark_changed(of);
        }
    }

    fn attempt_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded { message: id, attempt, outcome, completes: last, report, .. } = *event
        else {
            return;
        };
        let Some(held) = self.messages.get_mut(&id) else { return };
        let (Phase::InFlight(tried) | Phase::Detached(tried)) = held.phase else { return };
        if attempt + 1 != held.attempts {
            return;
        }
        let over = last || matches!(held.phase, Phase::Detached(_));
        held.phase = Phase::Pending(self.now);
        held.attempts -= u32::from(outcome == Outcome::Deferred);
        let may_run =
            matches!(outcome, Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let zone = self.directory.endpoint(tried.endpoint).map_or(ZoneId(usize::MAX), |at| at.zone);
        if may_run && held.first_uncertain_attempt.is_none() {
            held.first_uncertain_attempt = Some(UncertainAttempt {
                sent_at: self.calls.get(tried.call).map_or(Timestamp(0), |c| c.sent_at),
                zone,
            });
        }
        if let Some(key) = held.message.key.filter(|_| may_run && outcome != Outcome::Failure) {
            self.hold_key(key);
        }
        self.review_idle_connections(tried, outcome, actions);
        self.record_call_end(tried, outcome, report);
        if over {
            self.forget(id);
        } else {
            self.retry(id, outcome, actions);
        }
    }

    fn cancelled(&mut self, id: MessageId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        match held.phase {
            Phase::InFlight(tried) => held.phase = Phase::Detached(tried),
            Phase::Pending(_) => self.forget(id),
            Phase::Detached(_) => {}
        }
    }

    fn forget(&mut self, id: MessageId) {
        let Some(held) = self.remove(id) else { return };
        if let Some(key) = held.message.key {
            self.release_key(id, held.sequence, key);
        }
    }

    fn remove(&mut self, id: MessageId) -> Option<Box<MessageState>> {
        let held = self.messages.remove(&id)?;
        if let Some(slip) = &held.entry {
            self.pending.remove(id, slip);
        }
        Some(held)
    }

    /// Forgets a message that ended undelivered; its key is free once that is known to whom it concerns.
    fn forget_undelivered(&mut self, id: MessageId) {
        let key = self.messages.get(&id).and_then(|held| held.message.key.map(|key| (key, held.sequence)));
        match key.filter(|_| self.settings.completion_requires_acknowledgement) {
            Some(key) => {
                self.remove(id);
                self.unacknowledged.insert(id, key);
            }
            None => self.forget(id),
        }
    }

    /// Enters a message that waits into the books, anew if it was there.
    fn update_entry(&mut self, id: MessageId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        if let Some(slip) = held.entry.take() {
            self.pending.remove(id, &slip);
        }
        let Phase::Pending(at) = held.phase else { return };
        let Message { class, destination, key, .. } = held.message;
        let of_class = &self.settings.classes[class.0];
        let key = key.filter(|_| of_class.ordered);
        // What was found untried after a restart goes before what comes, and is never shed for it.
        let found = held.recovered_untried && held.attempts == 0;
        let crowded = found || key.is_some_and(|key| self.keys.has_successors(key));
        let (first, rest) = match key.and_then(|key| self.keys.head(key)) {
            Some((first, rest)) => (first == Some(id), rest),
            None => (true, Timestamp(0)),
        };
        let ready = if held.attempts == 0 { at.max(rest) } else { at };
        let spent = held.attempts >= self.settings.max_attempts;
        let stand = match () {
            () if !first || spent => Readiness::Blocked,
            () if ready > self.now => Readiness::NotBefore(ready),
            () => Readiness::Ready,
        };
        let (zone, closes) = match (of_class.idempotency, held.first_uncertain_attempt) {
            (Idempotency::WithKey { scope: group, window }, Some(ran)) => {
                let closes =
                    Timestamp((ran.sent_at.0 + window.0).saturating_sub(self.settings.min_step_interval.0));
                (Some(ran.zone).filter(|_| group == DeduplicationScope::Zone), Some(closes))
            }
            (Idempotency::NonIdempotent, Some(_)) => (None, Some(self.now)),
            _ => (None, None),
        };
        // Who may go only after its window has closed is over now, and who has had all attempts.
        let window = closes.filter(|closes| at.max(self.now) < *closes);
        if window != closes || spent {
            self.closed_windows.push(id);
        }
        let (deadline, ran) = (held.deadline, held.first_uncertain_attempt.is_some() || found);
        let slip = PendingEntry {
            class,
            destination,
            deadline,
            protected: ran,
            required_zone: zone,
            window_closes_at: window,
            urgent: crowded,
            readiness: stand,
        };
        self.pending.insert(id, &slip);
        held.entry = Some(slip);
    }

    fn random_unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn release_key(&mut self, id: MessageId, place: u64, key: OrderKey) {
        match self.keys.release(key, place, id, self.now) {
            KeyRelease::Unchanged => {}
            KeyRelease::NextMessage(first) => self.update_entry(first),
            KeyRelease::HeldUntil(until) => self.pending.timers.set(until, Timer::OrderingHoldElapsed(key)),
        }
    }

    /// An attempt of this key may still run: newer messages wait until that has settled.
    fn hold_key(&mut self, key: OrderKey) {
        if let Some(first) = self.keys.hold(key, Timestamp(self.now.0 + self.settings.rules.ordering_hold.0))
        {
            self.update_entry(first);
        }
    }

    /// A key is kept while messages queue for it, or until it has rested.
    fn forget_idle_key(&mut self, key: OrderKey) {
        if let Some(rests) = self.keys.forget(key, self.now) {
            self.pending.timers.set(rests, Timer::OrderingHoldElapsed(key));
        }
    }

    fn pacer(&self, line: &Route) -> Pacer {
        line.pacer_at(self.now, &self.settings)
    }

    /// Idle connections can be dead without a word. After silence they are closed, and those idle for as long
    /// as the lost call's was are used nowhere, a span that grows again. They also fill small tables: while a
    /// kind's calls get no connection, who calls rarely keeps none. Both cost handshakes where a partner is
    /// merely slow or down.
    fn review_idle_connections(&mut self, tried: ActiveAttempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(at) = self.directory.endpoint(tried.endpoint) else { return };
        let line = self.directory.route(at.route);
        let rare = self.pacer(line).rate * seconds(self.settings.rules.overload_window.0) < 1.0;
        let share = &mut self.connect_failure_shares[at.kind.0];
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        if !silent {
            update_mean_share(share, outcome == Outcome::ConnectFailed, POOLED_LEARNING_WEIGHT);
        }
        if silent || (*share > CONNECT_FAILURE_THRESHOLD && rare && line.in_flight.len() <= 1) {
            actions.push(Action::CloseIdleConnections(tried.endpoint));
        }
        let healthy = seconds(line.latency_bound(route::OVERDUE_DEVIATIONS) as u64);
        if let Some(call) = self.calls.get(tried.call).filter(|call| silent && call.idle_seconds > healthy) {
            self.trusted_idle_seconds = self.trusted_idle_seconds.min(call.idle_seconds);
        }
    }

    /// Books an outcome to the lines of its call; a batch shares one fate and counts once.
    fn record_call_end(&mut self, tried: ActiveAttempt, outcome: Outcome, report: Option<LoadReport>) {
        let Some(CallProgress {
            call: Call { sent_at: sent, routes: lines, .. },
            is_first: first,
            is_complete: done,
        }) = self.calls.end(tried.call)
        else {
            return;
        };
        let Some(endpoint) = self.directory.endpoint(tried.endpoint) else { return };
        let (destination, gone) = (endpoint.destination, endpoint.state == EndpointState::Removed);
        if done {
            self.directory.call_ended(tried.endpoint);
            if gone {
                self.retiring.push((tried.endpoint, destination));
            }
        }
        let gate = lines[1].or(lines[0]);
        let (mut back, many) =
            (false, self.directory.destination(destination).map_or(1, |of| of.endpoints.len()));
        for place in lines.into_iter().flatten() {
            let (gate, jitter) = (gate == Some(place), if first { self.random_unit() } else { 0.0 });
            let line = self.directory.route_mut(place);
            if done {
                line.in_flight.remove(&tried.call);
            }
            if first {
                let lines = if gate { 1 } else { many };
                let seen = ObservedOutcome {
                    sent_at: sent,
                    outcome,
                    report,
                    route_count: lines,
                    answers_are_lost: self.lost_answer_share > LOST_ANSWER_THRESHOLD,
                    jitter,
                };
                let was_down = matches!(line.pacer.health, Health::Ejected(_));
                if line.record_outcome(self.now, &self.settings, &seen) {
                    let Route { destination, endpoint, .. } = line;
                    let endpoint = endpoint.map_or(String::new(), |e| format!(" endpoint #{}", e.0));
                    self.log.push(format!("destination {}{endpoint} closed: {outcome:?}", destination.0));
                }
                back |= was_down && matches!(line.pacer.health, Health::SlowStart(_));
                if line.endpoint.is_some() {
                    let lost = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
                    update_mean_share(&mut self.lost_answer_share, lost, POOLED_LEARNING_WEIGHT);
                }
            }
            // Each message of a batch may be told its own wait: the longest holds.
            if let (Outcome::Rejected { retry_after: Some(wait) }, true) = (outcome, gate) {
                self.hold_route(Some(place), wait);
            }
        }
        if first
            && !matches!(
                outcome,
                Outcome::Success | Outcome::Cancelled | Outcome::NotSent | Outcome::Deferred
            )
        {
            self.eject_shared_route(destination);
        }
        if back {
            self.retry_siblings(destination);
        }
        self.pending.mark_changed(destination);
    }

    /// An outage mostly takes all endpoints of a destination: where one is back, the others may be.
    fn retry_siblings(&mut self, destination: DestinationId) {
        let Some(of) = self.directory.destination(destination).filter(|of| of.shared_route.is_some()) else {
            return;
        };
        let lines = of.endpoints.iter().filter_map(|id| Some(self.directory.endpoint(*id)?.route));
        for place in lines.collect::<Vec<_>>() {
            let flow = self.pacer(self.directory.route(place));
            if matches!(flow.health, Health::Ejected(_)) {
                self.directory.route_mut(place).pacer = Pacer { health: Health::Ejected(self.now), ..flow };
            }
        }
    }

    /// With the last endpoint that shares a limit the destination is out, and its return is paced as one; so
    /// it is with the last whose calls fail, where all of late did.
    fn eject_shared_route(&mut self, destination: DestinationId) {
        let Some(shared) = self.directory.destination(destination).and_then(|d| d.shared_route) else {
            return;
        };
        let fails = self.directory.route(shared).rate_before_failing.is_some();
        let next = |at: &Endpoint| {
            let line = self.directory.route(at.route);
            match self.pacer(line).health {
                Health::Ejected(next) => Some(next),
                Health::Healthy if fails && (line.consecutive_failures > 0 || line.is_stalled(self.now)) => {
                    Some(self.now)
                }
                Health::Healthy if at.state == EndpointState::Active => Some(Timestamp(0)), // serves
                _ => None,
            }
        };
        let next = self.directory.endpoints_of(destination).filter_map(|(_, at)| next(at)).min();
        let flow = self.pacer(self.directory.route(shared));
        let closed = matches!(flow.health, Health::Ejected(_));
        if let Some(next) = next.filter(|next| *next > Timestamp(0) && !closed) {
            self.directory.route_mut(shared).pacer = Pacer { health: Health::Ejected(next), ..flow };
        }
    }
}
