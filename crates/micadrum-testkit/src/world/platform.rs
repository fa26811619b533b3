//! The platform: an agent of discovery on each sender's machine, which also takes notices.
use super::{End, World};
use crate::http::{Conversation, Message, answer};
use crate::observation::{At, Seen};
use crate::plan::{MUST_ASK_IN, SeededRng};
use crate::scenario::Discovery;
use crate::stand_in_network::{Host, StandInListener, StandInNetwork};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const PORT: u16 = 8500;
/// A watch goes on if the next call comes within 200 ms of the last answer.
const TOLD_AFTER: Duration = Duration::from_millis(250);
const GOES_ON: At = 200_000;
/// What the new agent of a sender has counts as told so long after it was told where that is.
const MOVED: At = 4_000_000;
/// Discovery turns a call away whose answer would take longer.
const MOST_WAIT: At = 2_000_000;
/// A call in vain counts for so many times as long as none, where the list comes on request.
const AFTER_FAILURE: At = 4;

/// An entry of the list; the address differs from sender to sender.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The endpoint's id.
    pub id: String,
    /// Where each sender reaches it.
    pub addresses: Vec<SocketAddr>,
    /// Its building.
    pub building: String,
    /// Its partner's kind.
    pub kind: &'static str,
    /// Its partner.
    pub destination: u32,
    /// Its state.
    pub phase: &'static str,
}

impl Entry {
    fn json(&self, sender: u32) -> Value {
        json!({"id": self.id, "host_port": self.addresses[sender as usize].to_string(),
            "locality": self.building, "flavor": self.kind, "cell": self.destination, "phase": self.phase,
            "size": 1.0, "up_since_ms": 0})
    }
}

/// The agent on one sender's machine.
pub struct Agent {
    door: RefCell<Option<Box<dyn StandInListener>>>,
    address: Cell<SocketAddr>,
    /// Counts its moves.
    place: Cell<u16>,
    /// Revisions before the ones that it counts.
    base: Cell<u64>,
    /// The last version that the sender was told.
    told_revision: Cell<u64>,
    /// When it last asked, whether in vain, and when it was answered last.
    asked: Cell<At>,
    in_vain: Cell<bool>,
    answered: Cell<At>,
    /// Counts the processes of the sender: what an earlier one had asked nobody hears.
    process: Cell<u32>,
    /// Calls of it that wait for news.
    waiting: Cell<usize>,
    /// Nothing counts as told before.
    excused: Cell<At>,
    visible: RefCell<(u64, Vec<Entry>)>,
    changed: Notify,
    /// Ids that the sender was told of, and since when.
    told: RefCell<BTreeMap<String, At>>,
    /// Those that were in service by what it was told last.
    serving: RefCell<BTreeSet<String>>,
    /// Until when discovery says nothing.
    pub(super) silent_until: Cell<At>,
    /// Until when no notice is acknowledged.
    pub(super) deaf_until: Cell<At>,
}

impl Agent {
    pub(super) async fn new(wire: &dyn StandInNetwork, sender: u32) -> io::Result<Self> {
        let door = wire.listen(Host::Sender(sender), PORT).await?;
        Ok(Self {
            address: Cell::new(door.address()),
            place: Cell::default(),
            base: Cell::default(),
            told_revision: Cell::default(),
            asked: Cell::default(),
            in_vain: Cell::default(),
            answered: Cell::default(),
            process: Cell::default(),
            waiting: Cell::default(),
            excused: Cell::default(),
            door: RefCell::new(Some(door)),
            visible: RefCell::new((0, Vec::new())),
            changed: Notify::new(),
            told: RefCell::default(),
            serving: RefCell::default(),
            silent_until: Cell::default(),
            deaf_until: Cell::default(),
        })
    }

    /// Where the sender reaches it.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// A process of the sender has ended, or begins: it has asked nobody yet, and has what its configuration says.
    pub(super) fn began(&self, now: At) {
        self.process.set(self.process.get() + 1);
        self.asked.set(now);
        self.answered.set(0);
        self.in_vain.set(false);
        self.waiting.set(0);
    }

    /// The list that the agent has been sent, in discovery's form.
    pub(super) fn known(&self, sender: u32) -> Value {
        let (revision, entries) = &*self.visible.borrow();
        let members: Vec<_> = entries.iter().map(|entry| entry.json(sender)).collect();
        json!({"revision": revision - self.base.get(), "complete": true, "members": members})
    }

    /// Whether the sender knew the endpoint by that id when it sent something.
    pub(super) fn knew(&self, id: &str, sent: At) -> bool {
        self.told.borrow().get(id).is_some_and(|since| *since <= sent)
    }

    pub(super) fn show(&self, revision: u64, entries: Vec<Entry>) {
        let mut visible = self.visible.borrow_mut();
        if visible.0 < revision {
            *visible = (revision, entries);
            drop(visible);
            self.changed.notify_waiters();
        }
    }
}

#[derive(Deserialize)]
struct Notice {
    id: String,
    state: String,
    after_ms: Option<u64>,
}

/// Sends the list, as it is now, on its way to all agents: each has it after a delay of its own.
pub(super) fn publish(world: &Rc<World>) {
    let revision = world.revision.get() + 1;
    world.revision.set(revision);
    let list = world.list();
    let most = world.plan.scenario.list_delay.as_secs();
    for sender in 0..world.plan.senders.len() {
        let mut dice = SeededRng::new(world.plan.seed, &format!("list {revision} {sender}"));
        let delay = Duration::from_secs_f64(dice.between(0.0, most)) + world.list_lag.get();
        let (world, list) = (world.clone(), list.clone());
        spawn_local(async move {
            sleep(delay).await;
            // Another silence may begin before one ends.
            while world.agents[sender].silent_until.get() > world.now() {
                world.until(world.agents[sender].silent_until.get()).await;
            }
            world.agents[sender].show(revision, list.clone());
            counts_as_told(&world, sender as u32, revision, &list).await;
        });
    }
}

/// Waits until what the agent has been sent counts as told, asked for or not.
async fn counts_as_told(world: &Rc<World>, sender: u32, revision: u64, list: &[Entry]) {
    let agent = &world.agents[sender as usize];
    match world.plan.scenario.discovery {
        Discovery::Pushed => {
            sleep(TOLD_AFTER).await;
            while agent.excused.get() > world.now() {
                world.until(agent.excused.get()).await;
            }
        }
        // Listed so long ago, and not asked for since: the sender might have known.
        Discovery::OnRequest => {
            let listed = world.now();
            while agent.told_revision.get() < revision {
                let times = if agent.in_vain.get() { AFTER_FAILURE } else { 1 };
                let due = listed.max(agent.asked.get()) + times * MUST_ASK_IN.0;
                if world.now() >= due && agent.waiting.get() == 0 {
                    break;
                }
                world.until(due.max(world.now() + GOES_ON)).await;
            }
        }
    }
    told_list(world, sender, revision, list);
}

/// A sender's agent goes elsewhere and counts its versions anew; a new configuration says so.
pub(super) async fn move_agent(world: &Rc<World>, sender: u32) -> io::Result<()> {
    let agent = &world.agents[sender as usize];
    let place = agent.place.get() + 1;
    let door = world.wire.listen(Host::Sender(sender), PORT + place).await?;
    agent.place.set(place);
    agent.base.set(agent.visible.borrow().0 - 1);
    agent.excused.set(world.now() + MOVED);
    agent.address.set(door.address());
    *agent.door.borrow_mut() = Some(door);
    serve(world, sender);
    // Whoever waits at the old address is let go.
    agent.changed.notify_waiters();
    let seed = SeededRng::new(world.plan.seed, &format!("sender {sender} at agent {place}")).number();
    world.fleet.reload(sender, world.config(sender, world.fleet.listen(sender), seed));
    Ok(())
}

/// Serves a sender's agent.
pub(super) fn serve(world: &Rc<World>, sender: u32) {
    let Some(door) = world.agents[sender as usize].door.borrow_mut().take() else { return };
    let world = world.clone();
    let place = world.agents[sender as usize].place.get();
    spawn_local(async move {
        while let Ok(line) = door.accept().await {
            let world = world.clone();
            spawn_local(async move {
                let mut with = Conversation::new(line);
                while let Ok(Some(message)) = with.read(false).await {
                    let answer = answered(&world, sender, &message).await;
                    let here = world.agents[sender as usize].place.get() == place;
                    let Some(text) = answer.filter(|_| here) else { return };
                    if with.write(&text).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// What the agent says; none where it breaks the connection.
async fn answered(world: &Rc<World>, sender: u32, message: &Message) -> Option<Vec<u8>> {
    let agent = &world.agents[sender as usize];
    if message.path == "/v1/notices" {
        if agent.deaf_until.get() > world.now() {
            return None;
        }
        return Some(noticed(world, sender, &message.body));
    }
    if agent.silent_until.get() > world.now() {
        world.until(agent.silent_until.get()).await;
        return None;
    }
    let number = |name: &str| -> Option<u64> {
        let (_, query) = message.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let process = agent.process.get();
    agent.asked.set(world.now());
    let goes_on = agent.answered.get() > 0 && world.now() < agent.answered.get() + GOES_ON;
    if let (Some(bears), false) = (world.plan.scenario.discovery_bears, goes_on) {
        let done = world.discovery_free.get().max(world.now()) + (1e6 / bears.0) as At;
        if done > world.now() + MOST_WAIT {
            agent.in_vain.set(true);
            world.until(world.now() + MOST_WAIT).await;
            return Some(answer("503 Service Unavailable", "", ""));
        }
        world.discovery_free.set(done);
        world.until(done).await;
        if agent.process.get() != process {
            return None;
        }
    }
    agent.in_vain.set(false);
    if let (Some(from), Some(hold)) = (number("from"), number("hold_ms")) {
        let place = agent.place.get();
        let news = async {
            loop {
                let changed = agent.changed.notified();
                if agent.visible.borrow().0 - agent.base.get() > from || agent.place.get() != place {
                    return;
                }
                changed.await;
            }
        };
        agent.waiting.set(agent.waiting.get() + 1);
        let waited = timeout(Duration::from_millis(hold), news).await;
        if agent.process.get() != process {
            return None;
        }
        agent.waiting.set(agent.waiting.get().saturating_sub(1));
        agent.answered.set(world.now());
        agent.asked.set(world.now());
        if agent.place.get() != place {
            return None;
        }
        if waited.is_err() {
            let list = json!({"revision": from, "complete": false, "members": []});
            return Some(answer("200 OK", "", &list.to_string()));
        }
    }
    // The whole list each time: an endpoint that is not on it is gone.
    agent.answered.set(world.now());
    let list = agent.known(sender);
    told(world, sender);
    Some(answer("200 OK", "", &list.to_string()))
}

/// A sender is told the whole list that its agent has: an endpoint that is not on it is gone.
pub(super) fn told(world: &World, sender: u32) {
    let (revision, entries) = world.agents[sender as usize].visible.borrow().clone();
    told_list(world, sender, revision, &entries);
}

fn told_list(world: &World, sender: u32, revision: u64, entries: &[Entry]) {
    let agent = &world.agents[sender as usize];
    // What it was told since is newer.
    if revision < agent.told_revision.get() {
        return;
    }
    agent.told_revision.set(revision);
    for entry in entries {
        agent.told.borrow_mut().entry(entry.id.clone()).or_insert_with(|| world.now());
    }
    let serving: BTreeSet<String> =
        entries.iter().filter(|e| e.phase == "SERVING").map(|e| e.id.clone()).collect();
    let before = agent.serving.replace(serving.clone());
    for endpoint in before.difference(&serving) {
        world.saw(Seen::Listed { sender, endpoint: endpoint.clone(), serving: false });
    }
    for endpoint in serving {
        world.saw(Seen::Listed { sender, endpoint, serving: true });
    }
}

fn noticed(world: &World, sender: u32, body: &[u8]) -> Vec<u8> {
    let lines: Option<Vec<Notice>> = (body.split(|b| *b == b'\n').filter(|line| !line.is_empty()))
        .map(|line| serde_json::from_slice(line).ok())
        .collect();
    let Some(notices) = lines else { return answer("400 Bad Request", "", "") };
    for notice in notices {
        let returned = notice.state == "returned";
        let mut messages = world.messages.borrow_mut();
        // A sender speaks for what was handed in to it.
        let id = match messages.get(&notice.id) {
            Some(known) if known.sender == sender => notice.id.clone(),
            _ => format!("{} (not its own)", notice.id),
        };
        world.saw(Seen::Noticed { id, returned });
        let after = notice.after_ms.map(Duration::from_millis);
        messages.ended(&notice.id, if returned { End::Returned(after) } else { End::Failed });
    }
    b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
}
