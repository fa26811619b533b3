//! The senders that know each other, on a real socket: feeds [`Peers`] what comes and when, and carries out what it
//! says. It decides nothing.
mod event_log;
mod incarnation_store;
mod links;

use super::config::Config;
use super::ports::{Datagrams, Listener, Ports};
use event_log::EventLog;
use incarnation_store::IncarnationStore;
pub use links::{Asker, Gathering, PeerReportSource};
use links::{Linking, PeerAnswer};
use micadrum_config::OperatorConfig;
use micadrum_membership::{
    IncarnationRecord, Input, MOST_DATAGRAM, Member, Membership, Output, Roster, RosterError, Secret,
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

/// The address may be held by the process before: it is asked for again after this.
const BIND_AGAIN: Duration = Duration::from_millis(100);
/// Ports that are looked at for one that is free for datagrams and for links.
const MOST_TRIES: usize = 32;
/// After a receive that failed.
const RECEIVE_AGAIN: Duration = Duration::from_millis(20);

/// Why peers cannot be turned on.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The list cannot be used.
    #[error(transparent)]
    Roster(#[from] RosterError),
    /// The file with the secret was not read.
    #[error("the secret {0} was not read")]
    NoSecret(String),
    /// The secret is that of another member.
    #[error("the secret is not that of {0:?}: its key in the list is another")]
    NotOurs(String),
}

/// The members and what binds this sender's traffic with them, as the operator's file reads now.
pub struct Members {
    settings: Settings,
    roster: Roster,
}

/// Reads them; none where peers are off.
///
/// # Errors
/// Why they cannot be used.
pub fn follow(operator: &OperatorConfig) -> Result<Option<Members>, MembershipError> {
    let Some(peers) = &operator.peers else { return Ok(None) };
    let micros = |span: micadrum_config::units::Span| Duration::from_micros(span.0);
    let settings = Settings {
        probe_every: micros(peers.probe_every),
        dead_after: micros(peers.dead_after),
        ceiling: SendBudget { datagrams: peers.datagrams, bytes: peers.bytes },
    };
    let member = |member: &micadrum_config::peers::PeerMember| Member {
        name: member.name.clone(),
        address: member.address,
        building: member.building.clone(),
        key: member.key,
    };
    let roster = Roster::new(&peers.own, peers.members.values().map(member))?;
    Ok(Some(Members { settings, roster }))
}

/// Descriptors that the sockets of peers and links to them may take.
pub const DESCRIPTORS: usize = 2 + 2 * links::MOST_ACCEPTED;

/// Bytes of the folder that lasts that the book of lives may take, with the one that takes its place.
pub fn room(members: usize) -> u64 {
    incarnation_store::room(members)
}

/// Shows what is believed to whoever holds it.
#[derive(Clone)]
pub struct Views {
    core: Rc<RefCell<Option<Membership>>>,
    origin: Instant,
}

impl Views {
    /// What is believed now; none before the socket is bound.
    pub fn now(&self) -> Option<View> {
        self.core.borrow().as_ref().map(|peers| peers.view(self.origin.elapsed()))
    }
}

/// A socket for datagrams, and for links where that has to be at the same free port.
type Bound = (Box<dyn Datagrams>, Option<Box<dyn Listener>>);

enum Ask {
    Follow(Members),
    All(oneshot::Sender<BTreeMap<String, PeerAnswer>>),
    Word(String, oneshot::Sender<Option<PeerReport>>),
    Leave,
}

/// The task that speaks with the peers; dropping it ends it without a word.
pub struct Handle {
    views: Views,
    follows: UnboundedSender<Members>,
    asks: UnboundedSender<Ask>,
    task: JoinHandle<()>,
}

impl Handle {
    /// What is believed, for those who look.
    pub fn views(&self) -> Views {
        self.views.clone()
    }

    /// Asks all members what they see.
    pub fn gathering(&self) -> Gathering {
        Gathering(self.asks.clone())
    }

    /// Asks single members what they know.
    pub fn asker(&self) -> Asker {
        Asker(self.asks.clone())
    }

    /// Takes lists of members.
    pub fn follows(&self) -> UnboundedSender<Members> {
        self.follows.clone()
    }

    /// Tells the others that this sender ends.
    pub async fn leave(mut self) {
        let _ = self.asks.send(Ask::Leave);
        // It ends by itself.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to speak with the peers, if the operator's file names any.
///
/// # Errors
/// What is wrong with the list or the secret. A book that is damaged, and an address that another process holds, stop
/// nothing.
pub fn start(
    config: &Config,
    ports: &Ports,
    speaker: PeerReportSource,
) -> Result<Option<Handle>, MembershipError> {
    let (Some(peers), Some(members)) = (&config.operator.peers, follow(&config.operator)?) else {
        return Ok(None);
    };
    let secret =
        config.secret.map(Secret::new).ok_or_else(|| MembershipError::NoSecret(peers.secret.clone()))?;
    let own = &peers.members[&peers.own];
    if secret.public() != own.key {
        return Err(MembershipError::NotOurs(peers.own.clone()));
    }
    let views = Views { core: Rc::default(), origin: Instant::now() };
    let (follows, mut lists) = unbounded_channel();
    let (asks, from_daemon) = unbounded_channel();
    let on_list = asks.clone();
    spawn_local(async move {
        while let Some(members) = lists.recv().await {
            let _ = on_list.send(Ask::Follow(members));
        }
    });
    let task = MembershipTask {
        views: views.clone(),
        shelf: IncarnationStore::new(ports.storage.clone()),
        tell: EventLog::new(ports.log.clone(), ports.traces.peers),
        ports: ports.clone(),
        from_daemon,
        speaker,
    };
    let task = spawn_local(task.run(peers.listen.unwrap_or(own.address), members, secret));
    Ok(Some(Handle { views, follows, asks, task }))
}

struct MembershipTask {
    views: Views,
    shelf: IncarnationStore,
    tell: EventLog,
    ports: Ports,
    from_daemon: UnboundedReceiver<Ask>,
    speaker: PeerReportSource,
}

impl MembershipTask {
    async fn run(mut self, at: SocketAddr, mut members: Members, secret: Secret) {
        let Some((socket, links)) = self.bind(at, &mut members).await else { return };
        // Only now: a process before this one may have written in it until it gave the address up.
        let own = members.roster.own();
        let book = self.shelf.read(own).unwrap_or_else(|wrong| {
            self.ports.log.line(&format!("peers: {wrong}; the peers are asked for this sender's life"));
            IncarnationRecord::new(own)
        });
        let chance = ChaCha8Rng::from_seed(self.ports.entropy);
        let Members { settings, roster } = members;
        let (network, views) = (self.ports.network.clone(), self.views.clone());
        let speaker = self.speaker.clone();
        let linking =
            Linking::new(network, secret.clone(), roster.clone(), self.ports.entropy, views, speaker);
        // Links are taken where datagrams are; they end with this task.
        let mut serving = JoinSet::new();
        if let Ok(at) = socket.local_addr() {
            serving.spawn_local(linking.clone().serve(at, links, self.ports.log.clone()));
        }
        let core = Membership::new(settings, secret, roster, book, chance, self.views.origin.elapsed());
        *self.views.core.borrow_mut() = Some(core);
        let mut buffer = vec![0; MOST_DATAGRAM + 1];
        loop {
            self.carry_out(&*socket);
            let due = self.with(|peers, _| peers.due()).map(|due| self.views.origin + due);
            // The time that something is due first: no flood may put it off.
            tokio::select! {
                biased;
                ask = self.from_daemon.recv() => match ask {
                    Some(Ask::All(answer)) => links::gather(&linking, answer),
                    Some(Ask::Word(name, answer)) => links::ask_for_word(&linking, name, answer),
                    Some(Ask::Follow(Members { settings, roster })) => {
                        linking.follow(roster.clone());
                        self.with(|peers, now| peers.handle(Input::Follow(settings, roster), now));
                    }
                    Some(Ask::Leave) => {
                        self.with(|peers, now| peers.handle(Input::Leave, now));
                        return self.carry_out(&*socket);
                    }
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.with(|peers, now| peers.handle(Input::Timer, now));
                }
                came = socket.receive(&mut buffer) => match came {
                    Ok(length) => self.with(|peers, now| peers.handle(Input::Datagram(&buffer[..length]), now)),
                    Err(e) => {
                        self.ports.log.line(&format!("peers: receiving: {e}"));
                        sleep(RECEIVE_AGAIN).await;
                    }
                },
            }
        }
    }

    /// Binds the address, as soon as the process before has given it up; none where this one ends first.
    async fn bind(&mut self, at: SocketAddr, members: &mut Members) -> Option<Bound> {
        let mut told = false;
        let mut tries = 0;
        loop {
            match self.ports.network.bind(at).await {
                Ok(socket) => {
                    let free = socket.local_addr().unwrap_or(at);
                    let links = match at.port() {
                        // Any port will do that is free for datagrams and for links.
                        0 => self.ports.network.listen(free).await.ok(),
                        _ => None,
                    };
                    tries += 1;
                    if at.port() == 0 && links.is_none() && tries < MOST_TRIES {
                        continue;
                    }
                    self.ports.log.line(&format!("peers: speaking at {free}"));
                    return Some((socket, links));
                }
                Err(e) if !std::mem::replace(&mut told, true) => {
                    self.ports.log.line(&format!("peers: {at}: {e}; tried again until it can be had"));
                }
                Err(_) => {}
            }
            tokio::select! {
                biased;
                ask = self.from_daemon.recv() => match ask {
                    Some(Ask::Follow(next)) => *members = next,
                    // Whoever asked hears that there is nothing to see yet.
                    Some(Ask::All(_) | Ask::Word(..)) => {}
                    Some(Ask::Leave) | None => return None,
                },
                () = sleep(BIND_AGAIN) => {}
            }
        }
    }

    fn with<T: Default>(&self, act: impl FnOnce(&mut Membership, Duration) -> T) -> T {
        let now = self.views.origin.elapsed();
        self.views.core.borrow_mut().as_mut().map_or_else(T::default, |peers| act(peers, now))
    }

    fn carry_out(&mut self, socket: &dyn Datagrams) {
        while let Some(output) = self.with(|peers, _| peers.poll_output()) {
            match output {
                // Lost, as on any link: who does not answer is asked again.
                Output::Send(to, bytes) => drop(socket.send(to, &bytes)),
                Output::Write(bytes) => {
                    let written = self.shelf.write(&bytes);
                    self.tell.written(&written);
                    self.with(|peers, now| peers.handle(Input::Written(written.is_ok()), now));
                }
                Output::Event(event) => self.tell.event(self.views.origin.elapsed(), &event),
            }
        }
    }
}
