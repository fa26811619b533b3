//! Links to other members, and the two queries that are sent over them: one for a member's membership view,
//! which operators compare between members, and one for its peer report, which a restarted sender uses.
use super::link_stream::{LinkFailure, LinkStream};
use super::{Request, ViewSource};
use crate::daemon::ports::{Listener, LocalFuture, Log, Network, Stream};
use micadrum_membership::{
    Link, LinkIdentity, MAX_PAYLOAD_BYTES, MemberId, PeerView, Roster, Secret, Status, View,
};
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
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Upper bound on links accepted at once: further ones wait until one ends.
pub const MAX_ACCEPTED_LINKS: usize = 16;
/// Upper bound on links that one query of all members opens at once.
const MAX_DIALED_LINKS: usize = 16;
/// Time limit for a member's answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed listen or accept is retried.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Answers are sent in chunks of this length.
const ANSWER_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES / 4;
/// Upper bound on the length of an answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The query for a member's view. Query names are part of the protocol between members.
const VIEW_QUERY: &[u8] = b"view?";
/// The query for a member's peer report.
const REPORT_QUERY: &[u8] = b"word?";
/// The random stream from which nonces are drawn; stream 0 belongs to the membership state machine.
const NONCE_RNG_STREAM: u64 = 1;

/// Produces this sender's peer report.
pub type PeerReportSource = Rc<dyn Fn() -> LocalFuture<'static, PeerReport>>;

/// Serves links from other members, and opens links to them.
pub struct LinkService {
    network: Rc<dyn Network>,
    secret: Secret,
    roster: RefCell<Roster>,
    rng: RefCell<ChaCha8Rng>,
    views: ViewSource,
    report_source: PeerReportSource,
}

/// A member's answer to a view query. JSON names are part of the `/status/peers/all` format.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerAnswer {
    /// The view of the fleet that the member returned.
    View(Box<View>),
    /// Why no view was received.
    #[serde(rename = "silent")]
    Failed(String),
}

impl LinkService {
    /// Creates a service among the members of `roster`.
    pub fn new(
        network: Rc<dyn Network>,
        secret: Secret,
        roster: Roster,
        entropy: [u8; 32],
        views: ViewSource,
        report_source: PeerReportSource,
    ) -> Rc<Self> {
        let mut rng = ChaCha8Rng::from_seed(entropy);
        rng.set_stream(NONCE_RNG_STREAM);
        Rc::new(Self {
            network,
            secret,
            roster: RefCell::new(roster),
            rng: RefCell::new(rng),
            views,
            report_source,
        })
    }

    /// Replaces the roster. Open links keep the roster that they were created with.
    pub fn set_roster(&self, roster: Roster) {
        *self.roster.borrow_mut() = roster;
    }

    /// Returns the identity under which a new link authenticates, or `None` before this sender has an
    /// incarnation.
    fn link_identity(&self) -> Option<LinkIdentity> {
        let incarnation = self.views.current()?.incarnation;
        let mut nonce = [0; 16];
        self.rng.borrow_mut().fill_bytes(&mut nonce);
        let (secret, roster) = (self.secret.clone(), self.roster.borrow().clone());
        Some(LinkIdentity { secret, roster, incarnation, nonce })
    }

    fn link_stream(&self, link: Link, stream: Box<dyn Stream>) -> LinkStream {
        LinkStream::new(link, stream, self.views.origin)
    }

    /// Accepts links until the future is dropped. Listens at `address` if `listener` is `None`.
    pub async fn serve(
        self: Rc<Self>,
        address: SocketAddr,
        listener: Option<Box<dyn Listener>>,
        log: Rc<dyn Log>,
    ) {
        let listener = match listener {
            Some(listener) => listener,
            None => self.listen(address, &*log).await,
        };
        let permits = Arc::new(Semaphore::new(MAX_ACCEPTED_LINKS));
        let mut links = JoinSet::new();
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok(stream) => {
                    let this = self.clone();
                    links.spawn_local(async move {
                        // Failures are ignored, as the other side may not even be a member.
                        let _ = this.answer_queries(stream).await;
                        drop(permit);
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
            while links.try_join_next().is_some() {}
        }
    }

    /// Listens at an address, and retries until the previous process has released it.
    async fn listen(&self, address: SocketAddr, log: &dyn Log) -> Box<dyn Listener> {
        let mut is_logged = false;
        loop {
            match self.network.listen(address).await {
                Ok(listener) => return listener,
                Err(error) if !std::mem::replace(&mut is_logged, true) => log.line(&format!(
                    "membership: listening for links failed, retrying address={address} error={error}"
                )),
                Err(_) => {}
            }
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    async fn answer_queries(&self, stream: Box<dyn Stream>) -> Result<(), LinkFailure> {
        let Some(identity) = self.link_identity() else { return Ok(()) };
        let link = Link::accept(identity, self.views.origin.elapsed());
        let mut stream = self.link_stream(link, stream);
        loop {
            let answer = match &*stream.receive().await? {
                VIEW_QUERY => serde_json::to_vec(&self.views.current()),
                REPORT_QUERY => serde_json::to_vec(&(self.report_source)().await),
                _ => return Err(LinkFailure::Malformed),
            };
            // Encoding strings and integers as JSON cannot fail.
            let answer = answer.unwrap_or_default();
            stream.send(&(answer.len() as u64).to_le_bytes()).await?;
            for chunk in answer.chunks(ANSWER_CHUNK_BYTES) {
                stream.send(chunk).await?;
            }
        }
    }

    /// Sends a query to a member, and returns its answer.
    async fn query<T: DeserializeOwned>(
        &self,
        query: &[u8],
        to: MemberId,
        address: SocketAddr,
    ) -> Result<T, LinkFailure> {
        let Some(identity) = self.link_identity() else { return Err(LinkFailure::TimedOut) };
        let link = Link::dial(identity, to, self.views.origin.elapsed());
        let stream = self.network.connect(address).await?;
        let mut stream = self.link_stream(link, stream);
        stream.send(query).await?;
        let length = stream.receive().await?.try_into().map_err(|_| LinkFailure::Malformed)?;
        let length = usize::try_from(u64::from_le_bytes(length)).map_err(|_| LinkFailure::Malformed)?;
        if length > MAX_ANSWER_BYTES {
            return Err(LinkFailure::Malformed);
        }
        let mut answer = Vec::new();
        while answer.len() < length {
            answer.extend(stream.receive().await?);
        }
        serde_json::from_slice(&answer).map_err(|_| LinkFailure::Malformed)
    }

    /// Returns a member's peer report, or `None` if the member does not answer.
    async fn query_report(&self, name: &str) -> Option<PeerReport> {
        let id = MemberId::of(name);
        let address = self.roster.borrow().get(id)?.address;
        timeout(QUERY_TIMEOUT, self.query(REPORT_QUERY, id, address)).await.ok()?.ok()
    }

    async fn query_view(&self, name: &str, address: SocketAddr) -> PeerAnswer {
        let query = self.query::<Option<View>>(VIEW_QUERY, MemberId::of(name), address);
        let answer = timeout(QUERY_TIMEOUT, query).await.unwrap_or(Err(LinkFailure::TimedOut));
        match answer.and_then(|view| view.ok_or(LinkFailure::TimedOut)) {
            Ok(view) => PeerAnswer::View(Box::new(view)),
            Err(failure) => PeerAnswer::Failed(failure.to_string()),
        }
    }

    /// Returns the views of all members that have not left. Members that are believed dead are queried too.
    async fn query_all_views(self: Rc<Self>) -> BTreeMap<String, PeerAnswer> {
        let mut answers = BTreeMap::new();
        let Some(own_view) = self.views.current() else { return answers };
        let permits = Arc::new(Semaphore::new(MAX_DIALED_LINKS));
        let mut queries = JoinSet::new();
        for peer in own_view.peers.iter().filter(|peer| peer.status != Status::Left) {
            let (this, permits) = (self.clone(), permits.clone());
            let PeerView { name, address, .. } = peer.clone();
            queries.spawn_local(async move {
                let _permit = permits.acquire_owned().await;
                let answer = this.query_view(&name, address).await;
                (name, answer)
            });
        }
        answers.insert(own_view.own_name.clone(), PeerAnswer::View(Box::new(own_view)));
        while let Some(finished) = queries.join_next().await {
            if let Ok((name, answer)) = finished {
                answers.insert(name, answer);
            }
        }
        answers
    }

    /// Spawns a task that queries the views of all members and sends them to `reply`.
    pub fn spawn_view_query(self: &Rc<Self>, reply: oneshot::Sender<BTreeMap<String, PeerAnswer>>) {
        let this = self.clone();
        spawn_local(async move {
            let _ = reply.send(this.query_all_views().await);
        });
    }

    /// Spawns a task that queries a member's peer report and sends it to `reply`.
    pub fn spawn_report_query(self: &Rc<Self>, name: String, reply: oneshot::Sender<Option<PeerReport>>) {
        let this = self.clone();
        spawn_local(async move {
            let _ = reply.send(this.query_report(&name).await);
        });
    }
}

/// Requests the views of all members, for the admin endpoint.
#[derive(Clone)]
pub struct ViewQuery(pub(super) UnboundedSender<Request>);

impl ViewQuery {
    /// Returns the views of all members, or `None` before the membership socket is bound.
    pub async fn all(&self) -> Option<BTreeMap<String, PeerAnswer>> {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.send(Request::QueryAllViews(reply));
        answer.await.ok()
    }
}

/// Requests the peer reports of single members.
#[derive(Clone)]
pub struct ReportQuery(pub(super) UnboundedSender<Request>);

impl ReportQuery {
    /// Returns a member's peer report, or `None` if the member does not answer or the membership socket is
    /// not bound yet.
    pub async fn report_of(&self, name: &str) -> Option<PeerReport> {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.send(Request::QueryReport(name.to_owned(), reply));
        answer.await.ok().flatten()
    }
}
