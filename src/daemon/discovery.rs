//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::asking::Asking;
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

/// Watches the list at the agent's present address, for as long as the host listens, first from the revision that is
/// `known`, if any: the whole list is much, and asked of discovery by all who start together. An agent at another
/// address is asked for the whole list: its revisions need not follow those of the one before.
pub async fn watch(
    agents: Latest<SocketAddr>,
    known: Option<u64>,
    mut asking: Asking,
    host: UnboundedSender<Input>,
    ports: Ports,
) {
    let mut agent = agents.get();
    let (mut revision, mut connection, mut failing) = (known, None, false);
    let mut pause = if known.is_some() { asking.first() } else { Duration::ZERO };
    loop {
        let answer = async {
            if !pause.is_zero() {
                sleep(pause).await;
            }
            let next = next(&*ports.network, agent, revision, &mut connection);
            timeout(HOLD + PATIENCE, next).await.unwrap_or(Err(WatchError::Silent))
        };
        let answer = tokio::select! {
            biased;
            () = agents.wait_for(|address| address != agent) => {
                (agent, revision, connection, pause) = (agents.get(), None, None, Duration::ZERO);
                continue;
            }
            answer = answer => answer,
        };
        match answer {
            Ok(targets) => {
                (failing, pause) = (false, Duration::ZERO);
                asking.answered();
                // An agent that has started anew may count from the start: nothing would be newer than what is known.
                let follows = targets.complete || revision.is_none_or(|from| targets.revision >= from);
                revision = follows.then_some(targets.revision);
                if host.send(Input::Targets(targets)).is_err() {
                    return;
                }
            }
            Err(e) => {
                // One line an outage, not one a call.
                if !failing {
                    ports.log.line(&format!("discovery: {e}"));
                }
                (failing, connection, pause) = (true, None, asking.failed());
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
    let targets: Targets = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(Targets { agent: Some(agent), ..targets })
}
