//! The sender on real sockets: everything round the decision module that does I/O or reads a clock.
//!
//! It runs on one thread inside a [`tokio::task::LocalSet`]; whoever drops that ends all of its tasks. What it
//! needs of the machine comes through [`ports`].
mod admin_server;
mod checkpoint;
mod class_registry;
mod completed_ids;
pub mod config;
mod config_schema;
mod connection;
mod connection_pool;
mod discovery;
mod durability;
pub mod endpoint_list;
mod event_loop;
mod events;
mod frame;
mod handover;
mod ingress;
mod journal;
mod maintenance;
mod membership;
mod metrics;
mod notifications;
mod outbound_call;
mod poll_schedule;
pub mod ports;
mod recovery;
mod resource_budget;
mod state_lock;
pub mod system;
mod trace;
mod watch_cell;

use config::Config;
use discovery::Agent;
use durability::{DurableStorage, TracedStorage};
use event_loop::{EventLoop, EventLoopChannels, EventLoopConfig, HandoverState};
use events::{AdminRequest, ListenerState, LoopEvent};
pub use handover::HandoverError;
use handover::{ReceivedListener, StartupMode};
use journal::{CorruptionReport, Journal, JournalError};
use metrics::Metrics;
use micadrum_config::Durability;
use micadrum_recovery::PeerReport;
use poll_schedule::PollSchedule;
use ports::{Listener, Ports, WallClock};
use recovery::{RecoveredJournal, RecoveryContext, RecoveryStatus};
use resource_budget::ResourceBudget;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::Instant;
use watch_cell::WatchCell;

/// How long answers on their way out may take once the host has ended.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// What the platform asks of a running sender.
pub enum Signal {
    /// To wind down and end: SIGTERM or SIGINT.
    Shutdown,
    /// To follow the configuration as it now reads, or the word that it cannot be read: SIGHUP.
    Reload(Result<Box<Config>, String>),
    /// To follow it if it reads otherwise than it did: a SIGHUP may have gone to the process whose place this one took.
    ReloadIfChanged(Result<Box<Config>, String>),
}

/// Why a sender could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The seed in the configuration is no number.
    #[error("configuration: seed {0:?} is not hexadecimal")]
    Seed(String),
    /// The journal cannot be opened.
    #[error("{0}")]
    Store(String),
    /// The settings cannot be acted on.
    #[error("settings: {0}")]
    Settings(String),
    /// A process is at work here, and keeps its place.
    #[error("handover: {0}")]
    Handover(#[from] HandoverError),
    /// The senders that are to know each other cannot.
    #[error("peers: {0}")]
    Peers(#[from] membership::MembershipError),
    /// Clients cannot be listened for.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

impl From<JournalError> for StartError {
    fn from(error: JournalError) -> Self {
        Self::Store(error.to_string())
    }
}

/// Runs one sender until it has wound down or given its place to the next process, on the tasks of the
/// [`tokio::task::LocalSet`] that it is called in.
///
/// # Errors
/// Why it could not start; once it listens, it ends only in good order.
pub async fn run(
    config: Config,
    ports: Ports,
    mut signals: UnboundedReceiver<Signal>,
) -> Result<(), StartError> {
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    let mut budget =
        ResourceBudget::new(&config.limits, config.settings.most_calls(), config.management.is_some());
    if let Some(peers) = &config.operator.peers {
        budget.set_aside(membership::MAX_DESCRIPTORS, membership::disk_bytes(peers.members.len()));
    }
    let shape = config.shape();
    let (inputs, mut from_all) = unbounded_channel();
    let doors = WatchCell::new(ListenerState::Starting);
    let platform = WatchCell::new(config.discovery);
    let ports = match ports.traces.storage {
        true => {
            let traced = TracedStorage::new(ports.storage.clone(), ports.log.clone());
            Ports { storage: Rc::new(traced), ..ports }
        }
        false => ports,
    };
    // What a machine that has begun anew goes by has to be there: lives, orders of the operators, the journal's stamp.
    let lasting = config.operator.durability != Durability::Process || config.operator.recovery.is_some();
    let ports = match lasting {
        true => Ports { storage: Rc::new(DurableStorage(ports.storage.clone())), ..ports },
        false => ports,
    };
    let returning = RecoveryStatus::default();
    let speaker = speaker(returning.clone(), inputs.clone(), ports.wall.clone());
    let peers = membership::start(&config, &ports, speaker)?;
    if let Some(address) = config.management {
        let (listener, at) = listen(&ports, address, None).await?;
        ports.log.line(&format!("operators: listening on {at}"));
        spawn_local(admin_server::serve(
            listener,
            inputs.clone(),
            doors.clone(),
            peers.as_ref().map(|peers| (peers.views(), peers.view_query())),
            returning.clone(),
            ports.log.clone(),
        ));
    }
    let on_signal = inputs.clone();
    spawn_local(async move {
        while let Some(signal) = signals.recv().await {
            let _ = on_signal.send(match signal {
                Signal::Shutdown => LoopEvent::Shutdown(Instant::now()),
                Signal::Reload(config) => LoopEvent::Reload(config),
                Signal::ReloadIfChanged(config) => LoopEvent::ReloadIfChanged(config),
            });
        }
    });
    let (mut predecessor, mut inheritance, mut adopted) = (None, None, None);
    // Kept until the place is another's, or this process ends.
    let mut lock = None;
    if let Some(succession) = &ports.handover {
        match handover::enter(&succession.folder, &*ports.log).await? {
            StartupMode::Fresh(held) => lock = held,
            StartupMode::Successor(taken, file) => {
                let ReceivedListener { predecessor: before, listener, lock: given, inheritance: left } =
                    taken;
                let file = file.filter(|_| given.is_none());
                (predecessor, inheritance, adopted) = (Some((before, file)), Some(left), Some(listener));
                lock = given;
            }
        }
    }
    let mut config = Rc::new(config);
    let mut place: Option<ServingSocket> = None;
    let mut figures = Metrics::default();
    loop {
        // After a handover, or one that failed, this machine's folder is this very moment's.
        let begins_anew = inheritance.is_none();
        let (store, damage, found) = match &config.operator.recovery {
            Some(settings) if begins_anew => {
                let (disk_bytes, peers) = (budget.disk, peers.as_ref());
                let context = RecoveryContext { settings, config: &config, ports: &ports, disk_bytes, peers };
                let RecoveredJournal { journal, corruption, start } =
                    recovery::recover(&returning, &context).await?;
                (journal, corruption, start)
            }
            _ => {
                let (store, damage) = Journal::open(ports.storage.clone(), budget.disk)?;
                (store, damage, recovery::RecoveryStart::default())
            }
        };
        if damage != CorruptionReport::default() {
            ports.log.line(&format!("journal: {damage}"));
        }
        let (notices, queue) = unbounded_channel();
        let links = EventLoopChannels {
            inputs: inputs.clone(),
            notices,
            doors: doors.clone(),
            platform: platform.clone(),
            peers: peers.as_ref().map(membership::Handle::reconfigurations),
        };
        let start = EventLoopConfig {
            config: config.clone(),
            shape: shape.clone(),
            seed,
            inheritance,
            figures,
            returning: returning.clone(),
            found,
        };
        let host =
            EventLoop::new(start, store, links, budget, ports.clone()).map_err(StartError::Settings)?;
        let mut with_platform = JoinSet::new();
        let (terms, known) = (host.terms(), host.asks_from());
        let asking = PollSchedule::new(terms.get(), seed);
        let agent = Agent { address: platform.clone(), terms, known, most_bytes: budget.list };
        let watch = discovery::watch(agent, asking, inputs.clone(), ports.clone());
        with_platform.spawn_local(watch);
        with_platform.spawn_local(notifications::run(platform.clone(), queue, inputs.clone(), ports.clone()));
        // Only now: a sender that can be reached has taken up what it owes.
        let ServingSocket { listener, server } = match place.take() {
            Some(place) => place,
            None => {
                let (listener, at) = listen(&ports, config.listen, adopted.take()).await?;
                ports.log.line(&format!("listening on {at}"));
                let listener = Rc::<dyn Listener>::from(listener);
                let server =
                    ingress::serve(listener.clone(), at, inputs.clone(), doors.clone(), budget, &ports);
                if let Some(succession) = &ports.handover {
                    let (folder, host) = (succession.folder.clone(), inputs.clone());
                    let asked = move |successor| drop(host.send(LoopEvent::Successor(successor)));
                    spawn_local(handover::listen(folder, asked, ports.log.clone()));
                }
                ServingSocket { listener, server: spawn_local(server) }
            }
        };
        if returning.is_open() {
            doors.set(ListenerState::Accepting);
        }
        if let (Some((before, file)), Some(succession)) = (predecessor.take(), &ports.handover) {
            ports.log.line("took the place of the process before");
            let follows = before.taken().await;
            spawn_local(follows.reloads(succession.reread.clone()));
            if let Some(file) = file {
                // One that keeps its lock until it has ended; then this one's, as long as it runs.
                spawn_local(async move {
                    let _lock = file.locked().await;
                    pending::<()>().await;
                });
            }
        }
        let Some(legacy) = host.run(&mut from_all).await else {
            if let Some(peers) = peers {
                peers.leave().await;
            }
            // Whoever comes until now has heard an answer.
            doors.set(ListenerState::Closed);
            let _ = tokio::time::timeout(LAST_ANSWERS, server).await;
            return Ok(());
        };
        drop(with_platform);
        let HandoverState { mut successor, inheritance: left, config: followed, figures: last } = legacy;
        // What this process is told meanwhile: whoever has the place at the end is to follow it.
        let (mut reload, mut wind_down) = (None, None);
        let taken = {
            let mut given = pin!(async {
                let gave = successor.give(&*listener, lock.as_ref(), &left).await;
                if let Err(e) = &gave {
                    ports.log.line(&format!("handover: {e}"));
                }
                gave.is_ok() && successor.taken().await
            });
            loop {
                match stand_by(&mut from_all, &last, given.as_mut()).await {
                    StandbyOutcome::Done(taken) => break taken,
                    StandbyOutcome::Told(told @ LoopEvent::Shutdown(_)) => {
                        wind_down = wind_down.or(Some(told))
                    }
                    StandbyOutcome::Told(told) => reload = Some(told),
                }
            }
        };
        if taken {
            ports.log.line("the next process took this one's place");
            // It speaks for this sender from now on, at the same address.
            drop((peers, lock));
            doors.set(ListenerState::HandedOver);
            if reload.is_some() {
                successor.reload().await;
            }
            // Until the last client that is still here has been passed on.
            let mut server = pin!(server);
            loop {
                match stand_by(&mut from_all, &last, server.as_mut()).await {
                    StandbyOutcome::Done(_) => return Ok(()),
                    StandbyOutcome::Told(LoopEvent::Shutdown(_)) => {}
                    StandbyOutcome::Told(_) => successor.reload().await,
                }
            }
        }
        ports.log.line("the next process ended on the way: this one goes on");
        for input in reload.into_iter().chain(wind_down) {
            let _ = inputs.send(input);
        }
        figures = (*last).clone();
        (config, inheritance, place) = (followed, Some(left), Some(ServingSocket { listener, server }));
    }
}

/// Gives this sender's word to others that come back: while it comes back itself it has none.
fn speaker(
    returning: RecoveryStatus,
    host: UnboundedSender<LoopEvent>,
    wall: Rc<dyn WallClock>,
) -> membership::PeerReportSource {
    let started = Instant::now();
    Rc::new(move || {
        let (returning, host, wall) = (returning.clone(), host.clone(), wall.clone());
        Box::pin(async move {
            let mut word = PeerReport::default();
            // From then on it sees to its own messages.
            if returning.sends_backlog() {
                let (answer, answered) = oneshot::channel();
                let _ = host.send(LoopEvent::Admin(AdminRequest::PeerReport(answer)));
                word.endpoints = answered.await.unwrap_or_default();
                word.at_full_service_us = returning.at_full_service_us(started.elapsed());
            }
            word.wall_us = wall.now().as_micros() as u64;
            word.bounded()
        })
    })
}

/// What a sender is reached by.
struct ServingSocket {
    listener: Rc<dyn Listener>,
    server: JoinHandle<()>,
}

/// Listens at an address, or goes on where another process listened.
async fn listen(
    ports: &Ports,
    address: SocketAddr,
    adopted: Option<OwnedFd>,
) -> Result<(Box<dyn Listener>, SocketAddr), StartError> {
    let listener = match adopted {
        Some(adopted) => ports.network.adopt(adopted),
        None => ports.network.listen(address).await,
    };
    let listening = listener.and_then(|listener| listener.local_addr().map(|at| (listener, at)));
    listening.map_err(|source| StartError::Listen { address, source })
}

/// What ended a time of standing by.
enum StandbyOutcome<T> {
    /// What was waited for.
    Done(T),
    /// A word to this process: to wind down, or of another configuration.
    Told(LoopEvent),
}

/// Waits for something while the next process has this one's place or is taking it. Operators hear how it stood when it
/// was given; whoever asks for more hears that nobody is at work here.
async fn stand_by<T>(
    inputs: &mut UnboundedReceiver<LoopEvent>,
    figures: &Rc<Metrics>,
    mut until: Pin<&mut impl Future<Output = T>>,
) -> StandbyOutcome<T> {
    loop {
        tokio::select! {
            biased;
            done = &mut until => return StandbyOutcome::Done(done),
            input = inputs.recv() => match input {
                Some(LoopEvent::Admin(AdminRequest::Metrics(answer))) => drop(answer.send(figures.clone())),
                Some(told @ (LoopEvent::Shutdown(_) | LoopEvent::Reload(_) | LoopEvent::ReloadIfChanged(_))) => return StandbyOutcome::Told(told),
                Some(_) => {}
                None => return StandbyOutcome::Done(until.await),
            },
        }
    }
}
