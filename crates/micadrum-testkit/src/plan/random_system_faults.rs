//! Random faults of the senders' system calls, clocks and state folders, drawn from the seed.
use super::random_faults::draw_span;
use super::{Plan, SeededRng};
use crate::scenario::{Fault, FaultKind, FolderError, StopMethod, SystemCall};
use crate::units::{Percent, Span};

/// Number of the first random system fault, which selects the sequence that its targets are drawn from.
const FIRST_SYSTEM_FAULT: usize = 3000;
/// Time from the start of one cluster of faults to the start of the next.
const CLUSTER_INTERVAL_SECONDS: f64 = 20.0;
/// Period within which all faults of a cluster begin, so that they overlap.
const CLUSTER_SECONDS: f64 = 4.0;
/// The steps that wall clocks are set by, in seconds.
const CLOCK_STEPS_SECONDS: [f64; 4] = [0.5, 3.0, 8.0, 3600.0];
const SYSTEM_CALLS: [SystemCall; 6] = [
    SystemCall::Accept,
    SystemCall::Connect,
    SystemCall::Socket,
    SystemCall::ShortTransfer,
    SystemCall::Interrupt,
    SystemCall::DelayedWrite,
];

impl Plan {
    /// Adds clusters of overlapping faults: in each cluster a restart, and two or three faults of system
    /// calls, wall clocks or state folders.
    pub fn add_system_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "system faults");
        let length = self.length().as_secs();
        let clusters = (length / CLUSTER_INTERVAL_SECONDS).ceil() as usize;
        let mut number = FIRST_SYSTEM_FAULT;
        for cluster in 0..clusters {
            let begin = 1.0 + cluster as f64 * CLUSTER_INTERVAL_SECONDS;
            for fault in draw_cluster(&mut rng, begin, length) {
                self.faults.push(self.resolve(&fault, number));
                number += 1;
            }
        }
        self.sort_faults();
    }
}

fn draw_cluster(rng: &mut SeededRng, begin: f64, length: f64) -> Vec<Fault> {
    let latest = (length * 0.9).max(begin);
    let mut at = || draw_span(rng, begin, (begin + CLUSTER_SECONDS).min(latest).max(begin + 0.1));
    let times = [at(), at(), at(), at()];
    let mut faults = vec![draw_restart(rng, times[0])];
    for time in &times[1..2 + rng.below(2)] {
        faults.push(draw_system_fault(rng, *time, length));
    }
    faults.push(draw_system_fault(rng, times[3], length));
    faults
}

fn draw_restart(rng: &mut SeededRng, at: Span) -> Fault {
    let mut fault = Fault::new(FaultKind::Restart, at);
    fault.stop_method = Some(if rng.chance(0.6) { StopMethod::Kill } else { StopMethod::Term });
    fault.share = Some(Percent(rng.between(20.0, 100.0).round()));
    fault.batch = Some(1 + rng.below(3) as u32);
    fault.interval = Some(draw_span(rng, 0.5, 3.0));
    fault.downtime = Some(draw_span(rng, 0.6, 2.0));
    fault
}

fn draw_system_fault(rng: &mut SeededRng, at: Span, length: f64) -> Fault {
    let remaining = (length - at.as_secs()).max(0.2);
    let duration =
        Some(draw_span(rng, 0.2, remaining.clamp(0.3, 8.0)).min(Span::millis((remaining * 1e3) as u64)));
    let share = Some(Percent(rng.between(20.0, 100.0).round()));
    let kind = [FaultKind::WallClock, FaultKind::Folder, FaultKind::SystemCalls][rng.below(3)];
    let mut fault = Fault { share, ..Fault::new(kind, at) };
    match kind {
        FaultKind::WallClock => {
            let step = CLOCK_STEPS_SECONDS[rng.below(CLOCK_STEPS_SECONDS.len())];
            fault.step = Some(Span::millis((step * 1e3) as u64));
            fault.backward = Some(rng.chance(0.5));
        }
        FaultKind::Folder => {
            fault.duration = duration;
            fault.error = Some([FolderError::InputOutput, FolderError::NoSpace][rng.below(2)]);
            fault.torn = Some(rng.chance(0.5));
            fault.call_share = Some(Percent([100.0, 30.0][rng.below(2)]));
        }
        _ => {
            fault.duration = duration;
            fault.call = Some(SYSTEM_CALLS[rng.below(SYSTEM_CALLS.len())]);
            fault.call_share = Some(Percent([1.0, 5.0, 20.0][rng.below(3)]));
        }
    }
    fault
}
