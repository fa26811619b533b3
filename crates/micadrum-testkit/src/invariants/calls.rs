//! Tracks calls from their arrival at an endpoint until they end.
use super::attempt_limit::check_attempt_limit;
use super::duplicates::check_duplicate;
use super::sent_after_end::check_sent_after_end;
use super::state::{Call, CallStart, Finding};
use super::{Invariant, InvariantChecker, seconds};
use crate::observation::{AttemptResult, Micros};

impl InvariantChecker {
    /// Processes the arrival of a call at an endpoint.
    pub(super) fn call_began(&mut self, start: &CallStart) {
        self.check_draining(start);
        self.check_retry_after(start);
        let CallStart { call, sender, route, ids, sent_at, .. } = *start;
        self.calls.insert(call, Call { sender, route, sent_at, ids: ids.to_vec(), conflicts: Vec::new() });
        for id in ids {
            self.attempt_began(start, id);
        }
    }

    /// Checks the attempt that a new call makes to deliver the message `id`.
    fn attempt_began(&mut self, start: &CallStart, id: &str) {
        let CallStart { at, call, sender, endpoint, sent_at, .. } = *start;
        let Some(message) = self.messages.get_mut(id) else {
            let description = format!("sender {sender} sent a message that was never submitted");
            return self.report(Invariant::SentAfterEnd, at, Some(id), description);
        };
        message.attempts += 1;
        message.record(
            at,
            format!("call {call} from sender {sender} to {endpoint}, sent at {}", seconds(sent_at)),
        );
        let in_flight = std::mem::replace(&mut message.calls, vec![call]);
        message.calls.extend(&in_flight);
        if !message.is_checked() {
            return;
        }
        let mut findings: Vec<Finding> = check_attempt_limit(message).into_iter().collect();
        findings.extend(check_sent_after_end(message, sent_at));
        findings.extend(check_duplicate(message, sent_at));
        let order = self.check_order(id, sent_at);
        findings.extend(order.findings);
        self.add_conflicts(start, id, &in_flight, Invariant::ConcurrentAttempts);
        self.add_conflicts(start, id, &order.earlier_calls, Invariant::OutOfOrder);
        for Finding { invariant, description } in findings {
            self.report(invariant, at, Some(id), description);
        }
    }

    /// Processes an endpoint's answer to a call.
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

    /// Returns whether the process that sent a call at `sent_at` is still running, so that it receives the
    /// answer.
    pub(super) fn receives_answer(&self, sender: u32, sent_at: Micros) -> bool {
        let exited_at = self.senders.get(&sender).and_then(|sender| sender.exited_at);
        exited_at.is_none_or(|exited_at| exited_at < sent_at)
    }

    /// Processes the closing of a call's connection by the sender before an answer.
    pub(super) fn closed(&mut self, at: Micros, call: u64, closed_at: Micros) {
        self.unanswered(at, call, closed_at);
        self.call_ended(at, call, closed_at);
    }

    /// Notes that a call will not be answered: its messages may have taken effect.
    pub(super) fn unanswered(&mut self, at: Micros, call: u64, closed_at: Micros) {
        let Some(known) = self.calls.get(&call) else { return };
        let (route, sender, sent_at, ids) = (known.route, known.sender, known.sent_at, known.ids.clone());
        self.witness_failure(route, sender);
        for id in &ids {
            let Some(message) = self.messages.get_mut(id) else { continue };
            message.record(at, format!("call {call} closed by the sender at {}", seconds(closed_at)));
            message.calls.retain(|other| *other != call);
            message.first_uncertain_attempt.get_or_insert(sent_at);
        }
    }
}
