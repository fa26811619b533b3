//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::connection::{CallError, Connection, request};
use super::endpoint_list::EndpointList;
use super::events::LoopEvent;
use super::poll_schedule::{Poll, PollSchedule, PollingTerms};
use super::ports::{Network, Ports};
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{sleep, timeout};

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

/// Who is asked for the list, and how.
pub struct Agent {
    /// Where it is.
    pub address: WatchCell<SocketAddr>,
    /// On which terms it is asked.
    pub terms: WatchCell<PollingTerms>,
    /// The revision from which it is asked to go on first, if any.
    pub known: Option<u64>,
    /// No list is longer.
    pub most_bytes: usize,
}

/// Watches the list at the agent's present address, for as long as the host listens, first from the revision that is
/// `known`, if any: the whole list is much, and asked of discovery by all who start together. An agent at another
/// address is asked for the whole list: its revisions need not follow those of the one before.
pub async fn watch(agent: Agent, mut asking: PollSchedule, host: UnboundedSender<LoopEvent>, ports: Ports) {
    let Agent { address: agents, terms, known, most_bytes } = agent;
    let mut agent = agents.get();
    let (mut revision, mut connection, mut failing) = (known, None, false);
    let mut pause = if known.is_some() { asking.first() } else { Duration::ZERO };
    loop {
        asking.follow(terms.get());
        let answer = async {
            if !pause.is_zero() {
                sleep(pause).await;
            }
            let call = asking.call(revision.is_some());
            let next = next(&*ports.network, agent, revision, call, most_bytes, &mut connection);
            timeout(call.whole, next).await.unwrap_or(Err(WatchError::Silent))
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
                if host.send(LoopEvent::EndpointList(targets)).is_err() {
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
    call: Poll,
    most_bytes: usize,
    kept: &mut Option<Connection>,
) -> Result<EndpointList, WatchError> {
    let path = match revision {
        Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", call.hold.as_millis()),
        None => "/api/targets".to_owned(),
    };
    let (connection, answer) = timeout(call.patience, async {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => Connection::open(network, agent, call.patience).await?,
        };
        let answer = connection.send(request(Method::GET, &path, agent), Bytes::new(), None).await?;
        Ok::<_, CallError>((connection, answer))
    })
    .await
    .map_err(|_| WatchError::Silent)??;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    let body = http_body_util::Limited::new(answer.into_body(), most_bytes).collect().await;
    let targets: EndpointList = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(EndpointList { agent: Some(agent), ..targets })
}
