//! A value that many tasks follow. Unlike `tokio::sync::watch` it wakes the tasks in the order in which they
//! began to wait, never at random, so that a simulated run can be reproduced.
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

struct Shared<T> {
    value: Cell<T>,
    changed: Notify,
}

/// A handle to the value. Every clone of a handle reads, changes and follows one value.
pub struct WatchCell<T>(Rc<Shared<T>>);

impl<T> Clone for WatchCell<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Copy + PartialEq> WatchCell<T> {
    /// Creates a cell that holds `value`.
    pub fn new(value: T) -> Self {
        Self(Rc::new(Shared { value: Cell::new(value), changed: Notify::new() }))
    }

    /// Returns the present value.
    pub fn get(&self) -> T {
        self.0.value.get()
    }

    /// Replaces the value and wakes those who wait; true if the new value differs from the one before.
    pub fn set(&self, value: T) -> bool {
        let has_changed = self.0.value.replace(value) != value;
        if has_changed {
            self.0.changed.notify_waiters();
        }
        has_changed
    }

    /// Waits until the value satisfies `predicate`.
    pub async fn wait_for(&self, predicate: impl Fn(T) -> bool) {
        loop {
            // Registered before the look at the value, so that no change in between is missed.
            let changed = self.0.changed.notified();
            if predicate(self.get()) {
                return;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
mod tests;
