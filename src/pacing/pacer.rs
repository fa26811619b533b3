//! The state of a line that time alone changes.
use super::{PaceBounds, SLOW_START_SAFETY, min_trial_rate};
use crate::index::weight::mean_rate;
use crate::interface::{after, seconds, since};
use crate::{Settings, Timestamp};

/// Time over which a line's own rate is averaged, in seconds: longer than a burst, shorter than an outage.
pub(crate) const RATE_WINDOW_SECONDS: f64 = 4.0;
/// Growth of the pace per second while nothing is refused.
const PACE_GROWTH_PER_SECOND: f64 = 0.25;
/// Seconds of the pace that may be sent at once on a healthy line.
const BURST_SECONDS: f64 = 0.5;

/// State of a line. Only sends that the recovery rule lets through reach one that is not `Up`.
#[derive(Clone, Copy, Debug, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// In an outage: one call at a time, not before this.
    Ejected(Timestamp),
    /// Answering again since: paced by the recovery rule's ramp.
    SlowStart(Timestamp),
}

/// What time alone changes of a line, as it was at a moment; later states are worked out when asked for.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Pacer {
    pub(crate) updated_at: Timestamp,
    pub(crate) health: Health,
    pub(crate) failure_share: f64,
    pub(crate) rate: f64,
    pub(crate) pace: f64,
    pub(crate) tokens: f64,
}

impl Pacer {
    /// The state at `now`.
    pub(crate) fn advanced_to(mut self, now: Timestamp, bounds: &PaceBounds, s: &Settings) -> Self {
        // What is not seen again is forgotten.
        self.failure_share *=
            (-seconds(since(now, self.updated_at)) / seconds(s.rules.slow_start_duration.0.max(1))).exp();
        if let Health::SlowStart(began) = self.health {
            let end = Timestamp(began.0 + s.rules.slow_start_duration.0);
            let (from, to) = (self.updated_at.max(began), now.min(end));
            self.tokens = (self.tokens + self.earned(from, to, began, bounds, s)).min(1.0);
            if now >= end {
                (self.health, self.updated_at) = (Health::Healthy, self.updated_at.max(end));
            }
        }
        let dt = seconds(since(now, self.updated_at));
        match self.health {
            Health::SlowStart(_) => {}
            _ if self.pace.is_infinite() => self.tokens = f64::INFINITY,
            Health::Healthy => {
                let (pace, earned) = grow(self.pace, bounds.max_rate(), dt);
                self.tokens = (self.tokens + earned).min((pace * BURST_SECONDS).max(1.0));
                self.pace = pace;
            }
            Health::Ejected(_) => {
                self.tokens = (self.tokens + self.pace * dt).min((self.pace * BURST_SECONDS).max(1.0));
            }
        }
        if self.health == Health::Healthy {
            self.rate *= (-dt / RATE_WINDOW_SECONDS).exp();
        }
        self.updated_at = self.updated_at.max(now);
        self
    }

    /// Calls a second that this sender alone may add to a line coming back: its share of what the line took
    /// before, times what the rule allows at this point of the ramp, which grows evenly ...
    fn slow_start_rate(&self, now: Timestamp, began: Timestamp, bounds: &PaceBounds, s: &Settings) -> f64 {
        let r = &s.rules;
        let warm = since(now, began) as f64 / r.slow_start_duration.0.max(1) as f64;
        let share = r.slow_start_share + (1.0 - r.slow_start_share) * warm.min(1.0);
        bounds.expected_rate(self.rate, s) * share * r.overload_factor * SLOW_START_SAFETY
    }

    /// ... but no more than its pace, and at least one a `fall` between senders.
    fn bounded(&self, rate: f64, s: &Settings) -> f64 {
        rate.min(self.pace).max(min_trial_rate(s))
    }

    /// Calls a second that an outage may be tried with: what the line could take if it came back just now.
    pub(crate) fn trial_rate(&self, now: Timestamp, bounds: &PaceBounds, s: &Settings) -> f64 {
        self.bounded(self.slow_start_rate(now, now, bounds, s), s)
    }

    /// What that adds up to between two moments of the ramp.
    fn earned(
        &self,
        from: Timestamp,
        to: Timestamp,
        began: Timestamp,
        bounds: &PaceBounds,
        s: &Settings,
    ) -> f64 {
        let [a, b] = [from, to].map(|at| self.slow_start_rate(at, began, bounds, s));
        mean_rate(a, b, min_trial_rate(s), self.pace) * seconds(since(to, from))
    }

    /// No earlier than this a token is there, by time alone; the state is that of `now`.
    pub(crate) fn next_token_at(&self, now: Timestamp, bounds: &PaceBounds, s: &Settings) -> Timestamp {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return now;
        }
        let wait = match self.health {
            Health::Healthy => time_to_earn(self.pace, bounds.max_rate(), missing),
            Health::Ejected(_) => missing / self.pace,
            Health::SlowStart(began) => {
                // The rate only grows: by that of now it takes longer, by that of then not as long.
                let rate = |at| self.bounded(self.slow_start_rate(at, began, bounds, s), s);
                let longest = after(now.max(began), missing / rate(now) * 1e6);
                let end = seconds(since(Timestamp(began.0 + s.rules.slow_start_duration.0), now));
                (missing / rate(longest)).min(end)
            }
        };
        after(now, (wait * 1e6 - 2.0).max(1.0))
    }
}

/// A pace after `dt` seconds in which it grew up to `most`, and what it earned meanwhile.
fn grow(pace: f64, most: f64, dt: f64) -> (f64, f64) {
    let free = grows_for(pace, most).min(dt);
    let grown = pace.min(most) * (PACE_GROWTH_PER_SECOND * free).exp();
    let earned = (grown - pace.min(most)) / PACE_GROWTH_PER_SECOND;
    let capped = if dt > free { most * (dt - free) } else { 0.0 };
    (grown, earned + capped)
}

/// Seconds in which a pace earns so much.
fn time_to_earn(pace: f64, most: f64, missing: f64) -> f64 {
    let pace = pace.min(most);
    let while_it_grows = (most - pace) / PACE_GROWTH_PER_SECOND;
    if missing <= while_it_grows {
        (1.0 + PACE_GROWTH_PER_SECOND * missing / pace).ln() / PACE_GROWTH_PER_SECOND
    } else {
        grows_for(pace, most) + (missing - while_it_grows) / most
    }
}

/// Seconds for which a pace grows until it is `most`.
fn grows_for(pace: f64, most: f64) -> f64 {
    if pace < most { (most / pace).ln() / PACE_GROWTH_PER_SECOND } else { 0.0 }
}

#[cfg(test)]
mod tests;
