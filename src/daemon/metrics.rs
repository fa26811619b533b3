//! What one process tells operators of itself, in figures. Free of I/O and clocks.
use super::journal::FinalOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// How messages of one class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassMetrics {
    /// Delivered.
    pub success: u64,
    /// Refused at the door, or handed back.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// One picture of a process; its counts begin at 0 with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Metrics {
    /// By class.
    pub calls: BTreeMap<String, ClassMetrics>,
    /// Messages that were written whole to endpoints.
    pub backend_calls: u64,
    /// Messages taken on that have not ended.
    pub inflight: usize,
    /// Endpoints in the list.
    pub hosts_listed: usize,
    /// Those of them that nothing is sent to now, by hand or by choice.
    pub hosts_down: usize,
    /// Configurations taken at a reload.
    pub reconfig_ok: u64,
    /// Configurations turned down at a reload.
    pub reconfig_failed: u64,
}

impl Metrics {
    /// Shows a class, at 0 until something of it ends.
    pub fn show(&mut self, class: &str) {
        if !self.calls.contains_key(class) {
            self.calls.insert(class.to_owned(), ClassMetrics::default());
        }
    }

    /// A message was delivered.
    pub fn delivered(&mut self, class: &str) {
        self.count(class, |of| &mut of.success);
    }

    /// A message was turned away at the door.
    pub fn refused(&mut self, class: &str) {
        self.count(class, |of| &mut of.busy);
    }

    /// A message that was taken on ended undelivered.
    pub fn ended(&mut self, class: &str, end: FinalOutcome) {
        match end {
            FinalOutcome::Failed => self.count(class, |of| &mut of.failure),
            FinalOutcome::Returned(_) => self.refused(class),
        }
    }

    /// Classes are those of the settings, of now or before: whoever comes with another has not been taken on.
    fn count(&mut self, class: &str, which: impl Fn(&mut ClassMetrics) -> &mut u64) {
        self.show(class);
        if let Some(of) = self.calls.get_mut(class) {
            *which(of) += 1;
        }
    }
}
