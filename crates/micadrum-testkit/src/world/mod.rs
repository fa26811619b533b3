//! The world round the senders: partners, platform, clients, and what goes wrong. The same code plays on a
//! simulated network and on loopback.
pub mod clients;
pub mod endpoints;
pub mod faults;
pub mod model;
pub mod platform;
pub mod senders;

use crate::history::{History, What};
use crate::link_faults::{self, LinkFaults, Named};
use crate::observation::{At, Seen};
use crate::plan::{
    AIM, COLD_SHARE, CONNECT_TIMEOUT, Class, DRAIN_GRACE, FALL, KEY_WINDOW, LATE_WORTH, MAX_ATTEMPTS,
    MUST_ASK_IN, OVERLOAD_FACTOR, Plan, RAMP, TENANTS,
};
use crate::scenario::Discovery;
use crate::service_metrics::Recorder;
use crate::stand_in_network::{Host, StandInNetwork};
use model::{Condition, DestinationModel};
use platform::Agent;
use senders::{Fleet, OperatorFile, SenderState};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// Ids that are over are known for so long after their time is up, in microseconds.
const KNOWN_FOR: At = 70_000_000;

/// How a message ended, as its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A partner took it.
    Delivered,
    /// No promise about its effect.
    Failed,
    /// It may be handed in again, after so long where that is told.
    Returned(Option<Duration>),
    /// Its sender's machine is lost.
    Lost,
}

/// A message that a client handed in, as the partners know it.
pub struct Known {
    /// Its class.
    pub class: Class,
    /// Its idempotency key.
    pub key: String,
    /// Its destination.
    pub destination: u32,
    /// Its body.
    pub body: Rc<[u8]>,
    /// Whom it was handed in to.
    pub sender: u32,
    /// Whether a call with it has come.
    pub called: bool,
    /// Told how it ended.
    pub end: Option<oneshot::Sender<End>>,
}

/// The messages that were handed in of late.
#[derive(Default)]
pub struct Messages {
    known: BTreeMap<String, Known>,
    until: VecDeque<(At, String)>,
}

impl Messages {
    fn add(&mut self, now: At, id: String, known: Known) {
        while let Some((until, old)) = self.until.front()
            && *until < now
        {
            self.known.remove(old);
            self.until.pop_front();
        }
        self.until.push_back((now + known.class.deadline().0 + KNOWN_FOR, id.clone()));
        self.known.insert(id, known);
    }

    /// The message of an id.
    pub fn get(&mut self, id: &str) -> Option<&mut Known> {
        self.known.get_mut(id)
    }

    /// Tells a message's client how it ended, if it was not told before.
    pub fn ended(&mut self, id: &str, end: End) {
        if let Some(client) = self.known.get_mut(id).and_then(|known| known.end.take()) {
            let _ = client.send(end);
        }
    }
}

/// An endpoint, as it is now.
pub struct EndpointState {
    /// Its number in the plan.
    pub number: u32,
    /// Its partner.
    pub partner: u32,
    /// Its line over all partners.
    pub line: u32,
    /// Its building.
    pub building: usize,
    /// Its id in the list; changes when it is replaced.
    pub id: String,
    /// The id and line that it had before: so it is meant by senders that know no other.
    pub before: Option<(String, u32)>,
    /// What the list says.
    pub phase: &'static str,
    /// Where each sender reaches it.
    pub addresses: Vec<SocketAddr>,
    /// Counts its moves.
    pub place: u16,
    /// What is wrong with it.
    pub condition: Condition,
}

/// All that the stand-ins share.
pub struct World {
    /// The plan.
    pub plan: Rc<Plan>,
    /// The network.
    pub wire: Rc<dyn StandInNetwork>,
    /// The senders' processes.
    pub fleet: Rc<dyn Fleet>,
    /// What passes between them.
    pub ground: Rc<RefCell<LinkFaults>>,
    start: Instant,
    recorder: RefCell<Recorder>,
    /// The endpoints, by number.
    pub endpoints: RefCell<Vec<EndpointState>>,
    /// Told whenever an endpoint's condition or place changes.
    pub changed: Notify,
    partners: RefCell<Vec<DestinationModel>>,
    agents: Vec<Agent>,
    senders: Vec<SenderState>,
    messages: RefCell<Messages>,
    /// Endpoints that the list names and that do not exist, by partner.
    ghosts: RefCell<Vec<(u32, String)>>,
    revision: Cell<u64>,
    list_lag: Cell<Duration>,
    /// When discovery has answered all who are in line.
    discovery_free: Cell<At>,
    next_call: Cell<u64>,
    next_line: Cell<u32>,
}

impl World {
    /// The world of a plan, with all its doors open; senders are not started yet.
    ///
    /// # Errors
    /// Where a stand-in cannot listen.
    pub async fn new(
        plan: Rc<Plan>,
        wire: Rc<dyn StandInNetwork>,
        fleet: Rc<dyn Fleet>,
        ground: Rc<RefCell<LinkFaults>>,
    ) -> std::io::Result<Rc<Self>> {
        let senders = plan.senders.len();
        let mut endpoints = Vec::new();
        let mut lines = 0;
        let partners: Vec<DestinationModel> =
            plan.partners.iter().map(|p| DestinationModel::new(p, plan.seed)).collect();
        for (partner, model) in plan.partners.iter().zip(&partners) {
            for endpoint in &partner.endpoints {
                endpoints.push(EndpointState {
                    number: endpoint.number,
                    partner: partner.number,
                    line: lines + model.line(endpoint.number) as u32,
                    building: endpoint.building,
                    id: endpoint.id.clone(),
                    before: None,
                    phase: "SERVING",
                    addresses: Vec::new(),
                    place: 0,
                    condition: Condition::default(),
                });
            }
            lines += if partner.kind.routes_apart() { partner.endpoints.len() as u32 } else { 1 };
        }
        let mut agents = Vec::new();
        for sender in 0..senders as u32 {
            agents.push(Agent::new(&*wire, sender).await?);
        }
        let world = Rc::new(Self {
            wire,
            fleet,
            start: Instant::now(),
            recorder: RefCell::new(Recorder::with(History::new(&plan))),
            ground,
            endpoints: RefCell::new(endpoints),
            changed: Notify::new(),
            partners: RefCell::new(partners),
            agents,
            senders: (0..senders).map(|_| SenderState::default()).collect(),
            messages: RefCell::default(),
            ghosts: RefCell::default(),
            revision: Cell::new(1),
            list_lag: Cell::default(),
            discovery_free: Cell::default(),
            next_call: Cell::new(0),
            next_line: Cell::new(lines),
            plan,
        });
        let count = world.endpoints.borrow().len();
        for endpoint in 0..count {
            endpoints::open(&world, endpoint).await?;
        }
        let first = world.list();
        for sender in 0..senders {
            world.agents[sender].show(1, first.clone());
            platform::serve(&world, sender as u32);
        }
        Ok(world)
    }

    /// Now, from the start of the world.
    pub fn now(&self) -> At {
        self.at(Instant::now())
    }

    fn at(&self, instant: Instant) -> At {
        instant.saturating_duration_since(self.start).as_micros() as At
    }

    async fn until(&self, at: At) {
        sleep_until(self.start + Duration::from_micros(at)).await;
    }

    /// Records what somebody saw.
    pub fn saw(&self, seen: Seen) {
        self.recorder.borrow_mut().see(self.now(), &seen);
    }

    /// Records what happened to a sender's process.
    pub fn record(&self, sender: u32, what: What) {
        let now = self.now();
        self.recorder().history.add(now, sender, what);
    }

    /// Takes in a line of a sender's log, which may be a record.
    pub fn logged(&self, sender: u32, line: &str) {
        let now = self.now();
        self.recorder().history.add_line(now, sender, line);
    }

    fn recorder(&self) -> std::cell::RefMut<'_, Recorder> {
        self.recorder.borrow_mut()
    }

    /// The recorder, once the run is over.
    pub fn into_recorder(self: Rc<Self>) -> Recorder {
        self.recorder.replace(Recorder::default())
    }

    // ---- the list ------------------------------------------------------------------------------------

    /// The list as it should be, an entry an endpoint: its number, and its line without the address.
    fn list(&self) -> Vec<platform::Entry> {
        let buildings = self.plan.scenario.buildings.get_ref();
        let kind = |partner: u32| self.plan.partners[partner as usize].kind.name();
        let listed = |e: &EndpointState| platform::Entry {
            id: e.id.clone(),
            addresses: e.addresses.clone(),
            building: buildings[e.building].clone(),
            kind: kind(e.partner),
            destination: e.partner,
            phase: e.phase,
        };
        let mut list: Vec<_> = self.endpoints.borrow().iter().map(listed).collect();
        for (n, (partner, id)) in self.ghosts.borrow().iter().enumerate() {
            // In a simulation nobody is there and nothing says no; on loopback the connection is refused.
            let nobody = SocketAddr::from(([10, 9, 0, (n % 250) as u8], 9));
            let nobody = self.fleet.nobody().unwrap_or(nobody);
            list.push(platform::Entry {
                id: id.clone(),
                addresses: vec![nobody; self.plan.senders.len()],
                building: buildings[0].clone(),
                kind: kind(*partner),
                destination: *partner,
                phase: "SERVING",
            });
        }
        list
    }

    // ---- configuration -------------------------------------------------------------------------------

    /// The configuration of a sender; `listen` is where clients are to connect.
    pub fn config(&self, sender: u32, listen: SocketAddr, seed: u64) -> Value {
        let plan = &self.plan;
        let scenario = &plan.scenario;
        let senders = plan.senders.len();
        let buildings = scenario.buildings.get_ref();
        let full = plan.full_load();
        let busy: f64 = plan.partners.iter().map(|p| p.share * p.service).sum::<f64>() * full / 1e6;
        let slots = ((busy / senders as f64 * 2.2) as usize).max(4);
        let held = ((full / senders as f64 * 8.0) as usize).max(12);
        let lane = |class: Class, repeat: &str| {
            json!({"name": class.name(), "aim": AIM.0, "hard_limit": class.deadline().0, "worth": 1.0,
                "late_value": LATE_WORTH, "repeat": repeat, "group": "all", "key_ttl": KEY_WINDOW.0,
                "fifo_by_key": class == Class::TripRecord})
        };
        let allowance: f64 = scenario.traffic.0 * 1.2;
        let tenant =
            |(name, share): &(&str, f64)| json!({"name": name, "allowance_per_s": allowance * share});
        let known = self.agents[sender as usize].known(sender);
        let mut config = json!({
            "name": plan.senders[sender as usize].name, "listen": listen.to_string(),
            "discovery": self.agents[sender as usize].address().to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": scenario.disk_mb},
            "known": known,
            "settings": {
                "azs": buildings, "zone": buildings[plan.senders[sender as usize].building],
                "discovery": match scenario.discovery {
                    Discovery::Pushed => "pushed",
                    Discovery::OnRequest => "on_request",
                }, "fleet_size": senders, "kinds": ["bank", "fleet", "leasing"],
                "lanes": [lane(Class::Charge, "fragile"), lane(Class::TripRecord, "dedup")],
                "limits": {"cancel": true, "connect_timeout": CONNECT_TIMEOUT.0, "conn_idle": endpoints::IDLE,
                    "max_attempts": MAX_ATTEMPTS, "most_held": held, "probes": false},
                "invariants": {"drain_grace": DRAIN_GRACE.0, "cold_share": COLD_SHARE, "ramp_time": RAMP.0,
                    "overload_factor": OVERLOAD_FACTOR, "fall": FALL.0, "order_settle": 0,
                    "must_ask_in": MUST_ASK_IN.0},
                "specifics": {"bundle_max": [5, 1, 1], "kind_apart": [true, false, false], "decay": "even",
                    "max_calls": slots},
                "tenants": TENANTS.iter().map(tenant).collect::<Vec<_>>(), "over_share_worth": 0.05,
                "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
            }
        });
        if let (Some(door), true) = (self.fleet.door(), plan.scenario.operator.is_some()) {
            config["management"] = json!(door.to_string());
        }
        for lie in &plan.lies {
            if let Some(place) = config.pointer_mut(&lie.pointer) {
                *place = lie.value.clone();
            }
        }
        config
    }

    /// The operator's file of a sender and the secret that it names, where the scenario has one.
    fn operator(&self, sender: u32) -> Option<OperatorFile> {
        let plan = &self.plan;
        let table = plan.scenario.operator.as_ref()?.get_ref();
        let buildings = plan.scenario.buildings.get_ref();
        let named = plan.senders.iter().map(|other| Named {
            name: other.name.clone(),
            address: self.fleet.peer(sender, other.number),
            building: buildings[other.building].clone(),
            secret: link_faults::secret(plan.seed, other.number),
        });
        // The scenario was checked before.
        let text = link_faults::operator_file(table, &named.collect::<Vec<_>>()).unwrap_or_default();
        Some(OperatorFile { text, secret: link_faults::secret(plan.seed, sender) })
    }

    /// The host of an endpoint.
    pub fn host_of(endpoint: usize) -> Host {
        Host::Endpoint(endpoint as u32)
    }
}

/// Plays a whole day: starts the senders, lets clients hand in and faults strike, and waits until all that was
/// taken on must have its end. `progress` hears of each minute that has passed.
///
/// # Errors
/// Where a sender does not start.
pub async fn play(world: &Rc<World>, progress: impl Fn(u64, usize) + 'static) -> std::io::Result<()> {
    senders::start_all(world).await?;
    let begun = world.now();
    faults::play(world, begun);
    for look in world.plan.scenario.look.clone() {
        let world = world.clone();
        tokio::task::spawn_local(async move {
            world.until(begun + look.at.get_ref().0).await;
            if let Some(text) = world.fleet.look(look.sender).await {
                let now = world.now();
                world.recorder().history.add_look(now, look.sender, &text);
            }
        });
    }
    let watch = world.clone();
    let ticker = tokio::task::spawn_local(async move {
        for minute in 1.. {
            watch.until(begun + minute * 60_000_000).await;
            progress(minute, watch.recorder().operations());
        }
    });
    clients::drive(world, begun).await;
    // The last message may be delivered until its deadline, and a restart may still be under way.
    let longest = Class::ALL.iter().map(|class| class.deadline().0).max().unwrap_or(0);
    let tail = world.plan.scenario.tail.map_or(longest + 5_000_000, |tail| tail.0);
    let end = (begun + world.plan.length().0).max(world.now()) + tail;
    world.until(end).await;
    ticker.abort();
    Ok(())
}
