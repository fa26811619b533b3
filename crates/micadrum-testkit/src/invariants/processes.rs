//! Checks [`Invariant::Crash`], and notes what ends with a sender's process.
use super::state::Acceptance;
use super::{Invariant, InvariantChecker, READY_SLACK_MICROS};
use crate::observation::Micros;

impl InvariantChecker {
    /// A sender is ready.
    pub(super) fn ready(&mut self, at: Micros, sender: u32) {
        let sender = self.senders.entry(sender).or_default();
        if sender.restarting_since.take().is_some() {
            sender.excused_until = sender.excused_until.max(at + READY_SLACK_MICROS);
        }
        sender.is_shutdown_requested = false;
    }

    /// A sender's process was told to end.
    pub(super) fn shutdown_requested(&mut self, at: Micros, sender: u32) {
        let sender = self.senders.entry(sender).or_default();
        sender.restarting_since.get_or_insert(at);
        sender.is_shutdown_requested = true;
    }

    /// None of a sender's messages is overdue until shortly after `until`.
    pub(super) fn excuse(&mut self, sender: u32, until: Micros) {
        let sender = self.senders.entry(sender).or_default();
        sender.excused_until = sender.excused_until.max(until + READY_SLACK_MICROS);
    }

    /// A sender's process has ended; `in_order` if it was told to, and was killed or ended without an error.
    pub(super) fn exited(&mut self, at: Micros, number: u32, in_order: bool) {
        let sender = self.senders.entry(number).or_default();
        sender.restarting_since.get_or_insert(at);
        sender.exited_at = Some(at);
        if !(sender.is_shutdown_requested && in_order) {
            let what = format!("sender {number} ended without being told to");
            self.report(Invariant::Crash, at, None, what);
        }
        self.note_untried_messages(number);
        self.orphan_calls(at, number);
        // What the process knew of outages and Retry-After ended with it.
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

    /// The connections of a process ended with it at the latest. Some may have ended before, unseen so far.
    fn orphan_calls(&mut self, at: Micros, sender: u32) {
        let calls = self.calls.iter().filter(|(_, call)| call.sender == sender);
        let orphaned: Vec<u64> = calls.map(|(number, _)| *number).collect();
        for call in orphaned {
            self.unanswered(at, call, at);
            self.orphaned_calls.push_back((at, call));
        }
    }

    /// A sender's machine is lost, with all messages that have not ended.
    pub(super) fn machine_lost(&mut self, at: Micros, number: u32) {
        for message in self.messages.values_mut().filter(|message| message.sender == number) {
            if message.ended_at.is_none() {
                message.acceptance = Acceptance::Unknown;
                message.record(at, format!("sender {number} lost its machine"));
            }
        }
        self.ordering_keys.retain(|(sender, _), _| *sender != number);
    }
}
