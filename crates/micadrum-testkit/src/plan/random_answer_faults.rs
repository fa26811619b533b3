//! Random faults of endpoints and agents that answer more than once, drawn from the seed.
use super::random_faults::draw_span;
use super::{Plan, SeededRng};
use crate::scenario::{Fault, FaultKind};
use crate::units::{Percent, Span};

/// Number of the first random answer fault, which selects the sequence that its targets are drawn from.
const FIRST_ANSWER_FAULT: usize = 4000;
/// Time from the start of one pair of faults to the start of the next.
const PAIR_INTERVAL_SECONDS: f64 = 12.0;
/// Upper bounds of the time from an answer to its repetition, in milliseconds.
const MAX_DELAYS_MS: [u64; 3] = [2, 10, 20];
/// The shares of the answers that are repeated, in percent.
const REPEATED_PERCENT: [f64; 3] = [5.0, 30.0, 100.0];

impl Plan {
    /// Adds faults by which endpoints, and the senders' agents, answer more than once: a pair of them every
    /// few seconds, each with its own targets and delay.
    pub fn add_answer_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "answer faults");
        let length = self.length().as_secs();
        let pairs = (length / PAIR_INTERVAL_SECONDS).ceil() as usize;
        let mut number = FIRST_ANSWER_FAULT;
        for pair in 0..pairs {
            let begin = pair as f64 * PAIR_INTERVAL_SECONDS;
            for kind in [FaultKind::RepeatAnswers, FaultKind::RepeatAgentAnswers] {
                let fault = draw_fault(&mut rng, kind, begin, length);
                self.faults.push(self.resolve(&fault, number));
                number += 1;
            }
        }
        self.sort_faults();
    }
}

fn draw_fault(rng: &mut SeededRng, kind: FaultKind, begin: f64, length: f64) -> Fault {
    let latest = (length * 0.9).max(begin);
    let at = draw_span(rng, begin, (begin + 3.0).min(latest).max(begin + 0.1));
    let remaining = (length - at.as_secs()).max(0.2);
    let duration = draw_span(rng, 0.2, remaining.clamp(0.3, PAIR_INTERVAL_SECONDS));
    let mut fault = Fault::new(kind, at);
    fault.duration = Some(duration.min(Span::millis((remaining * 1e3) as u64)));
    fault.share = Some(Percent(rng.between(30.0, 100.0).round()));
    fault.call_share = Some(Percent(REPEATED_PERCENT[rng.below(REPEATED_PERCENT.len())]));
    fault.delay = Some(Span::millis(MAX_DELAYS_MS[rng.below(MAX_DELAYS_MS.len())]));
    fault
}
