//! Updates a route from the outcome of a call: latency, pace, outage detection and recovery.

use super::*;
use crate::pacing::route::{LEARNING_WEIGHT, ObservedOutcome, UNEXPLAINED_REMAINING_SHARE};
use crate::pacing::{PaceBounds, caution::MIN_OUTAGE_WINDOWS, mean_trial_offset, min_trial_rate};

/// Number of consecutive failures that count as an outage.
const OUTAGE_FAILURES: u32 = 4;
/// Learned fraction of failed calls above which a route is considered to be in an outage.
const OUTAGE_SHARE: f64 = 0.65;
/// Pace after a rejection that the limit doesn't explain, as a fraction of the rate of successful calls.
const REJECTION_PACE_FACTOR: f64 = 0.8;
/// Initial backoff of a route after a rejection without a Retry-After, in overload windows.
const BACKOFF_OVERLOAD_WINDOWS: f64 = 0.25;
/// Number of consecutive rejections after which the backoff of a route stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl Route {
    /// Returns whether calls are in flight and no answer has come for longer than a healthy one takes.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        self.endpoint.is_some() && self.has_overdue_call(now)
    }

    /// Updates the route from the outcome of a call. Returns whether the route was healthy and no longer is.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        observed: &ObservedOutcome,
    ) -> bool {
        self.pacer = self.pacer_at(now, settings);
        if let Some(report) = observed.report.filter(|report| report.limit_per_second > 0.0) {
            (self.limit, self.remaining_share) = (report.limit_per_second, report.remaining_share);
            self.route_count = observed.route_count;
        }
        let bounds = self.bounds(settings);
        self.record_latency(now, observed);
        let before = self.pacer.health;
        let healthy_rate = self.rate_at_last_success(now, settings);
        match observed.outcome {
            Outcome::Cancelled | Outcome::NotSent | Outcome::Deferred => return false,
            Outcome::Success => self.record_success(now, settings, &bounds, observed.jitter),
            Outcome::Rejected { retry_after } => {
                self.record_rejection(now, settings, &bounds, observed, retry_after)
            }
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(now, settings, observed);
            }
        }
        self.last_answer = now;
        if before == Health::Healthy && self.pacer.health != Health::Healthy {
            self.pacer.rate = self.pacer.rate.max(healthy_rate);
        }
        if let Health::Ejected(_) = self.pacer.health {
            self.schedule_trial(now, settings, &bounds, observed);
        }
        before == Health::Healthy && self.pacer.health != Health::Healthy
    }

    fn record_success(&mut self, now: Timestamp, settings: &Settings, bounds: &PaceBounds, jitter: f64) {
        self.update_caution(now, settings);
        (self.consecutive_failures, self.consecutive_rejections, self.last_success) = (0, 0, now);
        let pacer = &mut self.pacer;
        pacer.failure_share -= LEARNING_WEIGHT * pacer.failure_share;
        let failing = self.rate_before_failing.take();
        pacer.rate = pacer.rate.max(failing.unwrap_or(0.0)) + 1.0 / RATE_WINDOW_SECONDS;
        if failing.is_some() || matches!(pacer.health, Health::Ejected(_)) {
            // The destination recovered at some time between the last trial and this one.
            let silence = since(now, self.last_answer).min(settings.rules.slow_start_duration.0);
            let recovered_micros = silence as f64 * mean_trial_offset(settings.fleet_size);
            pacer.health = Health::SlowStart(Timestamp(now.0 - recovered_micros as u64));
            pacer.tokens = if failing.is_some() { jitter } else { 0.0 };
        }
        let no_recent_rejection = since(now, self.last_rejection) > settings.rules.slow_start_duration.0;
        let max_rate = bounds.max_rate();
        if bounds.is_limited() && max_rate < pacer.pace {
            (pacer.pace, pacer.tokens) = (max_rate, pacer.tokens.min(1.0));
        } else if bounds.is_limited() && no_recent_rejection {
            pacer.pace += (max_rate - pacer.pace) / 2.0;
        } else if bounds.is_limited() && self.remaining_share > UNEXPLAINED_REMAINING_SHARE {
            pacer.pace = pacer.pace.max(bounds.equal_rate());
        }
    }

    fn record_rejection(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        bounds: &PaceBounds,
        observed: &ObservedOutcome,
        retry_after: Option<TimeDelta>,
    ) {
        self.consecutive_rejections += 1;
        self.consecutive_failures += u32::from(!observed.limit_is_spent);
        self.last_rejection = now;
        let window = settings.rules.overload_window.0 as f64;
        // A rejection because of an exceeded limit does not indicate an outage.
        let is_limit_spent = |report: LoadReport| report.remaining_share < UNEXPLAINED_REMAINING_SHARE;
        let explained_by_limit = bounds.is_limited() && observed.report.is_none_or(is_limit_spent);
        if retry_after.is_none() || !self.enforces_limit {
            let doublings = self.consecutive_rejections.min(MAX_BACKOFF_DOUBLINGS) - 1;
            let backoff =
                window * BACKOFF_OVERLOAD_WINDOWS * f64::from(1 << doublings) * (0.5 + observed.jitter);
            self.backoff_until = after(now, backoff);
        }
        let pacer = &mut self.pacer;
        if explained_by_limit {
            // Jitter spreads the next calls of senders that were rejected at the same time.
            self.remaining_share = 0.0;
            pacer.pace = pacer.pace.min(bounds.rate_after_rejection());
            pacer.tokens = pacer.tokens.min(observed.jitter);
        } else if self.enforces_limit {
            // After a Retry-After there is capacity, so up to one token is kept; otherwise none is.
            let min_rate = (bounds.equal_share / 2.0).max(min_trial_rate(settings));
            pacer.pace = (pacer.rate.min(pacer.pace) * REJECTION_PACE_FACTOR).max(min_rate);
            pacer.tokens = if retry_after.is_some() { pacer.tokens.clamp(0.0, 1.0) } else { 0.0 };
        }
        // Many rejections in a row, or a long Retry-After, mean an outage rather than overload. If the end is
        // known from a Retry-After, the slow start begins then.
        let is_repeated = self.consecutive_rejections > OUTAGE_FAILURES && !explained_by_limit;
        let is_closed =
            retry_after.is_some_and(|delay| delay.0 as f64 > MIN_OUTAGE_WINDOWS * window) || is_repeated;
        if is_closed && retry_after.is_some() {
            (pacer.health, pacer.tokens) =
                (Health::SlowStart(observed.retry_after_end(now)), observed.jitter);
        } else if is_closed || pacer.health != Health::Healthy {
            pacer.health = Health::Ejected(now);
        }
    }

    fn record_failure(&mut self, now: Timestamp, settings: &Settings, observed: &ObservedOutcome) {
        self.consecutive_failures += 1;
        if self.consecutive_failures > 1 {
            self.last_repeated_failure = Some(now);
        }
        let elapsed = since(now, observed.sent_at) as f64;
        let no_success_since_sent = self.last_success < observed.sent_at;
        // A full connection table refuses immediately; a connect that times out indicates a dead endpoint.
        let connect_timed_out =
            observed.outcome == Outcome::ConnectFailed && elapsed > settings.connect_timeout.0 as f64 / 2.0;
        let pacer = &mut self.pacer;
        // Explicit errors are rarer than lost answers, so at a low call rate an error has more weight.
        let sample = 1.0 / (if connect_timed_out { 1.0 } else { 2.0 } + pacer.rate * RATE_WINDOW_SECONDS);
        let is_explicit_error = matches!(observed.outcome, Outcome::Failure | Outcome::ConnectFailed);
        let weight = if is_explicit_error { LEARNING_WEIGHT.max(sample) } else { LEARNING_WEIGHT };
        pacer.failure_share += weight * (1.0 - pacer.failure_share);
        let is_unresponsive =
            observed.outcome == Outcome::TimedOut && no_success_since_sent && self.consecutive_failures > 1;
        let has_relapsed = pacer.health != Health::Healthy && self.consecutive_failures > 2;
        let is_ejected = matches!(pacer.health, Health::Ejected(_));
        let is_outage = self.consecutive_failures >= OUTAGE_FAILURES || pacer.failure_share > OUTAGE_SHARE;
        // Endpoints that share a limit can fail individually, so failures eject only the endpoint's route.
        if self.endpoint.is_some()
            && (is_unresponsive
                || has_relapsed
                || is_ejected
                || is_outage
                || (connect_timed_out && no_success_since_sent))
        {
            pacer.health = Health::Ejected(now);
        }
        // If calls rotate over endpoints, an outage may stay below the thresholds of each of them.
        if self.endpoint.is_none() && (is_unresponsive || self.consecutive_failures >= OUTAGE_FAILURES) {
            self.rate_before_failing = self.rate_before_failing.or(Some(pacer.rate));
        }
    }

    /// Schedules the next trial of an ejected route, sooner if the last call is known not to have run.
    fn schedule_trial(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        bounds: &PaceBounds,
        observed: &ObservedOutcome,
    ) {
        let never_ran = matches!(observed.outcome, Outcome::ConnectFailed | Outcome::Rejected { .. });
        let min_rate = 2.0 * min_trial_rate(settings);
        let max_rate = if never_ran { 1e6 / settings.rules.overload_window.0 as f64 } else { min_rate };
        let rate = self.pacer.trial_rate(now, bounds, settings).min(max_rate).max(min_rate);
        let next = after(observed.retry_after_end(now), (0.5 + observed.jitter) / rate * 1e6);
        self.pacer.health = Health::Ejected(next);
    }
}
