//! Random faults of requests that arrive in pieces while their senders end, drawn from the seed.
use super::random_faults::draw_span;
use super::{Plan, SeededRng};
use crate::scenario::{Fault, FaultKind, StopMethod};
use crate::units::{Percent, Span};

/// Number of the first random request fault, which selects the sequence that its targets are drawn from.
const FIRST_REQUEST_FAULT: usize = 5000;
/// Time from the end of one process to the end of the next.
const INTERVAL_SECONDS: f64 = 5.0;
/// Upper bounds of the time between the two pieces of a request, in milliseconds.
const MAX_PAUSES_MS: [u64; 3] = [20, 120, 250];

impl Plan {
    /// Adds faults by which requests arrive in two pieces for the whole run, and ends of processes every few
    /// seconds: by SIGTERM, by SIGKILL, or by a handover.
    pub fn add_request_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "request faults");
        let length = self.length().as_secs();
        let mut faults = vec![draw_cuts(&mut rng, length)];
        let ends = ((length - 1.0) / INTERVAL_SECONDS).ceil().max(1.0) as usize;
        for end in 0..ends {
            let begin = 1.0 + end as f64 * INTERVAL_SECONDS;
            let at = draw_span(&mut rng, begin, (begin + 2.0).min(length * 0.9).max(begin + 0.1));
            faults.push(draw_end(&mut rng, at));
        }
        for (index, fault) in faults.iter().enumerate() {
            self.faults.push(self.resolve(fault, FIRST_REQUEST_FAULT + index));
        }
        self.sort_faults();
    }
}

fn draw_cuts(rng: &mut SeededRng, length: f64) -> Fault {
    let mut fault = Fault::new(FaultKind::CutRequests, Span::millis(0));
    fault.duration = Some(Span::millis((length * 1e3) as u64));
    fault.call_share = Some(Percent(rng.between(30.0, 100.0).round()));
    fault.delay = Some(Span::millis(MAX_PAUSES_MS[rng.below(MAX_PAUSES_MS.len())]));
    fault
}

fn draw_end(rng: &mut SeededRng, at: Span) -> Fault {
    let share = Some(Percent(rng.between(30.0, 100.0).round()));
    let mut fault = Fault { share, ..Fault::new(FaultKind::Restart, at) };
    fault.stop_method = Some(if rng.chance(0.7) { StopMethod::Term } else { StopMethod::Kill });
    fault.batch = Some(1 + rng.below(3) as u32);
    fault.interval = Some(draw_span(rng, 0.5, 2.0));
    fault.downtime = Some(draw_span(rng, 0.6, 1.0));
    fault
}
