//! Selects the next message to send, its endpoint and the timeout of the call.

use super::*;

/// Timeout of a call, in mean deviations above the mean latency.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Default minimum timeout of retryable messages, in latency objectives; the maximum is twice this.
const RETRYABLE_TIMEOUT_OBJECTIVES: f64 = 1.2;
/// The same for non-idempotent messages, which have only one attempt.
const SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.3;
/// Minimum timeout while answers get lost (retryable messages) or call slots are scarce (non-idempotent
/// ones), as a fraction of the maximum timeout.
const LOSSY_TIMEOUT_SHARE: f64 = 0.2;
/// Minimum timeout of retryable messages while call slots are scarce, as a fraction of the maximum timeout.
const SCARCE_TIMEOUT_SHARE: f64 = 0.1;
/// Fraction of call slots in use at which they count as scarce.
const SCARCE_CALLS_SHARE: f64 = 0.75;
/// Maximum fraction of call slots for one destination, so that an unresponsive one cannot occupy them all.
const DESTINATION_CALLS_SHARE: f64 = 0.5;
/// Assumed time that a non-idempotent message is held back from a failing route, in slow-start durations.
const HOLD_SLOW_STARTS: f64 = 0.5;
/// Minimum learned fraction of failures at which non-idempotent messages are held back.
const HOLD_FAILURE_SHARE: f64 = 0.2;
/// Maximum calls in flight from all senders together to endpoints that have not answered yet.
const UNKNOWN_DESTINATION_CALLS: usize = 20;
/// Cost factor of an endpoint in another zone, as cross-zone traffic is charged for.
const REMOTE_ZONE_COST: f64 = 1.2;
/// Weight of the learned fraction of failures in the cost of an endpoint.
const FAILURE_COST: f64 = 4.0;

impl DeliveryEngine {
    /// Returns whether the sender's own limits permit a call: backoff after a rejection, stalled calls, the
    /// learned pace, and the limit for endpoints without history.
    pub(super) fn is_within_pace(&self, route: &Route) -> bool {
        self.now >= route.backoff_until
            && !route.is_stalled(self.now)
            && self.pacer(route).tokens >= 1.0
            && (route.has_history() || !self.is_first_contact_full(route.destination))
    }

    /// Returns whether this sender's share of calls to endpoints without history is in flight. Their limits
    /// are unknown until the first answer, so even senders that have just started send little to them.
    fn is_first_contact_full(&self, destination: DestinationId) -> bool {
        let endpoints = self.directory.endpoints_of(destination);
        let unknown = endpoints
            .map(|(_, endpoint)| self.directory.route(endpoint.route))
            .filter(|route| !route.has_history());
        let in_flight: usize = unknown.map(|route| route.in_flight.len()).sum();
        in_flight >= (UNKNOWN_DESTINATION_CALLS / self.settings.fleet_size).max(1)
    }

    /// Returns whether a destination is below its maximum of calls in flight.
    pub(super) fn has_free_calls(&self, id: DestinationId) -> bool {
        let share = (self.settings.max_concurrent_calls as f64 * DESTINATION_CALLS_SHARE) as usize;
        self.directory.destination(id).is_some_and(|destination| destination.calls < share.max(2))
    }

    /// Returns whether a call's answer is expected before the process ends; `true` if no end is scheduled.
    pub(super) fn completes_before_process_end(&self, route: &Route) -> bool {
        let known = match route.latency > 0.0 {
            true => route.latency_bound(OVERDUE_DEVIATIONS),
            false => 0.0,
        };
        let latency = known.max(self.settings.min_step_interval.0 as f64);
        self.process_end.is_none_or(|end| after(self.now, latency) < end.at)
    }

    /// Returns when an attempt times out.
    fn expiry(&self, state: &MessageState, route: &Route) -> Timestamp {
        let class = &self.settings.classes[state.message.class.0];
        let retryable = class.idempotency != Idempotency::NonIdempotent;
        let objectives =
            if retryable { RETRYABLE_TIMEOUT_OBJECTIVES } else { SINGLE_ATTEMPT_TIMEOUT_OBJECTIVES };
        // Timeouts may be shorter while answers get lost or call slots are scarce.
        let max_timeout = 2.0 * class.latency_objective.0 as f64 * objectives;
        let slots_are_scarce =
            self.calls.len() as f64 >= SCARCE_CALLS_SHARE * self.settings.max_concurrent_calls as f64;
        let loses_answers = self.lost_answer_share > outcomes::LOST_ANSWER_THRESHOLD;
        let min_timeout = match route.latency > 0.0 {
            true if slots_are_scarce && retryable => max_timeout * SCARCE_TIMEOUT_SHARE,
            true if slots_are_scarce || retryable && loses_answers => max_timeout * LOSSY_TIMEOUT_SHARE,
            _ => max_timeout / 2.0,
        };
        let timeout = route.latency_bound(TIMEOUT_DEVIATIONS).clamp(min_timeout, max_timeout);
        after(self.now, timeout).min(Timestamp(state.deadline.0 - self.settings.min_step_interval.0))
    }

    /// Assigns each free call slot to the destination with the fewest calls in flight; ties are broken by the
    /// highest weight, then the earliest deadline, of its first message.
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

    /// Returns the candidate with the highest weight, then the earliest deadline, then the smallest item.
    fn heaviest<T: Ord>(&self, candidates: impl Iterator<Item = (ClassId, Timestamp, T)>) -> Option<T> {
        let weighted = candidates
            .map(|(class, deadline, item)| (self.weight_after(class, deadline, 0.0), deadline, item));
        let heaviest =
            weighted.min_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, &a.2).cmp(&(b.1, &b.2))));
        heaviest.map(|(_, _, item)| item)
    }

    /// Returns the next message for a destination and its endpoint, or else when to check again; `None` if
    /// only an event can change the result.
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
        // The remaining messages are held back from failing routes; the reasons fade over time.
        let recheck_at = Timestamp(self.now.0 + self.end_margin());
        send.ok_or(opens_at.into_iter().chain([recheck_at]).min())
    }

    /// Returns the first message for a destination that may be sent to one of the `open` endpoints. With
    /// `may_hold_back`, messages to hold back from failing routes are skipped. Urgent messages come first, as
    /// those that wait for them may be for destinations with free capacity.
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
            let is_sendable = |deadline: Timestamp| {
                let route = |endpoint: &Endpoint| self.directory.route(endpoint.route);
                let holds_back =
                    |endpoint: &Endpoint| self.should_hold_back(queue.class, deadline, route(endpoint));
                !(may_hold_back && open().all(holds_back))
            };
            let boundaries = self.messages.pending.boundaries(queue.class);
            let (deadline, id) = queue.messages.heaviest_where((), &boundaries, is_sendable)?;
            Some((queue.class, deadline, id))
        };
        [true, false].into_iter().find_map(|urgent| {
            let queues = self.messages.pending.ready_queues(destination).iter();
            self.heaviest(queues.filter(|queue| queue.urgent == urgent).filter_map(first_of))
        })
    }

    /// Starts a call with a message, and adds further messages up to the batch size.
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

    /// Gives all messages of a call the same expiry: the latest one, but before the earliest deadline.
    pub(super) fn expire_together(&self, call: &mut [Action]) {
        let ends = call.iter().filter_map(|action| match action {
            Action::Send { message, expires, .. } => Some((*expires, self.messages.get(*message)?.deadline)),
            _ => None,
        });
        let Some((latest_expiry, due)) = ends.reduce(|a, b| (a.0.max(b.0), a.1.min(b.1))) else { return };
        let end = latest_expiry.min(Timestamp(due.0.saturating_sub(self.settings.min_step_interval.0)));
        for action in call {
            if let Action::Send { expires, .. } = action {
                *expires = end;
            }
        }
    }

    /// Returns how many messages the next call to an endpoint may carry: one unless its route is healthy.
    pub(super) fn batch_size(&self, endpoint: &Endpoint) -> usize {
        let pacer = self.pacer(self.directory.route(endpoint.route));
        let is_healthy = pacer.health == Health::Healthy;
        if is_healthy { self.settings.kinds[endpoint.kind.0].max_batch_size.max(1) } else { 1 }
    }

    /// Returns the open endpoint of least cost by latency, load, zone and failures; due trials are free.
    pub(super) fn choose_endpoint(&self, id: MessageId, open: &[EndpointId]) -> Option<EndpointId> {
        let state = self.messages.get(id)?;
        let class = &self.settings.classes[state.message.class.0];
        let single_attempt = class.idempotency == Idempotency::NonIdempotent;
        let unknown_latency = self.latency_of_unknown(state.message.destination);
        let mut best: Option<(f64, EndpointId)> = None;
        for id in open {
            let endpoint = self.directory.endpoint(*id)?;
            let route = self.directory.route(endpoint.route);
            let is_held_back =
                single_attempt && self.should_hold_back(state.message.class, state.deadline, route);
            if is_held_back || !self.is_send_allowed(state.message.id, *id, false) {
                continue;
            }
            let pacer = self.pacer(route);
            // An ejected route passes the guards only when a trial is due.
            let trial_due = matches!(pacer.health, Health::Ejected(_));
            let load = if trial_due { 0.0 } else { 1.0 + route.in_flight.len() as f64 };
            let distance = if endpoint.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
            let latency = if route.latency > 0.0 { route.latency } else { unknown_latency };
            let cost = latency * load * distance * (1.0 + FAILURE_COST * pacer.failure_share);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, *id));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    /// Returns the latency assumed for an endpoint without history: the lowest known one, divided by the
    /// expected calls per overload window, so that busy destinations try new endpoints sooner.
    fn latency_of_unknown(&self, destination: DestinationId) -> f64 {
        let endpoints = || self.directory.endpoints_of(destination);
        let routes = || endpoints().map(|(_, endpoint)| self.directory.route(endpoint.route));
        let rate = routes().map(|route| self.pacer(route).rate).sum::<f64>();
        let calls = rate * seconds(self.settings.rules.overload_window.0);
        let known = routes().map(|route| route.latency).filter(|latency| *latency > 0.0);
        known.min_by(f64::total_cmp).unwrap_or(1.0) / calls.max(1.0)
    }

    /// Returns whether a non-idempotent message, which has only one attempt, should wait because the expected
    /// loss by failure exceeds the weight lost by waiting. The learned fraction of failures is volatile, so
    /// it counts only if consecutive failures occurred within the last slow-start duration.
    fn should_hold_back(&self, class: ClassId, deadline: Timestamp, route: &Route) -> bool {
        let slow_start = self.settings.rules.slow_start_duration.0;
        if route.last_repeated_failure.is_none_or(|failure| since(self.now, failure) >= slow_start) {
            return false;
        }
        let weight = self.weight_after(class, deadline, 0.0);
        let later = self.weight_after(class, deadline, slow_start as f64 * HOLD_SLOW_STARTS);
        let cost = weight - later;
        self.pacer(route).failure_share * weight > cost.max(HOLD_FAILURE_SHARE * weight)
    }

    /// Sends a message in the call `join`, or in a new call if it is `None`. Returns the number of the call.
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

    /// Opens a call and returns its number. Idle connections that may be dead are closed first.
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
