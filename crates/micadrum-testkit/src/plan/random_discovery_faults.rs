//! Random faults of discovery whose agents answer late while endpoints come and go, drawn from the seed.
use super::random_faults::draw_span;
use super::{Plan, SeededRng};
use crate::scenario::{Fault, FaultKind};
use crate::units::{Percent, Span};

/// Number of the first random discovery fault, which selects the sequence that its targets are drawn from.
const FIRST_DISCOVERY_FAULT: usize = 6000;
/// Time from one change of the endpoints to the next.
const INTERVAL_SECONDS: f64 = 6.0;
/// The times that slow agents take for an answer, in milliseconds. A drain is heard within the grace period of
/// a second, also if it comes while a request is on its way.
const DELAYS_MS: [u64; 3] = [320, 400, 550];
/// Changes by which an address passes to another endpoint, or an endpoint to another address.
const CHANGES: [FaultKind; 3] = [FaultKind::Rename, FaultKind::Move, FaultKind::Drain];

impl Plan {
    /// Adds agents that answer late for the whole run and are silent at first, and endpoints that change their
    /// address or id every few seconds.
    pub fn add_discovery_faults(&mut self) {
        let mut rng = SeededRng::new(self.seed, "discovery faults");
        let length = self.length().as_secs();
        let mut slow = Fault::new(FaultKind::SlowAgent, Span::millis(0));
        slow.duration = Some(Span::millis((length * 1e3) as u64));
        slow.delay = Some(Span::millis(DELAYS_MS[rng.below(DELAYS_MS.len())]));
        // After a silence, senders do not know that their agents can be reached.
        let mut silent = Fault::new(FaultKind::ListSilent, draw_span(&mut rng, 0.1, 2.0));
        silent.duration = Some(draw_span(&mut rng, 0.5, 2.0));
        let mut faults = vec![slow, silent];
        let changes = ((length - 1.0) / INTERVAL_SECONDS).ceil().max(1.0) as usize;
        for change in 0..changes {
            let begin = 1.0 + change as f64 * INTERVAL_SECONDS;
            let at = draw_span(&mut rng, begin, (begin + 3.0).min(length * 0.9).max(begin + 0.1));
            let share = Some(Percent(rng.between(10.0, 40.0).round()));
            let kind = CHANGES[rng.below(CHANGES.len())];
            faults.push(Fault { share, ..Fault::new(kind, at) });
        }
        for (index, fault) in faults.iter().enumerate() {
            self.faults.push(self.resolve(fault, FIRST_DISCOVERY_FAULT + index));
        }
        self.sort_faults();
    }
}
