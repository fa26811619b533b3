//! Checks [`Invariant::Duplicated`].
use super::state::{Finding, Message};
use super::{Invariant, InvariantChecker, TOLERANCE_MICROS, seconds};
use crate::observation::Micros;
use crate::plan::{Class, DEDUPLICATION_WINDOW};

/// Checks that an attempt sent at `sent_at` does not repeat one that may have taken effect.
pub(super) fn check_duplicate(message: &Message, sent_at: Micros) -> Option<Finding> {
    let first_attempt = message.first_uncertain_attempt?;
    let description = match message.class {
        Class::Charge => "it was sent again although an earlier attempt may have taken effect".to_owned(),
        Class::TripRecord if sent_at > first_attempt + DEDUPLICATION_WINDOW.0 + TOLERANCE_MICROS => {
            format!(
                "it was sent again {} s after an attempt that may have taken effect, past its key's lifetime",
                seconds(sent_at - first_attempt)
            )
        }
        Class::TripRecord => return None,
    };
    Some(Finding { invariant: Invariant::Duplicated, description })
}

impl InvariantChecker {
    /// Counts an effect of a message at a destination, and reports any after the first.
    pub(super) fn took_effect(&mut self, at: Micros, id: &str) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.effects += 1;
        message.record(at, "took effect".to_owned());
        if message.effects > 1 && message.is_checked() {
            self.report(Invariant::Duplicated, at, Some(id), "it took effect more than once".to_owned());
        }
    }

    /// Checks that a charge is not returned after an attempt that may have taken effect, as its client may
    /// resubmit it.
    pub(super) fn check_returned(&mut self, at: Micros, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let may_have_taken_effect = message.first_uncertain_attempt.is_some() || !message.calls.is_empty();
        if message.class == Class::Charge && may_have_taken_effect && message.is_checked() {
            let description = "it was returned although an attempt may have taken effect".to_owned();
            self.report(Invariant::Duplicated, at, Some(id), description);
        }
    }
}
