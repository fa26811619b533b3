//! Links to other members on real streams, and what goes over them today: each member's view, for operators who want to
//! see who sees whom, and its word for one that comes back.
use super::{Ask, Views};
use crate::daemon::ports::{Listener, LocalFuture, Log, Network, Stream};
use micadrum_membership::{Link, LinkError, LinkEvent, MOST_PAYLOAD, MemberId, Roster, Secret, Status, View};
use micadrum_recovery::PeerReport;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Links that others have open to this sender at once: the next waits until one ends.
pub const MOST_ACCEPTED: usize = 16;
/// Links that one look at all members has open at once.
const MOST_DIALED: usize = 16;
/// A member whose view has not come by then is told as one that did not answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// After an accept that failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// An answer is sent in pieces, and is no longer, in bytes.
const PIECE: usize = MOST_PAYLOAD / 4;
const MOST_ANSWER: usize = 4 << 20;
/// What is asked: whom it sees, and what it has to say to one that comes back.
const ASK_VIEW: &[u8] = b"view?";
const ASK_WORD: &[u8] = b"word?";

/// Gives this sender's word.
pub type PeerReportSource = Rc<dyn Fn() -> LocalFuture<'static, PeerReport>>;

/// What is needed to open links, as the operator's file reads now.
pub struct Linking {
    network: Rc<dyn Network>,
    secret: Secret,
    roster: RefCell<Roster>,
    chance: RefCell<ChaCha8Rng>,
    views: Views,
    speaker: PeerReportSource,
}

/// What one member sees, or that it did not say.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerAnswer {
    /// Its view.
    View(Box<View>),
    /// Why it is not there.
    Silent(String),
}

#[derive(Debug, thiserror::Error)]
enum LinkFailure {
    #[error("{0}")]
    Stream(#[from] std::io::Error),
    #[error("{0}")]
    Link(#[from] LinkError),
    #[error("it has not answered in time")]
    Late,
    #[error("it ended the link")]
    Ended,
    #[error("what it sent cannot be read")]
    Unreadable,
    #[error("too much waits to be sent")]
    Full,
}

impl Linking {
    /// With that secret, among those members.
    pub fn new(
        network: Rc<dyn Network>,
        secret: Secret,
        roster: Roster,
        entropy: [u8; 32],
        views: Views,
        speaker: PeerReportSource,
    ) -> Rc<Self> {
        // Another stream of chance than the one that lives are drawn from.
        let mut chance = ChaCha8Rng::from_seed(entropy);
        chance.set_stream(1);
        Rc::new(Self {
            network,
            secret,
            roster: RefCell::new(roster),
            chance: RefCell::new(chance),
            views,
            speaker,
        })
    }

    /// The list of members is another one now.
    pub fn follow(&self, roster: Roster) {
        *self.roster.borrow_mut() = roster;
    }

    fn nonce(&self) -> [u8; 16] {
        let mut nonce = [0; 16];
        self.chance.borrow_mut().fill_bytes(&mut nonce);
        nonce
    }

    fn link(&self, to: Option<MemberId>) -> Option<Link> {
        let life = self.views.now()?.life;
        let (secret, roster, nonce) = (self.secret.clone(), self.roster.borrow().clone(), self.nonce());
        let now = self.views.origin.elapsed();
        Some(match to {
            Some(to) => Link::dial(secret, roster, life, to, nonce, now),
            None => Link::accept(secret, roster, life, nonce, now),
        })
    }

    /// Takes links from others for as long as it is polled, at that address or with what listens already.
    pub async fn serve(
        self: Rc<Self>,
        at: SocketAddr,
        mut listener: Option<Box<dyn Listener>>,
        log: Rc<dyn Log>,
    ) {
        let mut told = false;
        let listener = loop {
            if let Some(listener) = listener.take() {
                break listener;
            }
            match self.network.listen(at).await {
                Ok(listener) => break listener,
                // The process before may still hold it.
                Err(e) if !std::mem::replace(&mut told, true) => {
                    log.line(&format!("peers: links at {at}: {e}"))
                }
                Err(_) => {}
            }
            sleep(ACCEPT_AGAIN).await;
        };
        let places = Arc::new(Semaphore::new(MOST_ACCEPTED));
        let mut links = JoinSet::new();
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok(stream) => {
                    let this = self.clone();
                    links.spawn_local(async move {
                        // Whoever is there may be a stranger: there is nobody to tell.
                        let _ = this.answer(stream).await;
                        drop(place);
                    });
                }
                Err(_) => sleep(ACCEPT_AGAIN).await,
            }
            while links.try_join_next().is_some() {}
        }
    }

    async fn answer(&self, stream: Box<dyn Stream>) -> Result<(), LinkFailure> {
        let Some(link) = self.link(None) else { return Ok(()) };
        let mut way = Way { link, stream, origin: self.views.origin };
        loop {
            // Names and numbers always have a JSON form.
            let bytes = match &*way.next().await? {
                ASK_VIEW => serde_json::to_vec(&self.views.now()),
                ASK_WORD => serde_json::to_vec(&(self.speaker)().await),
                _ => return Err(LinkFailure::Unreadable),
            };
            let bytes = bytes.unwrap_or_default();
            way.say(&(bytes.len() as u64).to_le_bytes()).await?;
            for piece in bytes.chunks(PIECE) {
                way.say(piece).await?;
            }
        }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        what: &[u8],
        to: MemberId,
        at: SocketAddr,
    ) -> Result<T, LinkFailure> {
        let Some(link) = self.link(Some(to)) else { return Err(LinkFailure::Late) };
        let stream = self.network.connect(at).await?;
        let mut way = Way { link, stream, origin: self.views.origin };
        way.say(what).await?;
        let length = way.next().await?.try_into().map_err(|_| LinkFailure::Unreadable)?;
        let length = usize::try_from(u64::from_le_bytes(length)).ok().filter(|length| *length <= MOST_ANSWER);
        let length = length.ok_or(LinkFailure::Unreadable)?;
        let mut bytes = Vec::new();
        while bytes.len() < length {
            bytes.extend(way.next().await?);
        }
        serde_json::from_slice(&bytes).map_err(|_| LinkFailure::Unreadable)
    }

    /// What a member has to say to one that comes back; none if it does not answer.
    async fn word(&self, name: &str) -> Option<PeerReport> {
        let id = MemberId::of(name);
        let at = self.roster.borrow().get(id)?.address;
        timeout(PATIENCE, self.ask(ASK_WORD, id, at)).await.ok()?.ok()
    }

    /// What all members see, each as it says itself; those that this one holds for dead are asked too.
    pub async fn all(self: Rc<Self>) -> BTreeMap<String, PeerAnswer> {
        let mut seen = BTreeMap::new();
        let Some(own) = self.views.now() else { return seen };
        let places = Arc::new(Semaphore::new(MOST_DIALED));
        let mut asks = JoinSet::new();
        for peer in own.peers.iter().filter(|peer| peer.status != Status::Left) {
            let (this, name, at, places) = (self.clone(), peer.name.clone(), peer.address, places.clone());
            asks.spawn_local(async move {
                let _place = places.acquire_owned().await;
                let asked =
                    timeout(PATIENCE, this.ask::<Option<View>>(ASK_VIEW, MemberId::of(&name), at)).await;
                let asked = asked.unwrap_or(Err(LinkFailure::Late));
                (name, asked.and_then(|view| view.ok_or(LinkFailure::Late)))
            });
        }
        seen.insert(own.own.clone(), PeerAnswer::View(Box::new(own)));
        while let Some(asked) = asks.join_next().await {
            let Ok((name, asked)) = asked else { continue };
            let what = match asked {
                Ok(view) => PeerAnswer::View(Box::new(view)),
                Err(e) => PeerAnswer::Silent(e.to_string()),
            };
            seen.insert(name, what);
        }
        seen
    }
}

/// A link on its stream.
struct Way {
    link: Link,
    stream: Box<dyn Stream>,
    origin: Instant,
}

impl Way {
    /// Sends a payload, as soon as there is room for it.
    async fn say(&mut self, payload: &[u8]) -> Result<(), LinkFailure> {
        while self.link.send(payload.to_vec()).is_err() {
            if payload.len() > MOST_PAYLOAD {
                return Err(LinkFailure::Full);
            }
            self.turn().await?;
        }
        self.flush().await
    }

    /// The next payload.
    async fn next(&mut self) -> Result<Vec<u8>, LinkFailure> {
        loop {
            match self.link.poll_event() {
                Some(LinkEvent::Payload(payload)) => {
                    self.link.done_with(payload.len());
                    self.flush().await?;
                    return Ok(payload);
                }
                Some(LinkEvent::Open { .. }) => {}
                None => self.turn().await?,
            }
        }
    }

    async fn flush(&mut self) -> Result<(), LinkFailure> {
        while let Some(bytes) = self.link.poll_transmit() {
            // One that does not read holds no place for longer than this.
            timeout(PATIENCE, self.stream.write_all(&bytes)).await.map_err(|_| LinkFailure::Late)??;
        }
        Ok(())
    }

    /// Waits for what comes, or for the time of the next thing to do.
    async fn turn(&mut self) -> Result<(), LinkFailure> {
        self.flush().await?;
        let mut buffer = vec![0; 16 * 1024];
        let due = self.origin + self.link.due();
        tokio::select! {
            biased;
            read = self.stream.read(&mut buffer) => match read? {
                0 => return Err(LinkFailure::Ended),
                length => self.link.received(&buffer[..length], self.origin.elapsed())?,
            },
            () = sleep_until(due) => self.link.timer(self.origin.elapsed())?,
        }
        self.flush().await
    }
}

/// Asks the members for their views, for whoever stands at the door.
#[derive(Clone)]
pub struct Gathering(pub(super) UnboundedSender<Ask>);

impl Gathering {
    /// What all members see; none before this one speaks with them.
    pub async fn all(&self) -> Option<BTreeMap<String, PeerAnswer>> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let _ = self.0.send(Ask::All(answer));
        answered.await.ok()
    }
}

/// Asks single members for their word.
#[derive(Clone)]
pub struct Asker(pub(super) UnboundedSender<Ask>);

impl Asker {
    /// What a member has to say; none if it does not answer, or before this one speaks with them.
    pub async fn word(&self, name: &str) -> Option<PeerReport> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let _ = self.0.send(Ask::Word(name.to_owned(), answer));
        answered.await.ok().flatten()
    }
}

/// Asks one for its word.
pub fn ask_for_word(
    linking: &Rc<Linking>,
    name: String,
    answer: tokio::sync::oneshot::Sender<Option<PeerReport>>,
) {
    let linking = linking.clone();
    spawn_local(async move {
        let _ = answer.send(linking.word(&name).await);
    });
}

/// Looks at all members, one look at a time for each that asks.
pub fn gather(linking: &Rc<Linking>, answer: tokio::sync::oneshot::Sender<BTreeMap<String, PeerAnswer>>) {
    let linking = linking.clone();
    spawn_local(async move {
        let _ = answer.send(linking.all().await);
    });
}
