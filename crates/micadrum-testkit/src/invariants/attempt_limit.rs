//! Checks [`Invariant::TooManyAttempts`].
use super::Invariant;
use super::state::{Finding, Message};
use crate::plan::MAX_ATTEMPTS;

/// Checks a message whose latest attempt has been counted.
pub(super) fn check_attempt_limit(message: &Message) -> Option<Finding> {
    let what = format!("attempt {} of {MAX_ATTEMPTS}", message.attempts);
    (message.attempts > MAX_ATTEMPTS).then_some(Finding { invariant: Invariant::TooManyAttempts, what })
}
