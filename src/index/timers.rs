//! A set of named timers.
//!
//! Setting, unsetting and taking the next due timer take time logarithmic in the number of timers. Timers for
//! the same time fire in the order of their names, so that the order of actions is deterministic.
use crate::Timestamp;
use std::collections::BTreeSet;

/// Named timers. The same name may be set for several times at once.
#[derive(Clone, Debug)]
pub struct Timers<T>(BTreeSet<(Timestamp, T)>);

impl<T: Ord + Copy> Timers<T> {
    /// Creates an empty set of timers.
    pub fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Sets a timer. Timers with the same name and another time are kept.
    pub fn set(&mut self, at: Timestamp, name: T) {
        self.0.insert((at, name));
    }

    /// Removes a timer; does nothing if it is not set or has fired.
    pub fn unset(&mut self, at: Timestamp, name: T) {
        self.0.remove(&(at, name));
    }

    /// Removes the earliest timer if it is due at `now`, and returns its name.
    pub fn take_due(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, name)| name)
    }

    /// Returns the time of the earliest timer, or `None` if none is set.
    pub fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;
