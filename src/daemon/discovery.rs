//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::connection::{CallError, Connection, request};
use super::input::Input;
use super::latest::Latest;
use super::ports::{Network, Ports};
use super::targets::Targets;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{sleep, timeout};

/// How long one call of the watch may wait for news: short, as an agent that fell silent shows only by it.
const HOLD: Duration = Duration::from_secs(5);
/// An answer that takes this much longer than it may wait does not come any more.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a failed call: well inside the 200 ms within which a watch goes on.
const PAUSE: Duration = Duration::from_millis(50);
/// No list is longer.
const MOST_BYTES: usize = 2 << 20;

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("reading the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("the answer is not a list: {0}")]
    Json(#[from] serde_json::Error),
}

/// Watches the list at the agent's present address, for as long as the host listens. Every agent is asked
/// for the whole list first: its revisions need not follow another's, nor those of an earlier process.
pub async fn watch(agents: Latest<SocketAddr>, host: UnboundedSender<Input>, ports: Ports) {
    let mut revision = None;
    let mut connection = None;
    let mut failing = false;
    loop {
        let agent = agents.get();
        let answer = tokio::select! {
            biased;
            () = agents.wait_for(|address| address != agent) => {
                (revision, connection) = (None, None);
                continue;
            }
            answer = timeout(HOLD + PATIENCE, next(&*ports.network, agent, revision, &mut connection)) => answer,
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
                    ports.log.line(&format!("discovery: {e}"));
                }
                failing = true;
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn next(
    network: &dyn Network,
    agent: SocketAddr,
    revision: Option<u64>,
    kept: &mut Option<Connection>,
) -> Result<Targets, WatchError> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(network, agent, HOLD).await?,
    };
    let path = match revision {
        Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", HOLD.as_millis()),
        None => "/api/targets".to_owned(),
    };
    let answer = connection.send(request(Method::GET, &path, agent), Bytes::new(), None).await?;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    let body = http_body_util::Limited::new(answer.into_body(), MOST_BYTES).collect().await;
    let targets = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(targets)
}
