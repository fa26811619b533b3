//! Timers, in one order.
//!
//! A `BTreeSet` of time and name: setting, unsetting and taking the next due timer cost the logarithm of what is set.
//! Timers of one time fire in the order of their names, so that equal events give equal actions.
use crate::Timestamp;
use std::collections::BTreeSet;

/// Named timers; one name may be set to several times.
#[derive(Clone, Debug)]
pub struct Timers<T>(BTreeSet<(Timestamp, T)>);

impl<T: Ord + Copy> Timers<T> {
    /// Creates an empty set of timers.
    pub fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Sets a timer, beside others of the same name.
    pub fn set(&mut self, at: Timestamp, name: T) {
        self.0.insert((at, name));
    }

    /// Removes a timer; nothing happens if it was not set, or has fired.
    pub fn unset(&mut self, at: Timestamp, name: T) {
        self.0.remove(&(at, name));
    }

    /// Takes the next timer that is due at `now`.
    pub fn take_due(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, name)| name)
    }

    /// Returns the time of the next timer.
    pub fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;
