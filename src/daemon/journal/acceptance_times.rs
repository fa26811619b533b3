//! Lower bounds of the times at which messages were accepted, and the latest wall time that the journal mentions.
//!
//! After a loss of power a process compares its clock, and what peers report, with the times in the journal. The journal
//! does not store a time with each accepted message; it notes from time to time that all later messages are younger.
use std::collections::VecDeque;

/// Messages from `first_number` on were accepted at `not_before` or later (wall clock, microseconds).
#[derive(Clone, Copy)]
pub(super) struct AcceptanceBound {
    pub first_number: u32,
    pub not_before: u64,
}

#[derive(Default)]
pub(super) struct AcceptanceTimes {
    /// By number, ascending; without those that no pending message needs any more.
    bounds: VecDeque<AcceptanceBound>,
    latest: u64,
}

impl AcceptanceTimes {
    /// Notes that a record mentions that time.
    pub fn observe(&mut self, time: u64) {
        self.latest = self.latest.max(time);
    }

    /// Sets the latest time to that of another process's clock, which may be behind.
    pub fn reset_latest(&mut self, time: u64) {
        self.latest = time;
    }

    /// Forgets the bounds, which another clock gave.
    pub fn clear_bounds(&mut self) {
        self.bounds.clear();
    }

    pub fn latest(&self) -> u64 {
        self.latest
    }

    pub fn push(&mut self, bound: AcceptanceBound) {
        self.observe(bound.not_before);
        // Message numbers start again at 0 after the journal was opened without messages.
        while self.bounds.back().is_some_and(|last| last.first_number >= bound.first_number) {
            self.bounds.pop_back();
        }
        self.bounds.push_back(bound);
    }

    /// Drops the bounds that only messages before `oldest_number` need.
    pub fn prune(&mut self, oldest_number: u32) {
        while self.bounds.get(1).is_some_and(|bound| bound.first_number <= oldest_number) {
            self.bounds.pop_front();
        }
    }

    /// Returns the latest bound that covers the message, if any does.
    pub fn not_before(&self, number: u32) -> Option<u64> {
        let after = self.bounds.partition_point(|bound| bound.first_number <= number);
        after.checked_sub(1).map(|index| self.bounds[index].not_before)
    }

    pub fn iter(&self) -> impl Iterator<Item = AcceptanceBound> {
        self.bounds.iter().copied()
    }
}
