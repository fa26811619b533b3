//! Lower bounds of the times at which messages were accepted, and the latest time in the journal.
//!
//! After a power loss, a process compares its clock and the reports of its peers with the times in the
//! journal. The journal does not store a time with each accepted message; instead it
//! periodically records a time before which no later message was accepted.
use std::collections::VecDeque;

/// Messages with the number `first_number` or a higher one were accepted at `not_before` (microseconds) or
/// later.
#[derive(Clone, Copy)]
pub(super) struct AcceptanceBound {
    pub first_number: u32,
    pub not_before: u64,
}

/// The bounds that pending messages need, and the latest time.
#[derive(Default)]
pub(super) struct AcceptanceTimes {
    /// Bounds in ascending order of `first_number`.
    bounds: VecDeque<AcceptanceBound>,
    latest: u64,
}

impl AcceptanceTimes {
    /// Raises the latest time to `time`, if that is later.
    pub fn observe(&mut self, time: u64) {
        self.latest = self.latest.max(time);
    }

    /// Sets the latest time to that of another clock, which may be behind.
    pub fn reset_latest(&mut self, time: u64) {
        self.latest = time;
    }

    /// Removes all bounds, after a change of the clock.
    pub fn clear_bounds(&mut self) {
        self.bounds.clear();
    }

    pub fn latest(&self) -> u64 {
        self.latest
    }

    pub fn push(&mut self, bound: AcceptanceBound) {
        self.observe(bound.not_before);
        // Message numbers restart at 0 when a journal without messages is opened.
        while self.bounds.back().is_some_and(|last| last.first_number >= bound.first_number) {
            self.bounds.pop_back();
        }
        self.bounds.push_back(bound);
    }

    /// Removes the bounds that only messages with numbers below `oldest_number` need.
    pub fn prune(&mut self, oldest_number: u32) {
        while self.bounds.get(1).is_some_and(|bound| bound.first_number <= oldest_number) {
            self.bounds.pop_front();
        }
    }

    /// Returns the time of the latest bound that applies to the message, if there is one.
    pub fn not_before(&self, number: u32) -> Option<u64> {
        let after = self.bounds.partition_point(|bound| bound.first_number <= number);
        after.checked_sub(1).map(|index| self.bounds[index].not_before)
    }

    pub fn iter(&self) -> impl Iterator<Item = AcceptanceBound> {
        self.bounds.iter().copied()
    }
}
