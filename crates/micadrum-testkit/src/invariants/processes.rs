//! Processes: one that ends unasked (`Crash`), and what ends with one that was asked to.
use super::{AFTER_READY, Hold, Invariant, InvariantChecker};
use crate::observation::At;

impl InvariantChecker {
    pub(super) fn ready(&mut self, at: At, sender: u32) {
        let of = self.senders.entry(sender).or_default();
        if of.ending.take().is_some() {
            of.excused = of.excused.max(at + AFTER_READY);
        }
        of.expected = false;
    }

    pub(super) fn exited(&mut self, at: At, sender: u32, asked: bool) {
        let of = self.senders.entry(sender).or_default();
        let expected = of.expected && asked;
        of.ending.get_or_insert(at);
        if !expected {
            self.convict(Invariant::Crash, at, None, format!("sender {sender} ended without being told to"));
        }
        self.senders.entry(sender).or_default().exited = Some(at);
        for message in self.messages.values_mut().filter(|message| message.sender == sender) {
            let untried = message.hold == Hold::TakenOn && message.over.is_none() && message.attempts == 0;
            if untried && !std::mem::replace(&mut message.found, true) {
                self.verdict.found_untried += 1;
            }
        }
        // Its connections ended with it at the latest. Some may have ended before, with the news still on its way.
        let gone: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.sender == sender).map(|(call, _)| *call).collect();
        for call in gone {
            self.unanswered(at, call, at);
            self.orphans.push_back((at, call));
        }
        // What it knew ended with it, and so did the waits that it had been told.
        self.waits.retain(|(of, _), _| *of != sender);
        for outage in self.outages.values_mut() {
            outage.saw.remove(&sender);
        }
    }

    pub(super) fn machine_lost(&mut self, at: At, sender: u32) {
        for (_, message) in self.messages.iter_mut().filter(|(_, m)| m.sender == sender) {
            if message.over.is_none() {
                message.hold = Hold::Void;
                message.history.push((at, format!("sender {sender} lost its machine")));
            }
        }
        self.order.retain(|(of, _), _| *of != sender);
    }
}
