//! The metrics of one process, as the admin endpoint returns them. No I/O and no clock.
use super::journal::FinalOutcome;
use super::runtime_checks::ViolationCounts;
use serde::Serialize;
use std::collections::BTreeMap;

/// The numbers of ended messages of one class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassMetrics {
    /// Delivered messages.
    pub success: u64,
    /// Messages that were rejected, or accepted and returned undelivered.
    pub busy: u64,
    /// Accepted messages that failed.
    pub failure: u64,
}

/// The metrics of a process. Counters start at 0 when the process starts. The field names are the keys of
/// `/status/metrics`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Metrics {
    /// Ended messages, by class.
    pub calls: BTreeMap<String, ClassMetrics>,
    /// Messages that were completely written to endpoints.
    pub backend_calls: u64,
    /// Accepted messages that have not ended.
    pub inflight: usize,
    /// Endpoints in the endpoint list.
    pub hosts_listed: usize,
    /// Listed endpoints that currently receive no messages: draining, in maintenance, ejected, or after a
    /// Retry-After.
    pub hosts_down: usize,
    /// Reloaded configurations that were applied.
    pub reconfig_ok: u64,
    /// Reloaded configurations that were rejected.
    pub reconfig_failed: u64,
    /// Violations of the delivery rules that the run-time checks have found. Anything but 0 is a defect of
    /// the program.
    pub violations: ViolationCounts,
}

impl Metrics {
    /// Adds a class with counts of 0, unless it is listed already.
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

    /// Counts a message under its class. The number of classes is bounded: messages are rejected as malformed
    /// unless the settings contain, or have contained, their class.
    fn count(&mut self, class: &str, counter: impl Fn(&mut ClassMetrics) -> &mut u64) {
        self.add_class(class);
        if let Some(counts) = self.calls.get_mut(class) {
            *counter(counts) += 1;
        }
    }
}
