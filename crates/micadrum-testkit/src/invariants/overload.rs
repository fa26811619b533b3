//! Checks [`Invariant::OverloadedInSlowStart`].
//!
//! The invariant is violated if a destination is overloaded by more than N + 3√N calls, where N is the number
//! of calls that the settings allow in the window, and at least two thirds of the calls came from senders
//! that had seen its outage. The acceptance test allows three more calls and requires more than two thirds; a
//! violation's description says whether that bound was exceeded as well. The destination fails at the first
//! call beyond its bound, so the number of reported calls is the smallest that violates the invariant, not
//! the load that would have followed.
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Number of calls that the acceptance test allows beyond the bound of the invariant.
const ACCEPTANCE_TEST_MARGIN_CALLS: f64 = 3.0;

impl InvariantChecker {
    /// Records that an outage of a route began or ended.
    pub(super) fn outage(&mut self, route: u32, began: bool) {
        let outage = self.outages.entry(route).or_default();
        if began && !outage.is_active {
            outage.witnesses.clear();
        }
        outage.is_active = began;
    }

    /// Records that a sender has seen a call to the route fail.
    pub(super) fn witness_failure(&mut self, route: u32, sender: u32) {
        if let Some(outage) = self.outages.get_mut(&route).filter(|outage| outage.is_active) {
            outage.witnesses.insert(sender);
        }
    }

    /// Processes the overload of a route in slow start by calls of `senders`, one entry for each call.
    pub(super) fn overloaded(
        &mut self,
        at: Micros,
        route: u32,
        senders: &[u32],
        budget: f64,
        endpoint: &str,
    ) {
        let calls = senders.len();
        let aware = self
            .outages
            .get(&route)
            .map_or(0, |outage| senders.iter().filter(|sender| outage.witnesses.contains(sender)).count());
        let acceptance_bound = budget + ACCEPTANCE_TEST_MARGIN_CALLS;
        let exceeds_acceptance_bound = calls as f64 > acceptance_bound && aware * 3 > calls * 2;
        let description = format!(
            "route {route} ({endpoint}) was overloaded by {calls} calls, more than its budget of {budget:.1}; \
             {aware} came from senders that had seen the outage; \
             the acceptance test's bound of {acceptance_bound:.1} calls was {}",
            if exceeds_acceptance_bound { "exceeded" } else { "not exceeded" }
        );
        self.verdict.overloads.push(format!("{} {description}", seconds(at)));
        if aware * 3 >= calls * 2 {
            self.report(Invariant::OverloadedInSlowStart, at, None, description);
        }
    }
}
