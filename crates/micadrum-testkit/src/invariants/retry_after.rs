//! Checks [`Invariant::RetryAfterIgnored`].
use super::state::{CallStart, RetryAfter};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Time after the receipt of a Retry-After during which calls are still allowed, in microseconds.
const REACTION_MICROS: Micros = 100_000;
/// Time for which an expired Retry-After is kept, as calls are observed later than they are sent, in
/// microseconds.
const RETENTION_MICROS: Micros = 1_000_000;

impl InvariantChecker {
    /// Records the Retry-After of the answer to a call, unless the sender's process has exited before.
    pub(super) fn note_retry_after(
        &mut self,
        at: Micros,
        call: u64,
        until: Option<Micros>,
        received_at: Micros,
    ) {
        let (Some(known), Some(until)) = (self.calls.get(&call), until) else { return };
        let (sender, route) = (known.sender, known.route);
        if !self.receives_answer(sender, known.sent_at) {
            return;
        }
        let waits = self.retry_after.entry((sender, route)).or_default();
        waits.retain(|wait| wait.until + RETENTION_MICROS > at);
        waits.push(RetryAfter { call, from: received_at + REACTION_MICROS, until });
    }

    /// Checks that a call is not sent before the time that a Retry-After names.
    pub(super) fn check_retry_after(&mut self, start: &CallStart) {
        let CallStart { sender, route, sent_at, .. } = *start;
        let waits = self.retry_after.get(&(sender, route)).map_or(&[][..], Vec::as_slice);
        if let Some(wait) = waits.iter().find(|wait| sent_at > wait.from && sent_at < wait.until) {
            let description = format!(
                "sender {sender} called route {route} before {}, which the Retry-After of call {} names; \
                 it applies to calls sent after {}",
                seconds(wait.until),
                wait.call,
                seconds(wait.from)
            );
            self.report(Invariant::RetryAfterIgnored, start.at, start.first_id(), description);
        }
    }

    /// Forgets a Retry-After whose answer the sender never received.
    pub(super) fn forget_retry_after(&mut self, call: u64) {
        self.retry_after.values_mut().for_each(|waits| waits.retain(|wait| wait.call != call));
    }
}
