//! A rate limit for logging errors that can occur in any number. No I/O and no clock.
use std::time::Duration;

/// The minimum time between two logged errors.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits how often errors of one kind are logged.
#[derive(Default)]
pub struct ErrorLogLimit {
    logged_at: Option<Duration>,
    suppressed: u64,
}

impl ErrorLogLimit {
    /// Records an error at `now`, the time since an arbitrary fixed moment. Returns `None` if the error is
    /// not to be logged, or else the number of errors suppressed since the last logged one.
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
