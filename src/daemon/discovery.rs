//! Discovery: a long-poll watch of the endpoint list, served by the agent on this machine.
//!
//! Each request asks for the changes since the last revision, and the agent holds it until there are changes.
//! If there is no response in time, [`PollSchedule`] sets the delay before the next request; the earlier one
//! stays open, as an agent that is slow may still respond ([`OpenPolls`]). The first response ends all others.
//! If the address of the agent changes, or no agent listens there any more, the complete list is requested,
//! because revisions of different agents are unrelated.
use super::connection::{CallError, Connection, request};
use super::endpoint_list::EndpointList;
use super::events::LoopEvent;
use super::open_polls::{EndedPoll, OpenPolls, PollNumber};
use super::poll_schedule::{Poll, PollConfig, PollSchedule, PollScope};
use super::ports::{Network, Ports};
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until, timeout};

/// The time limit for connecting to the agent, and for the body of a response after its head.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no complete response before the timeout")]
    Timeout,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}, expected 2xx")]
    Status(hyper::StatusCode),
    #[error("cannot read the response body: {0}")]
    Body(#[from] hyper::Error),
    #[error("the endpoint list in the response is too large")]
    TooLarge,
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
    /// The maximum size of all lists that are being read, in bytes; what exceeds it is rejected.
    pub max_list_bytes: usize,
}

/// The state of the task that watches the list.
struct Watch {
    /// The address of the agent.
    agent: SocketAddr,
    /// The revision whose changes the next request asks for; `None` requests the complete list.
    revision: Option<u64>,
    /// The requests that may still be answered.
    polls: OpenPolls<Result<EndpointList, WatchError>>,
    next: NextPoll,
    /// Whether the last request failed. Only the first failure of an outage is logged.
    is_failing: bool,
    schedule: PollSchedule,
    /// Permits for the bytes of the lists that are being read.
    list_bytes: Arc<Semaphore>,
}

/// When the next request is sent.
enum NextPoll {
    /// At this time.
    At(Instant),
    /// After the newest request has failed.
    After(NewestPoll),
}

/// The newest request, which has not been answered.
struct NewestPoll {
    number: PollNumber,
    started_at: Instant,
    timeouts: Poll,
    /// Whether the head of its response has arrived.
    is_answered: Rc<Cell<bool>>,
}

impl NewestPoll {
    /// Returns when the request has failed if it has no complete response by then.
    fn deadline(&self) -> Instant {
        let timeout =
            if self.is_answered.get() { self.timeouts.total_timeout } else { self.timeouts.response_timeout };
        self.started_at + timeout
    }
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
        polls: OpenPolls::new(),
        next: NextPoll::At(Instant::now() + delay),
        is_failing: false,
        schedule,
        list_bytes: Arc::new(Semaphore::new(max_list_bytes)),
    };
    loop {
        watch.schedule.set_config(config.get());
        let (agent, due) = (watch.agent, watch.due());
        tokio::select! {
            biased;
            () = address.wait_for(|address| address != agent) => watch.switch_agent(address.get()),
            EndedPoll { number, result } = watch.polls.next() => match result {
                Ok(list) => {
                    watch.record_success(&list, &ports);
                    if event_loop.send(LoopEvent::EndpointList(list)).is_err() {
                        return;
                    }
                }
                Err(error) => watch.record_error(number, &error, &ports),
            },
            () = sleep_until(due) => watch.advance(&ports),
        }
    }
}

impl Watch {
    fn switch_agent(&mut self, agent: SocketAddr) {
        self.agent = agent;
        self.revision = None;
        self.polls.cancel_all();
        self.next = NextPoll::At(Instant::now());
    }

    /// Returns when [`Watch::advance`] has to be called.
    fn due(&self) -> Instant {
        match &self.next {
            NextPoll::At(at) => *at,
            NextPoll::After(newest) => newest.deadline(),
        }
    }

    /// Sends the next request, or gives up waiting for the response to the newest one.
    fn advance(&mut self, ports: &Ports) {
        match &self.next {
            NextPoll::At(_) => self.start_poll(ports),
            // The head of the response may have arrived since the deadline was determined.
            NextPoll::After(newest) if newest.deadline() > Instant::now() => {}
            NextPoll::After(_) => self.record_failure(&WatchError::Timeout, ports),
        }
    }

    fn start_poll(&mut self, ports: &Ports) {
        let scope = if self.revision.is_some() { PollScope::Changes } else { PollScope::CompleteList };
        let timeouts = self.schedule.next_poll(scope);
        let is_answered = Rc::new(Cell::new(false));
        let request = ListRequest {
            agent: self.agent,
            revision: self.revision,
            hold: timeouts.hold,
            is_answered: is_answered.clone(),
            list_bytes: self.list_bytes.clone(),
        };
        let network = ports.network.clone();
        let number = self.polls.start(async move { request.send(&*network).await });
        let started_at = Instant::now();
        self.next = NextPoll::After(NewestPoll { number, started_at, timeouts, is_answered });
    }

    fn record_success(&mut self, list: &EndpointList, ports: &Ports) {
        if self.is_failing {
            ports.log.line(&format!("discovery: list received again revision={}", list.revision));
        }
        self.is_failing = false;
        self.schedule.record_success();
        // Responses to the other requests could only be older.
        self.polls.cancel_all();
        self.next = NextPoll::At(Instant::now());
        // A restarted agent may number revisions from the beginning again, and would have no changes after
        // the known revision.
        let continues = list.complete || self.revision.is_none_or(|known| list.revision >= known);
        self.revision = continues.then_some(list.revision);
    }

    /// Records the error of a request. Only that of the newest one delays the next request.
    fn record_error(&mut self, number: PollNumber, error: &WatchError, ports: &Ports) {
        if error.is_refused() {
            // The agent has ended. Its successor at the same address may number revisions differently.
            self.revision = None;
        }
        if matches!(&self.next, NextPoll::After(newest) if newest.number == number) {
            self.record_failure(error, ports);
        }
    }

    fn record_failure(&mut self, error: &WatchError, ports: &Ports) {
        // Logs one line per outage, not one per request.
        if !self.is_failing {
            ports.log.line(&format!("discovery: poll failed error={error}"));
        }
        self.is_failing = true;
        // A watch of a reachable agent that is overdue has fallen silent, and is not answered any more.
        if self.schedule.is_reachable() {
            self.polls.cancel_all();
        }
        self.next = NextPoll::At(Instant::now() + self.schedule.record_failure());
    }
}

/// A request for the endpoint list.
struct ListRequest {
    agent: SocketAddr,
    revision: Option<u64>,
    hold: Duration,
    is_answered: Rc<Cell<bool>>,
    list_bytes: Arc<Semaphore>,
}

impl ListRequest {
    /// Sends the request, and waits for the complete response.
    async fn send(self, network: &dyn Network) -> Result<EndpointList, WatchError> {
        let agent = self.agent;
        let path = match self.revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", self.hold.as_millis()),
            None => "/api/targets".to_owned(),
        };
        // Each request has a connection of its own, on which no response to another request can arrive.
        let mut connection = Connection::open(network, agent, TRANSFER_TIMEOUT).await?;
        let response = connection.send(request(Method::GET, &path, agent), Bytes::new(), None).await?;
        self.is_answered.set(true);
        if !response.status().is_success() {
            return Err(WatchError::Status(response.status()));
        }
        let body = timeout(TRANSFER_TIMEOUT, self.read_body(response.into_body()));
        let body = body.await.map_err(|_| WatchError::Timeout)??;
        let list: EndpointList = serde_json::from_slice(&body)?;
        drop(connection);
        Ok(EndpointList { agent: Some(agent), ..list })
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Vec<u8>, WatchError> {
        let mut complete = Vec::new();
        let mut reserved = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
            reserved.push(self.list_bytes.try_acquire_many(bytes).map_err(|_| WatchError::TooLarge)?);
            complete.extend_from_slice(&data);
        }
        Ok(complete)
    }
}

impl WatchError {
    /// Returns whether nobody listens at the address of the agent.
    fn is_refused(&self) -> bool {
        let Self::Call(CallError::Connect(error)) = self else { return false };
        error.kind() == io::ErrorKind::ConnectionRefused
    }
}
