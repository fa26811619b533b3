//! Notices to the platform: how messages ended that were taken on and not delivered.
use super::connection::{CallError, Connection, request};
use super::input::Input;
use super::latest::Latest;
use super::ports::{Network, Ports};
use super::store::End;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};

/// The platform answers at once: past this it is asked again on a new connection.
const PATIENCE: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(50);
/// Notices in one call, which keeps its body under 64 KiB.
const MOST_LINES: usize = 256;

/// The end of one message.
pub struct Notice {
    pub number: u32,
    pub id: String,
    pub end: End,
}

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

#[derive(Debug, thiserror::Error)]
enum NoticeError {
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
    platforms: Latest<SocketAddr>,
    mut queue: UnboundedReceiver<Notice>,
    host: UnboundedSender<Input>,
    ports: Ports,
) {
    let mut owed = Vec::new();
    let mut connection = None;
    let mut reached = platforms.get();
    loop {
        if owed.is_empty() && queue.recv_many(&mut owed, MOST_LINES).await == 0 {
            return;
        }
        while owed.len() < MOST_LINES
            && let Ok(notice) = queue.try_recv()
        {
            owed.push(notice);
        }
        let platform = platforms.get();
        if std::mem::replace(&mut reached, platform) != platform {
            connection = None;
        }
        let sent = tokio::select! {
            biased;
            () = platforms.wait_for(|address| address != platform) => Ok(Err(NoticeError::Moved)),
            sent = timeout(PATIENCE, post(&*ports.network, platform, &owed, &mut connection)) => sent,
        };
        match sent.unwrap_or(Err(NoticeError::Silent)) {
            Ok(()) => {
                let numbers = owed.drain(..).map(|n| n.number).collect();
                if host.send(Input::Noticed(numbers)).is_err() {
                    return;
                }
            }
            Err(e) => {
                ports.log.line(&format!("notices: {e}; {} go again", owed.len()));
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

fn lines(notices: &[Notice]) -> Bytes {
    let mut text = Vec::new();
    for notice in notices {
        let (state, after_ms) = match notice.end {
            End::Failed => ("failed", None),
            End::Returned(after) => ("returned", after),
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
    notices: &[Notice],
    kept: &mut Option<Connection>,
) -> Result<(), NoticeError> {
    // A notice does no harm twice: one that met a stale connection just goes again.
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(network, platform, PATIENCE).await?,
    };
    let answer =
        connection.send(request(Method::POST, "/v1/notices", platform), lines(notices), None).await?;
    if answer.status() != StatusCode::NO_CONTENT {
        return Err(NoticeError::Status(answer.status()));
    }
    if answer.into_body().collect().await.is_ok() {
        *kept = Some(connection);
    }
    Ok(())
}
