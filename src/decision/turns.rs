//! Whose turn it is, where it goes, and how long the call may take.

use super::*;

/// A call is given up this many mean deviations past the mean: far in the tail of healthy answers.
const GIVE_UP_DEVS: f64 = 8.0;
/// Repeatable messages: shortest time-out as a share of the aim, so that one retry still makes the aim.
const TIMEOUT_OF_AIM: f64 = 1.2;
/// Unsafe messages: time-out in aims. A time-out costs them their only try, a late answer only some worth.
const UNSAFE_TIMEOUT_OF_AIM: f64 = 2.3;
/// The same of a repeatable message while answers get lost, and of an unsafe one while slots are scarce.
const KNOWN_TIMEOUT: f64 = 0.2;
/// Shortest time-out of a repeatable message while slots are scarce, as a share of the longest.
const SCARCE_TIMEOUT: f64 = 0.1;
/// Share of the slots that are taken from which on they count as scarce.
const SCARCE: f64 = 0.75;
/// Share of the slots that one line may fill, so that one silent partner cannot take them all.
const LINE_SLOTS: f64 = 0.5;
/// How long an unsafe message may be held back from a failing line, in ramps: outages last about as long.
const PATIENCE: f64 = 0.5;
/// Least learned share of failures at which an unsafe message is held back: under it chance rules.
const HOLD_SHARE: f64 = 0.2;
/// Calls that all senders together may have out to a destination of which they know nothing.
const FIRST_CALLS: usize = 20;
/// Cost of another zone beside this sender's own, as a factor on the expected time: it has a price.
const FAR: f64 = 1.2;
/// Weight of the learned failing share in choosing an endpoint.
const AVOID: f64 = 4.0;

impl Sender {
    /// Limits of our own making: pauses after a refusal, silence, the share of slots, the learned pace.
    pub(super) fn paced(&self, line: &Line) -> bool {
        self.now >= line.hold_until
            && !line.stalled(self.now)
            && self.flow(line).tokens >= 1.0
            && (line.known() || !self.asks(line.destination))
    }

    /// Whether enough calls are out to endpoints of which nothing is known: until an answer
    /// comes nothing tells the limit. Senders that have just started must not send all that they hold.
    fn asks(&self, destination: DestinationId) -> bool {
        let lines = self.directory.endpoints_of(destination).map(|(_, at)| self.directory.line(at.line));
        let out: usize = lines.filter(|line| !line.known()).map(|line| line.out.len()).sum();
        out >= (FIRST_CALLS / self.settings.senders).max(1)
    }

    /// Share of the slots that one destination may fill, whatever its routes.
    pub(super) fn slots_left(&self, destination: DestinationId) -> bool {
        let most = ((self.settings.slots as f64 * LINE_SLOTS) as usize).max(2);
        self.directory.destination(destination).is_some_and(|d| d.calls < most)
    }

    /// Winding down, no call is begun whose answer would come after the process's end.
    pub(super) fn ends_before_process(&self, line: &Line) -> bool {
        let known = if line.latency > 0.0 { line.slowest(line::OVERDUE_DEVS) } else { 0.0 };
        let answer = known.max(self.settings.period.0 as f64);
        self.ends_at.is_none_or(|(end, _)| after(self.now, answer) < end)
    }

    /// How long an attempt may take.
    fn expiry(&self, held: &Held, line: &Line) -> Time {
        let class = &self.settings.classes[held.message.class.0];
        let may_repeat = class.repeat != Repeat::Unsafe;
        let aims = if may_repeat { TIMEOUT_OF_AIM } else { UNSAFE_TIMEOUT_OF_AIM };
        // While answers get lost, a repeatable message waits no longer than for the slowest healthy one;
        // while slots are scarce none does.
        let most = 2.0 * class.aim.0 as f64 * aims;
        let scarce = self.calls.len() as f64 >= SCARCE * self.settings.slots as f64;
        let least = match line.latency > 0.0 {
            true if scarce && may_repeat => most * SCARCE_TIMEOUT,
            true if scarce || may_repeat && self.lost > LOST_SHARE => most * KNOWN_TIMEOUT,
            _ => most / 2.0,
        };
        let span = line.slowest(GIVE_UP_DEVS).clamp(least, most);
        after(self.now, span).min(Time(held.deadline.0 - self.settings.period.0))
    }

    /// Fair turns: each free slot goes to the waiting destination with the fewest calls out, of those to the
    /// one whose first message is worth most, then to the one whose time is up first.
    pub(super) fn give_turns(&mut self, actions: &mut Vec<Action>) {
        self.unfinished |= (0..MOST_IN_STEP).all(|_| match self.waiting.next_woken() {
            Some(woken) => {
                self.rank(woken);
                true
            }
            None => false,
        });
        for _ in 0..MOST_IN_STEP {
            if self.calls.len() >= self.settings.slots {
                return;
            }
            let firsts = self.waiting.firsts();
            let Some(destination) = self.worth_most(firsts.into_iter()) else { return };
            match self.turn(destination) {
                Ok((id, endpoint)) => {
                    self.call(id, endpoint, actions);
                    self.rank(destination);
                }
                Err(look) => self.waiting.unrank(destination, look),
            }
        }
        self.unfinished = true;
    }

    fn rank(&mut self, destination: DestinationId) {
        let calls = self.directory.destination(destination).map(|d| d.calls);
        self.waiting.rank(destination, calls);
    }

    fn worth_most<T: Ord>(&self, firsts: impl Iterator<Item = (ClassId, Time, T)>) -> Option<T> {
        let firsts = firsts.map(|(class, deadline, of)| (self.worth(class, deadline, 0.0), deadline, of));
        let most = firsts.min_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, &a.2).cmp(&(b.1, &b.2))));
        most.map(|(_, _, of)| of)
    }

    /// What goes next to a destination, and where; or else when to look again, if time alone may change that.
    fn turn(&self, id: DestinationId) -> Result<(MessageId, EndpointId), Option<Time>> {
        if !self.slots_left(id) {
            return Err(None);
        }
        let (mut open, mut opens) = (Vec::new(), None);
        for (endpoint, at) in self.directory.endpoints_of(id) {
            if self.lets_through(at, false) {
                open.push(endpoint);
            } else if at.listing == Listing::Active {
                let time = self.directory.lines(at).map(|line| line.opens(self.now, &self.settings)).max();
                opens = opens.into_iter().chain(time.filter(|time| *time > self.now)).min();
            }
        }
        if open.is_empty() {
            return Err(opens);
        }
        let found = self.first(id, &open, true).and_then(|m| Some((m, self.choose(m, &open)?)));
        // Otherwise patience holds what is left, which gives way little by little.
        let patient = Time(self.now.0 + self.margin());
        found.ok_or(opens.into_iter().chain([patient]).min())
    }

    /// The first message for a destination that one of these endpoints may be sent, `held_back` by patience.
    /// Those that others wait behind come before all: what a key holds up may be for partners that have room.
    fn first(&self, destination: DestinationId, open: &[EndpointId], held_back: bool) -> Option<MessageId> {
        let open = || open.iter().filter_map(|id| self.directory.endpoint(*id));
        [true, false].into_iter().find_map(|crowded| {
            let lanes = self.waiting.lanes(destination).iter().filter(|lane| lane.crowded == crowded);
            let firsts = lanes.filter_map(|lane| {
                if !open().any(|at| lane.zone.is_none_or(|zone| zone == at.zone)) {
                    return None;
                }
                let unsafe_one = self.settings.classes[lane.class.0].repeat == Repeat::Unsafe;
                let goes = |deadline: Time| {
                    let line = |at: &Endpoint| self.directory.line(at.line);
                    let held = |at: &Endpoint| self.better_held(lane.class, deadline, line(at));
                    !(held_back && unsafe_one && open().all(held))
                };
                let (deadline, id) = lane.shelf.best_where((), &self.waiting.cuts(lane.class), goes)?;
                Some((lane.class, deadline, id))
            });
            self.worth_most(firsts)
        })
    }

    /// A call with a message, and with those that may share it.
    pub(super) fn call(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.directory.endpoint(endpoint) else { return };
        let (first, destination, room) = (actions.len(), at.destination, self.batch(at));
        let call = self.send(id, endpoint, None, actions);
        for _ in 1..room {
            let next = self.first(destination, &[endpoint], false);
            let Some(next) = next.filter(|next| self.may_send(*next, endpoint, true)) else { break };
            self.send(next, endpoint, call, actions);
        }
        if self.settings.calls_expire_whole {
            self.expire_together(&mut actions[first..]);
        }
    }

    /// A call has one end: it is given up when the last of its messages would be, but none is kept too long.
    pub(super) fn expire_together(&self, call: &mut [Action]) {
        let ends = call.iter().filter_map(|action| match action {
            Action::Send { message, expires, .. } => Some((*expires, self.held[message].deadline)),
            _ => None,
        });
        let all = ends.reduce(|a, b| (a.0.max(b.0), a.1.min(b.1)));
        let end = all.map(|(longest, due)| longest.min(Time(due.0.saturating_sub(self.settings.period.0))));
        for action in call {
            if let (Action::Send { expires, .. }, Some(end)) = (action, end) {
                *expires = end;
            }
        }
    }

    /// Messages that the next call to an endpoint may carry: one where health is in doubt.
    pub(super) fn batch(&self, at: &Endpoint) -> usize {
        let up = self.flow(self.directory.line(at.line)).health == Health::Up;
        if up { self.settings.kinds[at.kind.0].batch.max(1) } else { 1 }
    }

    /// The endpoint expected to answer first of those that may be sent to, a due trial before the others.
    pub(super) fn choose(&self, id: MessageId, open: &[EndpointId]) -> Option<EndpointId> {
        let held = self.held.get(&id)?;
        let class = &self.settings.classes[held.message.class.0];
        // One not yet called counts as fast as the fastest known, faster where many calls follow.
        let endpoints = || self.directory.endpoints_of(held.message.destination);
        let lines = || endpoints().map(|(_, at)| self.directory.line(at.line));
        let calls = lines().map(|l| self.flow(l).rate).sum::<f64>() * seconds(self.settings.rules.fall.0);
        let known = lines().map(|l| l.latency).filter(|l| *l > 0.0).min_by(f64::total_cmp);
        let mut best: Option<(f64, EndpointId)> = None;
        for endpoint in open {
            let at = self.directory.endpoint(*endpoint)?;
            let line = self.directory.line(at.line);
            let flow = self.flow(line);
            let held_back =
                class.repeat == Repeat::Unsafe && self.better_held(held.message.class, held.deadline, line);
            if held_back || !self.may_send(id, *endpoint, false) {
                continue;
            }
            let due = matches!(flow.health, Health::Down(_)); // let through, so a trial is due
            let busy = if due { 0.0 } else { 1.0 + line.out.len() as f64 };
            let far = if at.zone == self.settings.zone { 1.0 } else { FAR };
            let latency =
                if line.latency > 0.0 { line.latency } else { known.unwrap_or(1.0) / calls.max(1.0) };
            let cost = latency * busy * far * (1.0 + AVOID * flow.failing);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// An unsafe message has one try: it waits while failures would cost it more, by the learned share, than
    /// half a ramp's delay. That share leaps with each failure: it counts only where failures came in a row
    /// within a ramp.
    fn better_held(&self, class: ClassId, deadline: Time, line: &Line) -> bool {
        let ramp = self.settings.rules.ramp.0;
        if line.doubted.is_none_or(|doubted| since(self.now, doubted) >= ramp) {
            return false;
        }
        let worth = self.worth(class, deadline, 0.0);
        let lost = worth - self.worth(class, deadline, ramp as f64 * PATIENCE);
        self.flow(line).failing * worth > lost.max(HOLD_SHARE * worth)
    }

    /// Sends a message with a call that is about to go out, or with a new one: its number.
    pub(super) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        join: Option<u64>,
        actions: &mut Vec<Action>,
    ) -> Option<u64> {
        let at = self.directory.endpoint(endpoint)?;
        let (lines, line) = (self.directory.places(at), self.directory.line(at.line));
        let expires = self.expiry(self.held.get(&id)?, line);
        let call = if let Some(call) = join {
            self.calls.join(call);
            call
        } else {
            let idle = seconds(since(self.now, line.last_answer));
            if idle >= self.trusted_idle && line.latency > 0.0 {
                actions.push(Action::CloseIdle(endpoint));
            }
            let call = self.calls.begin(Call { sent: self.now, idle, lines });
            for line in lines.into_iter().flatten() {
                self.directory.line_mut(line).begin(call, self.now, &self.settings);
            }
            self.directory.call_begun(endpoint);
            call
        };
        let held = self.held.get_mut(&id)?;
        held.attempts += 1;
        held.stage = Stage::Out(Try { endpoint, call });
        self.file(id);
        actions.push(Action::Send { message: id, endpoint, expires });
        Some(call)
    }
}
