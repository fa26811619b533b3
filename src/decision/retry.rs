//! Backoff and retry after an undelivered attempt, the end of undeliverable messages, and load shedding.

use super::*;

/// Initial backoff as a fraction of the class's latency objective, so that several attempts fit into it.
const BACKOFF_OBJECTIVE_SHARE: f64 = 0.125;
/// Maximum backoff without jitter, as a multiple of the initial backoff.
const BACKOFF_CAP_FACTOR: f64 = 10.0;
/// Maximum jitter added to a backoff, as a multiple of the initial backoff.
const BACKOFF_JITTER_FACTOR: f64 = 0.5;
/// Bounds the exponent of the backoff against overflow; `BACKOFF_CAP_FACTOR` applies earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The reciprocal of the fraction of capacity that is kept free for new messages by load shedding.
const RESERVED_CAPACITY_DIVISOR: usize = 16;

/// Returns the capped exponential backoff after `attempts` attempts, in microseconds; `jitter` is 0 to 1.
pub(super) fn backoff(class: &Class, attempts: u32, jitter: f64) -> f64 {
    let first = class.latency_objective.0 as f64 * BACKOFF_OBJECTIVE_SHARE;
    let doubling = 1u32 << attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    let doubled = first * f64::from(doubling).min(BACKOFF_CAP_FACTOR);
    doubled + jitter * first * BACKOFF_JITTER_FACTOR
}

impl DeliveryEngine {
    /// Schedules the next attempt after `outcome`, or ends the message if no further attempt is allowed.
    pub(super) fn retry(&mut self, id: MessageId, outcome: Outcome, actions: &mut Vec<Action>) {
        let jitter = self.random_unit();
        let Some(state) = self.messages.get_mut(id) else { return };
        let class = &self.settings.classes[state.message.class.0];
        let delay = match outcome {
            // Jitter spreads messages with the same Retry-After, by up to the larger of backoff and delay.
            Outcome::Rejected { retry_after: Some(TimeDelta(delay)) } => {
                let spread = backoff(class, state.attempts, 0.0).max(delay as f64);
                delay as f64 + jitter * spread
            }
            _ => backoff(class, state.attempts, jitter),
        };
        let at = after(self.now, delay);
        state.phase = Phase::Pending(at);
        let Some(state) = self.messages.get(id) else { return };
        let is_finished = state.attempts >= self.settings.max_attempts || at >= self.end_by(state.deadline);
        if is_finished || !self.is_retryable_at(state, at) {
            self.end(id, actions);
        } else {
            self.update_entry(id);
        }
    }

    /// Ends an undelivered message: returns it if submitting it again is safe, otherwise fails it.
    pub(super) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(state) = self.messages.get(id) else { return };
        let safe_to_resubmit = match self.settings.classes[state.message.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::Destination, .. } => {
                true
            }
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => {
                state.first_uncertain_attempt.is_none()
            }
        };
        let retry_after = self.client_retry_after(state);
        let return_action = Action::Return { message: id, retry_after };
        actions.push(if safe_to_resubmit { return_action } else { Action::Fail(id) });
        self.messages.forget_undelivered(id, self.now, &self.settings);
    }

    /// Returns the delay until the destination may be called again; `None` if it may be called now, or not
    /// before the message's deadline.
    fn client_retry_after(&self, state: &MessageState) -> Option<TimeDelta> {
        let reopens_at = |route: &Route| {
            let recovery = match route.pacer.health {
                Health::Ejected(at) | Health::SlowStart(at) => at,
                Health::Healthy => Timestamp(0),
            };
            route.retry_after_until.max(route.backoff_until).max(recovery)
        };
        let endpoints = self.directory.endpoints_of(state.message.destination);
        let active = endpoints.filter(|(_, endpoint)| endpoint.state == EndpointState::Active);
        let at =
            active.filter_map(|(_, endpoint)| self.directory.routes(endpoint).map(reopens_at).max()).min()?;
        (self.now < at && at < state.deadline).then(|| TimeDelta(at.0 - self.now.0))
    }

    /// Returns when a pending message ends: early enough before its deadline not to miss it between timers.
    pub(super) fn end_by(&self, deadline: Timestamp) -> Timestamp {
        Timestamp(deadline.0.saturating_sub(self.end_margin()))
    }

    /// Returns how long before their deadlines messages are ended, in microseconds.
    pub(super) fn end_margin(&self) -> u64 {
        2 * HEARTBEAT_STEPS * self.settings.min_step_interval.0
    }

    /// Returns whether a pending message must end: no time, no attempts left, or no retry allowed by rule 2.
    pub(super) fn must_end(&self, state: &MessageState) -> bool {
        let Phase::Pending(at) = state.phase else { return false };
        self.now >= self.end_by(state.deadline)
            || state.attempts >= self.settings.max_attempts
            || !self.is_retryable_at(state, self.now.max(at))
    }

    /// Ends messages that have expired or whose deduplication window has closed.
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

    /// Returns the weight of a message of `class` if it is delivered `delay` microseconds from now.
    pub(super) fn weight_after(&self, class: ClassId, deadline: Timestamp, delay: f64) -> f64 {
        let class = &self.settings.classes[class.0];
        remaining_weight(class, self.settings.weight_decay, self.now, deadline, delay)
    }

    /// Ends messages until the reserved capacity is free: lowest weight first, then earliest deadline.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.capacity() {
            let sheddable = self.messages.pending.sheddable();
            let weighted = sheddable
                .map(|(class, deadline, id)| (self.weight_after(class, deadline, 0.0), deadline, id));
            let lightest = weighted.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, id)) = lightest else { return };
            self.end(id, actions);
        }
    }

    /// Returns the number of messages above which load is shed.
    pub(super) fn capacity(&self) -> usize {
        let max_pending = self.settings.max_pending_messages;
        (max_pending - (max_pending / RESERVED_CAPACITY_DIVISOR).max(1)).max(1)
    }
}
