//! Run-time checks of the delivery rules, independent of the code that implements the rules. They cover
//! sends, retries, closed connections and startup. A violation is a bug in this program: it is counted in the
//! metrics and logged, and a send that would break a rule is blocked.
mod send_check;

pub use send_check::{PriorAttempt, SendContext, SendViolation, check_send};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of violations that each check found, under the names in `/status/metrics`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// Blocked sends of messages that are not in the journal, have ended or are already in flight, or to an
    /// endpoint that is not serving.
    pub sending: u64,
    /// Blocked retries that could have taken effect twice.
    pub repeating: u64,
    /// Client connections that were closed while a request had no response.
    pub closing: u64,
    /// Messages of the journal that were not recovered before the process began to serve.
    pub starting: u64,
}

#[derive(Debug, Default)]
struct Counters {
    sending: AtomicU64,
    repeating: AtomicU64,
    closing: AtomicU64,
    starting: AtomicU64,
}

/// The violation counters of a process. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Violations(Arc<Counters>);

impl Violations {
    /// Counts a send that the check blocked.
    pub fn record_blocked_send(&self, violation: SendViolation) {
        let counter = match violation {
            SendViolation::UnsafeRetry => &self.0.repeating,
            _ => &self.0.sending,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a client connection that was closed while a request had no response.
    pub fn record_unanswered_request(&self) {
        self.0.closing.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts messages of the journal that were not recovered before the process began to serve.
    pub fn record_unrecovered(&self, messages: u64) {
        self.0.starting.fetch_add(messages, Ordering::Relaxed);
    }

    /// Returns the current counts.
    #[must_use]
    pub fn counts(&self) -> ViolationCounts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters { sending, repeating, closing, starting } = &*self.0;
        ViolationCounts {
            sending: count(sending),
            repeating: count(repeating),
            closing: count(closing),
            starting: count(starting),
        }
    }
}
