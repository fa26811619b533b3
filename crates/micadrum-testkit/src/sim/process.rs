//! A simulated process: it can be killed, and paused.
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};
use tokio::sync::Notify;

/// The process that a socket belongs to; once the process is dead its sockets do nothing any more.
#[derive(Default)]
pub struct Process {
    dead: Cell<bool>,
    died: Notify,
    paused: Cell<bool>,
    resumes: RefCell<Option<Waker>>,
}

impl Process {
    /// Ends the process at once.
    pub fn kill(&self) {
        self.dead.set(true);
        self.died.notify_waiters();
    }

    /// Returns whether the process has ended.
    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }

    /// Pauses or resumes the process; timers that became due meanwhile fire late.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        if !paused && let Some(waker) = self.resumes.take() {
            waker.wake();
        }
    }

    /// Polls a future while the process is not paused.
    pub async fn unless_paused<F: Future>(&self, future: F) -> F::Output {
        let mut future = std::pin::pin!(future);
        std::future::poll_fn(|cx| {
            if self.paused.get() {
                *self.resumes.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            } else {
                future.as_mut().poll(cx)
            }
        })
        .await
    }

    /// Waits until the process has ended.
    pub async fn died(&self) {
        let died = self.died.notified();
        if !self.is_dead() {
            died.await;
        }
    }
}
