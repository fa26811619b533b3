//! Drains: a call to an endpoint that its sender knew to be out of service (`Drain`).
use super::{Invariant, InvariantChecker, TOLERANCE, seconds};
use crate::observation::At;
use crate::plan::DRAIN_GRACE;

impl InvariantChecker {
    pub(super) fn listed(&mut self, at: At, sender: u32, endpoint: &str, serving: bool) {
        if serving {
            self.unlisted.remove(&(sender, endpoint.to_owned()));
        } else {
            self.unlisted.entry((sender, endpoint.to_owned())).or_insert(at);
        }
    }

    pub(super) fn called_unlisted(
        &mut self,
        at: At,
        sender: u32,
        endpoint: &str,
        first: Option<&str>,
        sent: At,
    ) {
        if let Some(told) = self.unlisted.get(&(sender, endpoint.to_owned()))
            && sent > told + DRAIN_GRACE.0 + TOLERANCE
        {
            let what =
                format!("sender {sender} called {endpoint}, out of service for it since {}", seconds(*told));
            self.convict(Invariant::Drain, at, first, what);
        }
    }
}
