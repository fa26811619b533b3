//! Checks [`Invariant::Duplicated`].
use super::state::{Finding, Message};
use super::{Invariant, InvariantChecker, TOLERANCE_MICROS, seconds};
use crate::observation::Micros;
use crate::plan::{Class, DEDUPLICATION_WINDOW};

/// Checks an attempt that was sent at `sent`.
pub(super) fn check_duplicate(message: &Message, sent_at: Micros) -> Option<Finding> {
    let first_attempt = message.first_uncertain_attempt?;
    let what = match message.class {
        Class::Charge => "it was sent again though it may have run".to_owned(),
        Class::TripRecord if sent_at > first_attempt + DEDUPLICATION_WINDOW.0 + TOLERANCE_MICROS => {
            format!("it was sent again {} after it may have run", seconds(sent_at - first_attempt))
        }
        Class::TripRecord => return None,
    };
    Some(Finding { invariant: Invariant::Duplicated, what })
}

impl InvariantChecker {
    /// A message has taken effect at a destination.
    pub(super) fn took_effect(&mut self, at: Micros, id: &str) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.effects += 1;
        message.record(at, "took effect".to_owned());
        if message.effects > 1 && message.counts() {
            self.report(Invariant::Duplicated, at, Some(id), "it took effect twice".to_owned());
        }
    }

    /// Checks a charge that was returned to its client, who may submit it again.
    pub(super) fn check_returned(&mut self, at: Micros, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let may_have_run = message.first_uncertain_attempt.is_some() || !message.calls.is_empty();
        if message.class == Class::Charge && may_have_run && message.counts() {
            let what = "it was returned though it may have run".to_owned();
            self.report(Invariant::Duplicated, at, Some(id), what);
        }
    }
}
