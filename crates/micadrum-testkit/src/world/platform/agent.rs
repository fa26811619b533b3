//! The state of the discovery agent on one sender's machine.
use crate::observation::{Micros, Observation};
use crate::test_network::{Host, TestListener, TestNetwork};
use crate::world::World;
use crate::world::repeated_answers::Repetition;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// The port of a sender's agent before its first move; each move takes the next port.
pub(super) const AGENT_PORT: u16 = 8500;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The id of the endpoint.
    pub id: String,
    /// The address of the endpoint for each sender, by sender number.
    pub addresses: Vec<SocketAddr>,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The kind of the endpoint's destination.
    pub kind: &'static str,
    /// The number of the endpoint's destination.
    pub destination: u32,
    /// The endpoint's phase: `SERVING`, `DRAINING` or `DELETED`.
    pub phase: &'static str,
}

impl ListedEndpoint {
    fn json(&self, sender: u32) -> Value {
        json!({"id": self.id, "host_port": self.addresses[sender as usize].to_string(),
            "locality": self.zone, "flavor": self.kind, "cell": self.destination, "phase": self.phase,
            "size": 1.0, "up_since_ms": 0})
    }
}

/// An endpoint list as an agent has received it, with its revision.
#[derive(Clone, Default)]
pub(super) struct ReceivedList {
    pub(super) revision: u64,
    pub(super) endpoints: Vec<ListedEndpoint>,
}

/// The discovery agent on one sender's machine.
pub struct Agent {
    /// The listener, until a task serves it.
    pub(super) listener: RefCell<Option<Box<dyn TestListener>>>,
    pub(super) address: Cell<SocketAddr>,
    /// The number of times that the agent has moved.
    pub(super) address_generation: Cell<u16>,
    /// The number that is subtracted from a revision to get the agent's own revision.
    pub(super) revision_base: Cell<u64>,
    /// The latest revision that was delivered to the sender.
    pub(super) delivered_revision: Cell<u64>,
    pub(super) last_request_at: Cell<Micros>,
    pub(super) last_request_failed: Cell<bool>,
    pub(super) last_answer_at: Cell<Micros>,
    /// Incremented when a process of the sender starts or ends; answers to an earlier process are dropped.
    pub(super) process_generation: Cell<u32>,
    /// The number of requests of the sender that wait for a new revision.
    pub(super) pending_watches: Cell<usize>,
    /// The earliest time at which the sender counts as informed of a new list.
    pub(super) not_informed_before: Cell<Micros>,
    pub(super) received: RefCell<ReceivedList>,
    pub(super) changed: Notify,
    /// The time at which the sender was first informed of each endpoint id.
    informed_since: RefCell<BTreeMap<String, Micros>>,
    /// The ids of the endpoints that are serving in the latest list that was delivered to the sender.
    serving: RefCell<BTreeSet<String>>,
    /// The time until which the agent answers no discovery request.
    pub(in crate::world) silent_until: Cell<Micros>,
    /// The time that the agent takes to answer a discovery request.
    pub(in crate::world) answer_delay: Cell<Duration>,
    /// How the agent repeats its answers, or `None` if it does not.
    pub(in crate::world) repetition: Cell<Option<Repetition>>,
    /// The time until which the agent acknowledges no notification.
    pub(in crate::world) notifications_ignored_until: Cell<Micros>,
}

impl Agent {
    pub(in crate::world) async fn new(network: &dyn TestNetwork, sender: u32) -> io::Result<Self> {
        let listener = network.listen(Host::Sender(sender), AGENT_PORT).await?;
        Ok(Self {
            address: Cell::new(listener.address()),
            address_generation: Cell::default(),
            revision_base: Cell::default(),
            delivered_revision: Cell::default(),
            last_request_at: Cell::default(),
            last_request_failed: Cell::default(),
            last_answer_at: Cell::default(),
            process_generation: Cell::default(),
            pending_watches: Cell::default(),
            not_informed_before: Cell::default(),
            listener: RefCell::new(Some(listener)),
            received: RefCell::default(),
            changed: Notify::new(),
            informed_since: RefCell::default(),
            serving: RefCell::default(),
            silent_until: Cell::default(),
            answer_delay: Cell::default(),
            repetition: Cell::default(),
            notifications_ignored_until: Cell::default(),
        })
    }

    /// Returns the address at which the sender reaches the agent.
    pub(in crate::world) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Resets the state that belongs to a process of the sender, as one has started or ended.
    pub(in crate::world) fn reset_for_process(&self, now: Micros) {
        self.process_generation.set(self.process_generation.get() + 1);
        self.last_request_at.set(now);
        self.last_answer_at.set(0);
        self.last_request_failed.set(false);
        self.pending_watches.set(0);
    }

    /// Returns the list that the agent has received, in the JSON format of discovery.
    pub(in crate::world) fn snapshot(&self, sender: u32) -> Value {
        let received = self.received.borrow();
        let members: Vec<_> = received.endpoints.iter().map(|endpoint| endpoint.json(sender)).collect();
        json!({"revision": received.revision - self.revision_base.get(), "complete": true, "members": members})
    }

    /// Returns whether the sender was informed of an endpoint's id at `sent_at`.
    pub(in crate::world) fn is_informed(&self, id: &str, sent_at: Micros) -> bool {
        self.informed_since.borrow().get(id).is_some_and(|since| *since <= sent_at)
    }

    /// Stores a revision of the list, unless the agent has the same or a later one.
    pub(in crate::world) fn receive(&self, revision: u64, endpoints: Vec<ListedEndpoint>) {
        let mut received = self.received.borrow_mut();
        if received.revision < revision {
            *received = ReceivedList { revision, endpoints };
            drop(received);
            self.changed.notify_waiters();
        }
    }

    /// Returns whether the agent has a later revision than `revision`, which is one of the agent's own
    /// revisions.
    pub(super) fn has_later_revision(&self, revision: u64) -> bool {
        self.received.borrow().revision - self.revision_base.get() > revision
    }
}

/// Records that the agent's complete list was delivered to the sender. An endpoint that is missing from it no
/// longer serves.
pub(in crate::world) fn deliver_current_list(world: &World, sender: u32) {
    let ReceivedList { revision, endpoints } = world.agents[sender as usize].received.borrow().clone();
    record_delivered_list(world, sender, revision, &endpoints);
}

/// Records that a revision of the list was delivered to the sender, unless a later one was delivered before.
pub(super) fn record_delivered_list(world: &World, sender: u32, revision: u64, endpoints: &[ListedEndpoint]) {
    let agent = &world.agents[sender as usize];
    if revision < agent.delivered_revision.get() {
        return;
    }
    agent.delivered_revision.set(revision);
    for endpoint in endpoints {
        agent.informed_since.borrow_mut().entry(endpoint.id.clone()).or_insert_with(|| world.now());
    }
    let is_serving = |endpoint: &&ListedEndpoint| endpoint.phase == "SERVING";
    let serving: BTreeSet<String> =
        endpoints.iter().filter(is_serving).map(|endpoint| endpoint.id.clone()).collect();
    let before = agent.serving.replace(serving.clone());
    for endpoint in before.difference(&serving) {
        world.observe(Observation::Listed { sender, endpoint: endpoint.clone(), serving: false });
    }
    for endpoint in serving {
        world.observe(Observation::Listed { sender, endpoint, serving: true });
    }
}
