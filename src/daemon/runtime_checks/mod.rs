//! Run-time checks of the delivery rules, apart from the code that keeps them: what sends, repeats, closes and starts is checked
//! once more, right before it happens. A violation is a fault of this program; it is counted in the metrics and logged, and
//! what would break the rule does not happen.
mod send_check;

pub use send_check::{SendFacts, SendViolation, UncertainSend, check_send};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// How often each check found a violation, as `/status/metrics` names them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// A message was about to be sent that must not be: unrecorded, ended, already out, or to an endpoint out of service.
    pub sending: u64,
    /// A message was about to be sent again although a second effect was possible.
    pub repeating: u64,
    /// A client's connection ended while a request on it had no response.
    pub closing: u64,
    /// A process was about to serve without having taken over a message of its journal.
    pub starting: u64,
}

#[derive(Debug, Default)]
struct Counters {
    sending: AtomicU64,
    repeating: AtomicU64,
    closing: AtomicU64,
    starting: AtomicU64,
}

/// The violations of one process, shared by all that check.
#[derive(Clone, Debug, Default)]
pub struct Violations(Arc<Counters>);

impl Violations {
    /// Counts a send that the check stopped.
    pub fn record_send(&self, violation: SendViolation) {
        let counter = match violation {
            SendViolation::Repeated => &self.0.repeating,
            _ => &self.0.sending,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that ended while a request on it had no response.
    pub fn record_unanswered_request(&self) {
        self.0.closing.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts messages of the journal that a process had not taken over when it was about to serve.
    pub fn record_not_taken_over(&self, messages: u64) {
        self.0.starting.fetch_add(messages, Ordering::Relaxed);
    }

    /// Returns the counts up to now.
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
