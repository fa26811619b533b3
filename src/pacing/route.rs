//! The state of a route: an endpoint, or a destination whose endpoints share a limit.
//!
//! A route holds observations (latency, consecutive failures, the last reported limit) and its pacer. This
//! module stores the state and advances it in time; `src/decision/route.rs` updates it from the outcomes of
//! calls.
use super::{Health, PaceBounds, Pacer};
use crate::interface::{after, since};
use crate::{DestinationId, EndpointId, LoadReport, Outcome, Settings, Timestamp};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Weight of a new sample in a learned mean.
pub(crate) const LEARNING_WEIGHT: f64 = 0.2;

/// The outcome of a call as recorded on one of its routes.
pub(crate) struct ObservedOutcome {
    pub(crate) sent_at: Timestamp,
    pub(crate) outcome: Outcome,
    pub(crate) report: Option<LoadReport>,
    /// Number of routes that share the reported limit.
    pub(crate) route_count: usize,
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
    pub(crate) consecutive_failures: u32,
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
        self.in_flight.insert(call, now);
    }

    /// Returns the earliest time at which the route can accept a call if no event occurs.
    pub(crate) fn opens_at(&self, now: Timestamp, settings: &Settings) -> Timestamp {
        let pacer = self.pacer_at(now, settings);
        let trial = if let Health::Ejected(next) = pacer.health { next } else { now };
        let token = pacer.next_token_at(now, &self.bounds(settings), settings);
        self.retry_after_until.max(self.backoff_until).max(trial).max(token)
    }

    /// Drops learned estimates; restrictions that the rules require stay.
    pub(crate) fn forget_estimates(&mut self) {
        (self.latency, self.deviation, self.limit) = (0.0, 0.0, 0.0);
        (self.consecutive_failures, self.consecutive_rejections, self.last_repeated_failure) = (0, 0, None);
        (self.pacer.rate, self.pacer.pace) = (0.0, f64::INFINITY);
    }

    /// Returns whether a Retry-After, an outage or a slow start restricts calls at `now`.
    pub(crate) fn is_restricted(&self, now: Timestamp) -> bool {
        self.retry_after_until > now || self.pacer.health != Health::Healthy
    }
}
