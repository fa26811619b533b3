//! Groups notifications into batches, and selects the batch to send next. Performs no I/O and reads no clock.
//!
//! A notification that the platform rejects as malformed does not delay others: a rejected batch is split in
//! half until the malformed notification is alone. It stays pending and is retried individually with
//! exponential backoff.
use super::Notification;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the notifications in one call, which keeps its body under 64 KiB.
pub const MAX_BATCH_NOTIFICATIONS: usize = 256;
/// Delay before the first retry of a notification that was rejected individually. Doubles with each retry.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound on the delay before such a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// A notification that was rejected individually.
struct RejectedNotification {
    notification: Notification,
    backoff: Duration,
    retry_at: Instant,
}

/// The notifications of one call.
#[derive(Default)]
pub struct Batch {
    pub notifications: Vec<Notification>,
    /// The delay before this call if it retries a notification that was rejected individually; otherwise
    /// `None`.
    backoff: Option<Duration>,
}

/// Notifications to be sent or resent to the platform.
#[derive(Default)]
pub struct NotificationQueue {
    /// New notifications, halves of rejected batches, and batches to be resent unchanged.
    batches: VecDeque<Batch>,
    /// Rejected notifications, sorted by retry time, the earliest last.
    rejected: Vec<RejectedNotification>,
}

impl NotificationQueue {
    /// Returns how many notifications may be added: none while a batch waits to be sent.
    pub fn capacity(&self) -> usize {
        if self.batches.is_empty() { MAX_BATCH_NOTIFICATIONS } else { 0 }
    }

    /// Adds new notifications as one batch, which must not exceed [`Self::capacity`].
    pub fn push(&mut self, notifications: Vec<Notification>) {
        if !notifications.is_empty() {
            self.batches.push_back(Batch { notifications, backoff: None });
        }
    }

    /// Removes and returns the next batch, or `None` if nothing is to be sent at `now`.
    pub fn pop_ready(&mut self, now: Instant) -> Option<Batch> {
        self.batches.pop_front().or_else(|| {
            self.rejected.last().filter(|rejected| rejected.retry_at <= now)?;
            let RejectedNotification { notification, backoff, .. } = self.rejected.pop()?;
            Some(Batch { notifications: vec![notification], backoff: Some(backoff) })
        })
    }

    /// Returns the time of the next retry of a rejected notification, or `None` if no notification was
    /// rejected.
    pub fn next_retry(&self) -> Option<Instant> {
        self.rejected.last().map(|rejected| rejected.retry_at)
    }

    /// Puts back a batch whose call failed for a reason other than its content. It is sent next, unchanged.
    pub fn requeue(&mut self, batch: Batch) {
        self.batches.push_front(batch);
    }

    /// Puts back a batch that was rejected for its content: splits it, or schedules the retry of a single
    /// notification. Returns the message's id when a notification is rejected individually for the first
    /// time.
    pub fn reject(&mut self, batch: Batch, now: Instant) -> Option<String> {
        let Batch { mut notifications, backoff } = batch;
        if notifications.len() > 1 {
            let second_half = notifications.split_off(notifications.len() / 2);
            for notifications in [second_half, notifications] {
                self.batches.push_front(Batch { notifications, backoff: None });
            }
            return None;
        }
        let notification = notifications.pop()?;
        let newly_isolated = backoff.is_none().then(|| notification.id.clone());
        let backoff = backoff.map_or(MIN_BACKOFF, |previous| (2 * previous).min(MAX_BACKOFF));
        let retry_at = now + backoff;
        let index = self.rejected.partition_point(|rejected| rejected.retry_at > retry_at);
        self.rejected.insert(index, RejectedNotification { notification, backoff, retry_at });
        newly_isolated
    }
}

#[cfg(test)]
mod tests;
