//! Notifications to the platform: the final outcomes of messages that were accepted and not delivered.
//!
//! Notifications are sent in batches, each until the platform has answered it with 204, also at another address.
//! [`queue`] decides what is sent when; this module makes the calls.
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

/// The platform answers at once: after this time it is called again on a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The final outcome of one message.
pub struct Notification {
    /// The message's number in the journal.
    pub number: u32,
    /// The message's id.
    pub id: String,
    pub outcome: FinalOutcome,
}

/// A notification as the platform reads it.
#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

#[derive(Debug, thiserror::Error)]
enum NotificationError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the platform has moved")]
    Moved,
}

/// Sends the notifications that come from `incoming`, and reports the acknowledged ones to the event loop. Returns once the
/// event loop has ended, or `incoming` is closed and nothing is pending.
pub async fn run(
    platforms: WatchCell<SocketAddr>,
    mut incoming: UnboundedReceiver<Notification>,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
) {
    let connected_platform = platforms.get();
    let queue = NotificationQueue::default();
    let mut notifier = Notifier { platforms, connected_platform, connection: None, queue, event_loop, ports };
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

/// The state of the task.
struct Notifier {
    /// The platform's present address.
    platforms: WatchCell<SocketAddr>,
    /// The address that `connection` leads to.
    connected_platform: SocketAddr,
    connection: Option<Connection>,
    queue: NotificationQueue,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
}

impl Notifier {
    /// Adds what has come in to the next call, as far as that has capacity.
    fn take_incoming(&mut self, incoming: &mut UnboundedReceiver<Notification>) {
        let mut notifications = Vec::new();
        while notifications.len() < self.queue.capacity()
            && let Ok(notification) = incoming.try_recv()
        {
            notifications.push(notification);
        }
        self.queue.push(notifications);
    }

    /// Waits until a notification comes in, or one is to be sent again.
    async fn wait(&mut self, incoming: &mut UnboundedReceiver<Notification>) -> ControlFlow<()> {
        let retry_at = self.queue.next_retry();
        let mut notifications = Vec::new();
        tokio::select! {
            biased;
            () = sleep_until(retry_at.unwrap_or_else(Instant::now)), if retry_at.is_some() => {}
            // A closed channel ends the task only once nothing is left to be sent again.
            received = incoming.recv_many(&mut notifications, MAX_BATCH_NOTIFICATIONS) => match retry_at {
                None if received == 0 => return ControlFlow::Break(()),
                Some(retry_at) if received == 0 => sleep_until(retry_at).await,
                _ => self.queue.push(notifications),
            },
        }
        ControlFlow::Continue(())
    }

    /// Sends one batch, and reports it or returns it to the queue.
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
                    log.line(&format!("notifications: rejected, retried alone id={id:?} status=400"));
                }
                sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                let count = batch.notifications.len();
                self.ports
                    .log
                    .line(&format!("notifications: call failed, retried count={count} error={error}"));
                self.queue.requeue(batch);
                self.connection = None;
                sleep(RETRY_DELAY).await;
            }
        }
        ControlFlow::Continue(())
    }

    async fn call(&mut self, notifications: &[Notification]) -> Result<(), NotificationError> {
        let platform = self.platforms.get();
        if std::mem::replace(&mut self.connected_platform, platform) != platform {
            self.connection = None;
        }
        let network = &*self.ports.network;
        let call = timeout(CALL_TIMEOUT, post(network, platform, notifications, &mut self.connection));
        tokio::select! {
            biased;
            () = self.platforms.wait_for(|address| address != platform) => Err(NotificationError::Moved),
            result = call => result.unwrap_or(Err(NotificationError::Silent)),
        }
    }
}

/// Returns the body of a call: a JSON object a line.
fn body(notifications: &[Notification]) -> Bytes {
    let mut text = Vec::new();
    for notification in notifications {
        let (state, after_ms) = match notification.outcome {
            FinalOutcome::Failed => ("failed", None),
            FinalOutcome::Returned(after_ms) => ("returned", after_ms),
        };
        // Strings and numbers always have a JSON form, and writing to a Vec cannot fail.
        let _ = serde_json::to_writer(&mut text, &Line { id: &notification.id, state, after_ms });
        text.push(b'\n');
    }
    text.into()
}

/// Makes one call on the cached connection or a new one. The connection is cached again if the answer was complete.
async fn post(
    network: &dyn Network,
    platform: SocketAddr,
    notifications: &[Notification],
    cached: &mut Option<Connection>,
) -> Result<(), NotificationError> {
    // Notifications are idempotent: one that met a stale connection is sent again.
    let mut connection = match cached.take() {
        Some(connection) => connection,
        None => Connection::open(network, platform, CALL_TIMEOUT).await?,
    };
    let head = request(Method::POST, "/v1/notices", platform);
    let answer = connection.send(head, body(notifications), None).await?;
    let status = answer.status();
    if answer.into_body().collect().await.is_ok() {
        *cached = Some(connection);
    }
    if status == StatusCode::NO_CONTENT { Ok(()) } else { Err(NotificationError::Status(status)) }
}
