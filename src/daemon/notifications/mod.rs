//! Notices to the platform: how messages ended that were taken on and not delivered. What goes when is decided in [`owed`].
mod queue;

use super::connection::{CallError, Connection, request};
use super::events::LoopEvent;
use super::journal::FinalOutcome;
use super::ports::{Network, Ports};
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use queue::{MOST_LINES, NotificationQueue};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The platform answers at once: past this it is asked again on a new connection.
const PATIENCE: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(50);

/// The end of one message.
pub struct Notification {
    pub number: u32,
    pub id: String,
    pub end: FinalOutcome,
}

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

/// Sends what comes in, batched, and each notice until it is answered with 204, also at another address.
pub async fn run(
    platforms: WatchCell<SocketAddr>,
    mut queue: UnboundedReceiver<Notification>,
    host: UnboundedSender<LoopEvent>,
    ports: Ports,
) {
    let mut owed = NotificationQueue::default();
    let mut connection = None;
    let mut reached = platforms.get();
    loop {
        let mut new = Vec::new();
        while new.len() < owed.room()
            && let Ok(notice) = queue.try_recv()
        {
            new.push(notice);
        }
        owed.add(new);
        let Some(batch) = owed.next(Instant::now()) else {
            let due = owed.due();
            let mut new = Vec::new();
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
                // What is due still is this task's to send, also once nobody brings more.
                taken = queue.recv_many(&mut new, MOST_LINES) => match due {
                    None if taken == 0 => return,
                    Some(due) if taken == 0 => sleep_until(due).await,
                    _ => owed.add(new),
                },
            }
            continue;
        };
        let platform = platforms.get();
        if std::mem::replace(&mut reached, platform) != platform {
            connection = None;
        }
        let sent = tokio::select! {
            biased;
            () = platforms.wait_for(|address| address != platform) => Ok(Err(NotificationError::Moved)),
            sent = timeout(PATIENCE, post(&*ports.network, platform, &batch.notices, &mut connection)) => sent,
        };
        match sent.unwrap_or(Err(NotificationError::Silent)) {
            Ok(()) => {
                let numbers = batch.notices.iter().map(|n| n.number).collect();
                if host.send(LoopEvent::NotificationsAcknowledged(numbers)).is_err() {
                    return;
                }
            }
            Err(NotificationError::Status(StatusCode::BAD_REQUEST)) => {
                if let Some(id) = owed.turned_away(batch, Instant::now()) {
                    let what = "the platform cannot read it (status 400)";
                    ports.log.line(&format!("notices: the end of {id:?}: {what}; it goes again by itself"));
                }
                sleep(PAUSE).await;
            }
            Err(e) => {
                ports.log.line(&format!("notices: {e}; {} go again", batch.notices.len()));
                owed.again(batch);
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

fn lines(notices: &[Notification]) -> Bytes {
    let mut text = Vec::new();
    for notice in notices {
        let (state, after_ms) = match notice.end {
            FinalOutcome::Failed => ("failed", None),
            FinalOutcome::Returned(after) => ("returned", after),
        };
        // Strings and numbers always have a JSON form, and a Vec takes any text.
        let _ = serde_json::to_writer(&mut text, &Line { id: &notice.id, state, after_ms });
        text.push(b'\n');
    }
    text.into()
}

async fn post(
    network: &dyn Network,
    platform: SocketAddr,
    notices: &[Notification],
    kept: &mut Option<Connection>,
) -> Result<(), NotificationError> {
    // A notice does no harm twice: one that met a stale connection just goes again.
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(network, platform, PATIENCE).await?,
    };
    let answer =
        connection.send(request(Method::POST, "/v1/notices", platform), lines(notices), None).await?;
    let status = answer.status();
    if answer.into_body().collect().await.is_ok() {
        *kept = Some(connection);
    }
    if status == StatusCode::NO_CONTENT { Ok(()) } else { Err(NotificationError::Status(status)) }
}
