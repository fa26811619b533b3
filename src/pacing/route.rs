//! The state of a route: an endpoint, or a destination whose endpoints share a limit.
//!
//! A route holds observations (latency, consecutive failures, the last reported limit) and its pacer. This
//! module stores the state and advances it in time; `src/decision/route.rs` updates it from the outcomes of
//! calls.
use super::caution::{Caution, MIN_OUTAGE_WINDOWS};
use super::pacer::RATE_WINDOW_SECONDS;
use super::{Health, PaceBounds, Pacer};
use crate::interface::{after, seconds, since};
use crate::{DestinationId, EndpointId, LoadReport, Outcome, Settings, Timestamp};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A call is overdue when its latency exceeds the mean by this many mean deviations.
pub(crate) const OVERDUE_DEVIATIONS: f64 = 4.0;
/// A rejection is not attributed to the limit if at least this fraction of the limit remains.
pub(crate) const UNEXPLAINED_REMAINING_SHARE: f64 = 0.3;
/// Weight of a new sample in a learned mean.
pub(crate) const LEARNING_WEIGHT: f64 = 0.2;

/// The outcome of a call as recorded on one of its routes.
pub(crate) struct ObservedOutcome {
    pub(crate) sent_at: Timestamp,
    pub(crate) outcome: Outcome,
    pub(crate) report: Option<LoadReport>,
    /// Number of routes that share the reported limit.
    pub(crate) route_count: usize,
    /// Whether a rejection is explained by the destination's limit, which has no capacity left.
    pub(crate) limit_is_spent: bool,
    /// Whether answers are currently getting lost.
    pub(crate) answers_are_lost: bool,
    /// A random number from 0 to 1 that spreads the calls of different senders.
    pub(crate) jitter: f64,
}

impl ObservedOutcome {
    /// Returns the end of the Retry-After delay of a rejection; `now` if there is none.
    pub(crate) fn retry_after_end(&self, now: Timestamp) -> Timestamp {
        match self.outcome {
            Outcome::Rejected { retry_after: Some(delay) } => after(now, delay.0 as f64),
            _ => now,
        }
    }
}

/// The state of a route. The order of the fields must not change: checkpoints and the handover store them by
/// position.
#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Route {
    pub(crate) destination: DestinationId,
    /// The endpoint; `None` if all endpoints of the destination share the route.
    pub(crate) endpoint: Option<EndpointId>,
    /// The end of the destination's Retry-After; no calls are allowed before it.
    pub(crate) retry_after_until: Timestamp,
    /// The end of this sender's backoff after a rejection without a Retry-After.
    pub(crate) backoff_until: Timestamp,
    pub(crate) pacer: Pacer,
    /// The pacer as last advanced, cached for the duration of a step.
    #[serde(skip)]
    cached_pacer: Cell<Pacer>,
    /// Number of calls since the last success that failed, or were rejected although the limit was not spent.
    pub(crate) consecutive_failures: u32,
    /// The limit of calls that these failures cause.
    #[serde(skip)]
    pub(crate) caution: Caution,
    /// When the last of at least two consecutive failures occurred. Single failures, such as a reset, are
    /// ignored.
    pub(crate) last_repeated_failure: Option<Timestamp>,
    /// The rate at which a shared route began to fail on all endpoints; `None` while it doesn't.
    #[serde(default)]
    pub(crate) rate_before_failing: Option<f64>,
    pub(crate) consecutive_rejections: u32,
    /// Mean latency, in microseconds; 0 until the first call has ended.
    pub(crate) latency: f64,
    /// Mean deviation of the latency, in microseconds.
    pub(crate) deviation: f64,
    /// Start time of each call in flight, by call number; the oldest is first.
    #[serde(skip)]
    pub(crate) in_flight: BTreeMap<u64, Timestamp>,
    pub(crate) last_answer: Timestamp,
    pub(crate) last_success: Timestamp,
    /// When this process created the route; 0 if it was restored.
    #[serde(skip)]
    pub(crate) created_at: Timestamp,
    pub(crate) last_rejection: Timestamp,
    /// The last reported limit for all senders together, in calls per second; 0 if unknown.
    pub(crate) limit: f64,
    /// Number of routes that share the limit.
    #[serde(default)]
    pub(crate) route_count: usize,
    /// The unused fraction of the limit when it was reported.
    #[serde(default)]
    pub(crate) remaining_share: f64,
    /// Whether the limit and the Retry-After delays of the destination apply to this route.
    #[serde(default)]
    pub(crate) enforces_limit: bool,
}

impl Route {
    /// Creates a route without history. `hint` is its expected limit, in calls per second; 0 if unknown.
    pub(crate) fn new(
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        enforces_limit: bool,
        hint: f64,
    ) -> Self {
        let pacer = Pacer { pace: f64::INFINITY, tokens: 1.0, ..Pacer::default() };
        Route { destination, endpoint, pacer, limit: hint, enforces_limit, ..Route::default() }
    }

    /// Returns the bounds of the pace by the limit and the last load report.
    pub(crate) fn bounds(&self, settings: &Settings) -> PaceBounds {
        PaceBounds::new(self.limit, self.route_count, self.enforces_limit, self.remaining_share, settings)
    }

    /// Returns whether the limit of the route explains a rejection with this report.
    pub(crate) fn explains_rejection(&self, report: Option<LoadReport>) -> bool {
        let reported = report.map(|report| report.limit_per_second).filter(|limit| *limit > 0.0);
        let has_limit = self.enforces_limit && reported.unwrap_or(self.limit) > 0.0;
        has_limit && report.is_none_or(|report| report.remaining_share < UNEXPLAINED_REMAINING_SHARE)
    }

    /// Returns the state of the pacer at `now`.
    pub(crate) fn pacer_at(&self, now: Timestamp, settings: &Settings) -> Pacer {
        if self.pacer.updated_at == now {
            return self.pacer;
        }
        if self.cached_pacer.get().updated_at != now {
            self.cached_pacer.set(self.pacer.advanced_to(now, &self.bounds(settings), settings));
        }
        self.cached_pacer.get()
    }

    /// Returns whether the oldest call in flight, and every answer, is longer ago than a healthy one takes.
    pub(crate) fn has_overdue_call(&self, now: Timestamp) -> bool {
        let oldest = self.in_flight.values().next();
        let Some(oldest) = oldest.filter(|_| self.latency > 0.0) else { return false };
        since(now, self.last_answer.max(*oldest)) as f64 > self.latency_bound(OVERDUE_DEVIATIONS)
    }

    /// Returns the latency that is `deviations` mean deviations above the mean, in microseconds.
    pub(crate) fn latency_bound(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }

    /// Returns whether the latency of a call has been recorded. Always true for a shared route, which is not
    /// called itself.
    pub(crate) fn has_history(&self) -> bool {
        self.latency > 0.0 || self.endpoint.is_none()
    }

    /// Updates the mean latency from a call that succeeded or timed out.
    pub(crate) fn record_latency(&mut self, now: Timestamp, observed: &ObservedOutcome) {
        let elapsed = since(now, observed.sent_at) as f64;
        match observed.outcome {
            Outcome::Success | Outcome::TimedOut if self.latency == 0.0 => {
                (self.latency, self.deviation) = (elapsed, elapsed / 2.0);
            }
            Outcome::TimedOut if observed.answers_are_lost => {} // the latency of a lost answer is unknown
            Outcome::Success | Outcome::TimedOut => {
                self.deviation += LEARNING_WEIGHT * ((elapsed - self.latency).abs() - self.deviation);
                self.latency += LEARNING_WEIGHT * (elapsed - self.latency);
            }
            _ => {}
        }
    }

    /// Records the start of a call and consumes a token.
    pub(crate) fn start_call(&mut self, call: u64, now: Timestamp, settings: &Settings) {
        self.pacer = self.pacer_at(now, settings);
        self.pacer.tokens -= 1.0;
        if self.needs_caution(now, settings) {
            self.caution.record_call(now, settings);
        }
        self.in_flight.insert(call, now);
    }

    /// Returns whether the route may have had an outage, because a call has failed since the last success, or did
    /// before it and the slow start after it is not over.
    pub(crate) fn needs_caution(&self, now: Timestamp, settings: &Settings) -> bool {
        self.consecutive_failures > 0 || self.caution.slow_start(now, settings).is_some()
    }

    /// Begins the limit of a slow start if the call that succeeds at `now` may end an outage, or else ends the
    /// limit of a failure. If there was an outage, it began after the last success, and may have ended only now.
    pub(crate) fn update_caution(&mut self, now: Timestamp, settings: &Settings) {
        let last_known_up = self.last_success.max(self.created_at);
        let min_outage = MIN_OUTAGE_WINDOWS * settings.rules.overload_window.0 as f64;
        if self.consecutive_failures > 0 && since(now, last_known_up) as f64 > min_outage {
            self.pacer.rate = self.rate_at_last_success(now, settings);
            self.caution.begin_slow_start(now);
        } else if self.caution.slow_start(now, settings).is_none() {
            self.caution.clear();
        }
    }

    /// Returns whether a call at `now` is permitted although the route may have had an outage.
    pub(crate) fn permits_cautious_call(&self, now: Timestamp, settings: &Settings) -> bool {
        !self.needs_caution(now, settings)
            || self.caution.permits_call(now, self.expected_healthy_rate(now, settings), settings)
    }

    /// Returns the rate that the route is expected to accept if it has no outage, in calls per second.
    fn expected_healthy_rate(&self, now: Timestamp, settings: &Settings) -> f64 {
        self.bounds(settings).expected_rate(self.rate_at_last_success(now, settings), settings)
    }

    /// Returns the rate of successful calls before the last ones failed. Its decay since the last success is
    /// undone, for as long as a slow start takes.
    pub(crate) fn rate_at_last_success(&self, now: Timestamp, settings: &Settings) -> f64 {
        let pacer = self.pacer_at(now, settings);
        if pacer.health != Health::Healthy {
            return pacer.rate;
        }
        let idle = since(now, self.last_success).min(settings.rules.slow_start_duration.0);
        pacer.rate * (seconds(idle) / RATE_WINDOW_SECONDS).exp()
    }

    /// Returns the route as a later process restores it. An overdue call in flight counts as failed, because it
    /// ends with this process, and so does a slow start whose calls the later process does not know.
    pub(crate) fn snapshot(&self, now: Timestamp, settings: &Settings) -> Self {
        let mut route = self.clone();
        if self.needs_caution(now, settings) || self.has_overdue_call(now) {
            route.consecutive_failures = route.consecutive_failures.max(1);
        }
        route.in_flight.clear();
        route
    }

    /// Returns the earliest time at which the route can accept a call if no event occurs.
    pub(crate) fn opens_at(&self, now: Timestamp, settings: &Settings) -> Timestamp {
        let pacer = self.pacer_at(now, settings);
        let trial = if let Health::Ejected(next) = pacer.health { next } else { now };
        let token = pacer.next_token_at(now, &self.bounds(settings), settings);
        let cautious = match self.needs_caution(now, settings) {
            true => self.caution.opens_at(now, self.expected_healthy_rate(now, settings), settings),
            false => now,
        };
        self.retry_after_until.max(self.backoff_until).max(trial).max(token).max(cautious)
    }

    /// Drops learned estimates; restrictions that the rules require stay.
    pub(crate) fn forget_estimates(&mut self) {
        (self.latency, self.deviation, self.limit) = (0.0, 0.0, 0.0);
        (self.consecutive_rejections, self.last_repeated_failure) = (0, None);
        self.consecutive_failures = self.consecutive_failures.min(1);
        (self.pacer.rate, self.pacer.pace) = (0.0, f64::INFINITY);
    }

    /// Returns whether a Retry-After, a failure, an outage or a slow start restricts calls at `now`.
    pub(crate) fn is_restricted(&self, now: Timestamp, settings: &Settings) -> bool {
        let is_healthy = self.pacer.health == Health::Healthy && !self.needs_caution(now, settings);
        self.retry_after_until > now || !is_healthy
    }
}
