//! What stays fixed for the life of a process, and the steps of its startup that build on that.
use super::admin_server::AdminContext;
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
use super::{Signal, StartError, admin_server, journal_opening, listening, membership, peer_reporting};
use micadrum_config::{Durability, OperatorConfig};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::Instant;

/// What stays fixed for the life of a process.
pub struct Environment {
    pub ports: Ports,
    pub budget: ResourceBudget,
    /// Tells the listeners whether clients are served.
    pub listener_state: WatchCell<ListenerState>,
    /// Takes events for the event loop.
    pub events: UnboundedSender<LoopEvent>,
    pub recovery: RecoveryStatus,
    /// What the run-time checks of this process found.
    pub violations: Violations,
    /// Where the discovery agent listens, which takes notifications, too.
    discovery: WatchCell<SocketAddr>,
    seed: u64,
    /// The keys that every configuration has to hold.
    schema: ConfigSchema,
}

/// What one event loop after another starts from: the first with what a predecessor left, the others with what the one
/// before left when its handover failed.
pub struct LoopStart {
    pub config: Rc<Config>,
    pub inheritance: Option<InheritedState>,
    pub metrics: Metrics,
}

/// An open journal, and what the recovery found beside it.
pub struct OpenedJournal {
    journal: Journal,
    clock: Clock,
    recovery_outcome: RecoveryOutcome,
}

impl Environment {
    /// Derives the environment of a process from its first configuration.
    ///
    /// # Errors
    /// The seed is not a number.
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

    /// Joins the fleet, if the operator's file names its members.
    ///
    /// # Errors
    /// The list of members or the secret cannot be used.
    pub fn join_membership(&self, config: &Config) -> Result<Option<membership::Handle>, StartError> {
        let reports =
            peer_reporting::source(self.recovery.clone(), self.events.clone(), self.ports.wall.clone());
        Ok(membership::start(config, &self.ports, reports)?)
    }

    /// Serves the admin endpoint, if the configuration has an address for it.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn serve_admin_endpoint(
        &self,
        config: &Config,
        membership: Option<&membership::Handle>,
    ) -> Result<(), StartError> {
        let Some(address) = config.admin_listen else { return Ok(()) };
        let BoundListener { listener, at } = self.listen(address, None).await?;
        self.ports.log.line(&format!("operators: listening on {at}"));
        let context = AdminContext {
            events: self.events.clone(),
            state: self.listener_state.clone(),
            members: membership.map(|membership| (membership.views(), membership.view_query())),
            recovery: self.recovery.clone(),
        };
        spawn_local(admin_server::serve(listener, context, self.ports.log.clone()));
        Ok(())
    }

    /// Has the event loop hear of signals.
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

    /// Opens the journal, and recovers it where the operator's file turns that on. Right after a handover, or after one
    /// that failed, there is nothing to recover: the state folder is that of this very moment.
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

    /// Sets up an event loop that takes over the messages in the journal.
    ///
    /// # Errors
    /// The settings cannot be used, or the journal cannot be made durable.
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

    /// Watches the endpoint list, and sends notifications, until the returned tasks are dropped.
    pub fn follow_platform(
        &self,
        event_loop: &EventLoop,
        notifications: UnboundedReceiver<Notification>,
    ) -> JoinSet<()> {
        let terms = event_loop.poll_config();
        let schedule = PollSchedule::new(terms.get(), self.seed);
        let agent = Agent {
            address: self.discovery.clone(),
            terms,
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

    /// Serves clients from now on, unless the recovery still keeps them out.
    pub fn accept_clients(&self) {
        if self.recovery.admits_messages() {
            self.listener_state.set(ListenerState::Accepting);
        }
    }

    /// Queues events that came while no event loop was running.
    pub fn resend(&self, events: impl Iterator<Item = LoopEvent>) {
        for event in events {
            let _ = self.events.send(event);
        }
    }

    /// Listens at an address, or with the listening socket that a predecessor handed over.
    ///
    /// # Errors
    /// The system's error, with the address.
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

/// A listening socket, and the address that it is bound to.
pub struct BoundListener {
    pub listener: Box<dyn Listener>,
    pub at: SocketAddr,
}

/// Puts traces and durability around the state folder where they are turned on.
fn storage_ports(mut ports: Ports, operator: &OperatorConfig) -> Ports {
    if ports.traces.storage {
        ports.storage = Rc::new(TracedStorage::new(ports.storage.clone(), ports.log.clone()));
    }
    // What a restarted machine relies on has to be durable: incarnations, maintenance, the journal's stamp.
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
