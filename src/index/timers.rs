//! Moments to come, in one order.
//!
//! A `BTreeSet` of moment and name: setting, unsetting and taking the next due one cost the logarithm of what is
//! set. Moments of one time come in the order of their names, so that equal events give equal actions.
use crate::Timestamp;
use std::collections::BTreeSet;

/// Names with the moment that each is set to; one name may be set to several.
#[derive(Clone, Debug)]
pub struct Timers<T>(BTreeSet<(Timestamp, T)>);

impl<T: Ord + Copy> Timers<T> {
    /// None set.
    pub fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Sets `name` to a moment, beside others that it may be set to.
    pub fn set(&mut self, at: Timestamp, name: T) {
        self.0.insert((at, name));
    }

    /// Takes back what was set; nothing happens if it was not, or has come.
    pub fn unset(&mut self, at: Timestamp, name: T) {
        self.0.remove(&(at, name));
    }

    /// Takes the next that has come by `now`.
    pub fn take_due(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, name)| name)
    }

    /// The first moment that is set.
    pub fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;
