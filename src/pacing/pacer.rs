//! The token bucket of a route: health, learned rate and pace, as they change by the passing of time alone.
use super::{PaceBounds, SLOW_START_SAFETY, min_trial_rate};
use crate::index::weight::mean_rate;
use crate::interface::{after, seconds, since};
use crate::{Settings, Timestamp};

/// Time over which the rate of a route is averaged: longer than a burst, shorter than an outage.
pub(crate) const RATE_WINDOW_SECONDS: f64 = 4.0;
/// Growth of the pace per second while nothing is rejected.
const PACE_GROWTH_PER_SECOND: f64 = 0.25;
/// Seconds of the pace that may be sent at once on a healthy route.
const BURST_SECONDS: f64 = 0.5;

/// The health of a route. Only sends that pass the guard of the recovery rule reach one that is not healthy.
#[derive(Clone, Copy, Debug, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// In an outage: one call at a time, not before this time.
    Ejected(Timestamp),
    /// Answering again since this time: paced by the slow start of the recovery rule.
    SlowStart(Timestamp),
}

/// What time alone changes of a route, as it was at one moment; later states are computed on demand.
///
/// It is stored in checkpoints and in the handover by position: fields keep their order.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Pacer {
    pub(crate) updated_at: Timestamp,
    pub(crate) health: Health,
    /// Learned share of calls that fail.
    pub(crate) failure_share: f64,
    /// Calls a second that succeeded of late.
    pub(crate) rate: f64,
    /// Calls a second that may be sent, as far as learned; infinite until the first rejection or limit.
    pub(crate) pace: f64,
    /// Calls that may be sent now; each takes one.
    pub(crate) tokens: f64,
}

impl Pacer {
    /// Returns the state at `now`.
    pub(crate) fn advanced_to(mut self, now: Timestamp, bounds: &PaceBounds, settings: &Settings) -> Self {
        // Failures that are not seen again are forgotten.
        self.failure_share *= (-seconds(since(now, self.updated_at))
            / seconds(settings.rules.slow_start_duration.0.max(1)))
        .exp();
        if let Health::SlowStart(began) = self.health {
            let end = Timestamp(began.0 + settings.rules.slow_start_duration.0);
            let (from, to) = (self.updated_at.max(began), now.min(end));
            self.tokens = (self.tokens + self.earned(from, to, began, bounds, settings)).min(1.0);
            if now >= end {
                (self.health, self.updated_at) = (Health::Healthy, self.updated_at.max(end));
            }
        }
        let elapsed = seconds(since(now, self.updated_at));
        match self.health {
            Health::SlowStart(_) => {}
            _ if self.pace.is_infinite() => self.tokens = f64::INFINITY,
            Health::Healthy => {
                let (pace, earned) = grow(self.pace, bounds.max_rate(), elapsed);
                self.tokens = (self.tokens + earned).min((pace * BURST_SECONDS).max(1.0));
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

    /// The calls a second that this sender alone may add during a slow start: its share of what the route took before,
    /// times what the rule allows at this point, which grows linearly.
    fn slow_start_rate(
        &self,
        now: Timestamp,
        began: Timestamp,
        bounds: &PaceBounds,
        settings: &Settings,
    ) -> f64 {
        let rules = &settings.rules;
        let progress = since(now, began) as f64 / rules.slow_start_duration.0.max(1) as f64;
        let share = rules.slow_start_share + (1.0 - rules.slow_start_share) * progress.min(1.0);
        bounds.expected_rate(self.rate, settings) * share * rules.overload_factor * SLOW_START_SAFETY
    }

    /// Bounds a rate by the pace, and from below by the rate of trials.
    fn bounded(&self, rate: f64, settings: &Settings) -> f64 {
        rate.min(self.pace).max(min_trial_rate(settings))
    }

    /// Returns the calls a second for trials of an ejected route: what it could take if it recovered just now.
    pub(crate) fn trial_rate(&self, now: Timestamp, bounds: &PaceBounds, settings: &Settings) -> f64 {
        self.bounded(self.slow_start_rate(now, now, bounds, settings), settings)
    }

    /// The tokens earned between two moments of a slow start.
    fn earned(
        &self,
        from: Timestamp,
        to: Timestamp,
        began: Timestamp,
        bounds: &PaceBounds,
        settings: &Settings,
    ) -> f64 {
        let [a, b] = [from, to].map(|at| self.slow_start_rate(at, began, bounds, settings));
        mean_rate(a, b, min_trial_rate(settings), self.pace) * seconds(since(to, from))
    }

    /// Returns a time before which no token is there, by the passing of time alone; the state is that of `now`.
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
        let wait = match self.health {
            Health::Healthy => time_to_earn(self.pace, bounds.max_rate(), missing),
            Health::Ejected(_) => missing / self.pace,
            Health::SlowStart(began) => {
                // The rate only grows: the present one gives an upper bound of the wait, the one then a lower bound.
                let rate = |at| self.bounded(self.slow_start_rate(at, began, bounds, settings), settings);
                let longest = after(now.max(began), missing / rate(now) * 1e6);
                let end = seconds(since(Timestamp(began.0 + settings.rules.slow_start_duration.0), now));
                (missing / rate(longest)).min(end)
            }
        };
        after(now, (wait * 1e6 - 2.0).max(1.0))
    }
}

/// Returns a pace after `elapsed` seconds in which it grew up to `most`, and the tokens it earned meanwhile.
fn grow(pace: f64, most: f64, elapsed: f64) -> (f64, f64) {
    let free = grows_for(pace, most).min(elapsed);
    let grown = pace.min(most) * (PACE_GROWTH_PER_SECOND * free).exp();
    let earned = (grown - pace.min(most)) / PACE_GROWTH_PER_SECOND;
    let capped = if elapsed > free { most * (elapsed - free) } else { 0.0 };
    (grown, earned + capped)
}

/// Returns the seconds in which a pace earns the `missing` tokens.
fn time_to_earn(pace: f64, most: f64, missing: f64) -> f64 {
    let pace = pace.min(most);
    let while_it_grows = (most - pace) / PACE_GROWTH_PER_SECOND;
    if missing <= while_it_grows {
        (1.0 + PACE_GROWTH_PER_SECOND * missing / pace).ln() / PACE_GROWTH_PER_SECOND
    } else {
        grows_for(pace, most) + (missing - while_it_grows) / most
    }
}

/// Returns the seconds for which a pace grows until it is `most`.
fn grows_for(pace: f64, most: f64) -> f64 {
    if pace < most { (most / pace).ln() / PACE_GROWTH_PER_SECOND } else { 0.0 }
}

#[cfg(test)]
mod tests;
