//! Applies the outcome of an attempt to the message, to the routes of its call and to idle connections.

use super::*;

/// Learned fraction of unanswered calls above which answers are considered to be getting lost.
pub(super) const LOST_ANSWER_THRESHOLD: f64 = 0.075;
/// Learned fraction of failed connects of a kind above which its connection tables are considered full.
const CONNECT_FAILURE_THRESHOLD: f64 = 0.01;
/// Weight of a new sample in the fractions that are learned over many routes.
const POOLED_LEARNING_WEIGHT: f64 = 0.05;

impl DeliveryEngine {
    pub(super) fn attempt_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded { message: id, attempt, outcome, completes, report, .. } = *event else {
            return;
        };
        let Some(state) = self.messages.get_mut(id) else { return };
        let (Phase::InFlight(active) | Phase::Detached(active)) = state.phase else { return };
        if attempt + 1 != state.attempts {
            return;
        }
        let is_finished = completes || matches!(state.phase, Phase::Detached(_));
        state.phase = Phase::Pending(self.now);
        state.attempts -= u32::from(outcome == Outcome::Deferred);
        let may_have_run =
            matches!(outcome, Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_have_run && state.first_uncertain_attempt.is_none() {
            let sent_at = self.calls.get(active.call).map_or(Timestamp(0), |call| call.sent_at);
            let endpoint = self.directory.endpoint(active.endpoint);
            let zone = endpoint.map_or(ZoneId(usize::MAX), |endpoint| endpoint.zone);
            state.first_uncertain_attempt = Some(UncertainAttempt { sent_at, zone });
        }
        if let Some(key) = state.message.key.filter(|_| may_have_run && outcome != Outcome::Failure) {
            self.hold_key(key);
        }
        self.review_idle_connections(active, outcome, actions);
        self.record_call_end(active, outcome, report);
        if is_finished {
            self.messages.forget(id, self.now, &self.settings);
        } else {
            self.retry(id, outcome, actions);
        }
    }

    /// Closes idle connections that may be dead or that exhaust the peer's connection table.
    ///
    /// After a timeout or a reset, the endpoint's idle connections are closed, and connections that have been
    /// idle for at least as long as the lost call's are not reused anywhere; this limit grows again over
    /// time. While connects to a kind of destination fail, endpoints that are called rarely keep no idle
    /// connection.
    fn review_idle_connections(
        &mut self,
        active: ActiveAttempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.directory.endpoint(active.endpoint) else { return };
        let route = self.directory.route(endpoint.route);
        let window = seconds(self.settings.rules.overload_window.0);
        let is_rare = self.pacer(route).rate * window < 1.0 && route.in_flight.len() <= 1;
        let share = &mut self.connect_failure_shares[endpoint.kind.0];
        let got_no_answer = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        if !got_no_answer {
            update_mean_share(share, outcome == Outcome::ConnectFailed, POOLED_LEARNING_WEIGHT);
        }
        if got_no_answer || (*share > CONNECT_FAILURE_THRESHOLD && is_rare) {
            actions.push(Action::CloseIdleConnections(active.endpoint));
        }
        let healthy = seconds(route.latency_bound(OVERDUE_DEVIATIONS) as u64);
        let call = self.calls.get(active.call);
        if let Some(call) = call.filter(|call| got_no_answer && call.idle_seconds > healthy) {
            self.trusted_idle_seconds = self.trusted_idle_seconds.min(call.idle_seconds);
        }
    }

    /// Records the outcome of an attempt on the routes of its call. A batch counts once.
    fn record_call_end(&mut self, active: ActiveAttempt, outcome: Outcome, report: Option<LoadReport>) {
        let Some(progress) = self.calls.end(active.call) else { return };
        let Some(endpoint) = self.directory.endpoint(active.endpoint) else { return };
        let (destination, is_removed) = (endpoint.destination, endpoint.state == EndpointState::Removed);
        if progress.is_complete {
            self.directory.call_ended(active.endpoint);
            if is_removed {
                self.retiring.push((active.endpoint, destination));
            }
        }
        let [own, shared] = progress.call.routes;
        let mut recovered = false;
        for slot in [own, shared].into_iter().flatten() {
            let enforces_limit = shared.or(own) == Some(slot);
            if progress.is_complete {
                self.directory.route_mut(slot).in_flight.remove(&active.call);
            }
            if progress.is_first {
                recovered |= self.record_on_route(slot, &progress.call, outcome, report);
            }
            // Each message of a batch may carry its own delay; the longest applies.
            if let (Outcome::Rejected { retry_after: Some(delay) }, true) = (outcome, enforces_limit) {
                self.extend_retry_after(slot, delay);
            }
        }
        let is_inconclusive =
            matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent | Outcome::Deferred);
        if progress.is_first && !is_inconclusive {
            self.eject_shared_route(destination);
        }
        if recovered {
            self.retry_siblings(destination);
        }
        self.messages.pending.mark_changed(destination);
    }

    /// Records the outcome of a call on one of its routes. Returns whether the route recovered.
    fn record_on_route(
        &mut self,
        slot: usize,
        call: &Call,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> bool {
        let [own, shared] = call.routes;
        let enforcing = shared.or(own).unwrap_or(slot);
        let limit_is_spent = self.directory.route(enforcing).explains_rejection(report);
        let jitter = self.random_unit();
        let answers_are_lost = self.lost_answer_share > LOST_ANSWER_THRESHOLD;
        let destination = self.directory.destination(self.directory.route(slot).destination);
        let siblings = destination.map_or(1, |destination| destination.endpoints.len());
        let route_count = if enforcing == slot { 1 } else { siblings };
        let sent_at = call.sent_at;
        let observed = ObservedOutcome {
            sent_at,
            outcome,
            report,
            route_count,
            limit_is_spent,
            answers_are_lost,
            jitter,
        };
        let route = self.directory.route_mut(slot);
        let was_ejected = matches!(route.pacer.health, Health::Ejected(_));
        if route.record_outcome(self.now, &self.settings, &observed) {
            let id = route.destination.0;
            let endpoint =
                route.endpoint.map_or(String::new(), |endpoint| format!(" endpoint #{}", endpoint.0));
            let change = if outcome == Outcome::Success { "in slow start" } else { "closed" };
            self.log.push(format!("destination {id}{endpoint} {change}: {outcome:?}"));
        }
        if route.endpoint.is_some() {
            let lost = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            update_mean_share(&mut self.lost_answer_share, lost, POOLED_LEARNING_WEIGHT);
        }
        was_ejected && matches!(route.pacer.health, Health::SlowStart(_))
    }

    /// Makes trials of all ejected endpoints of a destination due now, as they usually recover together.
    fn retry_siblings(&mut self, id: DestinationId) {
        let destination = self.directory.destination(id);
        let Some(destination) = destination.filter(|destination| destination.shared_route.is_some()) else {
            return;
        };
        let endpoints = destination.endpoints.iter().filter_map(|id| self.directory.endpoint(*id));
        for slot in endpoints.map(|endpoint| endpoint.route).collect::<Vec<_>>() {
            let pacer = self.pacer(self.directory.route(slot));
            if matches!(pacer.health, Health::Ejected(_)) {
                let due = Pacer { health: Health::Ejected(self.now), ..pacer };
                self.directory.route_mut(slot).pacer = due;
            }
        }
    }

    /// Ejects a shared route when the last endpoint of its destination is ejected or, if all recent calls
    /// failed, when the last one fails. The recovery is then paced for the destination as a whole.
    fn eject_shared_route(&mut self, id: DestinationId) {
        let Some(shared) = self.directory.destination(id).and_then(|destination| destination.shared_route)
        else {
            return;
        };
        let all_fail = self.directory.route(shared).rate_before_failing.is_some();
        // Returns when an endpoint can be tried again: 0 if it is available, `None` if it is recovering.
        let next_trial = |endpoint: &Endpoint| {
            let route = self.directory.route(endpoint.route);
            let fails = all_fail && (route.consecutive_failures > 0 || route.is_stalled(self.now));
            match self.pacer(route).health {
                Health::Ejected(next) => Some(next),
                Health::Healthy if fails => Some(self.now),
                Health::Healthy if endpoint.state == EndpointState::Active => Some(Timestamp(0)),
                _ => None,
            }
        };
        let next = self.directory.endpoints_of(id).filter_map(|(_, endpoint)| next_trial(endpoint)).min();
        let pacer = self.pacer(self.directory.route(shared));
        let is_ejected = matches!(pacer.health, Health::Ejected(_));
        if let Some(next) = next.filter(|next| *next > Timestamp(0) && !is_ejected) {
            self.directory.route_mut(shared).pacer = Pacer { health: Health::Ejected(next), ..pacer };
        }
    }
}
