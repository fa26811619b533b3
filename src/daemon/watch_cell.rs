//! A shared value whose changes tasks can wait for. Unlike `tokio::sync::watch`, it wakes tasks in the order
//! in which they began to wait, so that simulations are reproducible.
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

struct Shared<T> {
    value: Cell<T>,
    changed: Notify,
}

/// A handle to a shared value. All clones of a handle refer to the same value.
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

    /// Returns the current value.
    pub fn get(&self) -> T {
        self.0.value.get()
    }

    /// Replaces the value. Returns true and wakes the waiting tasks if the new value differs from the old
    /// one.
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
            // Created before the value is read, so that a change in between is not missed.
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
