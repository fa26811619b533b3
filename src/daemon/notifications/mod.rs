//! Notifies the platform of the final outcomes of messages that were accepted and not delivered.
//!
//! Notifications are sent in batches. A batch is resent until the platform acknowledges it with status 204,
//! also if the platform's address changes. [`queue`] selects the batch to send; this module makes the calls.
mod queue;

use super::connection::{CallError, Connection, request};
use super::events::LoopEvent;
use super::journal::FinalOutcome;
use super::ports::{Network, Ports};
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use queue::{Batch, MAX_BATCH_NOTIFICATIONS, NotificationQueue};
use serde::Serialize;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time limit for a call, after which it is retried on a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The final outcome of one message.
pub struct Notification {
    /// The number that identifies the message in the journal.
    pub number: u32,
    /// The ID of the message that ended.
    pub id: String,
    pub outcome: FinalOutcome,
}

/// A notification in the JSON format of the platform.
#[derive(Serialize)]
struct NotificationLine<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

#[derive(Debug, thiserror::Error)]
enum NotificationError {
    #[error("no response within {CALL_TIMEOUT:?}")]
    TimedOut,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}, expected 204")]
    Status(StatusCode),
    #[error("the platform's address has changed")]
    AddressChanged,
}

/// Sends the notifications received from `incoming` to the platform, and reports acknowledged ones to the
/// event loop. Returns when the event loop has ended, or when `incoming` is closed and no notification is
/// pending.
pub async fn run(
    platform_address: WatchCell<SocketAddr>,
    mut incoming: UnboundedReceiver<Notification>,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
) {
    let queue = NotificationQueue::default();
    let mut notifier = Notifier { platform_address, queue, event_loop, ports };
    loop {
        notifier.take_incoming(&mut incoming);
        let next = match notifier.queue.pop_ready(Instant::now()) {
            Some(batch) => notifier.send(batch).await,
            None => notifier.wait(&mut incoming).await,
        };
        if next.is_break() {
            return;
        }
    }
}

/// The state of the task that sends notifications.
struct Notifier {
    /// The current address of the platform.
    platform_address: WatchCell<SocketAddr>,
    queue: NotificationQueue,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
}

impl Notifier {
    /// Moves received notifications to the queue, as many as it has capacity for.
    fn take_incoming(&mut self, incoming: &mut UnboundedReceiver<Notification>) {
        let mut notifications = Vec::new();
        while notifications.len() < self.queue.capacity()
            && let Ok(notification) = incoming.try_recv()
        {
            notifications.push(notification);
        }
        self.queue.push(notifications);
    }

    /// Waits until a notification is received or a retry is due. Breaks if `incoming` is closed and no retry
    /// is pending.
    async fn wait(&mut self, incoming: &mut UnboundedReceiver<Notification>) -> ControlFlow<()> {
        let retry_at = self.queue.next_retry();
        let mut notifications = Vec::new();
        tokio::select! {
            biased;
            () = sleep_until(retry_at.unwrap_or_else(Instant::now)), if retry_at.is_some() => {}
            // If the channel is closed, the task ends only after the last retry.
            received = incoming.recv_many(&mut notifications, MAX_BATCH_NOTIFICATIONS) => match retry_at {
                None if received == 0 => return ControlFlow::Break(()),
                Some(retry_at) if received == 0 => sleep_until(retry_at).await,
                _ => self.queue.push(notifications),
            },
        }
        ControlFlow::Continue(())
    }

    /// Sends a batch, and then reports it as acknowledged or returns it to the queue.
    async fn send(&mut self, batch: Batch) -> ControlFlow<()> {
        match self.call(&batch.notifications).await {
            Ok(()) => {
                let numbers = batch.notifications.iter().map(|notification| notification.number).collect();
                if self.event_loop.send(LoopEvent::NotificationsAcknowledged(numbers)).is_err() {
                    return ControlFlow::Break(());
                }
            }
            Err(NotificationError::Status(StatusCode::BAD_REQUEST)) => {
                if let Some(id) = self.queue.reject(batch, Instant::now()) {
                    let log = &self.ports.log;
                    log.line(&format!("notifications: rejected, retrying individually id={id:?} status=400"));
                }
                sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                let count = batch.notifications.len();
                self.ports
                    .log
                    .line(&format!("notifications: call failed, retrying count={count} error={error}"));
                self.queue.requeue(batch);
                sleep(RETRY_DELAY).await;
            }
        }
        ControlFlow::Continue(())
    }

    async fn call(&self, notifications: &[Notification]) -> Result<(), NotificationError> {
        let platform = self.platform_address.get();
        let network = &*self.ports.network;
        let call = timeout(CALL_TIMEOUT, post(network, platform, notifications));
        tokio::select! {
            biased;
            () = self.platform_address.wait_for(|address| address != platform) => {
                Err(NotificationError::AddressChanged)
            }
            result = call => result.unwrap_or(Err(NotificationError::TimedOut)),
        }
    }
}

/// Returns the body of a call, with one JSON object per line.
fn body(notifications: &[Notification]) -> Bytes {
    let mut text = Vec::new();
    for notification in notifications {
        let (state, after_ms) = match notification.outcome {
            FinalOutcome::Failed => ("failed", None),
            FinalOutcome::Returned(after_ms) => ("returned", after_ms),
        };
        // Encoding strings and integers as JSON cannot fail, nor can writing to a `Vec`.
        let _ = serde_json::to_writer(&mut text, &NotificationLine { id: &notification.id, state, after_ms });
        text.push(b'\n');
    }
    text.into()
}

/// Makes a call on a connection of its own, on which no response to another call can arrive.
async fn post(
    network: &dyn Network,
    platform: SocketAddr,
    notifications: &[Notification],
) -> Result<(), NotificationError> {
    let mut connection = Connection::open(network, platform, CALL_TIMEOUT).await?;
    let head = request(Method::POST, "/v1/notices", platform);
    let response = connection.send(head, body(notifications), None).await?;
    let status = response.status();
    // Read to the end, so that closing the connection does not reset it.
    let _ = response.into_body().collect().await;
    if status == StatusCode::NO_CONTENT { Ok(()) } else { Err(NotificationError::Status(status)) }
}
