//! Checks [`Invariant::SentAfterEnd`].
use super::Invariant;
use super::state::{Acceptance, Finding, Message};
use crate::observation::Micros;

/// Checks an attempt that was sent at `sent`.
pub(super) fn check_sent_after_end(message: &Message, sent_at: Micros) -> Vec<Finding> {
    let finding = |what: &str| Finding { invariant: Invariant::SentAfterEnd, what: what.to_owned() };
    let mut findings = Vec::new();
    if message.notified_at.is_some_and(|notified_at| notified_at < sent_at) {
        findings.push(finding("it was sent after the notice of its end"));
    }
    if message.acceptance == Acceptance::Rejected {
        findings.push(finding("it was sent though refused"));
    }
    findings
}
