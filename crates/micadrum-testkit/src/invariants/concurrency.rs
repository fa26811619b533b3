//! Checks [`Invariant::ConcurrentAttempts`], and [`Invariant::OutOfOrder`] for calls that overlap.
//!
//! The end of a call is seen later than it happens, so overlaps are noted as conflicts when the later attempt begins,
//! and checked when the end of the earlier call is known.
use super::state::{Call, CallStart, Conflict};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::Micros;

/// Data on a connection may be held back on a link for this long after its process ended. If by then no end of a call
/// has been seen, the call ended with the process.
const MAX_LINK_HOLD_MICROS: Micros = 60_000_000;

impl InvariantChecker {
    /// Notes that the attempt to send `id` must not overlap with the calls `others`.
    pub(super) fn add_conflicts(
        &mut self,
        start: &CallStart,
        id: &str,
        others: &[u64],
        invariant: Invariant,
    ) {
        // The connections of an earlier process ended with it, whenever that shows.
        let exited_at = self.senders.get(&start.sender).and_then(|sender| sender.exited_at).unwrap_or(0);
        let is_same_process = |call: &&mut Call| call.sender == start.sender && call.sent_at >= exited_at;
        for other in others {
            let Some(other) = self.calls.get_mut(other).filter(is_same_process) else { continue };
            let id = id.to_owned();
            // The call that was seen first need not have been sent first.
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

    /// Ends calls of processes that ended long ago: those whose own end has not been seen since.
    pub(super) fn end_orphaned_calls(&mut self, now: Micros) {
        while let Some((exited_at, call)) = self.orphaned_calls.front().copied()
            && exited_at + MAX_LINK_HOLD_MICROS < now
        {
            self.orphaned_calls.pop_front();
            self.call_ended(exited_at, call, exited_at);
        }
    }

    /// A call was in flight until `until`: attempts in conflict with it must not have been sent before.
    pub(super) fn call_ended(&mut self, at: Micros, number: u64, until: Micros) {
        let Some(call) = self.calls.remove(&number) else { return };
        for Conflict { invariant, id, sent_at } in call.conflicts {
            if sent_at >= until {
                continue;
            }
            let what = format!(
                "it was sent {} beside call {number} of {}, out until {}",
                seconds(sent_at),
                call.ids.join(", "),
                seconds(until)
            );
            self.report(invariant, at, Some(&id), what);
            self.add_histories(&id, &call.ids);
        }
    }

    /// Adds the histories of the other messages of a call to the violation that was just reported for `id`.
    fn add_histories(&mut self, id: &str, ids: &[String]) {
        let others = ids.iter().filter(|other| *other != id);
        let lines: Vec<String> = others
            .flat_map(|other| self.history(other).into_iter().map(move |line| format!("({other}) {line}")))
            .collect();
        let reported = self.verdict.breaks.last_mut();
        if let Some(violation) = reported.filter(|violation| violation.id.as_deref() == Some(id)) {
            violation.history.extend(lines);
        }
    }
}
