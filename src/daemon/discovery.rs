//! Discovery: a long-poll watch of the endpoint list, served by the agent on this machine.
//!
//! Each call asks for the changes since the last revision, and is held by the agent until there are some. After a failure,
//! [`PollSchedule`] decides how long to wait. An agent at another address is asked for the complete list: its revisions
//! need not continue those of the previous one.
use super::connection::{CallError, Connection, request};
use super::endpoint_list::EndpointList;
use super::events::LoopEvent;
use super::poll_schedule::{Poll, PollConfig, PollSchedule, PollScope};
use super::ports::{Network, Ports};
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
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
    /// The agent's present address.
    pub address: WatchCell<SocketAddr>,
    /// The present terms on which it is asked.
    pub terms: WatchCell<PollConfig>,
    /// The revision from which it is first asked for changes; none asks for the complete list, which is long, and requested
    /// by all senders that start together.
    pub resume_revision: Option<u64>,
    /// A longer list is rejected.
    pub max_list_bytes: usize,
}

/// The state of the watch.
struct Watch {
    /// The agent that is asked.
    agent: SocketAddr,
    /// The revision from which it is asked for changes; none asks for the complete list.
    revision: Option<u64>,
    connection: Option<Connection>,
    /// How long to wait before the next call.
    delay: Duration,
    /// Whether the last call failed, and was logged.
    is_failing: bool,
    schedule: PollSchedule,
    max_list_bytes: usize,
}

/// Watches the list for as long as the event loop runs, and sends each answer to the event loop.
pub async fn watch(
    agent: Agent,
    mut schedule: PollSchedule,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
) {
    let Agent { address, terms, resume_revision, max_list_bytes } = agent;
    let delay = if resume_revision.is_some() { schedule.initial_delay() } else { Duration::ZERO };
    let mut watch = Watch {
        agent: address.get(),
        revision: resume_revision,
        connection: None,
        delay,
        is_failing: false,
        schedule,
        max_list_bytes,
    };
    loop {
        watch.schedule.set_config(terms.get());
        let agent = watch.agent;
        let answer = tokio::select! {
            biased;
            () = address.wait_for(|address| address != agent) => {
                watch.switch_agent(address.get());
                continue;
            }
            answer = watch.poll(&*ports.network) => answer,
        };
        match answer {
            Ok(list) => {
                watch.record_answer(&list);
                if event_loop.send(LoopEvent::EndpointList(list)).is_err() {
                    return;
                }
            }
            Err(error) => watch.record_failure(&error, &ports),
        }
    }
}

impl Watch {
    fn switch_agent(&mut self, agent: SocketAddr) {
        self.agent = agent;
        self.revision = None;
        self.connection = None;
        self.delay = Duration::ZERO;
    }

    /// Waits for the delay, and makes one call.
    async fn poll(&mut self, network: &dyn Network) -> Result<EndpointList, WatchError> {
        if !self.delay.is_zero() {
            sleep(self.delay).await;
        }
        let scope = if self.revision.is_some() { PollScope::Changes } else { PollScope::CompleteList };
        let poll = self.schedule.next_poll(scope);
        timeout(poll.total_timeout, self.request_list(network, poll)).await.unwrap_or(Err(WatchError::Silent))
    }

    async fn request_list(&mut self, network: &dyn Network, poll: Poll) -> Result<EndpointList, WatchError> {
        let agent = self.agent;
        let path = match self.revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", poll.hold.as_millis()),
            None => "/api/targets".to_owned(),
        };
        let cached = self.connection.take();
        let (connection, answer) = timeout(poll.response_timeout, async {
            let mut connection = match cached {
                Some(connection) => connection,
                None => Connection::open(network, agent, poll.response_timeout).await?,
            };
            let answer = connection.send(request(Method::GET, &path, agent), Bytes::new(), None).await?;
            Ok::<_, CallError>((connection, answer))
        })
        .await
        .map_err(|_| WatchError::Silent)??;
        if !answer.status().is_success() {
            return Err(WatchError::Status(answer.status()));
        }
        let body = Limited::new(answer.into_body(), self.max_list_bytes).collect().await;
        let list: EndpointList = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
        self.connection = Some(connection);
        Ok(EndpointList { agent: Some(agent), ..list })
    }

    fn record_answer(&mut self, list: &EndpointList) {
        self.is_failing = false;
        self.delay = Duration::ZERO;
        self.schedule.record_success();
        // An agent that was restarted may count from the beginning: no change would be newer than the known revision.
        let continues = list.complete || self.revision.is_none_or(|known| list.revision >= known);
        self.revision = continues.then_some(list.revision);
    }

    fn record_failure(&mut self, error: &WatchError, ports: &Ports) {
        // One line for each outage, and not for each call.
        if !self.is_failing {
            ports.log.line(&format!("discovery: poll failed error={error}"));
        }
        self.is_failing = true;
        self.connection = None;
        self.delay = self.schedule.record_failure();
    }
}
