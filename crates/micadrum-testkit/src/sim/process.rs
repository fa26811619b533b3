//! A simulated process, which can be killed and paused.
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};
use tokio::sync::Notify;

/// A simulated process. Once it is dead, its sockets and files have no effect.
#[derive(Default)]
pub struct Process {
    dead: Cell<bool>,
    died: Notify,
    paused: Cell<bool>,
    resume_waker: RefCell<Option<Waker>>,
}

impl Process {
    /// Kills the process immediately.
    pub fn kill(&self) {
        self.dead.set(true);
        self.died.notify_waiters();
    }

    /// Returns whether the process has been killed.
    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }

    /// Pauses or resumes the process. Timers that expire during a pause fire when it ends.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        if !paused && let Some(waker) = self.resume_waker.take() {
            waker.wake();
        }
    }

    /// Runs a future to completion; does not poll it while the process is paused.
    pub async fn unless_paused<F: Future>(&self, future: F) -> F::Output {
        let mut future = std::pin::pin!(future);
        std::future::poll_fn(|cx| {
            if self.paused.get() {
                *self.resume_waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            } else {
                future.as_mut().poll(cx)
            }
        })
        .await
    }

    /// Waits until the process has been killed.
    pub async fn died(&self) {
        let died = self.died.notified();
        if !self.is_dead() {
            died.await;
        }
    }
}
