//! Bounds how often errors are logged that may come in any number. No I/O and no clock.
use std::time::Duration;

/// Errors of one kind are logged at most this often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds what is logged of errors that may come in any number.
#[derive(Default)]
pub struct ErrorLogLimit {
    logged_at: Option<Duration>,
    suppressed: u64,
}

impl ErrorLogLimit {
    /// Notes an error at a time since any fixed moment. Returns how many errors were not logged since the last one that
    /// was, if this one is to be logged.
    pub fn admit(&mut self, now: Duration) -> Option<u64> {
        if self.logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
