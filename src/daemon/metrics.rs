//! The metrics of one process, as operators read them. Free of I/O and clocks.
use super::journal::FinalOutcome;
use super::runtime_checks::ViolationCounts;
use serde::Serialize;
use std::collections::BTreeMap;

/// How the messages of one class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassMetrics {
    /// Messages that were delivered.
    pub success: u64,
    /// Messages that were rejected, or returned undelivered.
    pub busy: u64,
    /// Messages that failed.
    pub failure: u64,
}

/// A snapshot of a process; its counts begin at 0 with the process. The field names are those of
/// `/status/metrics`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Metrics {
    /// Ended messages, by class.
    pub calls: BTreeMap<String, ClassMetrics>,
    /// Messages that were written whole to endpoints.
    pub backend_calls: u64,
    /// Accepted messages that have not ended.
    pub inflight: usize,
    /// Endpoints in the endpoint list.
    pub hosts_listed: usize,
    /// Listed endpoints that no message is sent to now: drained, in maintenance, ejected, or asking for a
    /// pause.
    pub hosts_down: usize,
    /// Reloaded configurations that were applied.
    pub reconfig_ok: u64,
    /// Reloaded configurations that were rejected.
    pub reconfig_failed: u64,
    /// Violations of the delivery rules that the run-time checks found; all 0 in a correct program.
    pub violations: ViolationCounts,
}

impl Metrics {
    /// Lists a class, with counts of 0 until a message of the class ends.
    pub fn add_class(&mut self, class: &str) {
        if !self.calls.contains_key(class) {
            self.calls.insert(class.to_owned(), ClassMetrics::default());
        }
    }

    /// Counts a message that was delivered.
    pub fn record_delivered(&mut self, class: &str) {
        self.count(class, |counts| &mut counts.success);
    }

    /// Counts a message that was not accepted.
    pub fn record_rejected(&mut self, class: &str) {
        self.count(class, |counts| &mut counts.busy);
    }

    /// Counts an accepted message that ended undelivered.
    pub fn record_undelivered(&mut self, class: &str, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Failed => self.count(class, |counts| &mut counts.failure),
            FinalOutcome::Returned(_) => self.record_rejected(class),
        }
    }

    /// Counts a message under its class. The classes are bounded: they are those of the settings, present or
    /// former, as messages of other classes are malformed.
    fn count(&mut self, class: &str, counter: impl Fn(&mut ClassMetrics) -> &mut u64) {
        self.add_class(class);
        if let Some(counts) = self.calls.get_mut(class) {
            *counter(counts) += 1;
        }
    }
}
