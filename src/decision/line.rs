//! Lines: what is learned of one route, or of one destination whose endpoints share a limit.

use super::*;
use crate::pacing::flow::RATE_S;
use crate::pacing::{Bounds, Flow, Health, averaged, trial_rate};
use std::cell::Cell;
use std::collections::BTreeMap;

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
/// First own pause of a line after a refusal without a told wait, as a share of `fall`; doubled each time.
const PAUSE_OF_FALL: f64 = 0.25;
/// A told wait of this many `fall`s is no limit's: the line is shut.
const SHUT_WAIT: f64 = 2.0;
/// Share of a limit that is left at which it explains no refusal.
const ROOM_LEFT: f64 = 0.3;

#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Line {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: Option<EndpointId>,
    pub(crate) told_until: Time,
    pub(crate) hold_until: Time,
    pub(crate) flow: Flow,
    #[serde(skip)] // as it was last worked out
    seen: Cell<Flow>,
    pub(crate) streak: u32,
    /// When two calls in a row failed last: single ones are chance, as a spoilt answer or a reset is.
    pub(crate) doubted: Option<Time>,
    /// Of what endpoints share: its calls fail, whichever they go to; its rate when that was found.
    #[serde(default)]
    pub(crate) fails: Option<f64>,
    pub(crate) fulls: u32,
    pub(crate) latency: f64,
    pub(crate) deviation: f64,
    #[serde(skip)] // calls that are out, oldest first
    pub(crate) out: BTreeMap<u64, Time>,
    pub(crate) last_answer: Time,
    pub(crate) last_success: Time,
    pub(crate) last_refusal: Time,
    /// The limit as it was last told, over how many lines it goes, whether they wait for each other by it.
    pub(crate) limit: f64,
    #[serde(default)]
    lines: usize,
    /// The share of it that was then left.
    #[serde(default)]
    pub(crate) left: f64,
    #[serde(default)]
    gate: bool,
}

/// What a call's end tells of a line.
pub(super) struct Seen {
    pub(super) sent: Time,
    pub(super) outcome: Outcome,
    pub(super) report: Option<Report>,
    /// Lines over which the limit goes that the report tells.
    pub(super) lines: usize,
    pub(super) losses: bool,
    pub(super) jitter: f64,
}

impl Line {
    /// `gate`: limits and told waits are this line's; a hint is of its limit.
    pub(super) fn new(
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        gate: bool,
        hint: f64,
    ) -> Self {
        let flow = Flow { pace: f64::INFINITY, tokens: 1.0, ..Flow::default() };
        Line { destination, endpoint, flow, limit: hint, gate, ..Line::default() }
    }

    fn bounds(&self, s: &Settings) -> Bounds {
        Bounds::new(self.limit, self.lines, self.gate, self.left, s)
    }

    /// What time changes of it, at `now`.
    pub(crate) fn flow(&self, now: Time, s: &Settings) -> Flow {
        if self.flow.at == now {
            return self.flow;
        }
        if self.seen.get().at != now {
            self.seen.set(self.flow.at(now, &self.bounds(s), s));
        }
        self.seen.get()
    }

    /// The slowest healthy answer to expect, in microseconds.
    pub(super) fn slowest(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }

    /// Whether a call on it was answered, or was given up; what endpoints share has no answers of its own.
    pub(super) fn known(&self) -> bool {
        self.latency > 0.0 || self.endpoint.is_none()
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
        self.told_until.max(self.hold_until).max(trial).max(flow.token_at(now, &self.bounds(s), s))
    }

    /// Learns from how a call on it ended; whether that closed it.
    pub(super) fn learn(&mut self, now: Time, s: &Settings, seen: &Seen) -> bool {
        let &Seen { sent, outcome, report, lines, losses, jitter } = seen;
        let gate = self.gate;
        let wait_end = if let Outcome::Full(Some(wait)) = outcome { after(now, wait.0 as f64) } else { now };
        self.flow = self.flow(now, s);
        if let Some(report) = report.filter(|report| report.limit > 0.0) {
            (self.limit, self.lines, self.left) = (report.limit, lines, report.left);
        }
        let bounds = self.bounds(s);
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
        // The pace that refusals never push below: half the known limit's equal part, and the rate of trials.
        let least = (bounds.part / 2.0).max(trial_rate(s));
        let limited = bounds.limited();
        let calm = since(now, self.last_refusal) > s.rules.ramp.0;
        let flow = &mut self.flow;
        match outcome {
            Outcome::Cancelled | Outcome::Void | Outcome::Withheld => return false,
            Outcome::Success => {
                (self.streak, self.fulls, self.last_success) = (0, 0, now);
                flow.failing -= LEARN * flow.failing;
                let fails = self.fails.take();
                flow.rate = flow.rate.max(fails.unwrap_or(0.0)) + 1.0 / RATE_S;
                if fails.is_some() || matches!(flow.health, Health::Down(_)) {
                    // It came back somewhere between the last trial and this one.
                    let back = since(now, self.last_answer).min(s.rules.ramp.0) as f64 * averaged(s.senders);
                    let tokens = if fails.is_some() { jitter } else { 0.0 };
                    let began = Time(now.0 - back as u64);
                    (flow.health, flow.tokens) = (Health::Returning(began), tokens);
                }
                if limited && bounds.most() < flow.pace {
                    (flow.pace, flow.tokens) = (bounds.most(), flow.tokens.min(1.0));
                } else if limited && calm {
                    flow.pace += (bounds.most() - flow.pace) / 2.0;
                } else if limited && self.left > ROOM_LEFT {
                    flow.pace = flow.pace.max(bounds.equal());
                }
            }
            Outcome::Full(wait) => {
                self.fulls += 1;
                self.last_refusal = now;
                // What the limit explains says nothing of an outage.
                let explained = limited && report.is_none_or(|report| report.left < ROOM_LEFT);
                if wait.is_none() || !gate {
                    let pause =
                        fall * PAUSE_OF_FALL * f64::from(1 << (self.fulls.min(4) - 1)) * (0.5 + jitter);
                    self.hold_until = after(now, pause);
                }
                if explained {
                    // All who were refused together earn their next turns by chance apart.
                    self.left = 0.0;
                    flow.pace = flow.pace.min(bounds.refused());
                    flow.tokens = flow.tokens.min(jitter);
                } else if gate {
                    // At the end of a told wait there is room; otherwise the next call waits its turn.
                    flow.pace = (flow.rate.min(flow.pace) * SLOW_DOWN).max(least);
                    flow.tokens = if wait.is_some() { flow.tokens.clamp(0.0, 1.0) } else { 0.0 };
                }
                // Refused and nothing else, or for longer than any limit's wait: shut, not busy. Who is told
                // when it opens starts on the ramp then, by chance apart.
                let many = self.fulls > OUTAGE_STREAK && !explained;
                let shut = wait.is_some_and(|w| w.0 as f64 > SHUT_WAIT * fall) || many;
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
                let gone = gone && self.last_success < sent;
                if self.endpoint.is_some() && (silent || returning || down || many || gone) {
                    flow.health = Health::Down(now);
                }
                // Calls that go to one endpoint after the other show no outage at any of them.
                if self.endpoint.is_none() && (silent || self.streak >= OUTAGE_STREAK) {
                    self.fails = self.fails.or(Some(flow.rate));
                }
            }
        }
        self.last_answer = now;
        if let Health::Down(_) = flow.health {
            // Trials that do not run cost little; the others cost a message each.
            let harmless = matches!(outcome, Outcome::ConnectFailed | Outcome::Full(_));
            let least = 2.0 * trial_rate(s);
            let most = if harmless { 1e6 / fall } else { least };
            let rate = flow.trials(now, &bounds, s).min(most).max(least);
            flow.health = Health::Down(after(wait_end, (0.5 + jitter) / rate * 1e6));
        }
        before == Health::Up && flow.health != Health::Up
    }
}
