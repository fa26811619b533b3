//! Connects the [`Membership`](micadrum_membership::Membership) state machine to sockets, timers, storage and
//! the log. All decisions are made by the state machine.
mod event_log;
mod incarnation_store;
mod link_stream;
mod links;

use super::config::Config;
use super::ports::{DatagramSocket, Listener, Ports};
use event_log::EventLog;
use incarnation_store::IncarnationStore;
pub use incarnation_store::disk_bytes;
use links::{LinkService, PeerAnswer};
pub use links::{PeerReportSource, ReportQuery, ViewQuery};
use micadrum_config::OperatorConfig;
use micadrum_config::peers::PeerMember;
use micadrum_membership::{
    IncarnationRecord, Input, MAX_DATAGRAM_BYTES, Member, Membership, Output, Roster, RosterError, Secret,
    SendBudget, Settings, View,
};
use micadrum_recovery::PeerReport;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Delay before a failed bind is retried, mostly because the previous process still holds the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound on the number of ephemeral ports tried to find one that is free for both datagrams and links.
const MAX_PORT_ATTEMPTS: usize = 32;
/// Delay before receiving is retried after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper bound on the file descriptors of the membership sockets and links.
pub const MAX_DESCRIPTORS: usize = 2 + 2 * links::MAX_ACCEPTED_LINKS;

/// Why membership cannot be enabled.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The list of members is invalid.
    #[error(transparent)]
    Roster(#[from] RosterError),
    /// No secret key was read from the file that the operator's configuration names.
    #[error("no secret key was read from the file {0:?}")]
    SecretMissing(String),
    /// The secret key does not belong to this member.
    #[error("the secret key does not match the public key of member {0:?} in the list of members")]
    SecretMismatch(String),
}

/// The membership settings and the roster from the operator's configuration.
pub struct MembershipConfig {
    settings: Settings,
    roster: Roster,
}

impl MembershipConfig {
    /// Reads the members from the operator's configuration, or returns `None` if membership is disabled.
    ///
    /// # Errors
    /// Returns an error if the list of members is invalid.
    pub fn from_config(operator: &OperatorConfig) -> Result<Option<Self>, MembershipError> {
        let Some(peers) = &operator.peers else { return Ok(None) };
        let settings = Settings {
            probe_interval: peers.probe_interval.as_duration(),
            suspicion_timeout: peers.suspicion_timeout.as_duration(),
            send_budget: SendBudget {
                datagrams_per_second: peers.datagrams_per_second,
                bytes_per_second: peers.bytes_per_second,
            },
        };
        let member = |member: &PeerMember| Member {
            name: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            key: member.key,
        };
        let roster = Roster::new(&peers.own_name, peers.members.values().map(member))?;
        Ok(Some(Self { settings, roster }))
    }
}

/// Provides snapshots of the membership state.
#[derive(Clone)]
pub struct ViewSource {
    membership: Rc<RefCell<Option<Membership>>>,
    /// The instant at which the membership clock is zero.
    origin: Instant,
}

impl ViewSource {
    /// Returns the current view, or `None` before the socket is bound.
    pub fn current(&self) -> Option<View> {
        self.membership.borrow().as_ref().map(|membership| membership.view(self.origin.elapsed()))
    }
}

/// The sockets of a member.
struct BoundSockets {
    datagrams: Box<dyn DatagramSocket>,
    /// The listener for links if the port is ephemeral, as it has to be free for both; otherwise `None`.
    links: Option<Box<dyn Listener>>,
}

/// A request to the membership task.
enum Request {
    Reconfigure(MembershipConfig),
    QueryAllViews(oneshot::Sender<BTreeMap<String, PeerAnswer>>),
    QueryReport(String, oneshot::Sender<Option<PeerReport>>),
    Leave,
}

/// A handle to the membership task. Dropping it ends the task without announcing that this sender leaves.
pub struct Handle {
    views: ViewSource,
    reconfigurations: UnboundedSender<MembershipConfig>,
    requests: UnboundedSender<Request>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Returns a source of membership snapshots.
    pub fn views(&self) -> ViewSource {
        self.views.clone()
    }

    /// Returns a handle that queries the views of all members.
    pub fn view_query(&self) -> ViewQuery {
        ViewQuery(self.requests.clone())
    }

    /// Returns a handle that queries the peer reports of single members.
    pub fn report_query(&self) -> ReportQuery {
        ReportQuery(self.requests.clone())
    }

    /// Returns a channel for changed settings and rosters.
    pub fn reconfigurations(&self) -> UnboundedSender<MembershipConfig> {
        self.reconfigurations.clone()
    }

    /// Announces to the other members that this sender leaves, and waits for the task to end.
    pub async fn leave(mut self) {
        let _ = self.requests.send(Request::Leave);
        let _ = (&mut self.task).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the membership task, if the operator's configuration lists members.
///
/// Neither an invalid incarnation record nor an address that another process holds prevents the start.
///
/// # Errors
/// Returns an error if the list of members is invalid, or if the secret key is missing or does not match the
/// list.
pub fn start(
    config: &Config,
    ports: &Ports,
    report_source: PeerReportSource,
) -> Result<Option<Handle>, MembershipError> {
    let members = MembershipConfig::from_config(&config.operator)?;
    let (Some(peers), Some(members)) = (&config.operator.peers, members) else { return Ok(None) };
    let secret = config.secret.map(Secret::new);
    let secret = secret.ok_or_else(|| MembershipError::SecretMissing(peers.secret_file.clone()))?;
    let own = &peers.members[&peers.own_name];
    if secret.public_key() != own.key {
        return Err(MembershipError::SecretMismatch(peers.own_name.clone()));
    }
    let views = ViewSource { membership: Rc::default(), origin: Instant::now() };
    let (requests, received_requests) = unbounded_channel();
    let reconfigurations = forward_reconfigurations(requests.clone());
    let log = ports.log.clone();
    let task = MembershipTask {
        views: views.clone(),
        incarnation_store: IncarnationStore::new(ports.storage.clone()),
        event_log: if ports.traces.peers { EventLog::with_traces(log) } else { EventLog::new(log) },
        ports: ports.clone(),
        requests: received_requests,
        report_source,
    };
    let task = spawn_local(task.run(peers.listen.unwrap_or(own.address), members, secret));
    Ok(Some(Handle { views, reconfigurations, requests, task }))
}

/// Returns a channel whose values are forwarded as requests.
fn forward_reconfigurations(requests: UnboundedSender<Request>) -> UnboundedSender<MembershipConfig> {
    let (reconfigurations, mut received) = unbounded_channel();
    spawn_local(async move {
        while let Some(members) = received.recv().await {
            let _ = requests.send(Request::Reconfigure(members));
        }
    });
    reconfigurations
}

/// Whether the membership task continues.
#[derive(PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

struct MembershipTask {
    views: ViewSource,
    incarnation_store: IncarnationStore,
    event_log: EventLog,
    ports: Ports,
    requests: UnboundedReceiver<Request>,
    report_source: PeerReportSource,
}

impl MembershipTask {
    async fn run(mut self, address: SocketAddr, mut members: MembershipConfig, secret: Secret) {
        let Some(sockets) = self.bind(address, &mut members).await else { return };
        let socket = sockets.datagrams;
        // The record is read after binding, as a previous process may write it until it releases the address.
        let record = self.read_record(&members.roster);
        let MembershipConfig { settings, roster } = members;
        let link_service = self.create_link_service(secret.clone(), roster.clone());
        // Links are accepted at the address for datagrams, until this task ends.
        let mut serving = JoinSet::new();
        if let Ok(address) = socket.local_addr() {
            let log = self.ports.log.clone();
            serving.spawn_local(link_service.clone().serve(address, sockets.links, log));
        }
        let rng = ChaCha8Rng::from_seed(self.ports.entropy);
        let now = self.views.origin.elapsed();
        let membership = Membership::new(settings, secret, roster, record, rng, now);
        *self.views.membership.borrow_mut() = Some(membership);
        self.process_inputs(&*socket, &link_service).await;
    }

    fn read_record(&self, roster: &Roster) -> IncarnationRecord {
        let own = roster.own();
        self.incarnation_store.read(own).unwrap_or_else(|error| {
            self.ports.log.line(&format!(
                "membership: incarnation record unusable, asking peers for this sender's incarnation error={error}"
            ));
            IncarnationRecord::new(own)
        })
    }

    fn create_link_service(&self, secret: Secret, roster: Roster) -> Rc<LinkService> {
        let (network, entropy) = (self.ports.network.clone(), self.ports.entropy);
        LinkService::new(network, secret, roster, entropy, self.views.clone(), self.report_source.clone())
    }

    async fn process_inputs(&mut self, socket: &dyn DatagramSocket, link_service: &Rc<LinkService>) {
        // One byte longer than the longest valid datagram, so that an oversized datagram is detected.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.perform_outputs(socket);
            let due = self.with_membership(|membership, _| membership.due());
            let due = due.map(|due| self.views.origin + due);
            // Requests and timers have priority, so that a flood of datagrams cannot delay them.
            tokio::select! {
                biased;
                request = self.requests.recv() => {
                    let Some(request) = request else { return };
                    if self.handle_request(request, link_service) == Flow::Stop {
                        return self.perform_outputs(socket);
                    }
                }
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.with_membership(|membership, now| membership.handle(Input::Timer, now));
                }
                received = socket.receive(&mut buffer) => match received {
                    Ok(length) => self.with_membership(|membership, now| {
                        membership.handle(Input::Datagram(&buffer[..length]), now);
                    }),
                    Err(error) => {
                        self.ports.log.line(&format!("membership: receiving failed error={error}"));
                        sleep(RECEIVE_RETRY_DELAY).await;
                    }
                },
            }
        }
    }

    fn handle_request(&mut self, request: Request, link_service: &Rc<LinkService>) -> Flow {
        match request {
            Request::QueryAllViews(reply) => link_service.spawn_view_query(reply),
            Request::QueryReport(name, reply) => link_service.spawn_report_query(name, reply),
            Request::Reconfigure(MembershipConfig { settings, roster }) => {
                link_service.set_roster(roster.clone());
                self.with_membership(|membership, now| {
                    membership.handle(Input::Reconfigured(settings, roster), now);
                });
            }
            Request::Leave => {
                self.with_membership(|membership, now| membership.handle(Input::Leave, now));
                return Flow::Stop;
            }
        }
        Flow::Continue
    }

    /// Binds the address, and retries until the previous process has released it. Returns `None` if the task
    /// has to stop first.
    async fn bind(&mut self, address: SocketAddr, members: &mut MembershipConfig) -> Option<BoundSockets> {
        let mut is_logged = false;
        let mut attempts = 0;
        loop {
            match self.ports.network.bind(address).await {
                Ok(datagrams) => {
                    let bound = datagrams.local_addr().unwrap_or(address);
                    let is_ephemeral = address.port() == 0;
                    // An ephemeral port has to be free for links as well.
                    let links = if is_ephemeral { self.ports.network.listen(bound).await.ok() } else { None };
                    attempts += 1;
                    if is_ephemeral && links.is_none() && attempts < MAX_PORT_ATTEMPTS {
                        continue;
                    }
                    self.ports.log.line(&format!("membership: listening address={bound}"));
                    return Some(BoundSockets { datagrams, links });
                }
                Err(error) if !std::mem::replace(&mut is_logged, true) => self
                    .ports
                    .log
                    .line(&format!("membership: binding failed, retrying address={address} error={error}")),
                Err(_) => {}
            }
            if self.wait_to_bind(members).await == Flow::Stop {
                return None;
            }
        }
    }

    /// Waits until binding is to be retried, or handles a request that arrives before.
    async fn wait_to_bind(&mut self, members: &mut MembershipConfig) -> Flow {
        tokio::select! {
            biased;
            request = self.requests.recv() => match request {
                Some(Request::Reconfigure(next)) => *members = next,
                // Dropping the reply channel tells the caller that there is no view yet.
                Some(Request::QueryAllViews(_) | Request::QueryReport(..)) => {}
                Some(Request::Leave) | None => return Flow::Stop,
            },
            () = sleep(BIND_RETRY_DELAY) => {}
        }
        Flow::Continue
    }

    fn with_membership<T: Default>(&self, act: impl FnOnce(&mut Membership, Duration) -> T) -> T {
        let now = self.views.origin.elapsed();
        let mut membership = self.views.membership.borrow_mut();
        membership.as_mut().map_or_else(T::default, |membership| act(membership, now))
    }

    fn perform_outputs(&mut self, socket: &dyn DatagramSocket) {
        while let Some(output) = self.with_membership(|membership, _| membership.poll_output()) {
            match output {
                // A datagram that cannot be sent is treated as lost; the protocol tolerates loss.
                Output::Send(to, bytes) => drop(socket.send(to, &bytes)),
                Output::WriteRecord(bytes) => {
                    let result = self.incarnation_store.write(&bytes);
                    self.event_log.record_written(&result);
                    let input = if result.is_ok() { Input::RecordWritten } else { Input::RecordWriteFailed };
                    self.with_membership(|membership, now| membership.handle(input, now));
                }
                Output::Event(event) => self.event_log.event(self.views.origin.elapsed(), &event),
            }
        }
    }
}
