//! Discovery: a long-poll watch of the endpoint list, served by the agent on this machine.
//!
//! Each request asks for the changes since the last revision, and the agent holds it until there are changes.
//! After a failure, [`PollSchedule`] sets the delay before the next request. If the address of the agent
//! changes, the complete list is requested, because revisions of different agents are unrelated.
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
    #[error("no complete response before the timeout")]
    Timeout,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}, expected 2xx")]
    Status(hyper::StatusCode),
    #[error("cannot read the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("invalid endpoint list in the response: {0}")]
    Json(#[from] serde_json::Error),
}

/// The discovery agent, and how it is polled.
pub struct Agent {
    /// The current address of the agent.
    pub address: WatchCell<SocketAddr>,
    /// The current polling settings.
    pub config: WatchCell<PollConfig>,
    /// The revision whose changes the first request asks for. `None` requests the complete list, which is
    /// large and causes load peaks if many senders start together.
    pub resume_revision: Option<u64>,
    /// The maximum size of a list, in bytes; a larger one is rejected.
    pub max_list_bytes: usize,
}

/// The state of the task that watches the list.
struct Watch {
    /// The address of the agent.
    agent: SocketAddr,
    /// The revision whose changes the next request asks for; `None` requests the complete list.
    revision: Option<u64>,
    /// The delay before the next request.
    delay: Duration,
    /// Whether the last request failed. Only the first failure of an outage is logged.
    is_failing: bool,
    schedule: PollSchedule,
    max_list_bytes: usize,
}

/// Watches the list until the event loop ends, and sends each response to the event loop.
pub async fn watch(
    agent: Agent,
    mut schedule: PollSchedule,
    event_loop: UnboundedSender<LoopEvent>,
    ports: Ports,
) {
    let Agent { address, config, resume_revision, max_list_bytes } = agent;
    let delay = if resume_revision.is_some() { schedule.initial_delay() } else { Duration::ZERO };
    let mut watch = Watch {
        agent: address.get(),
        revision: resume_revision,
        delay,
        is_failing: false,
        schedule,
        max_list_bytes,
    };
    loop {
        watch.schedule.set_config(config.get());
        let agent = watch.agent;
        let response = tokio::select! {
            biased;
            () = address.wait_for(|address| address != agent) => {
                watch.switch_agent(address.get());
                continue;
            }
            response = watch.poll(&*ports.network) => response,
        };
        match response {
            Ok(list) => {
                watch.record_success(&list);
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
        self.delay = Duration::ZERO;
    }

    /// Waits for the delay, and sends one request.
    async fn poll(&mut self, network: &dyn Network) -> Result<EndpointList, WatchError> {
        if !self.delay.is_zero() {
            sleep(self.delay).await;
        }
        let scope = if self.revision.is_some() { PollScope::Changes } else { PollScope::CompleteList };
        let poll = self.schedule.next_poll(scope);
        timeout(poll.total_timeout, self.request_list(network, poll))
            .await
            .unwrap_or(Err(WatchError::Timeout))
    }

    async fn request_list(&mut self, network: &dyn Network, poll: Poll) -> Result<EndpointList, WatchError> {
        let agent = self.agent;
        let path = match self.revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", poll.hold.as_millis()),
            None => "/api/targets".to_owned(),
        };
        // Each request has a connection of its own, on which no response to another request can arrive.
        let (connection, response) = timeout(poll.response_timeout, async {
            let mut connection = Connection::open(network, agent, poll.response_timeout).await?;
            let response = connection.send(request(Method::GET, &path, agent), Bytes::new(), None).await?;
            Ok::<_, CallError>((connection, response))
        })
        .await
        .map_err(|_| WatchError::Timeout)??;
        if !response.status().is_success() {
            return Err(WatchError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), self.max_list_bytes).collect().await;
        let list: EndpointList = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
        drop(connection);
        Ok(EndpointList { agent: Some(agent), ..list })
    }

    fn record_success(&mut self, list: &EndpointList) {
        self.is_failing = false;
        self.delay = Duration::ZERO;
        self.schedule.record_success();
        // A restarted agent may number revisions from the beginning again, and would have no changes after
        // the known revision.
        let continues = list.complete || self.revision.is_none_or(|known| list.revision >= known);
        self.revision = continues.then_some(list.revision);
    }

    fn record_failure(&mut self, error: &WatchError, ports: &Ports) {
        // Logs one line per outage, not one per request.
        if !self.is_failing {
            ports.log.line(&format!("discovery: poll failed error={error}"));
        }
        self.is_failing = true;
        self.delay = self.schedule.record_failure();
    }
}
