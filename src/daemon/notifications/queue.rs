//! Which notifications are sent next, and together. No I/O and no clock.
//!
//! A notification that the platform rejects as unreadable delays no others: a rejected batch is divided until the notification
//! that is the cause is alone. That one stays pending, and is sent again by itself, with growing pauses.
use super::Notification;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Notifications in one call, which keeps the call's body under 64 KiB.
pub const MAX_BATCH_NOTIFICATIONS: usize = 256;
/// Pause before a notification is sent again that was rejected alone; doubled each time ...
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// ... up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// A notification that was rejected alone.
struct RejectedNotification {
    notification: Notification,
    backoff: Duration,
    retry_at: Instant,
}

/// The content of one call.
#[derive(Default)]
pub struct Batch {
    pub notifications: Vec<Notification>,
    /// The pause before this call, if the batch is a notification that was rejected alone.
    backoff: Option<Duration>,
}

/// The pending notifications.
#[derive(Default)]
pub struct NotificationQueue {
    /// New notifications, parts of a rejected batch, and batches that are sent again as they were.
    batches: VecDeque<Batch>,
    /// The next one last.
    rejected: Vec<RejectedNotification>,
}

impl NotificationQueue {
    /// Returns how many more notifications may be added to the next call.
    pub fn capacity(&self) -> usize {
        if self.batches.is_empty() { MAX_BATCH_NOTIFICATIONS } else { 0 }
    }

    /// Adds new notifications, no more than there is capacity for.
    pub fn push(&mut self, notifications: Vec<Notification>) {
        if !notifications.is_empty() {
            self.batches.push_back(Batch { notifications, backoff: None });
        }
    }

    /// Removes the batch that is to be sent `now`, if there is one.
    pub fn pop_ready(&mut self, now: Instant) -> Option<Batch> {
        self.batches.pop_front().or_else(|| {
            self.rejected.last().filter(|rejected| rejected.retry_at <= now)?;
            let RejectedNotification { notification, backoff, .. } = self.rejected.pop()?;
            Some(Batch { notifications: vec![notification], backoff: Some(backoff) })
        })
    }

    /// Returns when a rejected notification is to be sent again.
    pub fn next_retry(&self) -> Option<Instant> {
        self.rejected.last().map(|rejected| rejected.retry_at)
    }

    /// Returns a batch to the queue whose call failed, or was answered in a way that says nothing about its content.
    pub fn requeue(&mut self, batch: Batch) {
        self.batches.push_front(batch);
    }

    /// Returns a batch to the queue that was rejected for its content. Returns the message's id if the batch is a single
    /// notification that is alone for the first time.
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
