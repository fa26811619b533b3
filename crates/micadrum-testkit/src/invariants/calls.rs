//! Calls, from their arrival at an endpoint until their end.
use super::attempt_limit::check_attempt_limit;
use super::duplicates::check_duplicate;
use super::sent_after_end::check_sent_after_end;
use super::state::{Call, CallStart, Finding};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::{AttemptResult, Micros};

impl InvariantChecker {
    /// A call has arrived at an endpoint.
    pub(super) fn call_began(&mut self, start: &CallStart) {
        self.check_draining(start);
        self.check_retry_after(start);
        let CallStart { call, sender, route, ids, sent_at, .. } = *start;
        self.calls.insert(call, Call { sender, route, sent_at, ids: ids.to_vec(), conflicts: Vec::new() });
        for id in ids {
            self.attempt_began(start, id);
        }
    }

    /// A call with the message `id` has arrived.
    fn attempt_began(&mut self, start: &CallStart, id: &str) {
        let CallStart { at, call, sender, endpoint, sent_at, .. } = *start;
        let Some(message) = self.messages.get_mut(id) else {
            let what = format!("sender {sender} sent an unknown message");
            return self.report(Invariant::SentAfterEnd, at, Some(id), what);
        };
        message.attempts += 1;
        message
            .record(at, format!("call {call} by sender {sender} at {endpoint}, sent {}", seconds(sent_at)));
        let in_flight = std::mem::replace(&mut message.calls, vec![call]);
        message.calls.extend(&in_flight);
        if !message.counts() {
            return;
        }
        let mut findings: Vec<Finding> = check_attempt_limit(message).into_iter().collect();
        findings.extend(check_sent_after_end(message, sent_at));
        findings.extend(check_duplicate(message, sent_at));
        let order = self.check_order(id, sent_at);
        findings.extend(order.findings);
        self.add_conflicts(start, id, &in_flight, Invariant::ConcurrentAttempts);
        self.add_conflicts(start, id, &order.earlier_calls, Invariant::OutOfOrder);
        for Finding { invariant, what } in findings {
            self.report(invariant, at, Some(id), what);
        }
    }

    /// An endpoint has answered a call.
    pub(super) fn replied(&mut self, at: Micros, call: u64, ends: &[(String, AttemptResult)]) {
        let Some(known) = self.calls.get(&call) else { return };
        let (sender, route, sent_at) = (known.sender, known.route, known.sent_at);
        if self.receives_answer(sender, sent_at)
            && ends.iter().any(|(_, end)| *end != AttemptResult::Delivered)
        {
            self.witness_failure(route, sender);
        }
        let mut delivered = Vec::new();
        for (id, end) in ends {
            let Some(message) = self.messages.get_mut(id) else { continue };
            message.record(at, format!("call {call} answered: {end:?}"));
            message.calls.retain(|other| *other != call);
            if *end != AttemptResult::Overloaded {
                message.first_uncertain_attempt.get_or_insert(sent_at);
            }
            if *end == AttemptResult::Delivered {
                delivered.push(id);
            }
        }
        for id in delivered {
            self.message_ended(at, id);
        }
    }

    /// Returns whether the process that sent a call at `sent` still runs, and hears the answer.
    pub(super) fn receives_answer(&self, sender: u32, sent_at: Micros) -> bool {
        let exited_at = self.senders.get(&sender).and_then(|sender| sender.exited_at);
        exited_at.is_none_or(|exited_at| exited_at < sent_at)
    }

    /// The sender has closed the connection of a call that has no answer.
    pub(super) fn closed(&mut self, at: Micros, call: u64, closed_at: Micros) {
        self.unanswered(at, call, closed_at);
        self.call_ended(at, call, closed_at);
    }

    /// A call gets no answer any more: its messages may have taken effect.
    pub(super) fn unanswered(&mut self, at: Micros, call: u64, closed_at: Micros) {
        let Some(known) = self.calls.get(&call) else { return };
        let (route, sender, sent_at, ids) = (known.route, known.sender, known.sent_at, known.ids.clone());
        self.witness_failure(route, sender);
        for id in &ids {
            let Some(message) = self.messages.get_mut(id) else { continue };
            message.record(at, format!("call {call} closed by the sender, sent {}", seconds(closed_at)));
            message.calls.retain(|other| *other != call);
            message.first_uncertain_attempt.get_or_insert(sent_at);
        }
    }
}
