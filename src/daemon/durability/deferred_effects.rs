//! Effects that wait for records to become durable.
use std::collections::VecDeque;

/// A queue of effects, each of which waits for the records up to a sequence number.
pub struct DeferredEffects<T> {
    /// The deferred effects, in ascending order of sequence number.
    effects: VecDeque<(u64, T)>,
}

impl<T> Default for DeferredEffects<T> {
    fn default() -> Self {
        Self { effects: VecDeque::new() }
    }
}

impl<T> DeferredEffects<T> {
    /// Defers an effect until the records up to `sequence` are durable.
    pub fn push(&mut self, sequence: u64, effect: T) {
        self.effects.push_back((sequence, effect));
    }

    /// Removes and returns the next effect, if the records up to `durable_sequence` include all that it waits
    /// for.
    pub fn pop_ready(&mut self, durable_sequence: u64) -> Option<T> {
        if self.effects.front().is_some_and(|(sequence, _)| *sequence <= durable_sequence) {
            return self.effects.pop_front().map(|(_, effect)| effect);
        }
        None
    }

    /// Returns whether no effect is waiting.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }
}
