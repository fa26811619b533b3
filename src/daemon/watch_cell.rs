//! One value that many tasks follow. Unlike `tokio::sync::watch` it wakes them in the order in which they began
//! to wait, never by chance, so that a simulated run can be played again.
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

struct Shared<T> {
    value: Cell<T>,
    changed: Notify,
}

/// A handle to the value; all handles are alike.
pub struct WatchCell<T>(Rc<Shared<T>>);

impl<T> Clone for WatchCell<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Copy + PartialEq> WatchCell<T> {
    /// A value to follow.
    pub fn new(value: T) -> Self {
        Self(Rc::new(Shared { value: Cell::new(value), changed: Notify::new() }))
    }

    /// What it is now.
    pub fn get(&self) -> T {
        self.0.value.get()
    }

    /// Puts another in its place; whether that is a change.
    pub fn set(&self, value: T) -> bool {
        let moved = self.0.value.replace(value) != value;
        if moved {
            self.0.changed.notify_waiters();
        }
        moved
    }

    /// Waits until it is one that `wanted` tells.
    pub async fn wait_for(&self, wanted: impl Fn(T) -> bool) {
        loop {
            let changed = self.0.changed.notified();
            if wanted(self.get()) {
                return;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
mod tests;
