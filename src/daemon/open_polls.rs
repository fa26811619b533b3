//! The requests for the endpoint list that wait for a response at the same time.
//!
//! A request is not cancelled because the next one is sent: a slow agent may still respond to it. The number of
//! open requests is limited. The requests are divided among slots, of which each gets half as many as the one
//! before and keeps only its latest, so that the open requests have ages from the newest to
//! 2^([`MAX_OPEN_POLLS`] - 1) times the interval between two requests.
use std::future::Future;
use tokio::task::{AbortHandle, JoinSet};

/// The maximum number of open requests. With a new one every 0.4 s, the oldest are open for up to 25 s.
pub const MAX_OPEN_POLLS: usize = 7;

/// The number of a request, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollNumber(u64);

/// A request that has ended.
pub struct EndedPoll<T> {
    /// The number of the request.
    pub number: PollNumber,
    /// The result of the request.
    pub result: T,
}

/// The open requests. Dropping them cancels them.
pub struct OpenPolls<T> {
    tasks: JoinSet<EndedPoll<T>>,
    slots: [Option<AbortHandle>; MAX_OPEN_POLLS],
    last_number: u64,
}

impl<T: 'static> OpenPolls<T> {
    /// Creates a set without requests.
    pub fn new() -> Self {
        Self { tasks: JoinSet::new(), slots: Default::default(), last_number: 0 }
    }

    /// Sends a request. Cancels the earlier one in its slot.
    pub fn start(&mut self, poll: impl Future<Output = T> + 'static) -> PollNumber {
        self.last_number += 1;
        let number = PollNumber(self.last_number);
        let slot = (self.last_number.trailing_zeros() as usize).min(MAX_OPEN_POLLS - 1);
        let task = self.tasks.spawn_local(async move { EndedPoll { number, result: poll.await } });
        if let Some(replaced) = self.slots[slot].replace(task) {
            replaced.abort();
        }
        number
    }

    /// Waits until a request ends that was not cancelled; forever if there is none.
    pub async fn next(&mut self) -> EndedPoll<T> {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(ended)) => return ended,
                // A cancelled request.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Cancels all requests.
    pub fn cancel_all(&mut self) {
        self.slots = Default::default();
        self.tasks.abort_all();
    }
}

#[cfg(test)]
mod tests;
