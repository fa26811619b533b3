//! Decides what to write to the checkpoint file and when, in slices, so that no step of the event loop waits
//! for the whole checkpoint to be written. No I/O and no clock.
//!
//! Changes are appended to the file, which is rewritten when its length has doubled. The file is optional: if
//! there is no space for it, it is removed, and a new one is started later.
use super::Coverage;
use crate::{EndpointId, Timestamp};
use std::collections::BTreeSet;

/// Maximum number of endpoints in one slice; bounds the time of one step.
const MAX_SLICE_ENDPOINTS: usize = 64;
/// Pause between two slices, in microseconds.
const SLICE_INTERVAL_US: u64 = 100_000;
/// Delay before a new file is started after one was abandoned, in microseconds.
const RETRY_DELAY_US: u64 = 5_000_000;
/// A file is rewritten when it exceeds twice its initial length by this many bytes.
const REWRITE_SLACK_BYTES: u64 = 8 * 1024;

/// The step that the caller performs next.
#[derive(Debug, PartialEq, Eq)]
pub enum CheckpointStep {
    /// Start a new file, then call [`CheckpointSchedule::file_started`].
    StartFile,
    /// Write the states of these endpoints, to the new file if there is one.
    Write(Vec<EndpointId>),
    /// Replace the current file with the new one, which is complete.
    FinishFile,
}

/// Schedules the writes to the checkpoint file.
pub struct CheckpointSchedule {
    max_file_bytes: u64,
    /// Endpoints that have changed since they were last written.
    changed: BTreeSet<EndpointId>,
    /// Endpoints still to be written to the new file, the next one last; `None` if there is no new file.
    remaining: Option<Vec<EndpointId>>,
    /// Length of the file that is being written, in bytes.
    file_bytes: u64,
    /// Initial length of the last complete file, in bytes.
    new_file_bytes: u64,
    needs_new_file: bool,
    /// Whether every endpoint fitted into the file.
    coverage: Coverage,
    /// The earliest time of the next step.
    not_before: Timestamp,
}

impl CheckpointSchedule {
    /// Creates a schedule whose first step starts a file of at most `max_file_bytes`.
    pub fn new(max_file_bytes: u64) -> Self {
        Self {
            max_file_bytes,
            changed: BTreeSet::new(),
            remaining: None,
            file_bytes: 0,
            new_file_bytes: 0,
            needs_new_file: true,
            coverage: Coverage::Complete,
            not_before: Timestamp(0),
        }
    }

    /// Notes that the state of an endpoint has changed.
    pub fn mark_changed(&mut self, id: EndpointId) {
        self.changed.insert(id);
    }

    /// Returns when the next step is due, or `None` if there is nothing to write.
    pub fn due(&self) -> Option<Timestamp> {
        let has_work = self.needs_new_file || self.remaining.is_some() || !self.changed.is_empty();
        has_work.then_some(self.not_before)
    }

    /// Returns the step that is due at `now`, or `None` if none is due.
    pub fn next_step(&mut self, now: Timestamp) -> Option<CheckpointStep> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        self.not_before = Timestamp(now.0 + SLICE_INTERVAL_US);
        if std::mem::take(&mut self.needs_new_file) {
            return Some(CheckpointStep::StartFile);
        }
        let slice = self.next_slice();
        if slice.is_empty() {
            return Some(CheckpointStep::FinishFile);
        }
        Some(CheckpointStep::Write(slice))
    }

    fn next_slice(&mut self) -> Vec<EndpointId> {
        let mut slice: Vec<EndpointId> = Vec::new();
        if let Some(remaining) = &mut self.remaining {
            let start = remaining.len().saturating_sub(MAX_SLICE_ENDPOINTS);
            slice.extend(remaining.split_off(start).into_iter().rev());
        }
        while slice.len() < MAX_SLICE_ENDPOINTS {
            let Some(id) = self.changed.pop_first() else { break };
            slice.push(id);
        }
        // An endpoint that this slice writes to the new file needs no second write for its change.
        for id in &slice {
            self.changed.remove(id);
        }
        slice
    }

    /// Notes that a new file was started with `bytes` bytes, to which the endpoints in `order` are to be
    /// written.
    pub fn file_started(&mut self, bytes: u64, mut order: Vec<EndpointId>) {
        order.reverse();
        self.remaining = Some(order);
        self.file_bytes = bytes;
        self.coverage = Coverage::Complete;
        self.needs_new_file = false;
    }

    /// Returns whether `bytes` more bytes fit into the file. If not, the file is marked as partial.
    pub fn check_fit(&mut self, bytes: u64) -> bool {
        let fits = self.file_bytes + bytes <= self.max_file_bytes;
        if !fits {
            self.coverage = Coverage::Partial;
        }
        fits
    }

    /// Notes that `bytes` bytes were written.
    pub fn bytes_written(&mut self, bytes: u64) {
        self.file_bytes += bytes;
        let has_doubled = self.file_bytes > 2 * self.new_file_bytes + REWRITE_SLACK_BYTES;
        let is_near_limit = self.file_bytes + REWRITE_SLACK_BYTES > self.max_file_bytes;
        // Keeps a file near its limit from being rewritten after every write.
        let has_grown = self.file_bytes > self.new_file_bytes + REWRITE_SLACK_BYTES;
        self.needs_new_file |= self.remaining.is_none() && (has_doubled || is_near_limit) && has_grown;
    }

    /// Notes that the new file replaces the current one, and returns whether it holds every endpoint.
    pub fn file_finished(&mut self) -> Coverage {
        self.remaining = None;
        self.new_file_bytes = self.file_bytes;
        self.coverage
    }

    /// Notes that the files were removed for lack of space. A new one is started after a delay.
    pub fn abandoned(&mut self, now: Timestamp) {
        *self = Self { not_before: Timestamp(now.0 + RETRY_DELAY_US), ..Self::new(self.max_file_bytes) };
    }
}

#[cfg(test)]
mod tests;
