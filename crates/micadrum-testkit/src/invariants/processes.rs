//! Checks [`Invariant::Crash`], and updates the state that ends with a sender's process.
use super::state::Acceptance;
use super::{Invariant, InvariantChecker, READY_SLACK_MICROS};
use crate::observation::Micros;

/// Time from SIGTERM from which on a process may have been killed, in microseconds.
const TERM_TO_KILL_MICROS: Micros = 3_700_000;

impl InvariantChecker {
    /// Records that a sender is ready.
    pub(super) fn ready(&mut self, at: Micros, sender: u32) {
        let sender = self.senders.entry(sender).or_default();
        if sender.restarting_since.take().is_some() {
            sender.excused_until = sender.excused_until.max(at + READY_SLACK_MICROS);
        }
        sender.is_shutdown_requested = false;
    }

    /// Records that a sender's process was signalled to exit.
    pub(super) fn shutdown_requested(&mut self, at: Micros, sender: u32, is_killed: bool) {
        let sender = self.senders.entry(sender).or_default();
        sender.restarting_since.get_or_insert(at);
        sender.is_shutdown_requested = true;
        sender.graceful_since = (!is_killed).then_some(at);
    }

    /// Excuses a sender: its messages do not count as overdue until shortly after `until`.
    pub(super) fn excuse(&mut self, sender: u32, until: Micros) {
        let sender = self.senders.entry(sender).or_default();
        sender.excused_until = sender.excused_until.max(until + READY_SLACK_MICROS);
    }

    /// Processes the exit of a sender's process; `is_expected` if the exit was requested, and the process was
    /// killed or exited without an error.
    pub(super) fn exited(&mut self, at: Micros, number: u32, is_expected: bool) {
        let sender = self.senders.entry(number).or_default();
        sender.restarting_since.get_or_insert(at);
        sender.exited_at = Some(at);
        // A process that does not end by itself after SIGTERM is killed, and cannot answer any more.
        let is_graceful = sender.graceful_since.take().is_some_and(|since| at < since + TERM_TO_KILL_MICROS);
        sender.may_leave_unanswered = !is_graceful;
        if !(sender.is_shutdown_requested && is_expected) {
            let description = format!("sender {number} exited without a request or with an error");
            self.report(Invariant::Crash, at, None, description);
        }
        self.note_untried_messages(number);
        self.orphan_calls(at, number);
        // The process's knowledge of outages and Retry-After is lost with it.
        self.retry_after.retain(|(sender, _), _| *sender != number);
        for outage in self.outages.values_mut() {
            outage.witnesses.remove(&number);
        }
    }

    fn note_untried_messages(&mut self, sender: u32) {
        for message in self.messages.values_mut().filter(|message| message.sender == sender) {
            if message.is_untried() && !message.was_left_untried {
                message.was_left_untried = true;
                self.verdict.left_untried += 1;
            }
        }
    }

    /// Marks the calls of a process that exited as unanswered. Their connections closed at the exit or
    /// before, which may not have been observed yet.
    fn orphan_calls(&mut self, at: Micros, sender: u32) {
        let calls = self.calls.iter().filter(|(_, call)| call.sender == sender);
        let orphaned: Vec<u64> = calls.map(|(number, _)| *number).collect();
        for call in orphaned {
            self.unanswered(at, call, at);
            self.orphaned_calls.push_back((at, call));
        }
    }

    /// Processes the loss of a sender's machine, with all messages that have not ended.
    pub(super) fn machine_lost(&mut self, at: Micros, number: u32) {
        for message in self.messages.values_mut().filter(|message| message.sender == number) {
            if message.ended_at.is_none() {
                message.acceptance = Acceptance::Unknown;
                message.record(at, format!("the machine of sender {number} was lost"));
            }
        }
        self.ordering_keys.retain(|(sender, _), _| *sender != number);
    }
}
