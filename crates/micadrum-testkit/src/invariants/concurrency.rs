//! Checks [`Invariant::ConcurrentAttempts`], and [`Invariant::OutOfOrder`] for calls that overlap.
//!
//! The end of a call is observed later than it happens. A possible overlap is therefore recorded as a
//! conflict when the later attempt begins, and checked once the end of the earlier call is known.
use super::state::{Call, CallStart, Conflict};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Maximum time that a link holds back the data of a connection after its process exited, in microseconds. A
/// call whose end has not been observed by then ended when the process exited.
const MAX_LINK_HOLD_MICROS: Micros = 60_000_000;

impl InvariantChecker {
    /// Records that the attempt to send the message `id` must not overlap with the calls `others`.
    pub(super) fn add_conflicts(
        &mut self,
        start: &CallStart,
        id: &str,
        others: &[u64],
        invariant: Invariant,
    ) {
        // The calls of an earlier process ended when it exited, even if their end is observed later.
        let exited_at = self.senders.get(&start.sender).and_then(|sender| sender.exited_at).unwrap_or(0);
        let is_same_process = |call: &&mut Call| call.sender == start.sender && call.sent_at >= exited_at;
        for other in others {
            let Some(other) = self.calls.get_mut(other).filter(is_same_process) else { continue };
            let id = id.to_owned();
            // Calls may be observed in another order than they were sent.
            if other.sent_at <= start.sent_at {
                other.conflicts.push(Conflict { invariant, id, sent_at: start.sent_at });
            } else if invariant == Invariant::ConcurrentAttempts {
                let sent_at = other.sent_at;
                if let Some(this) = self.calls.get_mut(&start.call) {
                    this.conflicts.push(Conflict { invariant, id, sent_at });
                }
            }
        }
    }

    /// Ends the calls of processes that exited more than [`MAX_LINK_HOLD_MICROS`] ago, if their end was not
    /// observed.
    pub(super) fn end_orphaned_calls(&mut self, now: Micros) {
        while let Some((exited_at, call)) = self.orphaned_calls.front().copied()
            && exited_at + MAX_LINK_HOLD_MICROS < now
        {
            self.orphaned_calls.pop_front();
            self.call_ended(exited_at, call, exited_at);
        }
    }

    /// Ends a call that was in flight until `until`, and reports the conflicting attempts that were sent
    /// before then.
    pub(super) fn call_ended(&mut self, at: Micros, number: u64, until: Micros) {
        let Some(call) = self.calls.remove(&number) else { return };
        for Conflict { invariant, id, sent_at } in call.conflicts {
            if sent_at >= until {
                continue;
            }
            let description = format!(
                "it was sent at {} while call {number} with {} was in flight until {}",
                seconds(sent_at),
                call.ids.join(", "),
                seconds(until)
            );
            self.report(invariant, at, Some(&id), description);
            self.add_histories(&id, &call.ids);
        }
    }

    /// Adds the histories of the other messages of a call to the violation that was just reported for `id`.
    fn add_histories(&mut self, id: &str, ids: &[String]) {
        let others = ids.iter().filter(|other| *other != id);
        let lines: Vec<String> = others
            .flat_map(|other| self.history(other).into_iter().map(move |line| format!("({other}) {line}")))
            .collect();
        let reported = self.verdict.violations.last_mut();
        if let Some(violation) = reported.filter(|violation| violation.id.as_deref() == Some(id)) {
            violation.history.extend(lines);
        }
    }
}
