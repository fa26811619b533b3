//! Checks [`Invariant::Lost`] and [`Invariant::Late`].
//!
//! A message is checked when it must have ended, and again after the retention period. A message that ends
//! between the two checks is late; one that has not ended by the second check is lost.
use super::{
    COMPLETION_SLACK_MICROS, Invariant, InvariantChecker, READY_SLACK_MICROS, TOLERANCE_MICROS, seconds,
};
use crate::observation::Micros;

/// Time from when a message must have ended until it is forgotten, in microseconds.
const RETENTION_MICROS: Micros = 60_000_000;
/// Maximum time between the closing of a process's connections and the observation of its exit, in
/// microseconds.
const MAX_EXIT_DELAY_MICROS: Micros = 1_000_000;

/// Returns the time by which a message with this deadline must have ended.
fn completion_limit(deadline: Micros) -> Micros {
    deadline + COMPLETION_SLACK_MICROS + TOLERANCE_MICROS
}

impl InvariantChecker {
    pub(super) fn schedule_first_check(&mut self, id: &str, deadline: Micros) {
        self.completion_checks.insert((completion_limit(deadline), id.to_owned()));
    }

    /// Checks the messages that must have ended by now.
    pub(super) fn check_due_messages(&mut self, now: Micros) {
        while let Some((due, id)) = self.completion_checks.first().filter(|(due, _)| *due < now).cloned() {
            self.completion_checks.remove(&(due, id.clone()));
            self.check_completion(now, due, id);
        }
    }

    fn check_completion(&mut self, now: Micros, due: Micros, id: String) {
        let Some(message) = self.messages.get(&id) else { return };
        let limit = completion_limit(message.deadline);
        let is_missing = message.is_accepted() && message.ended_at.is_none();
        if due > limit + RETENTION_MICROS || now == Micros::MAX {
            if is_missing {
                self.report(
                    Invariant::Lost,
                    due,
                    Some(&id),
                    "it was neither delivered nor reported as failed or returned".to_owned(),
                );
            }
            return self.forget_message(&id);
        }
        let excused_until = self.excused_until(now, message.sender);
        if is_missing && excused_until > due {
            self.completion_checks.insert((excused_until, id));
            return;
        }
        if let Some(message) = self.messages.get_mut(&id).filter(|message| message.is_accepted()) {
            match message.ended_at {
                None => message.is_overdue = true,
                Some(ended_at) if !message.is_overdue && ended_at > limit.max(excused_until) => {
                    self.report_late(ended_at, &id);
                }
                Some(_) => {}
            }
        }
        self.completion_checks.insert((limit + RETENTION_MICROS + 1, id));
    }

    /// Returns the time until which a sender's messages do not count as overdue.
    fn excused_until(&self, now: Micros, sender: u32) -> Micros {
        let Some(sender) = self.senders.get(&sender) else { return 0 };
        if sender.restarting_since.is_some() {
            now.saturating_add(READY_SLACK_MICROS)
        } else {
            sender.excused_until
        }
    }

    /// Records the end of a message, and reports the message as late if it was overdue.
    pub(super) fn message_ended(&mut self, at: Micros, id: &str) {
        let Some(message) = self.messages.get_mut(id) else { return };
        if message.ended_at.is_some() {
            return;
        }
        message.ended_at = Some(at);
        if message.is_overdue && message.is_accepted() {
            self.report_late(at, id);
        }
    }

    fn report_late(&mut self, ended_at: Micros, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let delay = ended_at.saturating_sub(message.deadline);
        let description = format!("it ended {} s after its deadline", seconds(delay));
        self.report(Invariant::Late, ended_at, Some(id), description);
    }

    /// Checks that clients' connections closed without an answer only where the sender's process was killed.
    pub(super) fn check_unanswered_submissions(&mut self, now: Micros) {
        while let Some(submission) = self.unanswered_submissions.front().cloned()
            && submission.at + MAX_EXIT_DELAY_MICROS < now
        {
            self.unanswered_submissions.pop_front();
            let sender = self.senders.get(&submission.sender).filter(|sender| sender.may_leave_unanswered);
            let exited_at = sender.and_then(|sender| sender.exited_at);
            if exited_at.is_none_or(|exited_at| exited_at.abs_diff(submission.at) > MAX_EXIT_DELAY_MICROS) {
                let description = "its client's connection closed without an answer".to_owned();
                self.report(Invariant::Lost, submission.at, Some(&submission.id), description);
            }
        }
    }
}
