//! Whose turn it is, where it goes, and how long the call may take.

use super::*;

/// A call is given up this many mean deviations past the mean: far in the tail of healthy answers.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Repeatable messages: shortest time-out as a share of the aim, so that one retry still makes the aim.
const RETRYABLE_TIMEOUT_OBJECTIVES: f64 = 1.2;
/// Unsafe messages: time-out in aims. A time-out costs them their only try, a late answer only some worth.
const SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.3;
/// The same of a repeatable message while answers get lost, and of an unsafe one while slots are scarce.
const LOSSY_TIMEOUT_SHARE: f64 = 0.2;
/// Shortest time-out of a repeatable message while slots are scarce, as a share of the longest.
const SCARCE_TIMEOUT_SHARE: f64 = 0.1;
/// Share of the slots that are taken from which on they count as scarce.
const SCARCE_CALLS_SHARE: f64 = 0.75;
/// Share of the slots that one line may fill, so that one silent partner cannot take them all.
const DESTINATION_CALLS_SHARE: f64 = 0.5;
/// How long an unsafe message may be held back from a failing line, in ramps: outages last about as long.
const HOLD_SLOW_STARTS: f64 = 0.5;
/// Least learned share of failures at which an unsafe message is held back: under it chance rules.
const HOLD_FAILURE_SHARE: f64 = 0.2;
/// Calls that all senders together may have out to a destination of which they know nothing.
const UNKNOWN_DESTINATION_CALLS: usize = 20;
/// Cost of another zone beside this sender's own, as a factor on the expected time: it has a price.
const REMOTE_ZONE_COST: f64 = 1.2;
/// Weight of the learned failing share in choosing an endpoint.
const FAILURE_COST: f64 = 4.0;

impl DeliveryEngine {
    /// Limits of our own making: pauses after a refusal, silence, the share of slots, the learned pace.
    pub(super) fn is_within_pace(&self, line: &Route) -> bool {
        self.now >= line.backoff_until
            && !line.is_stalled(self.now)
            && self.pacer(line).tokens >= 1.0
            && (line.has_history() || !self.is_first_contact_full(line.destination))
    }

    /// Whether enough calls are out to endpoints of which nothing is known: until an answer
    /// comes nothing tells the limit. Senders that have just started must not send all that they hold.
    fn is_first_contact_full(&self, destination: DestinationId) -> bool {
        let lines = self.directory.endpoints_of(destination).map(|(_, at)| self.directory.route(at.route));
        let out: usize = lines.filter(|line| !line.has_history()).map(|line| line.in_flight.len()).sum();
        out >= (UNKNOWN_DESTINATION_CALLS / self.settings.fleet_size).max(1)
    }

    /// Share of the slots that one destination may fill, whatever its routes.
    pub(super) fn has_free_calls(&self, destination: DestinationId) -> bool {
        let most = ((self.settings.max_concurrent_calls as f64 * DESTINATION_CALLS_SHARE) as usize).max(2);
        self.directory.destination(destination).is_some_and(|d| d.calls < most)
    }

    /// Winding down, no call is begun whose answer would come after the process's end.
    pub(super) fn completes_before_shutdown(&self, line: &Route) -> bool {
        let known = if line.latency > 0.0 { line.latency_bound(route::OVERDUE_DEVIATIONS) } else { 0.0 };
        let answer = known.max(self.settings.min_step_interval.0 as f64);
        self.ends_at.is_none_or(|(end, _)| after(self.now, answer) < end)
    }

    /// How long an attempt may take.
    fn expiry(&self, held: &MessageState, line: &Route) -> Timestamp {
        let class = &self.settings.classes[held.message.class.0];
        let may_repeat = class.idempotency != Idempotency::NonIdempotent;
        let aims = if may_repeat { RETRYABLE_TIMEOUT_OBJECTIVES } else { SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES };
        // While answers get lost, a repeatable message waits no longer than for the slowest healthy one;
        // while slots are scarce none does.
        let most = 2.0 * class.latency_objective.0 as f64 * aims;
        let scarce =
            self.calls.len() as f64 >= SCARCE_CALLS_SHARE * self.settings.max_concurrent_calls as f64;
        let least = match line.latency > 0.0 {
            true if scarce && may_repeat => most * SCARCE_TIMEOUT_SHARE,
            true if scarce || may_repeat && self.lost_answer_share > LOST_ANSWER_THRESHOLD => {
                most * LOSSY_TIMEOUT_SHARE
            }
            _ => most / 2.0,
        };
        let span = line.latency_bound(TIMEOUT_DEVIATIONS).clamp(least, most);
        after(self.now, span).min(Timestamp(held.deadline.0 - self.settings.min_step_interval.0))
    }

    /// Fair turns: each free slot goes to the waiting destination with the fewest calls out, of those to the
    /// one whose first message is worth most, then to the one whose time is up first.
    pub(super) fn schedule(&mut self, actions: &mut Vec<Action>) {
        self.has_more_work |= (0..MAX_WORK_PER_STEP).all(|_| match self.pending.next_changed() {
            Some(woken) => {
                self.rank_destination(woken);
                true
            }
            None => false,
        });
        for _ in 0..MAX_WORK_PER_STEP {
            if self.calls.len() >= self.settings.max_concurrent_calls {
                return;
            }
            let firsts = self.pending.best_ranked();
            let Some(destination) = self.heaviest(firsts.into_iter()) else { return };
            match self.next_send(destination) {
                Ok((id, endpoint)) => {
                    self.start_call(id, endpoint, actions);
                    self.rank_destination(destination);
                }
                Err(look) => self.pending.unrank(destination, look),
            }
        }
        self.has_more_work = true;
    }

    fn rank_destination(&mut self, destination: DestinationId) {
        let calls = self.directory.destination(destination).map(|d| d.calls);
        self.pending.rank(destination, calls);
    }

    fn heaviest<T: Ord>(&self, firsts: impl Iterator<Item = (ClassId, Timestamp, T)>) -> Option<T> {
        let firsts =
            firsts.map(|(class, deadline, of)| (self.weight_after(class, deadline, 0.0), deadline, of));
        let most = firsts.min_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, &a.2).cmp(&(b.1, &b.2))));
        most.map(|(_, _, of)| of)
    }

    /// What goes next to a destination, and where; or else when to look again, if time alone may change that.
    fn next_send(&self, id: DestinationId) -> Result<(MessageId, EndpointId), Option<Timestamp>> {
        if !self.has_free_calls(id) {
            return Err(None);
        }
        let (mut open, mut opens) = (Vec::new(), None);
        for (endpoint, at) in self.directory.endpoints_of(id) {
            if self.is_open(at, false) {
                open.push(endpoint);
            } else if at.state == EndpointState::Active {
                let time =
                    self.directory.routes(at).map(|line| line.opens_at(self.now, &self.settings)).max();
                opens = opens.into_iter().chain(time.filter(|time| *time > self.now)).min();
            }
        }
        if open.is_empty() {
            return Err(opens);
        }
        let found =
            self.first_message(id, &open, true).and_then(|m| Some((m, self.choose_endpoint(m, &open)?)));
        // Otherwise patience holds what is left, which gives way little by little.
        let patient = Timestamp(self.now.0 + self.end_margin());
        found.ok_or(opens.into_iter().chain([patient]).min())
    }

    /// The first message for a destination that one of these endpoints may be sent, `held_back` by patience.
    /// Those that others wait behind come before all: what a key holds up may be for partners that have room.
    fn first_message(
        &self,
        destination: DestinationId,
        open: &[EndpointId],
        held_back: bool,
    ) -> Option<MessageId> {
        let open = || open.iter().filter_map(|id| self.directory.endpoint(*id));
        [true, false].into_iter().find_map(|crowded| {
            let lanes = self.pending.ready_queues(destination).iter().filter(|lane| lane.urgent == crowded);
            let firsts = lanes.filter_map(|lane| {
                if !open().any(|at| lane.required_zone.is_none_or(|zone| zone == at.zone)) {
                    return None;
                }
                let unsafe_one =
                    self.settings.classes[lane.class.0].idempotency == Idempotency::NonIdempotent;
                let goes = |deadline: Timestamp| {
                    let line = |at: &Endpoint| self.directory.route(at.route);
                    let held = |at: &Endpoint| self.is_better_held(lane.class, deadline, line(at));
                    !(held_back && unsafe_one && open().all(held))
                };
                let (deadline, id) =
                    lane.messages.heaviest_where((), &self.pending.boundaries(lane.class), goes)?;
                Some((lane.class, deadline, id))
            });
            self.heaviest(firsts)
        })
    }

    /// A call with a message, and with those that may share it.
    pub(super) fn start_call(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.directory.endpoint(endpoint) else { return };
        let (first, destination, room) = (actions.len(), at.destination, self.batch_size(at));
        let call = self.send_in_call(id, endpoint, None, actions);
        for _ in 1..room {
            let next = self.first_message(destination, &[endpoint], false);
            let Some(next) = next.filter(|next| self.is_send_allowed(*next, endpoint, true)) else { break };
            self.send_in_call(next, endpoint, call, actions);
        }
        if self.settings.batch_expires_together {
            self.expire_together(&mut actions[first..]);
        }
    }

    /// A call has one end: it is given up when the last of its messages would be, but none is kept too long.
    pub(super) fn expire_together(&self, call: &mut [Action]) {
        let ends = call.iter().filter_map(|action| match action {
            Action::Send { message, expires, .. } => Some((*expires, self.messages[message].deadline)),
            _ => None,
        });
        let all = ends.reduce(|a, b| (a.0.max(b.0), a.1.min(b.1)));
        let end = all.map(|(longest, due)| {
            longest.min(Timestamp(due.0.saturating_sub(self.settings.min_step_interval.0)))
        });
        for action in call {
            if let (Action::Send { expires, .. }, Some(end)) = (action, end) {
                *expires = end;
            }
        }
    }

    /// Messages that the next call to an endpoint may carry: one where health is in doubt.
    pub(super) fn batch_size(&self, at: &Endpoint) -> usize {
        let up = self.pacer(self.directory.route(at.route)).health == Health::Healthy;
        if up { self.settings.kinds[at.kind.0].max_batch_size.max(1) } else { 1 }
    }

    /// The endpoint expected to answer first of those that may be sent to, a due trial before the others.
    pub(super) fn choose_endpoint(&self, id: MessageId, open: &[EndpointId]) -> Option<EndpointId> {
        let held = self.messages.get(&id)?;
        let class = &self.settings.classes[held.message.class.0];
        // One not yet called counts as fast as the fastest known, faster where many calls follow.
        let endpoints = || self.directory.endpoints_of(held.message.destination);
        let lines = || endpoints().map(|(_, at)| self.directory.route(at.route));
        let calls =
            lines().map(|l| self.pacer(l).rate).sum::<f64>() * seconds(self.settings.rules.overload_window.0);
        let known = lines().map(|l| l.latency).filter(|l| *l > 0.0).min_by(f64::total_cmp);
        let mut best: Option<(f64, EndpointId)> = None;
        for endpoint in open {
            let at = self.directory.endpoint(*endpoint)?;
            let line = self.directory.route(at.route);
            let flow = self.pacer(line);
            let held_back = class.idempotency == Idempotency::NonIdempotent
                && self.is_better_held(held.message.class, held.deadline, line);
            if held_back || !self.is_send_allowed(id, *endpoint, false) {
                continue;
            }
            let due = matches!(flow.health, Health::Ejected(_)); // let through, so a trial is due
            let busy = if due { 0.0 } else { 1.0 + line.in_flight.len() as f64 };
            let far = if at.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
            let latency =
                if line.latency > 0.0 { line.latency } else { known.unwrap_or(1.0) / calls.max(1.0) };
            let cost = latency * busy * far * (1.0 + FAILURE_COST * flow.failure_share);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// An unsafe message has one try: it waits while failures would cost it more, by the learned share, than
    /// half a ramp's delay. That share leaps with each failure: it counts only where failures came in a row
    /// within a ramp.
    fn is_better_held(&self, class: ClassId, deadline: Timestamp, line: &Route) -> bool {
        let ramp = self.settings.rules.slow_start_duration.0;
        if line.last_repeated_failure.is_none_or(|doubted| since(self.now, doubted) >= ramp) {
            return false;
        }
        let worth = self.weight_after(class, deadline, 0.0);
        let lost = worth - self.weight_after(class, deadline, ramp as f64 * HOLD_SLOW_STARTS);
        self.pacer(line).failure_share * worth > lost.max(HOLD_FAILURE_SHARE * worth)
    }

    /// Sends a message with a call that is about to go out, or with a new one: its number.
    pub(super) fn send_in_call(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        join: Option<u64>,
        actions: &mut Vec<Action>,
    ) -> Option<u64> {
        let at = self.directory.endpoint(endpoint)?;
        let (lines, line) = (self.directory.route_slots(at), self.directory.route(at.route));
        let expires = self.expiry(self.messages.get(&id)?, line);
        let call = if let Some(call) = join {
            self.calls.join(call);
            call
        } else {
            let idle = seconds(since(self.now, line.last_answer));
            if idle >= self.trusted_idle_seconds && line.latency > 0.0 {
                actions.push(Action::CloseIdleConnections(endpoint));
            }
            let call = self.calls.begin(Call { sent_at: self.now, idle_seconds: idle, routes: lines });
            for line in lines.into_iter().flatten() {
                self.directory.route_mut(line).start_call(call, self.now, &self.settings);
            }
            self.directory.call_started(endpoint);
            call
        };
        let held = self.messages.get_mut(&id)?;
        held.attempts += 1;
        held.phase = Phase::InFlight(ActiveAttempt { endpoint, call });
        self.update_entry(id);
        actions.push(Action::Send { message: id, endpoint, expires });
        Some(call)
    }
}
