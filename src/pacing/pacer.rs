//! The token bucket of a route: its health, learned rate and pace, and how they change over time.
use super::{PaceBounds, SLOW_START_SAFETY, min_trial_rate};
use crate::index::weight::mean_rate;
use crate::interface::{after, seconds, since};
use crate::{Settings, Timestamp};

/// Time constant of the average rate of a route, in seconds: longer than a burst, shorter than an outage.
pub(crate) const RATE_WINDOW_SECONDS: f64 = 4.0;
/// Exponential growth rate of the pace without rejections, per second.
const PACE_GROWTH_PER_SECOND: f64 = 0.25;
/// Bucket size of a healthy route, in seconds of its pace.
const BURST_SECONDS: f64 = 0.5;

/// The health of a route. If it isn't healthy, calls must pass the guard of the recovery rule.
#[derive(Clone, Copy, Debug, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// In an outage; one trial call at a time is allowed, from this time on.
    Ejected(Timestamp),
    /// Available again since this time; the rate is limited by the slow start of the recovery rule.
    SlowStart(Timestamp),
}

/// The part of a route's state that changes over time. Holds the state at `updated_at`; later states are
/// computed on demand.
///
/// The order of the fields must not change: checkpoints and the handover store them by position.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Pacer {
    pub(crate) updated_at: Timestamp,
    pub(crate) health: Health,
    /// Learned fraction of calls that fail.
    pub(crate) failure_share: f64,
    /// Recent rate of successful calls, per second.
    pub(crate) rate: f64,
    /// Learned maximum rate, in calls per second; infinite until the first rejection or limit.
    pub(crate) pace: f64,
    /// Number of calls that may be sent now; each consumes one token.
    pub(crate) tokens: f64,
}

impl Pacer {
    /// Returns the state at `now`.
    pub(crate) fn advanced_to(mut self, now: Timestamp, bounds: &PaceBounds, settings: &Settings) -> Self {
        // The fraction of failures decays over time.
        self.failure_share *= (-seconds(since(now, self.updated_at))
            / seconds(settings.rules.slow_start_duration.0.max(1)))
        .exp();
        if let Health::SlowStart(began_at) = self.health {
            let end = Timestamp(began_at.0 + settings.rules.slow_start_duration.0);
            let (from, to) = (self.updated_at.max(began_at), now.min(end));
            self.tokens = (self.tokens + self.accrued(from, to, began_at, bounds, settings)).min(1.0);
            if now >= end {
                (self.health, self.updated_at) = (Health::Healthy, self.updated_at.max(end));
            }
        }
        let elapsed = seconds(since(now, self.updated_at));
        match self.health {
            Health::SlowStart(_) => {}
            _ if self.pace.is_infinite() => self.tokens = f64::INFINITY,
            Health::Healthy => {
                let (pace, accrued) = grow_pace(self.pace, bounds.max_rate(), elapsed);
                self.tokens = (self.tokens + accrued).min((pace * BURST_SECONDS).max(1.0));
                self.pace = pace;
            }
            Health::Ejected(_) => {
                self.tokens = (self.tokens + self.pace * elapsed).min((self.pace * BURST_SECONDS).max(1.0));
            }
        }
        if self.health == Health::Healthy {
            self.rate *= (-elapsed / RATE_WINDOW_SECONDS).exp();
        }
        self.updated_at = self.updated_at.max(now);
        self
    }

    /// Returns the rate that this sender may use at `now` during a slow start, in calls per second: its
    /// expected healthy rate, times the fraction that the recovery rule allows at this time, which grows
    /// linearly.
    fn slow_start_rate(
        &self,
        now: Timestamp,
        began_at: Timestamp,
        bounds: &PaceBounds,
        settings: &Settings,
    ) -> f64 {
        let rules = &settings.rules;
        let progress = since(now, began_at) as f64 / rules.slow_start_duration.0.max(1) as f64;
        let share = rules.slow_start_share + (1.0 - rules.slow_start_share) * progress.min(1.0);
        bounds.expected_rate(self.rate, settings) * share * rules.overload_factor * SLOW_START_SAFETY
    }

    /// Limits a rate to at most the pace and at least the minimum trial rate.
    fn clamped(&self, rate: f64, settings: &Settings) -> f64 {
        rate.min(self.pace).max(min_trial_rate(settings))
    }

    /// Returns the rate of trials of an ejected route, in calls per second: the initial slow-start rate.
    pub(crate) fn trial_rate(&self, now: Timestamp, bounds: &PaceBounds, settings: &Settings) -> f64 {
        self.clamped(self.slow_start_rate(now, now, bounds, settings), settings)
    }

    /// Returns the tokens that accrue between two times of a slow start.
    fn accrued(
        &self,
        from: Timestamp,
        to: Timestamp,
        began_at: Timestamp,
        bounds: &PaceBounds,
        settings: &Settings,
    ) -> f64 {
        let [a, b] = [from, to].map(|at| self.slow_start_rate(at, began_at, bounds, settings));
        mean_rate(a, b, min_trial_rate(settings), self.pace) * seconds(since(to, from))
    }

    /// Returns a lower bound of the time at which a token is available if no event occurs. `self` must be the
    /// state at `now`.
    pub(crate) fn next_token_at(
        &self,
        now: Timestamp,
        bounds: &PaceBounds,
        settings: &Settings,
    ) -> Timestamp {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return now;
        }
        let delay = match self.health {
            Health::Healthy => time_to_accrue(self.pace, bounds.max_rate(), missing),
            Health::Ejected(_) => missing / self.pace,
            Health::SlowStart(began_at) => {
                // The rate only grows, so the current rate gives an upper bound of the delay. The rate at the
                // end of that delay gives a lower bound.
                let rate = |at| self.clamped(self.slow_start_rate(at, began_at, bounds, settings), settings);
                let latest = after(now.max(began_at), missing / rate(now) * 1e6);
                let end = seconds(since(Timestamp(began_at.0 + settings.rules.slow_start_duration.0), now));
                (missing / rate(latest)).min(end)
            }
        };
        after(now, (delay * 1e6 - 2.0).max(1.0))
    }
}

/// Returns the pace after growing for `elapsed` seconds up to `max_pace`, and the tokens that accrued.
fn grow_pace(pace: f64, max_pace: f64, elapsed: f64) -> (f64, f64) {
    let growing_seconds = growth_time(pace, max_pace).min(elapsed);
    let grown = pace.min(max_pace) * (PACE_GROWTH_PER_SECOND * growing_seconds).exp();
    let accrued = (grown - pace.min(max_pace)) / PACE_GROWTH_PER_SECOND;
    let accrued_at_max = if elapsed > growing_seconds { max_pace * (elapsed - growing_seconds) } else { 0.0 };
    (grown, accrued + accrued_at_max)
}

/// Returns the seconds until a growing pace yields `missing` tokens.
fn time_to_accrue(pace: f64, max_pace: f64, missing: f64) -> f64 {
    let pace = pace.min(max_pace);
    let accrued_while_growing = (max_pace - pace) / PACE_GROWTH_PER_SECOND;
    if missing <= accrued_while_growing {
        (1.0 + PACE_GROWTH_PER_SECOND * missing / pace).ln() / PACE_GROWTH_PER_SECOND
    } else {
        growth_time(pace, max_pace) + (missing - accrued_while_growing) / max_pace
    }
}

/// Returns the seconds until a growing pace reaches `max_pace`; 0 if it has.
fn growth_time(pace: f64, max_pace: f64) -> f64 {
    if pace < max_pace { (max_pace / pace).ln() / PACE_GROWTH_PER_SECOND } else { 0.0 }
}

#[cfg(test)]
mod tests;
