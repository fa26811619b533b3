//! Which message goes next, to which endpoint, and how long the call may take.

use super::*;

/// A call is given up this many mean deviations past the mean latency: far in the tail of healthy answers.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Retryable messages: timeout in latency objectives, so that one retry still meets the objective.
const RETRYABLE_TIMEOUT_OBJECTIVES: f64 = 1.2;
/// Non-idempotent messages: timeout in latency objectives. A timeout costs their only attempt, a late answer
/// less.
const SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.3;
/// Least timeout, as a share of the longest, of a retryable message while answers get lost, and of a
/// non-idempotent one while calls are scarce.
const LOSSY_TIMEOUT_SHARE: f64 = 0.2;
/// Least timeout of a retryable message while calls are scarce, as a share of the longest.
const SCARCE_TIMEOUT_SHARE: f64 = 0.1;
/// Share of the calls in flight from which on they count as scarce.
const SCARCE_CALLS_SHARE: f64 = 0.75;
/// Share of the calls that one destination may take, so that a silent one cannot take them all.
const DESTINATION_CALLS_SHARE: f64 = 0.5;
/// How long a non-idempotent message may be held back from a failing route, in slow starts: about an outage.
const HOLD_SLOW_STARTS: f64 = 0.5;
/// Least learned share of failures at which a non-idempotent message is held back: below, chance rules.
const HOLD_FAILURE_SHARE: f64 = 0.2;
/// Calls that all senders together may have in flight to a destination of which they know nothing.
const UNKNOWN_DESTINATION_CALLS: usize = 20;
/// Cost of another zone, as a factor on the expected latency: such calls have a price.
const REMOTE_ZONE_COST: f64 = 1.2;
/// Weight of the learned share of failures in choosing an endpoint.
const FAILURE_COST: f64 = 4.0;

impl DeliveryEngine {
    /// Limits of the sender's own making: backoff after a rejection, silence, first contact, the learned
    /// pace.
    pub(super) fn is_within_pace(&self, route: &Route) -> bool {
        self.now >= route.backoff_until
            && !route.is_stalled(self.now)
            && self.pacer(route).tokens >= 1.0
            && (route.has_history() || !self.is_first_contact_full(route.destination))
    }

    /// Whether enough calls are in flight to endpoints of which nothing is known: until an answer comes
    /// nothing tells the limit. Senders that have just started must not send all that they hold.
    fn is_first_contact_full(&self, destination: DestinationId) -> bool {
        let endpoints = self.directory.endpoints_of(destination);
        let unknown = endpoints
            .map(|(_, endpoint)| self.directory.route(endpoint.route))
            .filter(|route| !route.has_history());
        let in_flight: usize = unknown.map(|route| route.in_flight.len()).sum();
        in_flight >= (UNKNOWN_DESTINATION_CALLS / self.settings.fleet_size).max(1)
    }

    /// Whether a destination may take one more call, whatever its routes.
    pub(super) fn has_free_calls(&self, id: DestinationId) -> bool {
        let share = (self.settings.max_concurrent_calls as f64 * DESTINATION_CALLS_SHARE) as usize;
        self.directory.destination(id).is_some_and(|destination| destination.calls < share.max(2))
    }

    /// While the process is ending, no call starts whose answer would come after the end.
    pub(super) fn completes_before_process_end(&self, route: &Route) -> bool {
        let known = match route.latency > 0.0 {
            true => route.latency_bound(route::OVERDUE_DEVIATIONS),
            false => 0.0,
        };
        let latency = known.max(self.settings.min_step_interval.0 as f64);
        self.process_end.is_none_or(|end| after(self.now, latency) < end.at)
    }

    /// When an attempt is given up.
    fn expiry(&self, state: &MessageState, route: &Route) -> Timestamp {
        let class = &self.settings.classes[state.message.class.0];
        let retryable = class.idempotency != Idempotency::NonIdempotent;
        let objectives =
            if retryable { RETRYABLE_TIMEOUT_OBJECTIVES } else { SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES };
        // While answers get lost, a retryable message waits no longer than for the slowest healthy one; while
        // calls are scarce none does.
        let most = 2.0 * class.latency_objective.0 as f64 * objectives;
        let scarce =
            self.calls.len() as f64 >= SCARCE_CALLS_SHARE * self.settings.max_concurrent_calls as f64;
        let lossy = self.lost_answer_share > outcomes::LOST_ANSWER_THRESHOLD;
        let least = match route.latency > 0.0 {
            true if scarce && retryable => most * SCARCE_TIMEOUT_SHARE,
            true if scarce || retryable && lossy => most * LOSSY_TIMEOUT_SHARE,
            _ => most / 2.0,
        };
        let timeout = route.latency_bound(TIMEOUT_DEVIATIONS).clamp(least, most);
        after(self.now, timeout).min(Timestamp(state.deadline.0 - self.settings.min_step_interval.0))
    }

    /// Fair queueing: each free call goes to the pending destination with the fewest calls in flight; among
    /// those to the one whose first message has the most weight, then to the one whose first deadline comes
    /// first.
    pub(super) fn schedule(&mut self, actions: &mut Vec<Action>) {
        self.rank_changed_destinations();
        for _ in 0..MAX_WORK_PER_STEP {
            if self.calls.len() >= self.settings.max_concurrent_calls {
                return;
            }
            let candidates = self.messages.pending.best_ranked();
            let Some(destination) = self.heaviest(candidates.into_iter()) else { return };
            match self.next_send(destination) {
                Ok((id, endpoint)) => {
                    self.start_call(id, endpoint, actions);
                    self.rank_destination(destination);
                }
                Err(recheck_at) => self.messages.pending.unrank(destination, recheck_at),
            }
        }
        self.has_more_work = true;
    }

    fn rank_changed_destinations(&mut self) {
        for _ in 0..MAX_WORK_PER_STEP {
            let Some(destination) = self.messages.pending.next_changed() else { return };
            self.rank_destination(destination);
        }
        self.has_more_work = true;
    }

    fn rank_destination(&mut self, id: DestinationId) {
        let calls = self.directory.destination(id).map(|destination| destination.calls);
        self.messages.pending.rank(id, calls);
    }

    /// The candidate of most weight; among equals the first deadline, then the least item.
    fn heaviest<T: Ord>(&self, candidates: impl Iterator<Item = (ClassId, Timestamp, T)>) -> Option<T> {
        let weighted = candidates
            .map(|(class, deadline, item)| (self.weight_after(class, deadline, 0.0), deadline, item));
        let most = weighted.min_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, &a.2).cmp(&(b.1, &b.2))));
        most.map(|(_, _, item)| item)
    }

    /// What goes next to a destination, and where; or else when to look again, if time alone may change that.
    fn next_send(&self, id: DestinationId) -> Result<(MessageId, EndpointId), Option<Timestamp>> {
        if !self.has_free_calls(id) {
            return Err(None);
        }
        let (mut open, mut opens_at) = (Vec::new(), None);
        for (id, endpoint) in self.directory.endpoints_of(id) {
            if self.is_open(endpoint, false) {
                open.push(id);
            } else if endpoint.state == EndpointState::Active {
                let routes = self.directory.routes(endpoint);
                let at = routes.map(|route| route.opens_at(self.now, &self.settings)).max();
                opens_at = opens_at.into_iter().chain(at.filter(|at| *at > self.now)).min();
            }
        }
        if open.is_empty() {
            return Err(opens_at);
        }
        let message = self.first_message(id, &open, true);
        let send = message.and_then(|message| Some((message, self.choose_endpoint(message, &open)?)));
        // Otherwise the rest is held back from failing routes, which weakens little by little.
        let held_back = Timestamp(self.now.0 + self.end_margin());
        send.ok_or(opens_at.into_iter().chain([held_back]).min())
    }

    /// The first message for a destination that one of these endpoints may be sent; `may_hold_back`: unless
    /// it is better held back from failing routes. Urgent messages come before all: those queued behind them
    /// may be for destinations that have capacity.
    fn first_message(
        &self,
        destination: DestinationId,
        open: &[EndpointId],
        may_hold_back: bool,
    ) -> Option<MessageId> {
        let open = || open.iter().filter_map(|id| self.directory.endpoint(*id));
        let first_of = |queue: &ReadyQueue| {
            if !open().any(|endpoint| queue.required_zone.is_none_or(|zone| zone == endpoint.zone)) {
                return None;
            }
            let idempotency = self.settings.classes[queue.class.0].idempotency;
            let may_hold_back = may_hold_back && idempotency == Idempotency::NonIdempotent;
            let goes = |deadline: Timestamp| {
                let route = |endpoint: &Endpoint| self.directory.route(endpoint.route);
                let held = |endpoint: &Endpoint| self.is_better_held(queue.class, deadline, route(endpoint));
                !(may_hold_back && open().all(held))
            };
            let boundaries = self.messages.pending.boundaries(queue.class);
            let (deadline, id) = queue.messages.heaviest_where((), &boundaries, goes)?;
            Some((queue.class, deadline, id))
        };
        [true, false].into_iter().find_map(|urgent| {
            let queues = self.messages.pending.ready_queues(destination).iter();
            self.heaviest(queues.filter(|queue| queue.urgent == urgent).filter_map(first_of))
        })
    }

    /// Starts a call with a message, and with those that may share it.
    pub(super) fn start_call(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(to) = self.directory.endpoint(endpoint) else { return };
        let (first, destination, size) = (actions.len(), to.destination, self.batch_size(to));
        let call = self.send_in_call(id, endpoint, None, actions);
        for _ in 1..size {
            let next = self.first_message(destination, &[endpoint], false);
            let next = next.filter(|next| self.is_send_allowed(*next, endpoint, true));
            let Some(next) = next else { break };
            self.send_in_call(next, endpoint, call, actions);
        }
        if self.settings.batch_expires_together {
            self.expire_together(&mut actions[first..]);
        }
    }

    /// A call has one end: it is given up when the last of its messages would be, but none is kept too long.
    pub(super) fn expire_together(&self, call: &mut [Action]) {
        let ends = call.iter().filter_map(|action| match action {
            Action::Send { message, expires, .. } => Some((*expires, self.messages.get(*message)?.deadline)),
            _ => None,
        });
        let Some((longest, due)) = ends.reduce(|a, b| (a.0.max(b.0), a.1.min(b.1))) else { return };
        let end = longest.min(Timestamp(due.0.saturating_sub(self.settings.min_step_interval.0)));
        for action in call {
            if let Action::Send { expires, .. } = action {
                *expires = end;
            }
        }
    }

    /// Messages that the next call to an endpoint may carry: one where its health is in doubt.
    pub(super) fn batch_size(&self, endpoint: &Endpoint) -> usize {
        let pacer = self.pacer(self.directory.route(endpoint.route));
        let is_healthy = pacer.health == Health::Healthy;
        if is_healthy { self.settings.kinds[endpoint.kind.0].max_batch_size.max(1) } else { 1 }
    }

    /// The endpoint expected to answer first among the open ones, a due trial before the others.
    pub(super) fn choose_endpoint(&self, id: MessageId, open: &[EndpointId]) -> Option<EndpointId> {
        let state = self.messages.get(id)?;
        let class = &self.settings.classes[state.message.class.0];
        let single_attempt = class.idempotency == Idempotency::NonIdempotent;
        let unknown_latency = self.latency_of_unknown(state.message.destination);
        let mut best: Option<(f64, EndpointId)> = None;
        for id in open {
            let endpoint = self.directory.endpoint(*id)?;
            let route = self.directory.route(endpoint.route);
            let held_back = single_attempt && self.is_better_held(state.message.class, state.deadline, route);
            if held_back || !self.is_send_allowed(state.message.id, *id, false) {
                continue;
            }
            let pacer = self.pacer(route);
            // An ejected route that passed the guards has a trial due.
            let trial_due = matches!(pacer.health, Health::Ejected(_));
            let load = if trial_due { 0.0 } else { 1.0 + route.in_flight.len() as f64 };
            let distance = if endpoint.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
            let latency = if route.latency > 0.0 { route.latency } else { unknown_latency };
            let cost = latency * load * distance * (1.0 + FAILURE_COST * pacer.failure_share);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *id));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// The latency assumed of an endpoint not yet called: the least known one, less where many calls follow.
    fn latency_of_unknown(&self, destination: DestinationId) -> f64 {
        let endpoints = || self.directory.endpoints_of(destination);
        let routes = || endpoints().map(|(_, endpoint)| self.directory.route(endpoint.route));
        let rate = routes().map(|route| self.pacer(route).rate).sum::<f64>();
        let calls = rate * seconds(self.settings.rules.overload_window.0);
        let known = routes().map(|route| route.latency).filter(|latency| *latency > 0.0);
        known.min_by(f64::total_cmp).unwrap_or(1.0) / calls.max(1.0)
    }

    /// A non-idempotent message has one attempt: it waits while failures would cost it more, by the learned
    /// share, than the hold does. That share leaps with each failure: it counts only where failures came in a
    /// row within a slow start.
    fn is_better_held(&self, class: ClassId, deadline: Timestamp, route: &Route) -> bool {
        let slow_start = self.settings.rules.slow_start_duration.0;
        if route.last_repeated_failure.is_none_or(|failure| since(self.now, failure) >= slow_start) {
            return false;
        }
        let weight = self.weight_after(class, deadline, 0.0);
        let later = self.weight_after(class, deadline, slow_start as f64 * HOLD_SLOW_STARTS);
        let cost = weight - later;
        self.pacer(route).failure_share * weight > cost.max(HOLD_FAILURE_SHARE * weight)
    }

    /// Sends a message with a call that is about to go out, or with a new one; returns the number of the
    /// call.
    pub(super) fn send_in_call(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        join: Option<u64>,
        actions: &mut Vec<Action>,
    ) -> Option<u64> {
        let to = self.directory.endpoint(endpoint)?;
        let expires = self.expiry(self.messages.get(id)?, self.directory.route(to.route));
        let call = match join {
            Some(call) => {
                self.calls.join(call);
                call
            }
            None => self.open_call(endpoint, actions)?,
        };
        let state = self.messages.get_mut(id)?;
        state.attempts += 1;
        state.phase = Phase::InFlight(ActiveAttempt { endpoint, call });
        self.update_entry(id);
        actions.push(Action::Send { message: id, endpoint, expires });
        Some(call)
    }

    /// Opens a call to an endpoint, on a new connection where an idle one may be dead; returns its number.
    fn open_call(&mut self, id: EndpointId, actions: &mut Vec<Action>) -> Option<u64> {
        let endpoint = self.directory.endpoint(id)?;
        let (routes, route) = (self.directory.route_slots(endpoint), self.directory.route(endpoint.route));
        let idle_seconds = seconds(since(self.now, route.last_answer));
        if idle_seconds >= self.trusted_idle_seconds && route.latency > 0.0 {
            actions.push(Action::CloseIdleConnections(id));
        }
        let call = self.calls.begin(Call { sent_at: self.now, idle_seconds, routes });
        for slot in routes.into_iter().flatten() {
            self.directory.route_mut(slot).start_call(call, self.now, &self.settings);
        }
        self.directory.call_started(id);
        Some(call)
    }
}
