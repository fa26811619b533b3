//! Checks [`Invariant::SentToDraining`].
use super::state::CallStart;
use super::{Invariant, InvariantChecker, TOLERANCE_MICROS, seconds};
use crate::observation::Micros;
use crate::plan::DRAIN_GRACE;

impl InvariantChecker {
    /// Records whether discovery lists an endpoint to a sender as in service.
    pub(super) fn listed(&mut self, at: Micros, sender: u32, endpoint: &str, is_serving: bool) {
        let key = (sender, endpoint.to_owned());
        if is_serving {
            self.unlisted_since.remove(&key);
        } else {
            self.unlisted_since.entry(key).or_insert(at);
        }
    }

    /// Checks that a call does not go to an endpoint that the sender knows to be out of service.
    pub(super) fn check_draining(&mut self, start: &CallStart) {
        let CallStart { sender, endpoint, sent_at, .. } = *start;
        if let Some(since) = self.unlisted_since.get(&(sender, endpoint.to_owned()))
            && sent_at > since + DRAIN_GRACE.0 + TOLERANCE_MICROS
        {
            let description = format!(
                "sender {sender} called endpoint {endpoint}, listed to it as out of service since {}",
                seconds(*since)
            );
            self.report(Invariant::SentToDraining, start.at, start.first_id(), description);
        }
    }
}
