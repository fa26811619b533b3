//! Checks [`Invariant::OverloadedInSlowStart`].
//!
//! A violation is that at least two thirds of the calls that overloaded a destination came from senders that had seen its
//! outage, and that the calls exceed N + 3√N, where N is what the settings allow in the window (see the wire's page). The
//! standing test allows three more calls, and requires more than two thirds; the report says whether its bound was exceeded
//! as well. A destination fails at the first call beyond its bound, so the reported calls are the fewest that violate the
//! invariant, not the load that would have come.
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Number of calls that the standing test allows beyond the bound of the wire's page.
const STANDING_TEST_MARGIN_CALLS: f64 = 3.0;

impl InvariantChecker {
    /// An outage of a line began or ended.
    pub(super) fn outage(&mut self, route: u32, began: bool) {
        let outage = self.outages.entry(route).or_default();
        if began && !outage.is_active {
            outage.witnesses.clear();
        }
        outage.is_active = began;
    }

    /// A sender has seen a call to the line fail.
    pub(super) fn witness_failure(&mut self, route: u32, sender: u32) {
        if let Some(outage) = self.outages.get_mut(&route).filter(|outage| outage.is_active) {
            outage.witnesses.insert(sender);
        }
    }

    /// A line in slow start failed by calls of `senders`, one entry for each call.
    pub(super) fn overloaded(
        &mut self,
        at: Micros,
        route: u32,
        senders: &[u32],
        budget: f64,
        endpoint: &str,
    ) {
        let calls = senders.len();
        let knowing = self
            .outages
            .get(&route)
            .map_or(0, |outage| senders.iter().filter(|sender| outage.witnesses.contains(sender)).count());
        let standing_bound = budget + STANDING_TEST_MARGIN_CALLS;
        let exceeds_standing_bound = calls as f64 > standing_bound && knowing * 3 > calls * 2;
        let what = format!(
            "line {route} ({endpoint}) fell by {calls} calls where it bore {budget:.1}: {knowing} by senders that knew; \
             by the bound of the standing test, {standing_bound:.1}, it {}",
            if exceeds_standing_bound { "would have fallen as well" } else { "stood here" }
        );
        self.verdict.fell.push(format!("{} {what}", seconds(at)));
        if knowing * 3 >= calls * 2 {
            self.report(Invariant::OverloadedInSlowStart, at, None, what);
        }
    }
}
