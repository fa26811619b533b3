//! Every decision of a sender. The types it speaks, events in and actions out, are in `src/interface.rs`.
//!
//! Operation-aware retries: a message is one operation, repeated only after a transient failure and as its
//! kind permits, after a doubling wait or a told one. Fair turns: a free slot goes to the waiting destination
//! with the fewest calls out. A send must be let through by every [`Line`] on its way.
//!
//! A step looks at what happened, at what is due and at who may be sent to, never at all that is held.

pub(crate) mod line;
mod rules;
#[cfg(test)]
pub(crate) mod slow;
mod turns;

use crate::index::calls::{Call, Calls, Ended};
use crate::index::directory::{Directory, Endpoint};
use crate::index::held::{Held, Ran, Stage, Try};
use crate::index::keys::{Keys, Left};
use crate::index::waiting::{Slip, Stand, Timer, Waiting};
use crate::index::worth::{bends, learn, worth};
use crate::interface::*;
use crate::pacing::{Flow, Health, flow::RATE_S};
use line::{Line, Seen};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rustc_hash::FxHashMap;

/// Learned share of calls without an answer at which answers count as getting lost.
const LOST_SHARE: f64 = 0.075;
/// Learned share of a kind's calls without a connection at which its tables count as crowded.
const CROWDED_SHARE: f64 = 0.01;
/// Weight of one more call in a share that is learned over many lines.
const POOLED_LEARN: f64 = 0.05;
/// Steps between wake-ups at the least; held-up messages are looked at half as often.
const HEARTBEAT: u64 = 4;
/// Of each kind of work (moments, ends, turns) a step does at most so much, so that none holds up the host.
const MOST_IN_STEP: usize = 1024;

/// A sender's decisions: see the crate's page for an example.
#[cfg_attr(test, derive(Clone))]
pub struct Sender {
    pub(crate) settings: Settings,
    random: ChaCha8Rng,
    now: Time,
    // Boxed, as a table that grows moves all of its entries in one step.
    held: FxHashMap<MessageId, Box<Held>>,
    taken: u64,
    pub(crate) directory: Directory<Line>,
    calls: Calls,
    keys: Keys,
    waiting: Waiting,
    /// Messages whose windows have closed, and endpoints that may be forgotten.
    closed: Vec<MessageId>,
    leaving: Vec<(EndpointId, DestinationId)>,
    unfinished: bool,
    /// Ended, with the notice still open: until then the key is not free.
    unnoticed: FxHashMap<MessageId, (OrderKey, u64)>,
    /// When the process ends, and whether the next one takes its place.
    ends_at: Option<(Time, bool)>,
    woken_at: Option<Time>,
    ask_list_at: Option<Time>,
    list_failures: u32,
    /// By kind: learned share of calls that get no connection.
    crowded: Vec<f64>,
    /// Learned share of all calls that got no answer.
    lost: f64,
    /// Seconds for which an idle connection is trusted to be alive.
    trusted_idle: f64,
    log: Vec<String>,
}

impl Sender {
    /// A sender with no messages and no list; an error names a setting that cannot be acted on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let asks = settings.discovery == Discovery::OnRequest;
        let bends = settings.classes.iter().map(|class| bends(class, settings.decay)).collect();
        Ok(Sender {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time(0),
            held: FxHashMap::default(),
            taken: 0,
            directory: Directory::new(),
            calls: Calls::default(),
            keys: Keys::default(),
            waiting: Waiting::new(bends),
            closed: Vec::new(),
            leaving: Vec::new(),
            unfinished: false,
            unnoticed: FxHashMap::default(),
            ends_at: None,
            woken_at: None,
            ask_list_at: asks.then_some(Time(0)),
            list_failures: 0,
            crowded: vec![0.0; settings.kinds.len()],
            lost: 0.0,
            trusted_idle: f64::INFINITY,
            log: Vec::new(),
            settings,
        })
    }

    /// Takes in all events of a round, then decides once; what the host is to do is added to `actions`.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.begin(now, events, actions);
        self.end_in_time(actions);
        self.shed(actions);
        self.give_turns(actions);
        self.finish(actions);
    }

    fn begin(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.trusted_idle *= (seconds(since(now, self.now)) / RATE_S).exp();
        (self.now, self.unfinished) = (now, false);
        self.waiting.advance(now, Time(now.0 + self.margin() + 1));
        self.fire_timers();
        for event in events {
            self.take_in(event, actions);
        }
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        self.forget_gone(actions);
        if self.ask_list_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.set_alarm(actions);
        actions.extend(self.log.drain(..).map(Action::Log));
    }

    fn fire_timers(&mut self) {
        for _ in 0..MOST_IN_STEP {
            match self.waiting.timers.take_due(self.now) {
                Some(Timer::Ready(id)) => self.file(id),
                Some(Timer::Window(id)) => self.closed.push(id),
                Some(Timer::Rest(key)) => self.forget_rested(key),
                Some(Timer::Look(destination)) => self.waiting.look(destination),
                Some(Timer::Gone(endpoint, destination)) => self.leaving.push((endpoint, destination)),
                None => return,
            }
        }
        self.unfinished = true;
    }

    /// A wake-up for the first moment at which something may be due: many senders mostly sleep.
    fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let beat = HEARTBEAT * self.settings.period.0;
        let held_up = self.waiting.any_ready().then(|| Time(self.now.0 + 2 * beat));
        let end = self.waiting.first_deadline().map(|deadline| self.last_moment(deadline));
        let due = [self.waiting.timers.next(), held_up, end, self.ask_list_at].into_iter().flatten().min();
        let Some(next) = due else { return };
        let at = match self.unfinished {
            true => Time(self.now.0 + self.settings.period.0),
            false => next.max(Time(self.now.0 + beat)),
        };
        if self.woken_at.is_none_or(|set| set <= self.now || at < set) {
            self.woken_at = Some(at);
            actions.push(Action::WakeIn(Span(at.0 - self.now.0)));
        }
    }

    fn take_in(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            // A class that the settings do not name cannot be decided on: refused, nothing has run.
            Event::Message(message) if message.class.0 >= self.settings.classes.len() => {
                actions.push(Action::Refuse { message: message.id, after: None });
            }
            Event::Message(message) => self.message(*message),
            Event::Resumed(resumed) => self.resumed(resumed),
            Event::Told { endpoint, wait } => self.told(*endpoint, *wait),
            Event::Noticed(id) => {
                if let Some((key, place)) = self.unnoticed.remove(id) {
                    self.leave_key(*id, place, key);
                }
            }
            Event::WindDown(end) => self.ends_at = Some((*end, false)),
            Event::HandOver(end) => self.ends_at = Some((*end, true)),
            Event::Settings(settings) => self.settle(settings),
            Event::Ended { .. } => self.ended(event, actions),
            Event::Withdrawn(id) => self.withdrawn(*id),
            Event::FullList(entries) => self.list(entries, true),
            Event::ListChanges(entries) => self.list(entries, false),
            Event::ListFailed => {
                self.list_failures = (self.list_failures + 1).min(4);
                let most = self.settings.rules.must_ask_in.0 as f64 / 2.0;
                let wait = self.settings.connect_timeout.0 as f64 * f64::from(1 << self.list_failures) / 4.0;
                self.ask_list_at = Some(after(self.now, wait.min(most) * (0.5 + self.chance())));
            }
            Event::Checked { .. } => {}
            Event::Woken => self.woken_at = None,
        }
    }

    fn message(&mut self, message: Message) {
        let ordered = self.settings.classes[message.class.0].ordered;
        let place = self.taken;
        self.taken += 1;
        let crowded = message.key.filter(|_| ordered).and_then(|k| self.keys.enter(k, place, message.id));
        let deadline = Time(self.now.0 + message.budget.0);
        let stage = Stage::Waiting(self.now);
        let held = Held { message, deadline, place, attempts: 0, stage, ran: None, found: false, slip: None };
        self.held.insert(message.id, Box::new(held));
        self.file(message.id);
        if let Some(first) = crowded {
            self.file(first);
        }
    }

    /// A message of an earlier process: its attempts count, and what may have run is known.
    fn resumed(&mut self, resumed: &Resumed) {
        let Resumed { message, attempts, ran, ended } = *resumed;
        if message.class.0 >= self.settings.classes.len() {
            return;
        }
        self.message(message);
        if ended {
            self.leave(message.id);
            return;
        }
        // What was out failed with its process. All senders that restart come back together: by chance apart.
        let (jitter, class) = (self.chance(), &self.settings.classes[message.class.0]);
        let wait = if attempts > 0 { rules::backoff(class, attempts, jitter) } else { 0.0 };
        let at = after(self.now, wait);
        let Some(held) = self.held.get_mut(&message.id) else { return };
        (held.attempts, held.found) = (attempts, attempts == 0);
        held.stage = Stage::Waiting(at);
        held.ran = ran.map(|(sent, zone)| Ran { sent, zone });
        self.file(message.id);
        if let Some(key) = message.key.filter(|_| ran.is_some()) {
            self.rest(key);
        }
    }

    fn told(&mut self, endpoint: EndpointId, wait: Span) {
        let Some(at) = self.directory.endpoint(endpoint) else { return };
        let [own, shared] = self.directory.places(at);
        self.wait(shared.or(own), wait);
    }

    fn wait(&mut self, line: Option<usize>, wait: Span) {
        let Some(line) = line.map(|place| self.directory.line_mut(place)) else { return };
        line.told_until = line.told_until.max(Time(self.now.0 + wait.0));
    }

    /// Whether a message for `destination` may be taken on: there is room beside the `held` ones and time to
    /// deliver it, and the list names the destination, or did until a short while ago.
    pub fn admits(&self, now: Time, held: usize, destination: DestinationId) -> bool {
        let late = Time(now.0 + self.settings.connect_timeout.0);
        let time = self.ends_at.is_none_or(|(end, succeeded)| succeeded || late < end);
        held < self.settings.most_held && time && self.directory.destination(destination).is_some()
    }

    fn list(&mut self, entries: &[Entry], whole: bool) {
        self.list_failures = 0;
        let s = &self.settings;
        let shares = |kind: KindId| s.kinds.get(kind.0).is_some_and(|kind| !kind.routes_apart);
        // The hint is the route's, or that of the destination whose endpoints share a limit.
        let line = |entry: &Entry, own: Option<EndpointId>| {
            let gate = own.is_none() == shares(entry.kind);
            let hinted = s.hints != Hints::None && gate;
            Line::new(entry.destination, own, gate, if hinted { entry.hint } else { 0.0 })
        };
        let known: Vec<Entry> = entries.iter().filter(|e| e.kind.0 < s.kinds.len()).copied().collect();
        for (id, destination, gone, before) in self.directory.enter(&known, whole, self.now, shares, line) {
            if let Some(gone) = gone {
                let forget = Time(gone.0 + self.settings.rules.ramp.0);
                self.waiting.timers.set(forget, Timer::Gone(id, destination));
            }
            self.relisted(id, before);
            self.waiting.wake(destination);
        }
    }

    /// Who drained and is in service again was restarted: it comes back cold, to the traffic it had.
    fn relisted(&mut self, id: EndpointId, before: Listing) {
        let Some(at) = self.directory.endpoint(id) else { return };
        let health = match (before, at.listing) {
            (Listing::Active, Listing::Draining) => Health::Down(self.now),
            (Listing::Draining, Listing::Active) => Health::Returning(self.now),
            _ => return,
        };
        let (now, line) = (self.now, self.directory.line_mut(at.line));
        line.flow = Flow { health, tokens: 1.0, ..line.flow(now, &self.settings) };
    }

    /// Other settings hold from now on. A message that has had all the attempts now allowed ends.
    fn settle(&mut self, settings: &Settings) {
        self.waiting.classes(settings.classes.iter().map(|class| bends(class, settings.decay)).collect());
        self.settings = settings.clone();
        let spent = |held: &Held| held.attempts >= settings.max_attempts;
        self.closed.extend(self.held.iter().filter(|(_, held)| spent(held)).map(|(id, _)| *id));
    }

    /// What was learned of an endpoint that has gone is dropped once no call to it is out, no wait that it
    /// told runs on, and it has not come back for a ramp; a destination goes with its last endpoint.
    fn forget_gone(&mut self, actions: &mut Vec<Action>) {
        let (now, leaving) = (self.now, std::mem::take(&mut self.leaving));
        let until = |line: &Line| if line.out.is_empty() { line.told_until } else { Time(u64::MAX) };
        let wanted = |line: &Line| Some(until(line)).filter(|until| now < *until);
        let long_gone = Time(now.0.saturating_sub(self.settings.rules.ramp.0));
        for (id, of, forgotten, again) in self.directory.retire_all(leaving, long_gone, wanted) {
            actions.extend(forgotten.then_some(Action::Forget(id)));
            if let Some(again) = again.filter(|at| *at < Time(u64::MAX)) {
                self.waiting.timers.set(again, Timer::Gone(id, of));
            }
            self.waiting.wake(of);
        }
    }

    fn ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::Ended { message: id, attempt, outcome, last, report, .. } = *event else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let (Stage::Out(tried) | Stage::Over(tried)) = held.stage else { return };
        if attempt + 1 != held.attempts {
            return;
        }
        let over = last || matches!(held.stage, Stage::Over(_));
        held.stage = Stage::Waiting(self.now);
        held.attempts -= u32::from(outcome == Outcome::Withheld);
        let may_run =
            matches!(outcome, Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let zone = self.directory.endpoint(tried.endpoint).map_or(ZoneId(usize::MAX), |at| at.zone);
        if may_run && held.ran.is_none() {
            held.ran = Some(Ran { sent: self.calls.get(tried.call).map_or(Time(0), |c| c.sent), zone });
        }
        if let Some(key) = held.message.key.filter(|_| may_run && outcome != Outcome::Failure) {
            self.rest(key);
        }
        self.distrust(tried, outcome, actions);
        self.call_ended(tried, outcome, report);
        if over {
            self.forget(id);
        } else {
            self.retry(id, outcome, actions);
        }
    }

    fn withdrawn(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        match held.stage {
            Stage::Out(tried) => held.stage = Stage::Over(tried),
            Stage::Waiting(_) => self.forget(id),
            Stage::Over(_) => {}
        }
    }

    fn forget(&mut self, id: MessageId) {
        let Some(held) = self.remove(id) else { return };
        if let Some(key) = held.message.key {
            self.leave_key(id, held.place, key);
        }
    }

    fn remove(&mut self, id: MessageId) -> Option<Box<Held>> {
        let held = self.held.remove(&id)?;
        if let Some(slip) = &held.slip {
            self.waiting.unfile(id, slip);
        }
        Some(held)
    }

    /// Forgets a message that ended undelivered; its key is free once that is known to whom it concerns.
    fn leave(&mut self, id: MessageId) {
        let key = self.held.get(&id).and_then(|held| held.message.key.map(|key| (key, held.place)));
        match key.filter(|_| self.settings.ends_noticed) {
            Some(key) => {
                self.remove(id);
                self.unnoticed.insert(id, key);
            }
            None => self.forget(id),
        }
    }

    /// Enters a message that waits into the books, anew if it was there.
    fn file(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(slip) = held.slip.take() {
            self.waiting.unfile(id, &slip);
        }
        let Stage::Waiting(at) = held.stage else { return };
        let Message { class, destination, key, .. } = held.message;
        let of_class = &self.settings.classes[class.0];
        let key = key.filter(|_| of_class.ordered);
        // What was found untried after a restart goes before what comes, and is never shed for it.
        let found = held.found && held.attempts == 0;
        let crowded = found || key.is_some_and(|key| self.keys.crowded(key));
        let (first, rest) = match key.and_then(|key| self.keys.first(key)) {
            Some((first, rest)) => (first == Some(id), rest),
            None => (true, Time(0)),
        };
        let ready = if held.attempts == 0 { at.max(rest) } else { at };
        let spent = held.attempts >= self.settings.max_attempts;
        let stand = match () {
            () if !first || spent => Stand::Behind,
            () if ready > self.now => Stand::Until(ready),
            () => Stand::Ready,
        };
        let (zone, closes) = match (of_class.repeat, held.ran) {
            (Repeat::Keyed { group, window }, Some(ran)) => {
                let closes = Time((ran.sent.0 + window.0).saturating_sub(self.settings.period.0));
                (Some(ran.zone).filter(|_| group == Group::Zone), Some(closes))
            }
            (Repeat::Unsafe, Some(_)) => (None, Some(self.now)),
            _ => (None, None),
        };
        // Who may go only after its window has closed is over now, and who has had all attempts.
        let window = closes.filter(|closes| at.max(self.now) < *closes);
        if window != closes || spent {
            self.closed.push(id);
        }
        let (deadline, ran) = (held.deadline, held.ran.is_some() || found);
        let slip = Slip { class, destination, deadline, ran, zone, window, crowded, stand };
        self.waiting.file(id, &slip);
        held.slip = Some(slip);
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn leave_key(&mut self, id: MessageId, place: u64, key: OrderKey) {
        match self.keys.leave(key, place, id, self.now) {
            Left::AsBefore => {}
            Left::First(first) => self.file(first),
            Left::Rests(until) => self.waiting.timers.set(until, Timer::Rest(key)),
        }
    }

    /// An attempt of this key may still run: newer messages wait until that has settled.
    fn rest(&mut self, key: OrderKey) {
        if let Some(first) = self.keys.rest(key, Time(self.now.0 + self.settings.rules.order_settle.0)) {
            self.file(first);
        }
    }

    /// A key is kept while messages queue for it, or until it has rested.
    fn forget_rested(&mut self, key: OrderKey) {
        if let Some(rests) = self.keys.forget(key, self.now) {
            self.waiting.timers.set(rests, Timer::Rest(key));
        }
    }

    fn flow(&self, line: &Line) -> Flow {
        line.flow(self.now, &self.settings)
    }

    /// Idle connections can be dead without a word. After silence they are closed, and those idle for as long
    /// as the lost call's was are used nowhere, a span that grows again. They also fill small tables: while a
    /// kind's calls get no connection, who calls rarely keeps none. Both cost handshakes where a partner is
    /// merely slow or down.
    fn distrust(&mut self, tried: Try, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(at) = self.directory.endpoint(tried.endpoint) else { return };
        let line = self.directory.line(at.line);
        let rare = self.flow(line).rate * seconds(self.settings.rules.fall.0) < 1.0;
        let share = &mut self.crowded[at.kind.0];
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        if !silent {
            learn(share, outcome == Outcome::ConnectFailed, POOLED_LEARN);
        }
        if silent || (*share > CROWDED_SHARE && rare && line.out.len() <= 1) {
            actions.push(Action::CloseIdle(tried.endpoint));
        }
        let healthy = seconds(line.slowest(line::OVERDUE_DEVS) as u64);
        if let Some(call) = self.calls.get(tried.call).filter(|call| silent && call.idle > healthy) {
            self.trusted_idle = self.trusted_idle.min(call.idle);
        }
    }

    /// Books an outcome to the lines of its call; a batch shares one fate and counts once.
    fn call_ended(&mut self, tried: Try, outcome: Outcome, report: Option<Report>) {
        let Some(Ended { call: Call { sent, lines, .. }, first, done }) = self.calls.end(tried.call) else {
            return;
        };
        let Some(endpoint) = self.directory.endpoint(tried.endpoint) else { return };
        let (destination, gone) = (endpoint.destination, endpoint.listing == Listing::Removed);
        if done {
            self.directory.call_over(tried.endpoint);
            if gone {
                self.leaving.push((tried.endpoint, destination));
            }
        }
        let gate = lines[1].or(lines[0]);
        let (mut back, many) =
            (false, self.directory.destination(destination).map_or(1, |of| of.endpoints.len()));
        for place in lines.into_iter().flatten() {
            let (gate, jitter) = (gate == Some(place), if first { self.chance() } else { 0.0 });
            let line = self.directory.line_mut(place);
            if done {
                line.out.remove(&tried.call);
            }
            if first {
                let lines = if gate { 1 } else { many };
                let seen = Seen { sent, outcome, report, lines, losses: self.lost > LOST_SHARE, jitter };
                let was_down = matches!(line.flow.health, Health::Down(_));
                if line.learn(self.now, &self.settings, &seen) {
                    let Line { destination, endpoint, .. } = line;
                    let endpoint = endpoint.map_or(String::new(), |e| format!(" endpoint #{}", e.0));
                    self.log.push(format!("destination {}{endpoint} closed: {outcome:?}", destination.0));
                }
                back |= was_down && matches!(line.flow.health, Health::Returning(_));
                if line.endpoint.is_some() {
                    let lost = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
                    learn(&mut self.lost, lost, POOLED_LEARN);
                }
            }
            // Each message of a batch may be told its own wait: the longest holds.
            if let (Outcome::Full(Some(wait)), true) = (outcome, gate) {
                self.wait(Some(place), wait);
            }
        }
        if first
            && !matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::Void | Outcome::Withheld)
        {
            self.close_shared(destination);
        }
        if back {
            self.try_others(destination);
        }
        self.waiting.wake(destination);
    }

    /// An outage mostly takes all endpoints of a destination: where one is back, the others may be.
    fn try_others(&mut self, destination: DestinationId) {
        let Some(of) = self.directory.destination(destination).filter(|of| of.shared.is_some()) else {
            return;
        };
        let lines = of.endpoints.iter().filter_map(|id| Some(self.directory.endpoint(*id)?.line));
        for place in lines.collect::<Vec<_>>() {
            let flow = self.flow(self.directory.line(place));
            if matches!(flow.health, Health::Down(_)) {
                self.directory.line_mut(place).flow = Flow { health: Health::Down(self.now), ..flow };
            }
        }
    }

    /// With the last endpoint that shares a limit the destination is out, and its return is paced as one; so
    /// it is with the last whose calls fail, where all of late did.
    fn close_shared(&mut self, destination: DestinationId) {
        let Some(shared) = self.directory.destination(destination).and_then(|d| d.shared) else { return };
        let fails = self.directory.line(shared).fails.is_some();
        let next = |at: &Endpoint| {
            let line = self.directory.line(at.line);
            match self.flow(line).health {
                Health::Down(next) => Some(next),
                Health::Up if fails && (line.streak > 0 || line.stalled(self.now)) => Some(self.now),
                Health::Up if at.listing == Listing::Active => Some(Time(0)), // serves
                _ => None,
            }
        };
        let next = self.directory.endpoints_of(destination).filter_map(|(_, at)| next(at)).min();
        let flow = self.flow(self.directory.line(shared));
        let closed = matches!(flow.health, Health::Down(_));
        if let Some(next) = next.filter(|next| *next > Time(0) && !closed) {
            self.directory.line_mut(shared).flow = Flow { health: Health::Down(next), ..flow };
        }
    }
}
