//! What is promised of the journal, and what waits until the promise holds.
//!
//! Under `process` a record stands once it is written: it outlasts the process and not the machine. Under `machine` it
//! stands once it is synced, and what a record must stand before, an answer, a call, a notice, is held until then.
mod durable_storage;
mod group_commit;
mod traced_storage;

pub use durable_storage::DurableStorage;
pub use group_commit::{GroupCommit, NextStep};
use std::collections::VecDeque;
use std::time::Duration;
pub use traced_storage::TracedStorage;

/// Acts that wait for the records before them, in the order of those records.
pub struct DeferredEffects<T> {
    acts: VecDeque<(u64, T)>,
}

impl<T> Default for DeferredEffects<T> {
    fn default() -> Self {
        Self { acts: VecDeque::new() }
    }
}

impl<T> DeferredEffects<T> {
    /// Holds an act until the records up to `mark` stand.
    pub fn hold(&mut self, mark: u64, act: T) {
        self.acts.push_back((mark, act));
    }

    /// The next act of which all records up to `standing` are enough.
    pub fn next(&mut self, standing: u64) -> Option<T> {
        if self.acts.front().is_some_and(|(mark, _)| *mark <= standing) {
            return self.acts.pop_front().map(|(_, act)| act);
        }
        None
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.acts.is_empty()
    }
}

/// After a new file that could not be begun, another is tried.
pub const AGAIN: Duration = Duration::from_secs(1);
