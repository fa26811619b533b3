//! Applies events to the engine's state: messages, endpoints, settings and the end of the process.

use super::*;

/// Number of discovery failures after which the backoff stops doubling.
const MAX_DISCOVERY_BACKOFF_DOUBLINGS: u32 = 4;

impl DeliveryEngine {
    pub(super) fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            // The class is unknown, so the message is returned; it was never sent.
            Event::Message(message) if message.class.0 >= self.settings.classes.len() => {
                actions.push(Action::Return { message: message.id, retry_after: None });
            }
            Event::Message(message) => self.messages.insert(*message, self.now, &self.settings),
            Event::Recovered(recovered) => self.recover(recovered),
            Event::RetryAfter { endpoint, wait } => self.apply_retry_after(*endpoint, *wait),
            Event::CompletionAcknowledged(id) => self.messages.acknowledge(*id, self.now, &self.settings),
            Event::Shutdown(at) => self.process_end = Some(ProcessEnd { at: *at, has_successor: false }),
            Event::Handover(at) => self.process_end = Some(ProcessEnd { at: *at, has_successor: true }),
            Event::Settings(settings) => self.apply_settings(settings),
            Event::AttemptEnded { .. } => self.attempt_ended(event, actions),
            Event::Cancelled(id) => self.cancelled(*id),
            Event::EndpointSnapshot(entries) => self.apply_endpoints(entries, true),
            Event::EndpointUpdates(entries) => self.apply_endpoints(entries, false),
            Event::DiscoveryFailed => self.discovery_failed(),
            Event::HealthCheckEnded { .. } => {}
            Event::TimerFired => self.timer_at = None,
        }
    }

    /// Resumes a message of an earlier process, with its attempts and its first uncertain attempt.
    fn recover(&mut self, recovered: &RecoveredMessage) {
        let message = recovered.message;
        if message.class.0 >= self.settings.classes.len() {
            return;
        }
        self.messages.insert(message, self.now, &self.settings);
        if recovered.ended {
            self.messages.forget_undelivered(message.id, self.now, &self.settings);
            return;
        }
        // Attempts in flight ended with their process. Jitter keeps senders apart that restart together.
        let jitter = self.random_unit();
        let class = &self.settings.classes[message.class.0];
        let backoff = match recovered.attempts {
            0 => 0.0,
            attempts => retry::backoff(class, attempts, jitter),
        };
        self.messages.restore(recovered, after(self.now, backoff), self.now, &self.settings);
        if let Some(key) = message.key.filter(|_| recovered.first_uncertain_attempt.is_some()) {
            self.hold_key(key);
        }
    }

    fn cancelled(&mut self, id: MessageId) {
        let Some(state) = self.messages.get_mut(id) else { return };
        match state.phase {
            Phase::InFlight(attempt) => state.phase = Phase::Detached(attempt),
            Phase::Pending(_) => self.messages.forget(id, self.now, &self.settings),
            Phase::Detached(_) => {}
        }
    }

    fn apply_retry_after(&mut self, endpoint: EndpointId, delay: TimeDelta) {
        let Some(endpoint) = self.directory.endpoint(endpoint) else { return };
        let [own, shared] = self.directory.route_slots(endpoint);
        if let Some(slot) = shared.or(own) {
            self.extend_retry_after(slot, delay);
        }
    }

    /// Blocks calls to a route for a Retry-After delay. The latest end applies if there are several.
    pub(super) fn extend_retry_after(&mut self, slot: usize, delay: TimeDelta) {
        let until = Timestamp(self.now.0 + delay.0);
        let route = self.directory.route_mut(slot);
        route.retry_after_until = route.retry_after_until.max(until);
    }

    /// Replaces the settings. Messages that have reached the new limit of attempts end.
    fn apply_settings(&mut self, settings: &Settings) {
        self.messages.pending.set_curves(weight_curves(settings));
        self.settings = settings.clone();
        let states = self.messages.iter();
        let exhausted = states.filter(|(_, state)| state.attempts >= settings.max_attempts);
        let exhausted: Vec<MessageId> = exhausted.map(|(id, _)| id).collect();
        self.messages.end_candidates.extend(exhausted);
    }

    fn discovery_failed(&mut self) {
        self.discovery_failures = (self.discovery_failures + 1).min(MAX_DISCOVERY_BACKOFF_DOUBLINGS);
        let max_backoff = self.settings.rules.discovery_staleness_limit.0 as f64 / 2.0;
        let doubled = f64::from(1 << self.discovery_failures);
        let backoff = self.settings.connect_timeout.0 as f64 * doubled / 4.0;
        self.watch_at = Some(after(self.now, backoff.min(max_backoff) * (0.5 + self.random_unit())));
    }

    fn apply_endpoints(&mut self, entries: &[EndpointEntry], is_snapshot: bool) {
        self.discovery_failures = 0;
        let (now, settings) = (self.now, &self.settings);
        let shares_limit =
            |kind: KindId| settings.kinds.get(kind.0).is_some_and(|kind| !kind.limits_per_endpoint);
        // The capacity hint applies to the destination's route if its endpoints share a limit.
        let new_route = |entry: &EndpointEntry, endpoint: Option<EndpointId>| {
            let enforces_limit = endpoint.is_none() == shares_limit(entry.kind);
            let hinted = settings.capacity_hints != CapacityHints::None && enforces_limit;
            let hint = if hinted { entry.capacity_hint } else { 0.0 };
            let mut route = Route::new(entry.destination, endpoint, enforces_limit, hint);
            route.created_at = now;
            route
        };
        let known = entries.iter().filter(|entry| entry.kind.0 < settings.kinds.len());
        let known: Vec<EndpointEntry> = known.copied().collect();
        for change in self.directory.apply(&known, is_snapshot, self.now, shares_limit, new_route) {
            if let Some(removed_at) = change.removed_at {
                let forget = Timestamp(removed_at.0 + self.settings.rules.slow_start_duration.0);
                let timer = Timer::ForgetEndpoint(change.endpoint, change.destination);
                self.messages.pending.timers.set(forget, timer);
            }
            self.endpoint_state_changed(change.endpoint, change.previous);
            self.messages.pending.mark_changed(change.destination);
        }
    }

    /// Ejects an endpoint that starts to drain, and begins a slow start when it is active again.
    fn endpoint_state_changed(&mut self, id: EndpointId, previous: EndpointState) {
        let Some(endpoint) = self.directory.endpoint(id) else { return };
        let health = match (previous, endpoint.state) {
            (EndpointState::Active, EndpointState::Draining) => Health::Ejected(self.now),
            (EndpointState::Draining, EndpointState::Active) => Health::SlowStart(self.now),
            _ => return,
        };
        let route = self.directory.route_mut(endpoint.route);
        route.pacer = Pacer { health, tokens: 1.0, ..route.pacer_at(self.now, &self.settings) };
    }

    /// Drops the state of endpoints that were removed at least one slow start ago and have no calls in flight
    /// and no active Retry-After. A destination is dropped with its last endpoint.
    pub(super) fn forget_removed_endpoints(&mut self, actions: &mut Vec<Action>) {
        let (now, retiring) = (self.now, std::mem::take(&mut self.retiring));
        let needed_until = |route: &Route| match route.in_flight.is_empty() {
            true => Some(route.retry_after_until).filter(|until| now < *until),
            false => Some(Timestamp(u64::MAX)),
        };
        let removed_before = Timestamp(now.0.saturating_sub(self.settings.rules.slow_start_duration.0));
        for retired in self.directory.retire_all(retiring, removed_before, needed_until) {
            actions.extend(retired.is_forgotten.then_some(Action::ForgetEndpoint(retired.endpoint)));
            if let Some(again) = retired.needed_until.filter(|until| *until < Timestamp(u64::MAX)) {
                let timer = Timer::ForgetEndpoint(retired.endpoint, retired.destination);
                self.messages.pending.timers.set(again, timer);
            }
            self.messages.pending.mark_changed(retired.destination);
        }
    }
}
