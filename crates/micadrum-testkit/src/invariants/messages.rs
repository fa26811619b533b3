//! Tracks messages from their first submission until they are forgotten.
use super::state::{Acceptance, Message, UnansweredSubmission};
use super::{Invariant, InvariantChecker};
use crate::observation::{Micros, Observation, SubmissionAnswer};

impl InvariantChecker {
    /// Processes the submission of a message by a client.
    pub(super) fn submitted(&mut self, at: Micros, observation: &Observation) {
        let Observation::Submitted { id, operation, sender, class, vehicle, deadline } = observation else {
            return;
        };
        let text = format!("submitted to sender {sender} (operation {operation}, {})", class.name());
        if let Some(known) = self.messages.get_mut(id) {
            // The id was submitted before: the first submission counts.
            return known.record(at, text);
        }
        if let Some(vehicle) = vehicle {
            self.ordering_keys.entry((*sender, *vehicle)).or_default().push_back(id.clone());
        }
        self.schedule_first_check(id, *deadline);
        let message = Message {
            class: *class,
            sender: *sender,
            vehicle: *vehicle,
            deadline: *deadline,
            acceptance: Acceptance::Pending,
            ended_at: None,
            is_overdue: false,
            notified_at: None,
            attempts: 0,
            was_left_untried: false,
            first_uncertain_attempt: None,
            effects: 0,
            calls: Vec::new(),
            history: vec![(at, text)],
        };
        self.messages.insert(id.clone(), message);
    }

    /// Processes the outcome of a submission: the sender's answer, a timeout or the end of the connection.
    pub(super) fn answered(&mut self, at: Micros, id: &str, answer: SubmissionAnswer) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.record(at, format!("answer to its client: {answer:?}"));
        // If the id was submitted again, the first answer counts.
        if message.acceptance != Acceptance::Pending {
            return;
        }
        message.acceptance = match answer {
            SubmissionAnswer::Accepted => Acceptance::Accepted,
            SubmissionAnswer::Rejected => Acceptance::Rejected,
            SubmissionAnswer::Failed | SubmissionAnswer::TimedOut | SubmissionAnswer::ConnectionClosed => {
                Acceptance::Unknown
            }
        };
        let (sender, is_sent) = (message.sender, message.attempts > 0);
        match answer {
            SubmissionAnswer::ConnectionClosed => {
                let submission = UnansweredSubmission { at, sender, id: id.to_owned() };
                self.unanswered_submissions.push_back(submission);
            }
            SubmissionAnswer::Accepted => self.verdict.accepted += 1,
            SubmissionAnswer::Rejected if is_sent => {
                self.report(
                    Invariant::SentAfterEnd,
                    at,
                    Some(id),
                    "it was sent before its sender rejected it".to_owned(),
                );
            }
            _ => {}
        }
    }

    /// Processes the platform's acknowledgment of the notification that a message failed or was returned.
    pub(super) fn notified(&mut self, at: Micros, id: &str, is_returned: bool) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let outcome = if is_returned { "returned" } else { "failed" };
        message.record(at, format!("notified as {outcome}"));
        let is_first = message.notified_at.is_none();
        if is_first && message.was_left_untried && message.attempts == 0 && message.is_accepted() {
            self.verdict.ended_untried += 1;
        }
        message.notified_at.get_or_insert(at);
        if is_returned {
            self.check_returned(at, id);
        }
        self.message_ended(at, id);
    }

    /// Forgets a message that has been observed for long enough.
    pub(super) fn forget_message(&mut self, id: &str) {
        let Some(message) = self.messages.remove(id) else { return };
        let Some(vehicle) = message.vehicle else { return };
        let key = (message.sender, vehicle);
        if let Some(queue) = self.ordering_keys.get_mut(&key) {
            queue.retain(|other| other != id);
            if queue.is_empty() {
                self.ordering_keys.remove(&key);
            }
        }
    }
}
