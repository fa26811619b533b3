//! Checks [`Invariant::SentAfterEnd`].
use super::Invariant;
use super::state::{Acceptance, Finding, Message};
use crate::observation::Micros;

/// Checks that a message was neither rejected nor reported as ended before an attempt that was sent at
/// `sent_at`.
pub(super) fn check_sent_after_end(message: &Message, sent_at: Micros) -> Vec<Finding> {
    let finding = |text: &str| Finding { invariant: Invariant::SentAfterEnd, description: text.to_owned() };
    let mut findings = Vec::new();
    if message.notified_at.is_some_and(|notified_at| notified_at < sent_at) {
        findings.push(finding("it was sent after the notification of its end"));
    }
    if message.acceptance == Acceptance::Rejected {
        findings.push(finding("it was sent although its sender had rejected it"));
    }
    findings
}
