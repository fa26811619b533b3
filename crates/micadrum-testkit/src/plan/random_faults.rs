//! Random faults of the environment and of peers, drawn from the seed in addition to the faults of the
//! scenario.
use super::{Plan, SeededRng};
use crate::scenario::{CutDirection, Fault, FaultKind, StopMethod, WritePoint};
use crate::units::{Percent, Span};

/// Random faults of peers end this many seconds before the end of the run, so that membership views can
/// converge.
const PEER_SETTLE_SECONDS: f64 = 15.0;
/// The mean interval between random faults, in seconds.
const FAULT_INTERVAL_SECONDS: f64 = 30.0;
/// Number of the first random fault of the environment, which selects the sequence that its targets are drawn
/// from.
const FIRST_ENVIRONMENT_FAULT: usize = 1000;
/// Number of the first random fault of peers, which selects the sequence that its targets are drawn from.
const FIRST_PEER_FAULT: usize = 2000;

/// Kinds of random faults of the environment; a kind that is listed twice is drawn twice as often.
const ENVIRONMENT_KINDS: [FaultKind; 24] = [
    FaultKind::Hang,
    FaultKind::Late,
    FaultKind::Stall,
    FaultKind::Shut,
    FaultKind::Full,
    FaultKind::Errors,
    FaultKind::Spoil,
    FaultKind::Reset,
    FaultKind::Vanish,
    FaultKind::Die,
    FaultKind::Drain,
    FaultKind::Move,
    FaultKind::Rename,
    FaultKind::ListLag,
    FaultKind::ListSilent,
    FaultKind::DeadHosts,
    FaultKind::Deaf,
    FaultKind::Restart,
    FaultKind::Restart,
    FaultKind::MachineLost,
    FaultKind::KillAtWrite,
    FaultKind::KillAtWrite,
    FaultKind::DiskFull,
    FaultKind::LinkHold,
];

/// Kinds of random faults of peers; a kind that is listed twice is drawn twice as often.
const PEER_KINDS: [FaultKind; 8] = [
    FaultKind::Cut,
    FaultKind::Cut,
    FaultKind::Slow,
    FaultKind::Lose,
    FaultKind::Pause,
    FaultKind::Restart,
    FaultKind::Restart,
    FaultKind::MachineLost,
];

impl Plan {
    /// Adds random faults of endpoints, discovery, links between zones and single senders, two per minute and
    /// a few more.
    pub fn add_random_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "random faults");
        let length = self.length().as_secs();
        let count = 2 + rng.below(3) + (length / FAULT_INTERVAL_SECONDS) as usize;
        for index in 0..count {
            let fault = draw_environment_fault(&mut rng, length, self.senders.len());
            self.faults.push(self.resolve(&fault, FIRST_ENVIRONMENT_FAULT + index));
        }
        self.sort_faults();
    }

    /// Adds random faults of senders and of the links between them, two per minute and a few more. They end
    /// before the last seconds of the run, so that membership views can converge.
    pub fn add_peer_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "peer faults");
        let length = (self.length().as_secs() - PEER_SETTLE_SECONDS).max(2.0);
        let count = 3 + rng.below(4) + (length / FAULT_INTERVAL_SECONDS) as usize;
        for index in 0..count {
            let fault = draw_peer_fault(&mut rng, length);
            self.faults.push(self.resolve(&fault, FIRST_PEER_FAULT + index));
        }
        self.sort_faults();
    }
}

/// Draws a time between `low` and `high` seconds, rounded down to milliseconds so that a printed plan is
/// exact.
pub(super) fn draw_span(rng: &mut SeededRng, low: f64, high: f64) -> Span {
    Span::millis((rng.between(low, high) * 1e3) as u64)
}

fn draw_percent(rng: &mut SeededRng, low: f64, high: f64) -> Option<Percent> {
    Some(Percent(rng.between(low, high).round()))
}

fn draw_stop_method(rng: &mut SeededRng, kill_probability: f64) -> StopMethod {
    if rng.chance(kill_probability) { StopMethod::Kill } else { StopMethod::Term }
}

fn draw_environment_fault(rng: &mut SeededRng, length: f64, senders: usize) -> Fault {
    let kind = ENVIRONMENT_KINDS[rng.below(ENVIRONMENT_KINDS.len())];
    let at = draw_span(rng, 1.0, (length * 0.8).max(1.1));
    let duration = draw_span(rng, 1.0, (length * 0.3).clamp(1.1, 15.0));
    let remaining = Span::seconds(length as u64).0.saturating_sub(at.0);
    let mut fault = Fault::new(kind, at);
    fault.duration = Some(Span(duration.0.min(remaining)));
    fault.delay = Some(draw_span(rng, 0.5, 10.0));
    fault.pause = Some(draw_span(rng, 0.2, 0.5));
    fault.interval = Some(draw_span(rng, 0.8, 4.0));
    fault.downtime = Some(draw_span(rng, 0.6, 2.0));
    fault.call_share = Some(Percent((rng.between(0.1, 1.0) * 100.0).round()));
    fault.share = Some(Percent((rng.between(0.1, 0.5) * 100.0).round()));
    fault.stop_method = Some(draw_stop_method(rng, 0.5));
    fault.nth = Some(1 + rng.below(200) as u64);
    fault.write_point = Some([WritePoint::Before, WritePoint::Torn, WritePoint::After][rng.below(3)]);
    if kind == FaultKind::Restart {
        fault.batch = Some(1 + rng.below(senders) as u32);
        fault.share = Some(Percent(100.0));
    }
    if is_instantaneous(kind) {
        fault.duration = None;
    }
    fault
}

fn is_instantaneous(kind: FaultKind) -> bool {
    use FaultKind::{Drain, KillAtWrite, MachineLost, Move, Rename, Restart};
    matches!(kind, Drain | Move | Rename | Restart | MachineLost | KillAtWrite)
}

fn draw_peer_fault(rng: &mut SeededRng, length: f64) -> Fault {
    let kind = PEER_KINDS[rng.below(PEER_KINDS.len())];
    let at = draw_span(rng, 1.0, (length * 0.8).max(1.1));
    let duration = draw_span(rng, 0.3, 8.0);
    let remaining = Span::millis((length * 1e3) as u64).0.saturating_sub(at.0).max(1);
    let mut fault = Fault::new(kind, at);
    fault.duration = Some(Span(duration.0.min(remaining)));
    // Senders adapt their timeouts to the latency, so a delay alone does not cause a sender to be declared
    // dead.
    fault.delay = Some(draw_span(rng, 0.05, 1.0));
    fault.jitter = Some(draw_span(rng, 0.0, 0.2));
    fault.downtime = Some(draw_span(rng, 0.3, 4.0));
    fault.interval = Some(draw_span(rng, 0.3, 2.0));
    fault.call_share = draw_percent(rng, 5.0, 40.0);
    fault.share = draw_percent(rng, 5.0, 60.0);
    fault.direction = Some([CutDirection::Both, CutDirection::Out, CutDirection::In][rng.below(3)]);
    fault.stop_method = Some(draw_stop_method(rng, 0.7));
    if matches!(kind, FaultKind::Restart | FaultKind::MachineLost) {
        fault.duration = None;
        fault.batch = Some(1 + rng.below(3) as u32);
        fault.share = draw_percent(rng, 5.0, 40.0);
    }
    fault
}
