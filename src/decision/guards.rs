//! The six rules as guards, what follows a failed attempt, and how a message ends undelivered.

use super::*;

/// First retry wait as a share of the class's aim: several tries fit before lateness costs much.
const BACKOFF_OBJECTIVE_SHARE: f64 = 0.125;
/// Cap of the doubling, in first waits (the write-up's 10 s over 1 s).
const BACKOFF_CAP_FACTOR: f64 = 10.0;
/// Most that chance adds, in first waits (the write-up's 500 ms over 1 s).
const BACKOFF_JITTER_FACTOR: f64 = 0.5;

/// Part of the room for messages that is kept free for newcomers by shedding what is worth least.
const RESERVED_CAPACITY_DIVISOR: usize = 16;

/// The doubling, capped wait after so many attempts, in microseconds; `jitter` is chance's part, from 0 to 1.
pub(super) fn backoff(class: &Class, attempts: u32, jitter: f64) -> f64 {
    let base = class.latency_objective.0 as f64 * BACKOFF_OBJECTIVE_SHARE;
    let doubled = base * f64::from(1u32 << attempts.saturating_sub(1).min(8)).min(BACKOFF_CAP_FACTOR);
    doubled + jitter * base * BACKOFF_JITTER_FACTOR
}

impl DeliveryEngine {
    // ---- rule guards: one for each rule, all asked in `may_send` --------------------------------------

    /// Every forward passes here. `joins`: it shares a call that was already let through in this step.
    pub(super) fn is_send_allowed(&self, id: MessageId, endpoint: EndpointId, joins: bool) -> bool {
        let (Some(held), Some(at)) = (self.messages.get(&id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        at.destination == held.message.destination
            && held.attempts < self.settings.max_attempts
            && self.guard_not_lost(held)
            && self.guard_single_effect(held, at)
            && self.guard_order(held)
            && self.is_open(at, joins)
    }

    /// Whether an endpoint may be sent to, whatever the message.
    pub(super) fn is_open(&self, at: &Endpoint, joins: bool) -> bool {
        let goes = |line| {
            self.guard_retry_after(line)
                && (joins || (self.guard_slow_start(line) && self.is_within_pace(line)))
        };
        (joins || self.has_free_calls(at.destination))
            && self.completes_before_shutdown(self.directory.route(at.route))
            && self.guard_draining(at)
            && self.directory.routes(at).all(goes)
    }

    /// Whether a call that connecting has held up may still go out: a wait, a drain, a window's end may come.
    pub fn is_call_still_allowed(&self, now: Timestamp, id: MessageId, endpoint: EndpointId) -> bool {
        let (Some(held), Some(at)) = (self.messages.get(&id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        let [own, shared] = self.directory.route_slots(at);
        self.guard_draining(at)
            && self.is_retryable_at(held, now)
            && shared.or(own).is_none_or(|line| now >= self.directory.route(line).retry_after_until)
    }

    /// Rule 1: only a message that has not ended and has time left.
    fn guard_not_lost(&self, held: &MessageState) -> bool {
        matches!(held.phase, Phase::Pending(_)) && self.now < self.end_by(held.deadline)
    }

    /// Rule 2: what may have run is repeated as its kind permits, in the window of the first such try.
    fn guard_single_effect(&self, held: &MessageState, at: &Endpoint) -> bool {
        let repeat = self.settings.classes[held.message.class.0].idempotency;
        let here = matches!(repeat, Idempotency::WithKey { scope: DeduplicationScope::Zone, .. });
        self.is_retryable_at(held, self.now)
            && held.first_uncertain_attempt.is_none_or(|ran| !here || at.zone == ran.zone)
    }

    /// Rule 3: nothing new to what drains or is gone, from the moment it is known: stricter than the grace.
    fn guard_draining(&self, at: &Endpoint) -> bool {
        at.state == EndpointState::Active
    }

    /// Rule 4: one call at a time into an outage; afterwards the ramp, by tokens.
    fn guard_slow_start(&self, line: &Route) -> bool {
        let flow = self.pacer(line);
        match flow.health {
            Health::Healthy => true,
            Health::Ejected(next) => self.now >= next && line.in_flight.is_empty(),
            Health::SlowStart(_) => flow.tokens >= 1.0,
        }
    }

    /// Rule 5: a told wait is kept.
    fn guard_retry_after(&self, line: &Route) -> bool {
        self.now >= line.retry_after_until
    }

    /// Rule 6: only the first of its key, and after the rest that the one before left behind.
    pub(super) fn guard_order(&self, held: &MessageState) -> bool {
        match held.message.key.and_then(|key| self.keys.head(key)) {
            Some((first, rest)) if first == Some(held.message.id) => held.attempts > 0 || self.now >= rest,
            Some(_) => !self.settings.classes[held.message.class.0].ordered,
            None => true,
        }
    }

    /// After an outcome that did not end the message: another try later, or the end.
    pub(super) fn retry(&mut self, id: MessageId, outcome: Outcome, actions: &mut Vec<Action>) {
        let jitter = self.random_unit();
        let Some(held) = self.messages.get_mut(&id) else { return };
        let class = &self.settings.classes[held.message.class.0];
        let wait = match outcome {
            // All who were told to wait come back at its end: each by chance its backoff or the wait later.
            Outcome::Rejected { retry_after: Some(TimeDelta(told)) } => {
                told as f64 + jitter * backoff(class, held.attempts, 0.0).max(told as f64)
            }
            _ => backoff(class, held.attempts, jitter),
        };
        let at = after(self.now, wait);
        held.phase = Phase::Pending(at);
        let held = &self.messages[&id];
        let over = held.attempts >= self.settings.max_attempts || at >= self.end_by(held.deadline);
        if over || !self.is_retryable_at(held, at) {
            self.end(id, actions);
        } else {
            self.update_entry(id);
        }
    }

    /// Whether some endpoint could still be sent the message at `at` by the effect rule.
    fn is_retryable_at(&self, held: &MessageState, at: Timestamp) -> bool {
        let Some(ran) = held.first_uncertain_attempt else { return true };
        match self.settings.classes[held.message.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { window, .. } => {
                since(at, ran.sent_at) + self.settings.min_step_interval.0 < window.0
            }
        }
    }

    /// The one place that chooses between refusing and failing: refused, coming again is harmless.
    pub(super) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(held) = self.messages.get(&id) else { return };
        let harmless = match self.settings.classes[held.message.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::Destination, .. } => {
                true
            }
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => {
                held.first_uncertain_attempt.is_none()
            }
        };
        let after = self.client_retry_after(held);
        actions.push(if harmless {
            Action::Return { message: id, retry_after: after }
        } else {
            Action::Fail(id)
        });
        self.forget_undelivered(id);
    }

    /// When a refused message may come again: once something of its destination may be called, in its time.
    fn client_retry_after(&self, held: &MessageState) -> Option<TimeDelta> {
        let opens = |line: &Route| {
            let health = match line.pacer.health {
                Health::Ejected(at) | Health::SlowStart(at) => at,
                Health::Healthy => Timestamp(0),
            };
            line.retry_after_until.max(line.backoff_until).max(health)
        };
        let endpoints = self.directory.endpoints_of(held.message.destination);
        let active = endpoints.filter(|(_, at)| at.state == EndpointState::Active);
        let at = active.filter_map(|(_, at)| self.directory.routes(at).map(opens).max()).min()?;
        (self.now < at && at < held.deadline).then(|| TimeDelta(at.0 - self.now.0))
    }

    /// A waiting message must be ended by then: the next heartbeat would come too late.
    pub(super) fn end_by(&self, deadline: Timestamp) -> Timestamp {
        Timestamp(deadline.0.saturating_sub(self.end_margin()))
    }

    pub(super) fn end_margin(&self) -> u64 {
        2 * HEARTBEAT_STEPS * self.settings.min_step_interval.0
    }

    /// Whether a message that waits can no longer be delivered, by time, attempts or the effect rule.
    pub(super) fn is_due(&self, held: &MessageState) -> bool {
        matches!(held.phase, Phase::Pending(at)
            if self.now >= self.end_by(held.deadline) || held.attempts >= self.settings.max_attempts
                || !self.is_retryable_at(held, self.now.max(at)))
    }

    /// Ends those whose time is up, or the window of whose key has closed.
    pub(super) fn end_expired(&mut self, actions: &mut Vec<Action>) {
        let mut late = std::mem::take(&mut self.closed_windows);
        late.extend(self.pending.expired(MAX_WORK_PER_STEP + 1));
        late.sort_unstable();
        late.dedup();
        self.has_more_work |= late.len() > MAX_WORK_PER_STEP;
        for id in late.drain(..late.len().min(MAX_WORK_PER_STEP)) {
            if self.messages.get(&id).is_some_and(|held| self.is_due(held)) {
                self.end(id, actions);
            }
        }
        self.closed_windows = late;
    }

    /// What delivering a message of that deadline after `delay` more would earn.
    pub(super) fn weight_after(&self, class: ClassId, deadline: Timestamp, delay: f64) -> f64 {
        remaining_weight(
            &self.settings.classes[class.0],
            self.settings.weight_decay,
            self.now,
            deadline,
            delay,
        )
    }

    /// With the room almost full, the message worth least is refused for newcomers, of equals the first due.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.capacity() {
            let never_ran = self
                .pending
                .sheddable()
                .map(|(class, deadline, id)| (self.weight_after(class, deadline, 0.0), deadline, id));
            let least = never_ran.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, id)) = least else { return };
            self.end(id, actions);
        }
    }

    pub(super) fn capacity(&self) -> usize {
        (self.settings.max_pending_messages
            - (self.settings.max_pending_messages / RESERVED_CAPACITY_DIVISOR).max(1))
        .max(1)
    }
}
