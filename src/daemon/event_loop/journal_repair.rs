//! Handling of write errors in the state folder: retries rewriting the journal, and holds notifications of
//! outcomes that are not recorded.
use super::EventLoop;
use super::durable_effects::DeferredEffect;
use crate::Timestamp;
use crate::daemon::error_log_limit::ErrorLogLimit;
use crate::daemon::notifications::Notification;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The time between two attempts to rewrite the journal.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// The state of the journal's repair, and the notifications that wait for it.
///
/// If a process restarts without the record of an outcome, it sends the message again, although the notified
/// client may have submitted it elsewhere. No process sends the message after its deadline.
#[derive(Default)]
pub(super) struct JournalRepair {
    next_attempt: Option<Instant>,
    /// Notifications whose outcomes are not recorded, by deadline and number of the message.
    held_notifications: BTreeMap<(Timestamp, u32), Notification>,
    log_limit: ErrorLogLimit,
}

impl JournalRepair {
    /// Holds a notification until its outcome is recorded, or the deadline of its message has passed.
    pub(super) fn hold_notification(&mut self, deadline: Timestamp, notification: Notification) {
        self.held_notifications.insert((deadline, notification.number), notification);
    }

    /// Removes and returns the notifications that may be sent at `now`.
    fn release_notifications(&mut self, lacks_records: bool, now: Timestamp) -> Vec<Notification> {
        let still_held = match lacks_records {
            true => self.held_notifications.split_off(&(Timestamp(now.0 + 1), 0)),
            false => BTreeMap::new(),
        };
        std::mem::replace(&mut self.held_notifications, still_held).into_values().collect()
    }

    fn first_deadline(&self) -> Option<Timestamp> {
        self.held_notifications.first_key_value().map(|((deadline, _), _)| *deadline)
    }
}

impl EventLoop {
    /// Returns when the journal is to be rewritten, or a held notification to be sent.
    pub(super) fn journal_repair_due(&self) -> Option<Instant> {
        let needs_rewrite = self.messages.journal.needs_rewrite();
        let attempt = needs_rewrite.then(|| self.journal_repair.next_attempt.unwrap_or_else(Instant::now));
        let release = self.journal_repair.first_deadline().map(|deadline| self.clock.instant(deadline));
        attempt.into_iter().chain(release).min()
    }

    /// Rewrites the journal if its file is incomplete or unreliable, and sends the notifications that no
    /// longer have to wait.
    pub(super) fn repair_journal(&mut self, now: Instant) {
        let is_due = self.journal_repair.next_attempt.is_none_or(|due| due <= now);
        if self.messages.journal.needs_rewrite() && is_due {
            self.rewrite_failing_journal(now);
        }
        let lacks_records = self.messages.journal.lacks_records();
        for notification in self.journal_repair.release_notifications(lacks_records, self.clock.now()) {
            self.perform_when_durable(DeferredEffect::Notification(notification));
        }
    }

    /// Logs an error at a limited rate, with the number of errors suppressed since the last logged one.
    pub(super) fn log_rate_limited(&mut self, line: fmt::Arguments<'_>) {
        let now = Duration::from_micros(self.clock.now().0);
        if let Some(suppressed) = self.journal_repair.log_limit.admit(now) {
            self.log(format_args!("{line} suppressed={suppressed}"));
        }
    }

    fn rewrite_failing_journal(&mut self, now: Instant) {
        match self.messages.journal.rewrite() {
            Ok(()) => {
                self.journal_repair.next_attempt = None;
                self.log(format_args!("journal: rewritten, no records are missing"));
            }
            Err(_) => self.journal_repair.next_attempt = Some(now + REPAIR_INTERVAL),
        }
    }
}

#[cfg(test)]
mod tests;
