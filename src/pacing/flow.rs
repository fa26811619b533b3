//! The state of a line that time alone changes.
use super::{Bounds, RETURN_SHARE, trial_rate};
use crate::index::worth::mean_rate;
use crate::interface::{after, seconds, since};
use crate::{Settings, Time};

/// Time over which a line's own rate is averaged, in seconds: longer than a burst, shorter than an outage.
pub(crate) const RATE_S: f64 = 4.0;
/// Growth of the pace per second while nothing is refused.
const SPEED_UP: f64 = 0.25;
/// Seconds of the pace that may be sent at once on a healthy line.
const BURST_S: f64 = 0.5;

/// State of a line. Only sends that the recovery rule lets through reach one that is not `Up`.
#[derive(Clone, Copy, Debug, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub(crate) enum Health {
    #[default]
    Up,
    /// In an outage: one call at a time, not before this.
    Down(Time),
    /// Answering again since: paced by the recovery rule's ramp.
    Returning(Time),
}

/// What time alone changes of a line, as it was at a moment; later states are worked out when asked for.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Flow {
    pub(crate) at: Time,
    pub(crate) health: Health,
    pub(crate) failing: f64,
    pub(crate) rate: f64,
    pub(crate) pace: f64,
    pub(crate) tokens: f64,
}

impl Flow {
    /// The state at `now`.
    pub(crate) fn at(mut self, now: Time, bounds: &Bounds, s: &Settings) -> Self {
        // What is not seen again is forgotten.
        self.failing *= (-seconds(since(now, self.at)) / seconds(s.rules.ramp.0.max(1))).exp();
        if let Health::Returning(began) = self.health {
            let end = Time(began.0 + s.rules.ramp.0);
            let (from, to) = (self.at.max(began), now.min(end));
            self.tokens = (self.tokens + self.earned(from, to, began, bounds, s)).min(1.0);
            if now >= end {
                (self.health, self.at) = (Health::Up, self.at.max(end));
            }
        }
        let dt = seconds(since(now, self.at));
        match self.health {
            Health::Returning(_) => {}
            _ if self.pace.is_infinite() => self.tokens = f64::INFINITY,
            Health::Up => {
                let (pace, earned) = grow(self.pace, bounds.most(), dt);
                self.tokens = (self.tokens + earned).min((pace * BURST_S).max(1.0));
                self.pace = pace;
            }
            Health::Down(_) => {
                self.tokens = (self.tokens + self.pace * dt).min((self.pace * BURST_S).max(1.0));
            }
        }
        if self.health == Health::Up {
            self.rate *= (-dt / RATE_S).exp();
        }
        self.at = self.at.max(now);
        self
    }

    /// Calls a second that this sender alone may add to a line coming back: its share of what the line took
    /// before, times what the rule allows at this point of the ramp, which grows evenly ...
    fn ramp_rate(&self, now: Time, began: Time, bounds: &Bounds, s: &Settings) -> f64 {
        let r = &s.rules;
        let warm = since(now, began) as f64 / r.ramp.0.max(1) as f64;
        let share = r.cold_share + (1.0 - r.cold_share) * warm.min(1.0);
        bounds.usual(self.rate, s) * share * r.overload_factor * RETURN_SHARE
    }

    /// ... but no more than its pace, and at least one a `fall` between senders.
    fn bounded(&self, rate: f64, s: &Settings) -> f64 {
        rate.min(self.pace).max(trial_rate(s))
    }

    /// Calls a second that an outage may be tried with: what the line could take if it came back just now.
    pub(crate) fn trials(&self, now: Time, bounds: &Bounds, s: &Settings) -> f64 {
        self.bounded(self.ramp_rate(now, now, bounds, s), s)
    }

    /// What that adds up to between two moments of the ramp.
    fn earned(&self, from: Time, to: Time, began: Time, bounds: &Bounds, s: &Settings) -> f64 {
        let [a, b] = [from, to].map(|at| self.ramp_rate(at, began, bounds, s));
        mean_rate(a, b, trial_rate(s), self.pace) * seconds(since(to, from))
    }

    /// No earlier than this a token is there, by time alone; the state is that of `now`.
    pub(crate) fn token_at(&self, now: Time, bounds: &Bounds, s: &Settings) -> Time {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return now;
        }
        let wait = match self.health {
            Health::Up => time_to_earn(self.pace, bounds.most(), missing),
            Health::Down(_) => missing / self.pace,
            Health::Returning(began) => {
                // The rate only grows: by that of now it takes longer, by that of then not as long.
                let rate = |at| self.bounded(self.ramp_rate(at, began, bounds, s), s);
                let longest = after(now.max(began), missing / rate(now) * 1e6);
                let end = seconds(since(Time(began.0 + s.rules.ramp.0), now));
                (missing / rate(longest)).min(end)
            }
        };
        after(now, (wait * 1e6 - 2.0).max(1.0))
    }
}

/// A pace after `dt` seconds in which it grew up to `most`, and what it earned meanwhile.
fn grow(pace: f64, most: f64, dt: f64) -> (f64, f64) {
    let free = grows_for(pace, most).min(dt);
    let grown = pace.min(most) * (SPEED_UP * free).exp();
    let earned = (grown - pace.min(most)) / SPEED_UP;
    let capped = if dt > free { most * (dt - free) } else { 0.0 };
    (grown, earned + capped)
}

/// Seconds in which a pace earns so much.
fn time_to_earn(pace: f64, most: f64, missing: f64) -> f64 {
    let pace = pace.min(most);
    let while_it_grows = (most - pace) / SPEED_UP;
    if missing <= while_it_grows {
        (1.0 + SPEED_UP * missing / pace).ln() / SPEED_UP
    } else {
        grows_for(pace, most) + (missing - while_it_grows) / most
    }
}

/// Seconds for which a pace grows until it is `most`.
fn grows_for(pace: f64, most: f64) -> f64 {
    if pace < most { (most / pace).ln() / SPEED_UP } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against tokens that are there later than the moment to look again, or a pace past its bound: in small
    /// steps of time the closed forms add up to the same.
    #[test]
    fn growth_in_one_step_is_that_in_many() {
        for (pace, most) in [(0.01, 0.5), (0.4, 0.5), (3.0, 2.0), (1.0, f64::INFINITY), (2.0, 2.0)] {
            for dt in [0.0, 0.2, 3.0, 40.0] {
                let (mut stepped, mut sum) = (pace, 0.0);
                for _ in 0..1000 {
                    let (next, earned) = grow(stepped, most, dt / 1000.0);
                    (stepped, sum) = (next, sum + earned);
                }
                let (grown, earned) = grow(pace, most, dt);
                assert!((grown - stepped).abs() <= 1e-6 * grown, "{pace} {most} {dt}: {grown} {stepped}");
                assert!((earned - sum).abs() <= 1e-6 * (earned + 1.0), "{pace} {most} {dt}: {earned} {sum}");
                assert!(grown <= most.max(0.0));
                if earned > 0.0 {
                    let back = time_to_earn(pace, most, earned);
                    assert!((back - dt).abs() < 1e-6 * (dt + 1.0), "{pace} {most}: {back} for {dt}");
                }
            }
        }
    }
}
