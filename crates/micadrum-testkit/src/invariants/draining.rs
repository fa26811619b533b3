//! Checks [`Invariant::SentToDraining`].
use super::state::CallStart;
use super::{Invariant, InvariantChecker, TOLERANCE_MICROS, seconds};
use crate::observation::Micros;
use crate::plan::DRAIN_GRACE;

impl InvariantChecker {
    /// Discovery has told a sender whether an endpoint is in service.
    pub(super) fn listed(&mut self, at: Micros, sender: u32, endpoint: &str, is_serving: bool) {
        let key = (sender, endpoint.to_owned());
        if is_serving {
            self.unlisted_since.remove(&key);
        } else {
            self.unlisted_since.entry(key).or_insert(at);
        }
    }

    /// Checks that a call goes to an endpoint in service.
    pub(super) fn check_draining(&mut self, start: &CallStart) {
        let CallStart { sender, endpoint, sent_at, .. } = *start;
        if let Some(since) = self.unlisted_since.get(&(sender, endpoint.to_owned()))
            && sent_at > since + DRAIN_GRACE.0 + TOLERANCE_MICROS
        {
            let what =
                format!("sender {sender} called {endpoint}, out of service for it since {}", seconds(*since));
            self.report(Invariant::SentToDraining, start.at, start.first_id(), what);
        }
    }
}
