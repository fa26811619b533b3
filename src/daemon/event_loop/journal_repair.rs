//! What the event loop does while the folder fails: it tries to rewrite the journal, and holds back ends that a process after
//! a restart would not know of.
use super::EventLoop;
use super::durable_effects::DeferredEffect;
use crate::Timestamp;
use crate::daemon::error_log_limit::ErrorLogLimit;
use crate::daemon::notifications::Notification;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// How often rewriting the journal is tried.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// The repair of the journal, and the ends that wait for it.
///
/// A message that ended early would be sent again by a process after a restart that lacks the record of the end, although its
/// client may have submitted it elsewhere. After its deadline nobody sends it any more.
#[derive(Default)]
pub(super) struct JournalRepair {
    next_attempt: Option<Instant>,
    /// Ends whose records are not written, by deadline and number.
    unrecorded_ends: BTreeMap<(Timestamp, u32), Notification>,
    log_limit: ErrorLogLimit,
}

impl JournalRepair {
    /// Holds an end back until its record is written, or the deadline of its message has passed.
    pub(super) fn hold_end(&mut self, deadline: Timestamp, notification: Notification) {
        self.unrecorded_ends.insert((deadline, notification.number), notification);
    }

    /// Returns the ends that may be told at `now`.
    fn release_ends(&mut self, lacks_records: bool, now: Timestamp) -> Vec<Notification> {
        let still_held = match lacks_records {
            true => self.unrecorded_ends.split_off(&(Timestamp(now.0 + 1), 0)),
            false => BTreeMap::new(),
        };
        std::mem::replace(&mut self.unrecorded_ends, still_held).into_values().collect()
    }

    fn first_deadline(&self) -> Option<Timestamp> {
        self.unrecorded_ends.first_key_value().map(|((deadline, _), _)| *deadline)
    }
}

impl EventLoop {
    /// Returns when the repair of the journal has something to do.
    pub(super) fn journal_repair_due(&self) -> Option<Instant> {
        let needs_rewrite = self.messages.journal.needs_rewrite();
        let attempt = needs_rewrite.then(|| self.journal_repair.next_attempt.unwrap_or_else(Instant::now));
        let release = self.journal_repair.first_deadline().map(|deadline| self.clock.instant(deadline));
        attempt.into_iter().chain(release).min()
    }

    /// Rewrites the journal if its file cannot be relied on, and tells the ends that need to wait no longer.
    pub(super) fn repair_journal(&mut self, now: Instant) {
        let is_due = self.journal_repair.next_attempt.is_none_or(|due| due <= now);
        if self.messages.journal.needs_rewrite() && is_due {
            self.rewrite_failing_journal(now);
        }
        let lacks_records = self.messages.journal.lacks_records();
        for notification in self.journal_repair.release_ends(lacks_records, self.clock.now()) {
            self.perform_when_durable(DeferredEffect::Notification(notification));
        }
    }

    /// Logs an error of the folder, if none was logged a moment ago.
    pub(super) fn log_folder_error(&mut self, line: fmt::Arguments<'_>) {
        let now = Duration::from_micros(self.clock.now().0);
        if let Some(suppressed) = self.journal_repair.log_limit.admit(now) {
            self.log(format_args!("{line} suppressed={suppressed}"));
        }
    }

    fn rewrite_failing_journal(&mut self, now: Instant) {
        match self.messages.journal.rewrite() {
            Ok(()) => {
                self.journal_repair.next_attempt = None;
                self.log(format_args!("journal: rewritten, all records are in the file again"));
            }
            Err(_) => self.journal_repair.next_attempt = Some(now + REPAIR_INTERVAL),
        }
    }
}

#[cfg(test)]
mod tests;
