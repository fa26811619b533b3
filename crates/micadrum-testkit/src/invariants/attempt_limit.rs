//! Checks [`Invariant::TooManyAttempts`].
use super::Invariant;
use super::state::{Finding, Message};
use crate::plan::MAX_ATTEMPTS;

/// Checks the attempt count of a message, which includes the latest attempt.
pub(super) fn check_attempt_limit(message: &Message) -> Option<Finding> {
    let description = format!("attempt {} exceeds the limit of {MAX_ATTEMPTS}", message.attempts);
    (message.attempts > MAX_ATTEMPTS)
        .then_some(Finding { invariant: Invariant::TooManyAttempts, description })
}
