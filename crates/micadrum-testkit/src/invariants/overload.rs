//! Partners that were pushed over (`PushedOver`): by senders that had seen them fail.
//!
//! The bound is that of the wire's page, N and three times its root, N being what the settings allow in that time, and two
//! thirds of the calls or more convict. The page of the standing test lets three calls more pass, and convicts by more than
//! two thirds: a verdict says whether it would as well. A partner falls at the first call too many, so the calls told are
//! the fewest that break the rule, never the load that would have come.
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::At;

/// Calls that the page of the standing test lets pass beyond the bound of the wire's page.
const STANDING_MORE: f64 = 3.0;

impl InvariantChecker {
    pub(super) fn saw_failure(&mut self, line: u32, sender: u32) {
        if let Some(outage) = self.outages.get_mut(&line).filter(|outage| outage.on) {
            outage.saw.insert(sender);
        }
    }

    pub(super) fn fell(&mut self, at: At, line: u32, senders: &[u32], budget: f64, endpoint: &str) {
        let saw = self
            .outages
            .get(&line)
            .map_or(0, |outage| senders.iter().filter(|sender| outage.saw.contains(sender)).count());
        let by_standing = senders.len() as f64 > budget + STANDING_MORE && saw * 3 > senders.len() * 2;
        let what = format!(
            "line {line} ({endpoint}) fell by {} calls where it bore {budget:.1}: {saw} by senders that knew; by the \
             bound of the standing test, {:.1}, it {}",
            senders.len(),
            budget + STANDING_MORE,
            if by_standing { "would have fallen as well" } else { "stood here" }
        );
        self.verdict.fell.push(format!("{} {what}", seconds(at)));
        if saw * 3 >= senders.len() * 2 {
            self.convict(Invariant::PushedOver, at, None, what);
        }
    }
}
