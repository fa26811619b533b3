//! Lines: what is learned of one route, or of one destination whose endpoints share a limit.

use super::*;
use crate::index::worth::mean_rate;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Time over which a line's own rate is averaged, in seconds: longer than a burst, shorter than an outage.
pub(super) const RATE_S: f64 = 4.0;
/// Weight of one more observation in a learned mean.
const LEARN: f64 = 0.2;
/// A call is overdue this many mean deviations past the mean.
pub(super) const OVERDUE_DEVS: f64 = 4.0;
/// Failures in a row that count as an outage.
const OUTAGE_STREAK: u32 = 4;
/// Learned share of failed calls that counts as an outage.
const OUTAGE_SHARE: f64 = 0.65;
/// Sending rate left after a refusal above the limit, as a share of what got through.
const SLOW_DOWN: f64 = 0.8;
/// Growth of that rate per second while nothing is refused.
const SPEED_UP: f64 = 0.25;
/// A returning line is sent at most this share of what the recovery rule allows (others return too).
const RETURN_SHARE: f64 = 0.9;
/// Seconds of the pace that may be sent at once on a healthy line.
const BURST_S: f64 = 0.5;
/// First own pause of a line after a refusal without a told wait, as a share of `fall`; doubled each time.
const PAUSE_OF_FALL: f64 = 0.25;
/// A told wait of this many `fall`s is no limit's: the line is shut.
const SHUT_WAIT: f64 = 2.0;

/// State of a line. Only sends that `rule_return` lets through reach one that is not `Up`.
#[derive(Clone, Copy, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub(crate) enum Health {
    #[default]
    Up,
    /// In an outage: one call at a time, not before this.
    Down(Time),
    /// Answering again since: paced by the recovery rule's ramp.
    Returning(Time),
}

/// What time alone changes of a line, as it was at a moment; later states are worked out when asked for.
#[derive(Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Flow {
    pub(super) at: Time,
    pub(crate) health: Health,
    pub(super) failing: f64,
    pub(super) rate: f64,
    pub(super) pace: f64,
    pub(super) tokens: f64,
}

impl Flow {
    /// The state at `now`.
    fn at(mut self, now: Time, limit: f64, s: &Settings) -> Self {
        // What is not seen again is forgotten.
        self.failing *= (-seconds(since(now, self.at)) / seconds(s.rules.ramp.0.max(1))).exp();
        if let Health::Returning(began) = self.health {
            let end = Time(began.0 + s.rules.ramp.0);
            let (from, to) = (self.at.max(began), now.min(end));
            self.tokens = (self.tokens + self.earned(from, to, began, limit, s)).min(1.0);
            if now >= end {
                (self.health, self.at) = (Health::Up, self.at.max(end));
            }
        }
        let dt = seconds(since(now, self.at));
        match self.health {
            Health::Returning(_) => {}
            _ if self.pace.is_infinite() => self.tokens = f64::INFINITY,
            Health::Up => {
                let grown = (SPEED_UP * dt).exp();
                self.tokens += self.pace * (grown - 1.0) / SPEED_UP;
                self.pace *= grown;
                self.tokens = self.tokens.min((self.pace * BURST_S).max(1.0));
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
    fn ramp_rate(&self, now: Time, began: Time, limit: f64, s: &Settings) -> f64 {
        let r = &s.rules;
        let warm = since(now, began) as f64 / r.ramp.0.max(1) as f64;
        let share = r.cold_share + (1.0 - r.cold_share) * warm.min(1.0);
        let equal = limit / s.senders as f64 * SLOW_DOWN;
        let usual = self.rate.max(equal).max(1.0 / seconds(r.ramp.0).max(0.1));
        usual * share * r.overload_factor * RETURN_SHARE
    }

    /// ... but no more than its pace, and at least one a `fall` between senders.
    fn bounded(&self, rate: f64, s: &Settings) -> f64 {
        rate.min(self.pace).max(trial_rate(s))
    }

    /// What that adds up to between two moments of the ramp.
    fn earned(&self, from: Time, to: Time, began: Time, limit: f64, s: &Settings) -> f64 {
        let [a, b] = [from, to].map(|at| self.ramp_rate(at, began, limit, s));
        mean_rate(a, b, trial_rate(s), self.pace) * seconds(since(to, from))
    }

    /// No earlier than this a token is there, by time alone; the state is that of `now`.
    fn token_at(&self, now: Time, limit: f64, s: &Settings) -> Time {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return now;
        }
        let wait = match self.health {
            Health::Up => (1.0 + SPEED_UP * missing / self.pace).ln() / SPEED_UP,
            Health::Down(_) => missing / self.pace,
            Health::Returning(began) => {
                // The rate only grows: by that of now it takes longer, by that of then not as long.
                let rate = |at| self.bounded(self.ramp_rate(at, began, limit, s), s);
                let longest = after(now.max(began), missing / rate(now) * 1e6);
                let end = seconds(since(Time(began.0 + s.rules.ramp.0), now));
                (missing / rate(longest)).min(end)
            }
        };
        after(now, (wait * 1e6 - 2.0).max(1.0))
    }
}

#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Line {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: Option<EndpointId>,
    pub(crate) told_until: Time,
    pub(super) hold_until: Time,
    pub(super) flow: Flow,
    #[serde(skip)] // as it was last worked out
    seen: Cell<Flow>,
    streak: u32,
    /// When two calls in a row failed last: single ones are chance, as a spoilt answer or a reset is.
    pub(super) doubted: Option<Time>,
    fulls: u32,
    pub(super) latency: f64,
    deviation: f64,
    #[serde(skip)] // calls that are out, oldest first
    pub(crate) out: BTreeMap<u64, Time>,
    pub(super) last_answer: Time,
    last_success: Time,
    limit: f64,
}

/// Calls a second that are safe towards anything: one a `fall` from all senders together, or the cold share
/// of one message a ramp, as among many only those with a message waiting call.
fn trial_rate(s: &Settings) -> f64 {
    let equal = 1.0 / (s.senders as f64 * seconds(s.rules.fall.0).max(0.1));
    let cold = s.rules.cold_share * s.rules.overload_factor * RETURN_SHARE;
    equal.max(cold / seconds(s.rules.ramp.0).max(0.1))
}

/// What a call's end tells of a line.
pub(super) struct Seen {
    pub(super) sent: Time,
    pub(super) outcome: Outcome,
    pub(super) report: Option<Report>,
    /// Whether limits and told waits are this line's.
    pub(super) gate: bool,
    pub(super) losses: bool,
    pub(super) jitter: f64,
}

impl Line {
    pub(super) fn new(destination: DestinationId, endpoint: Option<EndpointId>, hint: f64) -> Self {
        let flow = Flow { pace: f64::INFINITY, tokens: 1.0, ..Flow::default() };
        Line { destination, endpoint, flow, limit: hint, ..Line::default() }
    }

    /// What time changes of it, at `now`.
    pub(crate) fn flow(&self, now: Time, s: &Settings) -> Flow {
        if self.flow.at == now {
            return self.flow;
        }
        if self.seen.get().at != now {
            self.seen.set(self.flow.at(now, self.limit, s));
        }
        self.seen.get()
    }

    /// The slowest healthy answer to expect, in microseconds.
    pub(super) fn slowest(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }

    /// Silent for longer than a healthy answer takes, with a call out for as long.
    pub(super) fn stalled(&self, now: Time) -> bool {
        let Some(oldest) = self.out.values().next().filter(|_| self.endpoint.is_some()) else { return false };
        self.latency > 0.0 && since(now, self.last_answer.max(*oldest)) as f64 > self.slowest(OVERDUE_DEVS)
    }

    /// A call begins on it.
    pub(super) fn begin(&mut self, call: u64, now: Time, s: &Settings) {
        self.flow = self.flow(now, s);
        self.flow.tokens -= 1.0;
        self.out.insert(call, now);
    }

    /// Where it may not be sent to now: no earlier than this time alone opens it, unless something happens.
    pub(super) fn opens(&self, now: Time, s: &Settings) -> Time {
        let flow = self.flow(now, s);
        let trial = if let Health::Down(next) = flow.health { next } else { now };
        self.told_until.max(self.hold_until).max(trial).max(flow.token_at(now, self.limit, s))
    }

    /// The pace that refusals never push below: half the known limit's equal part, and the rate of trials.
    fn least_rate(&self, s: &Settings) -> f64 {
        (self.limit / s.senders as f64 / 2.0).max(trial_rate(s))
    }

    /// Learns from how a call on it ended; whether that closed it.
    pub(super) fn learn(&mut self, now: Time, s: &Settings, seen: &Seen) -> bool {
        let &Seen { sent, outcome, report, gate, losses, jitter } = seen;
        let wait_end = if let Outcome::Full(Some(wait)) = outcome { after(now, wait.0 as f64) } else { now };
        self.flow = self.flow(now, s);
        if let Some(report) = report.filter(|_| gate) {
            self.limit = if report.limit > 0.0 { report.limit } else { self.limit };
        }
        let elapsed = since(now, sent) as f64;
        let fall = s.rules.fall.0 as f64;
        match outcome {
            Outcome::Success | Outcome::TimedOut if self.latency == 0.0 => {
                (self.latency, self.deviation) = (elapsed, elapsed / 2.0);
            }
            Outcome::TimedOut if losses => {} // says nothing of the pace
            Outcome::Success | Outcome::TimedOut => {
                self.deviation += LEARN * ((elapsed - self.latency).abs() - self.deviation);
                self.latency += LEARN * (elapsed - self.latency);
            }
            _ => {}
        }
        let before = self.flow.health;
        let least = self.least_rate(s);
        let flow = &mut self.flow;
        match outcome {
            Outcome::Cancelled | Outcome::Void => return false,
            Outcome::Success => {
                (self.streak, self.fulls, self.last_success) = (0, 0, now);
                flow.failing -= LEARN * flow.failing;
                flow.rate += 1.0 / RATE_S;
                if let Health::Down(_) = flow.health {
                    (flow.health, flow.tokens) = (Health::Returning(now), 0.0);
                }
            }
            Outcome::Full(wait) => {
                self.fulls += 1;
                if wait.is_none() || !gate {
                    let pause =
                        fall * PAUSE_OF_FALL * f64::from(1 << (self.fulls.min(4) - 1)) * (0.5 + jitter);
                    self.hold_until = after(now, pause);
                }
                if gate {
                    // At the end of a told wait there is room; otherwise the next call waits its turn.
                    flow.pace = (flow.rate.min(flow.pace) * SLOW_DOWN).max(least);
                    flow.tokens = if wait.is_some() { flow.tokens.clamp(0.0, 1.0) } else { 0.0 };
                }
                // Refused and nothing else, or for longer than any limit's wait: shut, not busy. Who is told
                // when it opens starts on the ramp then, by chance apart.
                let shut = wait.is_some_and(|w| w.0 as f64 > SHUT_WAIT * fall) || self.fulls > OUTAGE_STREAK;
                if shut && wait.is_some() {
                    (flow.health, flow.tokens) = (Health::Returning(wait_end), jitter);
                } else if shut || flow.health != Health::Up {
                    flow.health = Health::Down(now);
                }
            }
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                self.streak += 1;
                if self.streak > 1 {
                    self.doubted = Some(now);
                }
                // Answers get lost by the dozen, errors seldom: where little is known one tells as much as
                // all that is, and a connection that times out more: full tables say no at once.
                let gone = outcome == Outcome::ConnectFailed && elapsed > s.connect_timeout.0 as f64 / 2.0;
                let known = 1.0 / (if gone { 1.0 } else { 2.0 } + flow.rate * RATE_S);
                let told = matches!(outcome, Outcome::Failure | Outcome::ConnectFailed);
                flow.failing += if told { LEARN.max(known) } else { LEARN } * (1.0 - flow.failing);
                let silent = outcome == Outcome::TimedOut && self.last_success < sent && self.streak > 1;
                let returning = flow.health != Health::Up && self.streak > 2;
                let down = matches!(flow.health, Health::Down(_));
                let many = self.streak >= OUTAGE_STREAK || flow.failing > OUTAGE_SHARE;
                // Endpoints that share a limit can still fail one by one: only refusals close them all.
                if self.endpoint.is_some() && (silent || returning || down || many) {
                    flow.health = Health::Down(now);
                }
            }
        }
        self.last_answer = now;
        if let Health::Down(_) = flow.health {
            flow.health = Health::Down(after(wait_end, (0.5 + jitter) / (2.0 * trial_rate(s)) * 1e6));
        }
        before == Health::Up && flow.health != Health::Up
    }
}
