//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::host::Input;
use super::pool::{Connection, request};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long one call of the watch may wait for news: short, as an agent that fell silent shows only by it.
const HOLD: Duration = Duration::from_secs(5);
/// An answer that takes this much longer than it may wait does not come any more.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a failed call: well inside the 200 ms within which a watch goes on.
const PAUSE: Duration = Duration::from_millis(50);
/// No list is longer.
const MOST_BYTES: usize = 2 << 20;

/// A version of the list, or the changes that led to it.
#[derive(Debug, Deserialize)]
pub struct Targets {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One endpoint of the list.
#[derive(Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    pub locality: String,
    pub flavor: String,
    pub cell: u64,
    pub phase: Phase,
    #[serde(default)]
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] super::pool::CallError),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("reading the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("the answer is not a list: {0}")]
    Json(#[from] serde_json::Error),
}

/// Watches the list at the agent's present address, for as long as the host listens. Every agent is asked
/// for the whole list first: its revisions need not follow another's, nor those of an earlier process.
pub async fn watch(mut agents: watch::Receiver<SocketAddr>, host: UnboundedSender<Input>) {
    let mut revision = None;
    let mut connection = None;
    let mut failing = false;
    loop {
        let agent = *agents.borrow_and_update();
        let answer = tokio::select! {
            moved = agents.changed() => {
                if moved.is_err() {
                    return;
                }
                (revision, connection) = (None, None);
                continue;
            }
            answer = timeout(HOLD + PATIENCE, next(agent, revision, &mut connection)) => answer,
        };
        match answer.unwrap_or(Err(WatchError::Silent)) {
            Ok(targets) => {
                failing = false;
                revision = Some(targets.revision);
                if host.send(Input::Targets(targets)).is_err() {
                    return;
                }
            }
            Err(e) => {
                // One line an outage, not one a call.
                if !failing {
                    eprintln!("discovery: {e}");
                }
                failing = true;
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn next(
    agent: SocketAddr,
    revision: Option<u64>,
    kept: &mut Option<Connection>,
) -> Result<Targets, WatchError> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(agent, HOLD).await?,
    };
    let path = match revision {
        Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", HOLD.as_millis()),
        None => "/api/targets".to_owned(),
    };
    let answer = connection.send(request(Method::GET, &path, agent), Bytes::new()).await?;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    let body = http_body_util::Limited::new(answer.into_body(), MOST_BYTES).collect().await;
    let targets = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(targets)
}
