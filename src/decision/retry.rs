//! What follows an attempt that delivered nothing: backoff and retry, or the end; and which messages are
//! shed.

use super::*;

/// First backoff as a share of the class's latency objective: several attempts fit before lateness costs
/// much.
const BACKOFF_OBJECTIVE_SHARE: f64 = 0.125;
/// Cap of the doubling, in first backoffs (the write-up's 10 s over 1 s).
const BACKOFF_CAP_FACTOR: f64 = 10.0;
/// Most that chance adds, in first backoffs (the write-up's 500 ms over 1 s).
const BACKOFF_JITTER_FACTOR: f64 = 0.5;
/// The doubling is computed up to this many attempts; the cap comes long before.
const BACKOFF_DOUBLINGS: u32 = 8;
/// One part in this many of the capacity is kept free for new messages by shedding those of least weight.
const RESERVED_CAPACITY_DIVISOR: usize = 16;

/// The doubling, capped backoff after so many attempts, in microseconds; `jitter` is from 0 to 1.
pub(super) fn backoff(class: &Class, attempts: u32, jitter: f64) -> f64 {
    let first = class.latency_objective.0 as f64 * BACKOFF_OBJECTIVE_SHARE;
    let doubling = 1u32 << attempts.saturating_sub(1).min(BACKOFF_DOUBLINGS);
    let doubled = first * f64::from(doubling).min(BACKOFF_CAP_FACTOR);
    doubled + jitter * first * BACKOFF_JITTER_FACTOR
}

impl DeliveryEngine {
    /// After an outcome that did not end the message: another attempt later, or the end.
    pub(super) fn retry(&mut self, id: MessageId, outcome: Outcome, actions: &mut Vec<Action>) {
        let jitter = self.random_unit();
        let Some(state) = self.messages.get_mut(id) else { return };
        let class = &self.settings.classes[state.message.class.0];
        let delay = match outcome {
            // All that were given the same Retry-After return at its end: each later by chance, by up to its
            // backoff or the delay itself.
            Outcome::Rejected { retry_after: Some(TimeDelta(delay)) } => {
                let spread = backoff(class, state.attempts, 0.0).max(delay as f64);
                delay as f64 + jitter * spread
            }
            _ => backoff(class, state.attempts, jitter),
        };
        let at = after(self.now, delay);
        state.phase = Phase::Pending(at);
        let Some(state) = self.messages.get(id) else { return };
        let over = state.attempts >= self.settings.max_attempts || at >= self.end_by(state.deadline);
        if over || !self.is_retryable_at(state, at) {
            self.end(id, actions);
        } else {
            self.update_entry(id);
        }
    }

    /// Ends a message undelivered. The one place that chooses between returning and failing: a returned
    /// message can be submitted again without harm.
    pub(super) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(state) = self.messages.get(id) else { return };
        let harmless = match self.settings.classes[state.message.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::Destination, .. } => {
                true
            }
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => {
                state.first_uncertain_attempt.is_none()
            }
        };
        let retry_after = self.client_retry_after(state);
        let returned = Action::Return { message: id, retry_after };
        actions.push(if harmless { returned } else { Action::Fail(id) });
        self.messages.forget_undelivered(id, self.now, &self.settings);
    }

    /// When the client may submit a returned message again: once its destination may be called, within its
    /// time.
    fn client_retry_after(&self, state: &MessageState) -> Option<TimeDelta> {
        let opens = |route: &Route| {
            let recovery = match route.pacer.health {
                Health::Ejected(at) | Health::SlowStart(at) => at,
                Health::Healthy => Timestamp(0),
            };
            route.retry_after_until.max(route.backoff_until).max(recovery)
        };
        let endpoints = self.directory.endpoints_of(state.message.destination);
        let active = endpoints.filter(|(_, endpoint)| endpoint.state == EndpointState::Active);
        let at = active.filter_map(|(_, endpoint)| self.directory.routes(endpoint).map(opens).max()).min()?;
        (self.now < at && at < state.deadline).then(|| TimeDelta(at.0 - self.now.0))
    }

    /// A pending message has to end by then: the next heartbeat would come too late.
    pub(super) fn end_by(&self, deadline: Timestamp) -> Timestamp {
        Timestamp(deadline.0.saturating_sub(self.end_margin()))
    }

    /// How long before their deadlines messages are ended, in microseconds.
    pub(super) fn end_margin(&self) -> u64 {
        2 * HEARTBEAT_STEPS * self.settings.min_step_interval.0
    }

    /// Whether a pending message can no longer be delivered, by time, attempts or rule 2.
    pub(super) fn must_end(&self, state: &MessageState) -> bool {
        let Phase::Pending(at) = state.phase else { return false };
        self.now >= self.end_by(state.deadline)
            || state.attempts >= self.settings.max_attempts
            || !self.is_retryable_at(state, self.now.max(at))
    }

    /// Ends messages whose time is up or whose deduplication window has closed.
    pub(super) fn end_expired(&mut self, actions: &mut Vec<Action>) {
        let mut candidates = std::mem::take(&mut self.messages.end_candidates);
        candidates.extend(self.messages.pending.expired(MAX_WORK_PER_STEP + 1));
        candidates.sort_unstable();
        candidates.dedup();
        self.has_more_work |= candidates.len() > MAX_WORK_PER_STEP;
        for id in candidates.drain(..candidates.len().min(MAX_WORK_PER_STEP)) {
            if self.messages.get(id).is_some_and(|state| self.must_end(state)) {
                self.end(id, actions);
            }
        }
        self.messages.end_candidates = candidates;
    }

    /// What delivering a message of that deadline earns, `delay` microseconds from now.
    pub(super) fn weight_after(&self, class: ClassId, deadline: Timestamp, delay: f64) -> f64 {
        let class = &self.settings.classes[class.0];
        remaining_weight(class, self.settings.weight_decay, self.now, deadline, delay)
    }

    /// With the capacity almost used up, returns the message of least weight; among equals, the first due.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.capacity() {
            let sheddable = self.messages.pending.sheddable();
            let weighted = sheddable
                .map(|(class, deadline, id)| (self.weight_after(class, deadline, 0.0), deadline, id));
            let least = weighted.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, id)) = least else { return };
            self.end(id, actions);
        }
    }

    pub(super) fn capacity(&self) -> usize {
        let most = self.settings.max_pending_messages;
        (most - (most / RESERVED_CAPACITY_DIVISOR).max(1)).max(1)
    }
}
