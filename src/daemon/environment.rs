//! The parts of the daemon that exist for the life of a process, and the steps of its startup.
use super::admin_server::{AdminContext, AdminServer};
use super::clock::{Clock, Predecessor};
use super::config::Config;
use super::config_schema::ConfigSchema;
use super::discovery::{self, Agent};
use super::durability::{DurableStorage, TracedStorage};
use super::event_loop::{EventLoop, EventLoopChannels, EventLoopConfig};
use super::events::{ListenerState, LoopEvent};
use super::handover::InheritedState;
use super::journal::{CorruptionReport, Journal};
use super::metrics::Metrics;
use super::notifications::{self, Notification};
use super::poll_schedule::PollSchedule;
use super::ports::{Listener, Ports};
use super::recovery::{self, RecoveryContext, RecoveryOutcome, RecoveryStatus};
use super::resource_budget::ResourceBudget;
use super::runtime_checks::Violations;
use super::watch_cell::WatchCell;
use super::{Signal, StartError, journal_opening, listening, membership, peer_reporting};
use micadrum_config::{Durability, OperatorConfig};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::Instant;

/// The parts of the daemon that exist for the life of a process, across its event loops.
pub struct Environment {
    pub ports: Ports,
    pub budget: ResourceBudget,
    /// The state of the client listener.
    pub listener_state: WatchCell<ListenerState>,
    /// The channel to the event loop.
    pub events: UnboundedSender<LoopEvent>,
    pub recovery: RecoveryStatus,
    /// The violations that the run-time checks of this process have found.
    pub violations: Violations,
    /// The address of the discovery agent, which also receives notifications.
    discovery: WatchCell<SocketAddr>,
    seed: u64,
    /// The keys that every configuration has to contain.
    schema: ConfigSchema,
}

/// The inputs of a new event loop. The first event loop inherits from the predecessor process, if there is
/// one; each later one inherits from the event loop before it, whose handover failed.
pub struct LoopStart {
    pub config: Rc<Config>,
    pub inheritance: Option<InheritedState>,
    pub metrics: Metrics,
}

/// An open journal, the clock that continues its timestamps, and the outcome of the recovery.
pub struct OpenedJournal {
    journal: Journal,
    clock: Clock,
    recovery_outcome: RecoveryOutcome,
}

impl Environment {
    /// Creates the environment of a process from its first configuration.
    ///
    /// # Errors
    /// The seed is not a hexadecimal number.
    pub fn new(
        config: &Config,
        ports: Ports,
        events: UnboundedSender<LoopEvent>,
    ) -> Result<Self, StartError> {
        let seed =
            u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
        Ok(Self {
            ports: storage_ports(ports, &config.operator),
            budget: resource_budget(config),
            listener_state: WatchCell::new(ListenerState::Starting),
            events,
            recovery: RecoveryStatus::default(),
            violations: Violations::default(),
            discovery: WatchCell::new(config.discovery),
            seed,
            schema: config.schema(),
        })
    }

    /// Joins the fleet if the operator's file lists its members; returns `None` otherwise.
    ///
    /// # Errors
    /// The list of members or the secret key is invalid.
    pub fn join_membership(&self, config: &Config) -> Result<Option<membership::Handle>, StartError> {
        let reports =
            peer_reporting::source(self.recovery.clone(), self.events.clone(), self.ports.wall.clone());
        Ok(membership::start(config, &self.ports, reports)?)
    }

    /// Starts to serve the admin endpoint if the configuration contains an address for it.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub async fn serve_admin_endpoint(
        &self,
        config: &Config,
        membership: Option<&membership::Handle>,
    ) -> Result<Option<AdminServer>, StartError> {
        let Some(address) = config.admin_listen else { return Ok(None) };
        let BoundListener { listener, at } = self.listen(address, None).await?;
        self.ports.log.line(&format!("operators: listening on {at}"));
        let context = AdminContext {
            events: self.events.clone(),
            state: self.listener_state.clone(),
            members: membership.map(|membership| (membership.views(), membership.view_query())),
            recovery: self.recovery.clone(),
        };
        let log = self.ports.log.clone();
        Ok(Some(AdminServer::start(listener, context, self.violations.clone(), log)))
    }

    /// Starts to forward signals to the event loop.
    pub fn forward_signals(&self, mut signals: UnboundedReceiver<Signal>) {
        let events = self.events.clone();
        spawn_local(async move {
            while let Some(signal) = signals.recv().await {
                let _ = events.send(match signal {
                    Signal::Shutdown => LoopEvent::Shutdown(Instant::now()),
                    Signal::Reload(config) => LoopEvent::Reload(config),
                    Signal::ReloadIfChanged(config) => LoopEvent::ReloadIfChanged(config),
                });
            }
        });
    }

    /// Opens the journal, and runs the recovery if the operator's file enables it. After a handover,
    /// completed or failed, there is no recovery, because the state folder is up to date.
    ///
    /// # Errors
    /// The journal cannot be opened.
    pub async fn open_journal(
        &self,
        start: &LoopStart,
        membership: Option<&membership::Handle>,
    ) -> Result<OpenedJournal, StartError> {
        let (ports, config, disk) = (&self.ports, &start.config, self.budget.disk_bytes);
        let (journal, clock, corruption, recovery_outcome) = match &config.operator.recovery {
            Some(settings) if start.inheritance.is_none() => {
                let context =
                    RecoveryContext { settings, config, ports, disk_bytes: disk, peers: membership };
                let recovered = recovery::recover(&self.recovery, &context).await?;
                (recovered.journal, recovered.clock, recovered.corruption, recovered.outcome)
            }
            _ => {
                let (journal, corruption) = journal_opening::open_journal(ports, disk).await;
                let predecessor = match start.inheritance {
                    Some(_) => Predecessor::HandsOver,
                    None => Predecessor::Ended,
                };
                let clock = Clock::resume(&journal, predecessor, ports);
                (journal, clock, corruption, RecoveryOutcome::default())
            }
        };
        if corruption != CorruptionReport::default() {
            ports.log.line(&format!("journal: {corruption}"));
        }
        Ok(OpenedJournal { journal, clock, recovery_outcome })
    }

    /// Creates an event loop that continues with the messages in the journal.
    ///
    /// # Errors
    /// The settings are invalid, or the journal cannot be made durable.
    pub fn set_up_event_loop(
        &self,
        start: LoopStart,
        journal: OpenedJournal,
        membership: Option<&membership::Handle>,
        notifications: UnboundedSender<Notification>,
    ) -> Result<EventLoop, StartError> {
        let LoopStart { config, inheritance, metrics } = start;
        let OpenedJournal { journal, clock, recovery_outcome } = journal;
        let channels = EventLoopChannels {
            events: self.events.clone(),
            notifications,
            listener: self.listener_state.clone(),
            discovery: self.discovery.clone(),
            members: membership.map(membership::Handle::reconfigurations),
        };
        let start = EventLoopConfig {
            config,
            schema: self.schema.clone(),
            seed: self.seed,
            inheritance,
            metrics,
            recovery: self.recovery.clone(),
            recovery_outcome,
            clock,
            violations: self.violations.clone(),
        };
        Ok(EventLoop::new(start, journal, channels, self.budget, self.ports.clone())?)
    }

    /// Spawns the tasks that watch the endpoint list and send notifications. Dropping the returned set ends
    /// them.
    pub fn spawn_platform_tasks(
        &self,
        event_loop: &EventLoop,
        notifications: UnboundedReceiver<Notification>,
    ) -> JoinSet<()> {
        let config = event_loop.poll_config();
        let schedule = PollSchedule::new(config.get(), self.seed);
        let agent = Agent {
            address: self.discovery.clone(),
            config,
            resume_revision: event_loop.resume_revision(),
            max_list_bytes: self.budget.endpoint_list_bytes,
        };
        let (events, ports) = (&self.events, &self.ports);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(discovery::watch(agent, schedule, events.clone(), ports.clone()));
        let discovery = self.discovery.clone();
        tasks.spawn_local(notifications::run(discovery, notifications, events.clone(), ports.clone()));
        tasks
    }

    /// Starts to serve clients, unless the recovery does not admit messages yet.
    pub fn accept_clients(&self) {
        if self.recovery.admits_messages() {
            self.listener_state.set(ListenerState::Accepting);
        }
    }

    /// Queues events again that were received while no event loop was running.
    pub fn resend(&self, events: impl Iterator<Item = LoopEvent>) {
        for event in events {
            let _ = self.events.send(event);
        }
    }

    /// Adopts the listening socket of a predecessor if there is one, or else opens one at `address`.
    ///
    /// # Errors
    /// The system's error together with the address.
    pub async fn listen(
        &self,
        address: SocketAddr,
        inherited: Option<OwnedFd>,
    ) -> Result<BoundListener, StartError> {
        let listener = match inherited {
            Some(inherited) => self.ports.network.adopt(inherited),
            None => listening::listen(&*self.ports.network, address).await,
        };
        let bound =
            listener.and_then(|listener| listener.local_addr().map(|at| BoundListener { listener, at }));
        bound.map_err(|source| StartError::Listen { address, source })
    }
}

/// A listening socket and its local address.
pub struct BoundListener {
    pub listener: Box<dyn Listener>,
    pub at: SocketAddr,
}

/// Wraps the storage port to trace its operations and to make them durable, where these are enabled.
fn storage_ports(mut ports: Ports, operator: &OperatorConfig) -> Ports {
    if ports.traces.storage {
        ports.storage = Rc::new(TracedStorage::new(ports.storage.clone(), ports.log.clone()));
    }
    // Incarnations, maintenance states and the journal's stamp have to survive a crash of the machine.
    if operator.durability != Durability::Process || operator.recovery.is_some() {
        ports.storage = Rc::new(DurableStorage(ports.storage.clone()));
    }
    ports
}

/// Divides the limits of the machine among the parts of the process.
fn resource_budget(config: &Config) -> ResourceBudget {
    let has_admin_endpoint = config.admin_listen.is_some();
    let mut budget =
        ResourceBudget::new(&config.limits, config.settings.max_concurrent_calls(), has_admin_endpoint);
    if let Some(peers) = &config.operator.peers {
        budget.reserve(membership::MAX_DESCRIPTORS, membership::disk_bytes(peers.members.len()));
    }
    budget
}
