//! What an error of `accept` says, and how much of it is logged. No I/O and no clock.
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Errors of `accept` are logged at most this often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What has to happen before the next connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection failed before it was accepted: the next one may be fine.
    Connection,
    /// There is no descriptor for the connection: another one has to be closed.
    Descriptors,
    /// The system lacks memory, or fails otherwise: it needs time.
    System,
}

impl AcceptFailure {
    /// Returns what an error says. Linux also reports errors of the new connection's network.
    pub fn of(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE) => Self::Descriptors,
            Some(
                Errno::CONNABORTED
                | Errno::INTR
                | Errno::AGAIN
                | Errno::NETDOWN
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT
                | Errno::CONNRESET
                | Errno::PERM,
            ) => Self::Connection,
            _ => Self::System,
        }
    }
}

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
