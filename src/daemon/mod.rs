//! The sender on real sockets: everything round the decision module that does I/O or reads a clock.
//!
//! It runs on one thread inside a [`tokio::task::LocalSet`]; whoever drops that ends all of its tasks. What it
//! needs of the machine comes through [`ports`].
mod asking;
mod budget;
mod call;
mod classes;
pub mod config;
mod connection;
mod discovery;
mod durability;
mod figures;
mod frame;
mod handover;
mod host;
mod input;
mod latest;
mod lock;
mod maintenance;
mod management;
mod memory;
mod notices;
mod over;
mod peers;
mod pool;
pub mod ports;
mod recovery;
mod server;
mod shape;
mod store;
pub mod system;
pub mod targets;
mod trace;

use asking::Asking;
use budget::Budget;
use config::Config;
use discovery::Agent;
use durability::{Lasting, Traced};
use figures::Figures;
pub use handover::HandoverError;
use handover::{Entry, Taken};
use host::{Host, Legacy, Links, Start};
use input::{Ask, Doors, Input};
use latest::Latest;
use micadrum_config::Durability;
use micadrum_recovery::Word;
use ports::{Listener, Ports, WallClock};
use recovery::Returning;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use store::{Damage, Store, StoreError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::Instant;

/// How long answers on their way out may take once the host has ended.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// What the platform asks of a running sender.
pub enum Signal {
    /// To wind down and end: SIGTERM or SIGINT.
    WindDown,
    /// To follow the configuration as it now reads, or the word that it cannot be read: SIGHUP.
    Reload(Result<Box<Config>, String>),
    /// To follow it if it reads otherwise than it did: a SIGHUP may have gone to the process whose place this one took.
    Reread(Result<Box<Config>, String>),
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
    Peers(#[from] peers::PeersError),
    /// Clients cannot be listened for.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

impl From<StoreError> for StartError {
    fn from(error: StoreError) -> Self {
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
    let mut budget = Budget::new(&config.limits, config.settings.most_calls(), config.management.is_some());
    if let Some(peers) = &config.operator.peers {
        budget.set_aside(peers::DESCRIPTORS, peers::room(peers.members.len()));
    }
    let shape = config.shape();
    let (inputs, mut from_all) = unbounded_channel();
    let doors = Latest::new(Doors::Opening);
    let platform = Latest::new(config.discovery);
    let ports = match ports.traces.storage {
        true => {
            let traced = Traced::new(ports.storage.clone(), ports.log.clone());
            Ports { storage: Rc::new(traced), ..ports }
        }
        false => ports,
    };
    // What a machine that has begun anew goes by has to be there: lives, orders of the operators, the journal's stamp.
    let lasting = config.operator.durability != Durability::Process || config.operator.recovery.is_some();
    let ports = match lasting {
        true => Ports { storage: Rc::new(Lasting(ports.storage.clone())), ..ports },
        false => ports,
    };
    let returning = Returning::default();
    let speaker = speaker(returning.clone(), inputs.clone(), ports.wall.clone());
    let peers = peers::start(&config, &ports, speaker)?;
    if let Some(address) = config.management {
        let (listener, at) = listen(&ports, address, None).await?;
        ports.log.line(&format!("operators: listening on {at}"));
        spawn_local(management::serve(
            listener,
            inputs.clone(),
            doors.clone(),
            peers.as_ref().map(|peers| (peers.views(), peers.gathering())),
            returning.clone(),
            ports.log.clone(),
        ));
    }
    let on_signal = inputs.clone();
    spawn_local(async move {
        while let Some(signal) = signals.recv().await {
            let _ = on_signal.send(match signal {
                Signal::WindDown => Input::WindDown(Instant::now()),
                Signal::Reload(config) => Input::Reload(config),
                Signal::Reread(config) => Input::Reread(config),
            });
        }
    });
    let (mut predecessor, mut inheritance, mut adopted) = (None, None, None);
    // Kept until the place is another's, or this process ends.
    let mut lock = None;
    if let Some(succession) = &ports.handover {
        match handover::enter(&succession.folder, &*ports.log).await? {
            Entry::Alone(held) => lock = held,
            Entry::From(taken, file) => {
                let Taken { predecessor: before, listener, lock: given, inheritance: left } = taken;
                let file = file.filter(|_| given.is_none());
                (predecessor, inheritance, adopted) = (Some((before, file)), Some(left), Some(listener));
                lock = given;
            }
        }
    }
    let mut config = Rc::new(config);
    let mut place: Option<Place> = None;
    let mut figures = Figures::default();
    loop {
        // After a handover, or one that failed, this machine's folder is this very moment's.
        let begins_anew = inheritance.is_none();
        let (store, damage, found) = match &config.operator.recovery {
            Some(set) if begins_anew => {
                recovery::begin(&returning, set, &config, &ports, budget.disk, peers.as_ref()).await?
            }
            _ => {
                let (store, damage) = Store::open(ports.storage.clone(), budget.disk)?;
                (store, damage, recovery::Begun::default())
            }
        };
        if damage != Damage::default() {
            ports.log.line(&format!("journal: {damage}"));
        }
        let (notices, queue) = unbounded_channel();
        let links = Links {
            inputs: inputs.clone(),
            notices,
            doors: doors.clone(),
            platform: platform.clone(),
            peers: peers.as_ref().map(peers::Handle::follows),
        };
        let start = Start {
            config: config.clone(),
            shape: shape.clone(),
            seed,
            inheritance,
            figures,
            returning: returning.clone(),
            found,
        };
        let host = Host::new(start, store, links, budget, ports.clone()).map_err(StartError::Settings)?;
        let mut with_platform = JoinSet::new();
        let (terms, known) = (host.terms(), host.asks_from());
        let asking = Asking::new(terms.get(), seed);
        let agent = Agent { address: platform.clone(), terms, known, most_bytes: budget.list };
        let watch = discovery::watch(agent, asking, inputs.clone(), ports.clone());
        with_platform.spawn_local(watch);
        with_platform.spawn_local(notices::run(platform.clone(), queue, inputs.clone(), ports.clone()));
        // Only now: a sender that can be reached has taken up what it owes.
        let Place { listener, server } = match place.take() {
            Some(place) => place,
            None => {
                let (listener, at) = listen(&ports, config.listen, adopted.take()).await?;
                ports.log.line(&format!("listening on {at}"));
                let listener = Rc::<dyn Listener>::from(listener);
                let server =
                    server::serve(listener.clone(), at, inputs.clone(), doors.clone(), budget, &ports);
                if let Some(succession) = &ports.handover {
                    let (folder, host) = (succession.folder.clone(), inputs.clone());
                    let asked = move |successor| drop(host.send(Input::Successor(successor)));
                    spawn_local(handover::listen(folder, asked, ports.log.clone()));
                }
                Place { listener, server: spawn_local(server) }
            }
        };
        if returning.is_open() {
            doors.set(Doors::Open);
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
            doors.set(Doors::Shut);
            let _ = tokio::time::timeout(LAST_ANSWERS, server).await;
            return Ok(());
        };
        drop(with_platform);
        let Legacy { mut successor, inheritance: left, config: followed, figures: last } = legacy;
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
                    Stood::Done(taken) => break taken,
                    Stood::Told(told @ Input::WindDown(_)) => wind_down = wind_down.or(Some(told)),
                    Stood::Told(told) => reload = Some(told),
                }
            }
        };
        if taken {
            ports.log.line("the next process took this one's place");
            // It speaks for this sender from now on, at the same address.
            drop((peers, lock));
            doors.set(Doors::Given);
            if reload.is_some() {
                successor.reload().await;
            }
            // Until the last client that is still here has been passed on.
            let mut server = pin!(server);
            loop {
                match stand_by(&mut from_all, &last, server.as_mut()).await {
                    Stood::Done(_) => return Ok(()),
                    Stood::Told(Input::WindDown(_)) => {}
                    Stood::Told(_) => successor.reload().await,
                }
            }
        }
        ports.log.line("the next process ended on the way: this one goes on");
        for input in reload.into_iter().chain(wind_down) {
            let _ = inputs.send(input);
        }
        figures = (*last).clone();
        (config, inheritance, place) = (followed, Some(left), Some(Place { listener, server }));
    }
}

/// Gives this sender's word to others that come back: while it comes back itself it has none.
fn speaker(returning: Returning, host: UnboundedSender<Input>, wall: Rc<dyn WallClock>) -> peers::Speaker {
    let started = Instant::now();
    Rc::new(move || {
        let (returning, host, wall) = (returning.clone(), host.clone(), wall.clone());
        Box::pin(async move {
            let mut word = Word::default();
            // From then on it sees to its own messages.
            if returning.may_send() {
                let (answer, answered) = oneshot::channel();
                let _ = host.send(Input::Operator(Ask::Word(answer)));
                word.endpoints = answered.await.unwrap_or_default();
                word.steady_for = returning.steady_for(started.elapsed());
            }
            word.wall = wall.now().as_micros() as u64;
            word.bounded()
        })
    })
}

/// What a sender is reached by.
struct Place {
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
enum Stood<T> {
    /// What was waited for.
    Done(T),
    /// A word to this process: to wind down, or of another configuration.
    Told(Input),
}

/// Waits for something while the next process has this one's place or is taking it. Operators hear how it stood when it
/// was given; whoever asks for more hears that nobody is at work here.
async fn stand_by<T>(
    inputs: &mut UnboundedReceiver<Input>,
    figures: &Rc<Figures>,
    mut until: Pin<&mut impl Future<Output = T>>,
) -> Stood<T> {
    loop {
        tokio::select! {
            biased;
            done = &mut until => return Stood::Done(done),
            input = inputs.recv() => match input {
                Some(Input::Operator(Ask::Figures(answer))) => drop(answer.send(figures.clone())),
                Some(told @ (Input::WindDown(_) | Input::Reload(_) | Input::Reread(_))) => return Stood::Told(told),
                Some(_) => {}
                None => return Stood::Done(until.await),
            },
        }
    }
}
