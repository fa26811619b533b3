//! The condition of an endpoint: what is wrong with it at a moment.
use crate::observation::Micros;

/// A destination that fails a larger share of its calls counts as out of service, and cools down.
const OUTAGE_ERROR_SHARE: f64 = 0.8;

/// What is wrong with an endpoint at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// The endpoint takes calls and answers none.
    pub hangs: bool,
    /// Each answer comes this much later, in microseconds.
    pub added_latency: Micros,
    /// The endpoint stands still from time to time.
    pub stall: Option<Stall>,
    /// The endpoint rejects all calls until this time.
    pub unavailable_until: Option<Micros>,
    /// Share of the calls that are rejected.
    pub rejected_share: f64,
    /// Share of the calls that fail quickly.
    pub error_share: f64,
    /// Share of the answers that are corrupted.
    pub corrupted_share: f64,
    /// Share of the calls whose connection breaks after they ran.
    pub reset_share: f64,
    /// The machine neither receives nor sends anything.
    pub unreachable: bool,
    /// The process does not run, so connections are refused.
    pub process_down: bool,
    /// The endpoint has drained and another is to replace it, which is no outage.
    pub drained: bool,
}

/// Pauses that come back at a regular interval; all times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Length of a pause.
    pub pause: Micros,
    /// From the start of a pause to the start of the next.
    pub period: Micros,
    /// Start of the first pause.
    pub from: Micros,
}

impl Condition {
    /// Returns whether an endpoint in this condition is in an outage.
    pub fn is_outage(&self) -> bool {
        self.hangs
            || self.unavailable_until.is_some()
            || self.unreachable
            || self.process_down && !self.drained
            || self.error_share > OUTAGE_ERROR_SHARE
    }

    /// Returns when work that could start at `start` does start, given the pauses.
    pub(super) fn after_stall(&self, start: Micros) -> Micros {
        let Some(stall) = self.stall else { return start };
        let Some(elapsed) = start.checked_sub(stall.from) else { return start };
        let into_period = elapsed % stall.period;
        if into_period < stall.pause { start + stall.pause - into_period } else { start }
    }
}
