//! What is known about one route: an endpoint, or a destination whose endpoints share one limit.
//!
//! A route holds observations (latency, failures in a row, the last reported limit) and the state of its pacer. The
//! conclusions drawn from an observation are in `src/decision/route.rs`; here the state is only stored and advanced in
//! time.
use super::{Health, PaceBounds, Pacer};
use crate::interface::{after, since};
use crate::{DestinationId, EndpointId, LoadReport, Outcome, Settings, Timestamp};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Weight of one more observation in a learned mean.
pub(crate) const LEARNING_WEIGHT: f64 = 0.2;

/// How a call ended, as seen by one of its routes.
pub(crate) struct ObservedOutcome {
    pub(crate) sent_at: Timestamp,
    pub(crate) outcome: Outcome,
    pub(crate) report: Option<LoadReport>,
    /// Routes over which the reported limit extends.
    pub(crate) route_count: usize,
    /// Whether answers get lost more often than by chance.
    pub(crate) answers_are_lost: bool,
    /// A random number from 0 to 1 that keeps senders apart.
    pub(crate) jitter: f64,
}

impl ObservedOutcome {
    /// Returns when the delay that a rejection asked for is over; `now` where none was named.
    pub(crate) fn retry_after_end(&self, now: Timestamp) -> Timestamp {
        match self.outcome {
            Outcome::Rejected { retry_after: Some(delay) } => after(now, delay.0 as f64),
            _ => now,
        }
    }
}

/// The state of a route. It is stored in checkpoints and in the handover by position: fields keep their order.
#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Route {
    pub(crate) destination: DestinationId,
    /// The endpoint, or none where the route stands for all endpoints of a destination.
    pub(crate) endpoint: Option<EndpointId>,
    /// Until then a Retry-After of the destination forbids calls.
    pub(crate) retry_after_until: Timestamp,
    /// Until then this sender holds calls back after a rejection that named no delay.
    pub(crate) backoff_until: Timestamp,
    pub(crate) pacer: Pacer,
    /// The pacer as it was last advanced, so that one step computes it once.
    #[serde(skip)]
    cached_pacer: Cell<Pacer>,
    pub(crate) consecutive_failures: u32,
    /// When two calls in a row failed last. Single failures are chance, such as a broken answer or a reset.
    pub(crate) last_repeated_failure: Option<Timestamp>,
    /// Of a shared route whose calls fail whichever endpoint they go to: its rate when that was found.
    #[serde(default)]
    pub(crate) rate_before_failing: Option<f64>,
    pub(crate) consecutive_rejections: u32,
    /// Mean latency in microseconds; 0 until the first call has ended.
    pub(crate) latency: f64,
    /// Mean deviation of the latency, in microseconds.
    pub(crate) deviation: f64,
    /// Start of each call in flight, by call number, oldest first.
    #[serde(skip)]
    pub(crate) in_flight: BTreeMap<u64, Timestamp>,
    pub(crate) last_answer: Timestamp,
    pub(crate) last_success: Timestamp,
    pub(crate) last_rejection: Timestamp,
    /// The limit as it was last reported, in calls a second from all senders together; 0 where none is known.
    pub(crate) limit: f64,
    /// Over how many routes the limit extends.
    #[serde(default)]
    pub(crate) route_count: usize,
    /// The share of the limit that was left when it was reported.
    #[serde(default)]
    pub(crate) remaining_share: f64,
    /// Whether the limit and the delays that the destination asks for apply to this route.
    #[serde(default)]
    pub(crate) enforces_limit: bool,
}

impl Route {
    /// Creates a route of which nothing is known but a `hint` at its limit, in calls a second (0 for none).
    pub(crate) fn new(
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        enforces_limit: bool,
        hint: f64,
    ) -> Self {
        let pacer = Pacer { pace: f64::INFINITY, tokens: 1.0, ..Pacer::default() };
        Route { destination, endpoint, pacer, limit: hint, enforces_limit, ..Route::default() }
    }

    /// Returns what bounds the pace beside what was learned.
    pub(crate) fn bounds(&self, settings: &Settings) -> PaceBounds {
        PaceBounds::new(self.limit, self.route_count, self.enforces_limit, self.remaining_share, settings)
    }

    /// Returns the pacer as it stands at `now`.
    pub(crate) fn pacer_at(&self, now: Timestamp, settings: &Settings) -> Pacer {
        if self.pacer.updated_at == now {
            return self.pacer;
        }
        if self.cached_pacer.get().updated_at != now {
            self.cached_pacer.set(self.pacer.advanced_to(now, &self.bounds(settings), settings));
        }
        self.cached_pacer.get()
    }

    /// Returns the latency that a healthy answer stays under, in microseconds, `deviations` past the mean.
    pub(crate) fn latency_bound(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }

    /// Returns whether a call has ended here. A shared route has no answers of its own and always counts as known.
    pub(crate) fn has_history(&self) -> bool {
        self.latency > 0.0 || self.endpoint.is_none()
    }

    /// Adds the latency of a call to the learned mean, if its outcome says something of it.
    pub(crate) fn record_latency(&mut self, now: Timestamp, seen: &ObservedOutcome) {
        let elapsed = since(now, seen.sent_at) as f64;
        match seen.outcome {
            Outcome::Success | Outcome::TimedOut if self.latency == 0.0 => {
                (self.latency, self.deviation) = (elapsed, elapsed / 2.0);
            }
            Outcome::TimedOut if seen.answers_are_lost => {} // says nothing of the latency
            Outcome::Success | Outcome::TimedOut => {
                self.deviation += LEARNING_WEIGHT * ((elapsed - self.latency).abs() - self.deviation);
                self.latency += LEARNING_WEIGHT * (elapsed - self.latency);
            }
            _ => {}
        }
    }

    /// Records the start of a call and takes its token.
    pub(crate) fn start_call(&mut self, call: u64, now: Timestamp, settings: &Settings) {
        self.pacer = self.pacer_at(now, settings);
        self.pacer.tokens -= 1.0;
        self.in_flight.insert(call, now);
    }

    /// Returns the earliest time at which a closed route can open with no event but the passing of time.
    pub(crate) fn opens_at(&self, now: Timestamp, settings: &Settings) -> Timestamp {
        let pacer = self.pacer_at(now, settings);
        let trial = if let Health::Ejected(next) = pacer.health { next } else { now };
        let token = pacer.next_token_at(now, &self.bounds(settings), settings);
        self.retry_after_until.max(self.backoff_until).max(trial).max(token)
    }

    /// Forgets learned estimates; what a rule depends on stays.
    pub(crate) fn forget_estimates(&mut self) {
        (self.latency, self.deviation, self.limit) = (0.0, 0.0, 0.0);
        (self.consecutive_failures, self.consecutive_rejections, self.last_repeated_failure) = (0, 0, None);
        (self.pacer.rate, self.pacer.pace) = (0.0, f64::INFINITY);
    }

    /// Returns whether a rule depends on this state at `now`, so that it is stored before mere estimates.
    pub(crate) fn is_restricted(&self, now: Timestamp) -> bool {
        self.retry_after_until > now || self.pacer.health != Health::Healthy
    }
}
