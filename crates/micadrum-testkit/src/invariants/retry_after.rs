//! Checks [`Invariant::RetryAfterIgnored`].
use super::state::{CallStart, RetryAfter};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Calls that are sent this soon after the Retry-After is heard are let through, in microseconds.
const REACTION_MICROS: Micros = 100_000;
/// A Retry-After is kept this long after its time, as calls are seen later than they are sent; in microseconds.
const RETENTION_MICROS: Micros = 1_000_000;

impl InvariantChecker {
    /// Notes the Retry-After that the answer to a call carries, unless the sender's process has ended before.
    pub(super) fn note_retry_after(&mut self, at: Micros, call: u64, until: Option<Micros>, heard: Micros) {
        let (Some(known), Some(until)) = (self.calls.get(&call), until) else { return };
        let (sender, route) = (known.sender, known.route);
        if !self.receives_answer(sender, known.sent_at) {
            return;
        }
        let waits = self.retry_after.entry((sender, route)).or_default();
        waits.retain(|wait| wait.until + RETENTION_MICROS > at);
        waits.push(RetryAfter { call, from: heard + REACTION_MICROS, until });
    }

    /// Checks that a call is not made before the time of a Retry-After.
    pub(super) fn check_retry_after(&mut self, start: &CallStart) {
        let CallStart { sender, route, sent_at, .. } = *start;
        let waits = self.retry_after.get(&(sender, route)).map_or(&[][..], Vec::as_slice);
        if let Some(wait) = waits.iter().find(|wait| sent_at > wait.from && sent_at < wait.until) {
            let what = format!(
                "sender {sender} called line {route} during a wait until {}, told by call {} and binding from {}",
                seconds(wait.until),
                wait.call,
                seconds(wait.from)
            );
            self.report(Invariant::RetryAfterIgnored, start.at, start.first_id(), what);
        }
    }

    /// Forgets a Retry-After whose answer the sender never received.
    pub(super) fn forget_retry_after(&mut self, call: u64) {
        self.retry_after.values_mut().for_each(|waits| waits.retain(|wait| wait.call != call));
    }
}
