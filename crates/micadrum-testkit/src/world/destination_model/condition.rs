//! The degradation of an endpoint at a given time.
use crate::observation::Micros;
use crate::world::repeated_answers::Repetition;

/// An endpoint that fails a larger share of its calls than this counts as out of service.
const OUTAGE_ERROR_SHARE: f64 = 0.8;

/// The degradation of an endpoint at a given time; the default is a healthy endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// Whether the endpoint accepts calls without ever answering them.
    pub hangs: bool,
    /// The latency added to each answer, in microseconds.
    pub added_latency: Micros,
    /// The periodic pauses of the endpoint, or `None` if it does not pause.
    pub stall: Option<Stall>,
    /// The time until which the endpoint rejects all calls.
    pub unavailable_until: Option<Micros>,
    /// The share of calls that are rejected.
    pub rejected_share: f64,
    /// The time from a rejected call to its answer, in microseconds.
    pub rejection_latency: Micros,
    /// The share of calls that fail quickly.
    pub error_share: f64,
    /// The share of answers that are corrupted.
    pub corrupted_share: f64,
    /// The share of calls whose connection is reset after the call has run.
    pub reset_share: f64,
    /// How answers are repeated, or `None` if they are not.
    pub repetition: Option<Repetition>,
    /// Whether the machine is cut off from the network.
    pub unreachable: bool,
    /// Whether the process is down, so that connections are refused.
    pub process_down: bool,
    /// Whether the endpoint has been drained for replacement, which does not count as an outage.
    pub drained: bool,
}

/// Pauses that recur at a regular interval; all times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The length of each pause.
    pub pause: Micros,
    /// The time from the start of one pause to the start of the next.
    pub period: Micros,
    /// The start of the first pause.
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

    /// Returns `start`, or the end of the pause that contains it.
    pub(super) fn after_stall(&self, start: Micros) -> Micros {
        let Some(stall) = self.stall else { return start };
        let Some(elapsed) = start.checked_sub(stall.from) else { return start };
        let offset_in_period = elapsed % stall.period;
        if offset_in_period < stall.pause { start + stall.pause - offset_in_period } else { start }
    }
}
