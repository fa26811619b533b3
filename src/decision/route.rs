//! What the outcome of a call says about its route: latency, pace, outages and the recovery from them.

use super::*;
use crate::pacing::route::{LEARNING_WEIGHT, ObservedOutcome};
use crate::pacing::{PaceBounds, mean_trial_offset, min_trial_rate};

/// A call is overdue this many mean deviations past the mean.
pub(super) const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Failures in a row that count as an outage.
const OUTAGE_FAILURES: u32 = 4;
/// Learned share of failed calls that counts as an outage.
const OUTAGE_SHARE: f64 = 0.65;
/// Pace left after a rejection above the limit, as a share of what got through.
const REJECTION_PACE_FACTOR: f64 = 0.8;
/// First backoff of a route after a rejection without a Retry-After, in overload windows; doubled each time.
const BACKOFF_OVERLOAD_WINDOWS: f64 = 0.25;
/// The doubling of that backoff stops after this many rejections.
const BACKOFF_DOUBLINGS: u32 = 4;
/// A Retry-After of this many overload windows comes from no limit: the route is closed.
const CLOSED_OVERLOAD_WINDOWS: f64 = 2.0;
/// Remaining share of a limit at which it explains no rejection.
const UNEXPLAINED_REMAINING_SHARE: f64 = 0.3;

impl Route {
    /// Whether it has been silent for longer than a healthy answer takes, with a call in flight for as long.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        let oldest = self.in_flight.values().next().filter(|_| self.endpoint.is_some());
        let Some(oldest) = oldest.filter(|_| self.latency > 0.0) else { return false };
        since(now, self.last_answer.max(*oldest)) as f64 > self.latency_bound(OVERDUE_DEVIATIONS)
    }

    /// Learns from how a call ended; returns whether that closed a healthy route.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        seen: &ObservedOutcome,
    ) -> bool {
        self.pacer = self.pacer_at(now, settings);
        if let Some(report) = seen.report.filter(|report| report.limit_per_second > 0.0) {
            (self.limit, self.remaining_share) = (report.limit_per_second, report.remaining_share);
            self.route_count = seen.route_count;
        }
        let bounds = self.bounds(settings);
        self.record_latency(now, seen);
        let before = self.pacer.health;
        match seen.outcome {
            Outcome::Cancelled | Outcome::NotSent | Outcome::Deferred => return false,
            Outcome::Success => self.record_success(now, settings, &bounds, seen.jitter),
            Outcome::Rejected { retry_after } => {
                self.record_rejection(now, settings, &bounds, seen, retry_after)
            }
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(now, settings, seen);
            }
        }
        self.last_answer = now;
        if let Health::Ejected(_) = self.pacer.health {
            self.schedule_trial(now, settings, &bounds, seen);
        }
        before == Health::Healthy && self.pacer.health != Health::Healthy
    }

    fn record_success(&mut self, now: Timestamp, settings: &Settings, bounds: &PaceBounds, jitter: f64) {
        (self.consecutive_failures, self.consecutive_rejections, self.last_success) = (0, 0, now);
        let pacer = &mut self.pacer;
        pacer.failure_share -= LEARNING_WEIGHT * pacer.failure_share;
        let failing = self.rate_before_failing.take();
        pacer.rate = pacer.rate.max(failing.unwrap_or(0.0)) + 1.0 / RATE_WINDOW_SECONDS;
        if failing.is_some() || matches!(pacer.health, Health::Ejected(_)) {
            // It recovered somewhere between the last trial and this one.
            let silence = since(now, self.last_answer).min(settings.rules.slow_start_duration.0);
            let recovered = silence as f64 * mean_trial_offset(settings.fleet_size);
            pacer.health = Health::SlowStart(Timestamp(now.0 - recovered as u64));
            pacer.tokens = if failing.is_some() { jitter } else { 0.0 };
        }
        let calm = since(now, self.last_rejection) > settings.rules.slow_start_duration.0;
        let most = bounds.max_rate();
        if bounds.is_limited() && most < pacer.pace {
            (pacer.pace, pacer.tokens) = (most, pacer.tokens.min(1.0));
        } else if bounds.is_limited() && calm {
            pacer.pace += (most - pacer.pace) / 2.0;
        } else if bounds.is_limited() && self.remaining_share > UNEXPLAINED_REMAINING_SHARE {
            pacer.pace = pacer.pace.max(bounds.equal_rate());
        }
    }

    fn record_rejection(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        bounds: &PaceBounds,
        seen: &ObservedOutcome,
        retry_after: Option<TimeDelta>,
    ) {
        self.consecutive_rejections += 1;
        self.last_rejection = now;
        let window = settings.rules.overload_window.0 as f64;
        // What the limit explains says nothing of an outage.
        let spent = |report: LoadReport| report.remaining_share < UNEXPLAINED_REMAINING_SHARE;
        let explained = bounds.is_limited() && seen.report.is_none_or(spent);
        if retry_after.is_none() || !self.enforces_limit {
            let doublings = self.consecutive_rejections.min(BACKOFF_DOUBLINGS) - 1;
            let backoff = window * BACKOFF_OVERLOAD_WINDOWS * f64::from(1 << doublings) * (0.5 + seen.jitter);
            self.backoff_until = after(now, backoff);
        }
        let pacer = &mut self.pacer;
        if explained {
            // All senders that were rejected together earn their next tokens apart.
            self.remaining_share = 0.0;
            pacer.pace = pacer.pace.min(bounds.rate_after_rejection());
            pacer.tokens = pacer.tokens.min(seen.jitter);
        } else if self.enforces_limit {
            // Never under half of the equal share, nor under the rate of trials. After a Retry-After there is
            // capacity; otherwise the next call waits for its token.
            let least = (bounds.equal_share / 2.0).max(min_trial_rate(settings));
            pacer.pace = (pacer.rate.min(pacer.pace) * REJECTION_PACE_FACTOR).max(least);
            pacer.tokens = if retry_after.is_some() { pacer.tokens.clamp(0.0, 1.0) } else { 0.0 };
        }
        // Rejected and nothing else, or for longer than any limit takes: closed, not busy. A sender that
        // knows when it opens begins its slow start then.
        let many = self.consecutive_rejections > OUTAGE_FAILURES && !explained;
        let closed =
            retry_after.is_some_and(|delay| delay.0 as f64 > CLOSED_OVERLOAD_WINDOWS * window) || many;
        if closed && retry_after.is_some() {
            (pacer.health, pacer.tokens) = (Health::SlowStart(seen.retry_after_end(now)), seen.jitter);
        } else if closed || pacer.health != Health::Healthy {
            pacer.health = Health::Ejected(now);
        }
    }

    fn record_failure(&mut self, now: Timestamp, settings: &Settings, seen: &ObservedOutcome) {
        self.consecutive_failures += 1;
        if self.consecutive_failures > 1 {
            self.last_repeated_failure = Some(now);
        }
        let elapsed = since(now, seen.sent_at) as f64;
        let unanswered = self.last_success < seen.sent_at;
        // A full connection table refuses at once; a dial that times out tells of a dead endpoint.
        let dead_dial =
            seen.outcome == Outcome::ConnectFailed && elapsed > settings.connect_timeout.0 as f64 / 2.0;
        let pacer = &mut self.pacer;
        // Answers get lost by the dozen, errors seldom: where little is known one error says as much as all
        // else.
        let sample = 1.0 / (if dead_dial { 1.0 } else { 2.0 } + pacer.rate * RATE_WINDOW_SECONDS);
        let explicit = matches!(seen.outcome, Outcome::Failure | Outcome::ConnectFailed);
        let weight = if explicit { LEARNING_WEIGHT.max(sample) } else { LEARNING_WEIGHT };
        pacer.failure_share += weight * (1.0 - pacer.failure_share);
        let silent = seen.outcome == Outcome::TimedOut && unanswered && self.consecutive_failures > 1;
        let relapsed = pacer.health != Health::Healthy && self.consecutive_failures > 2;
        let ejected = matches!(pacer.health, Health::Ejected(_));
        let many = self.consecutive_failures >= OUTAGE_FAILURES || pacer.failure_share > OUTAGE_SHARE;
        // Endpoints that share a limit can still fail one by one: only rejections close them all.
        if self.endpoint.is_some() && (silent || relapsed || ejected || many || (dead_dial && unanswered)) {
            pacer.health = Health::Ejected(now);
        }
        // Calls that go to one endpoint after the other show no outage at any of them.
        if self.endpoint.is_none() && (silent || self.consecutive_failures >= OUTAGE_FAILURES) {
            self.rate_before_failing = self.rate_before_failing.or(Some(pacer.rate));
        }
    }

    /// Sets when an ejected route is tried next. Trials that never run cost little; others cost a message.
    fn schedule_trial(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        bounds: &PaceBounds,
        seen: &ObservedOutcome,
    ) {
        let harmless = matches!(seen.outcome, Outcome::ConnectFailed | Outcome::Rejected { .. });
        let least = 2.0 * min_trial_rate(settings);
        let most = if harmless { 1e6 / settings.rules.overload_window.0 as f64 } else { least };
        let rate = self.pacer.trial_rate(now, bounds, settings).min(most).max(least);
        let next = after(seen.retry_after_end(now), (0.5 + seen.jitter) / rate * 1e6);
        self.pacer.health = Health::Ejected(next);
    }
}
