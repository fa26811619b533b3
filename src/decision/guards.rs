//! Guards that enforce the six rules of delivery. Every send must pass all of them.

use super::*;

impl DeliveryEngine {
    /// Returns whether a message may be sent to an endpoint now; every send is checked here. `joins_call`
    /// means that the message joins a call that has already passed the guards in this step.
    pub(super) fn is_send_allowed(&self, id: MessageId, endpoint: EndpointId, joins_call: bool) -> bool {
        let (Some(state), Some(endpoint)) = (self.messages.get(id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        endpoint.destination == state.message.destination
            && state.attempts < self.settings.max_attempts
            && self.guard_not_lost(state)
            && self.guard_single_effect(state, endpoint)
            && self.guard_order(state)
            && self.is_open(endpoint, joins_call)
    }

    /// Returns whether an endpoint accepts sends, regardless of the message.
    pub(super) fn is_open(&self, endpoint: &Endpoint, joins_call: bool) -> bool {
        let passes = |route| {
            let may_start = || self.guard_slow_start(route) && self.is_within_pace(route);
            self.guard_retry_after(route) && (joins_call || may_start())
        };
        (joins_call || self.has_free_calls(endpoint.destination))
            && self.completes_before_process_end(self.directory.route(endpoint.route))
            && self.guard_draining(endpoint)
            && self.directory.routes(endpoint).all(passes)
    }

    /// Returns whether a call that was delayed by connecting may still be sent. Since it was scheduled, a
    /// Retry-After or a drain may have arrived, or the deduplication window may have closed.
    pub fn is_call_still_allowed(&self, now: Timestamp, id: MessageId, endpoint: EndpointId) -> bool {
        let (Some(state), Some(endpoint)) = (self.messages.get(id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        let [own, shared] = self.directory.route_slots(endpoint);
        endpoint.destination == state.message.destination
            && self.guard_draining(endpoint)
            && self.is_retryable_at(state, now)
            && shared.or(own).is_none_or(|slot| now >= self.directory.route(slot).retry_after_until)
    }

    /// Rule 1: a message is sent only while it is pending and has time left.
    fn guard_not_lost(&self, state: &MessageState) -> bool {
        matches!(state.phase, Phase::Pending(_)) && self.now < self.end_by(state.deadline)
    }

    /// Rule 2: an operation that may have run is retried only as its class permits, within the deduplication
    /// window of the first attempt that may have run.
    fn guard_single_effect(&self, state: &MessageState, endpoint: &Endpoint) -> bool {
        let idempotency = self.settings.classes[state.message.class.0].idempotency;
        let is_zone_scoped =
            matches!(idempotency, Idempotency::WithKey { scope: DeduplicationScope::Zone, .. });
        let same_zone = |attempt: UncertainAttempt| !is_zone_scoped || endpoint.zone == attempt.zone;
        self.is_retryable_at(state, self.now) && state.first_uncertain_attempt.is_none_or(same_zone)
    }

    /// Rule 3: nothing is sent to a draining or removed endpoint. The rule's grace period is not used.
    fn guard_draining(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Active
    }

    /// Rule 4: an ejected route gets one trial call at a time; a recovering one is limited by its tokens, and
    /// one that may have had an outage by what it accepts if it has.
    fn guard_slow_start(&self, route: &Route) -> bool {
        let pacer = self.pacer(route);
        let health_permits = match pacer.health {
            Health::Healthy => true,
            Health::Ejected(next) => self.now >= next && route.in_flight.is_empty(),
            Health::SlowStart(_) => pacer.tokens >= 1.0,
        };
        health_permits && route.permits_cautious_call(self.now, &self.settings)
    }

    /// Rule 5: no call is made before a Retry-After delay has passed.
    fn guard_retry_after(&self, route: &Route) -> bool {
        self.now >= route.retry_after_until
    }

    /// Rule 6: only the first message of a key is sent, and its first attempt only after the key's hold.
    pub(super) fn guard_order(&self, state: &MessageState) -> bool {
        match state.message.key.and_then(|key| self.messages.key_head(key)) {
            Some(head) if head.first == Some(state.message.id) => {
                state.attempts > 0 || self.now >= head.held_until
            }
            Some(_) => !self.settings.classes[state.message.class.0].ordered,
            None => true,
        }
    }

    /// Returns whether rule 2 still permits an attempt at `at`, to at least one endpoint.
    pub(super) fn is_retryable_at(&self, state: &MessageState, at: Timestamp) -> bool {
        let Some(attempt) = state.first_uncertain_attempt else { return true };
        match self.settings.classes[state.message.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { window, .. } => {
                since(at, attempt.sent_at) < self.settings.retry_window(window).0
            }
        }
    }
}
