//! The world around the senders: destinations, platform, clients, and the faults that strike them. The same code runs on
//! a simulated network and on loopback.
pub mod clients;
pub mod destination_model;
pub mod endpoints;
pub mod faults;
pub mod messages;
pub mod platform;
mod sender_config;
pub mod senders;

use crate::history::{History, HistoryEvent};
use crate::link_faults::LinkFaults;
use crate::observation::{Micros, Observation};
use crate::plan::{Class, Plan};
use crate::service_metrics::Recorder;
use crate::test_network::{Host, TestNetwork};
use destination_model::{Condition, DestinationModel};
use messages::SubmittedMessages;
use platform::{Agent, ListedEndpoint};
use senders::{Fleet, SenderState};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

const MINUTE_US: Micros = 60_000_000;
/// A run goes on for this long after the longest deadline, as a restart may still be under way.
const MARGIN_AFTER_DEADLINE_US: Micros = 5_000_000;

/// An endpoint in its present state.
pub struct EndpointState {
    /// Its number in the plan.
    pub number: u32,
    /// Its destination.
    pub destination: u32,
    /// Its route, counted over all destinations.
    pub route: u32,
    /// Its zone.
    pub zone: usize,
    /// Its id in the endpoint list; changes when it is replaced.
    pub id: String,
    /// The identity before the present one, by which senders know it that have not received the new list.
    pub previous: Option<EndpointIdentity>,
    /// Its state in the endpoint list.
    pub phase: &'static str,
    /// The address for each sender.
    pub addresses: Vec<SocketAddr>,
    /// Counts its changes of address.
    pub address_generation: u16,
    /// What is wrong with it.
    pub condition: Condition,
}

/// The identity under which senders know an endpoint.
#[derive(Clone)]
pub struct EndpointIdentity {
    /// Its id in the endpoint list.
    pub id: String,
    /// Its route, counted over all destinations.
    pub route: u32,
}

/// An endpoint that is listed and does not exist.
#[derive(Clone, PartialEq, Eq)]
pub struct NonexistentEndpoint {
    /// The destination under which it is listed.
    pub destination: u32,
    /// Its id in the endpoint list.
    pub id: String,
}

/// The state that all stand-ins share.
pub struct World {
    /// The plan.
    pub plan: Rc<Plan>,
    /// The network.
    pub network: Rc<dyn TestNetwork>,
    /// The senders' processes.
    pub fleet: Rc<dyn Fleet>,
    /// The faults of the links between senders.
    pub link_faults: Rc<RefCell<LinkFaults>>,
    start: Instant,
    recorder: RefCell<Recorder>,
    /// The endpoints, by number.
    pub endpoints: RefCell<Vec<EndpointState>>,
    /// Notified whenever the condition or the address of an endpoint changes.
    pub endpoint_changed: Notify,
    destinations: RefCell<Vec<DestinationModel>>,
    agents: Vec<Agent>,
    senders: Vec<SenderState>,
    messages: RefCell<SubmittedMessages>,
    nonexistent_endpoints: RefCell<Vec<NonexistentEndpoint>>,
    revision: Cell<u64>,
    list_lag: Cell<Duration>,
    /// When discovery will have answered all requests that are queued.
    discovery_idle_at: Cell<Micros>,
    next_call: Cell<u64>,
    next_route: Cell<u32>,
}

impl World {
    /// Creates the world of a plan, with all stand-ins listening; senders are not started yet.
    ///
    /// # Errors
    /// Returns an error where a stand-in cannot listen.
    pub async fn new(
        plan: Rc<Plan>,
        network: Rc<dyn TestNetwork>,
        fleet: Rc<dyn Fleet>,
        link_faults: Rc<RefCell<LinkFaults>>,
    ) -> std::io::Result<Rc<Self>> {
        let senders = plan.senders.len();
        let model = |destination| DestinationModel::new(destination, plan.seed);
        let destinations: Vec<_> = plan.destinations.iter().map(model).collect();
        let (endpoints, route_count) = initial_endpoints(&plan, &destinations);
        let mut agents = Vec::new();
        for sender in 0..senders as u32 {
            agents.push(Agent::new(&*network, sender).await?);
        }
        let world = Rc::new(Self {
            network,
            fleet,
            start: Instant::now(),
            recorder: RefCell::new(Recorder::with_history(History::new(&plan))),
            link_faults,
            endpoints: RefCell::new(endpoints),
            endpoint_changed: Notify::new(),
            destinations: RefCell::new(destinations),
            agents,
            senders: (0..senders).map(|_| SenderState::default()).collect(),
            messages: RefCell::default(),
            nonexistent_endpoints: RefCell::default(),
            revision: Cell::new(1),
            list_lag: Cell::default(),
            discovery_idle_at: Cell::default(),
            next_call: Cell::new(0),
            next_route: Cell::new(route_count),
            plan,
        });
        world.start_listening().await?;
        Ok(world)
    }

    /// Lets all endpoints listen and all agents serve the first endpoint list.
    async fn start_listening(self: &Rc<Self>) -> std::io::Result<()> {
        let count = self.endpoints.borrow().len();
        for endpoint in 0..count {
            endpoints::open(self, endpoint).await?;
        }
        let first = self.endpoint_list();
        for sender in 0..self.senders.len() {
            self.agents[sender].receive(1, first.clone());
            platform::serve(self, sender as u32);
        }
        Ok(())
    }

    /// Returns the time since the start of the world, in microseconds.
    pub fn now(&self) -> Micros {
        self.timestamp(Instant::now())
    }

    fn timestamp(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    async fn wait_until(&self, time: Micros) {
        sleep_until(self.start + Duration::from_micros(time)).await;
    }

    /// Records an observation of a stand-in.
    pub fn observe(&self, observation: Observation) {
        self.recorder.borrow_mut().observe(self.now(), &observation);
    }

    /// Records what happened to the process of a sender.
    pub fn record(&self, sender: u32, event: HistoryEvent) {
        let now = self.now();
        self.recorder().history.add(now, sender, event);
    }

    /// Takes in a line of a sender's log, which may be a trace record.
    pub fn record_log_line(&self, sender: u32, line: &str) {
        let now = self.now();
        self.recorder().history.add_line(now, sender, line);
    }

    fn recorder(&self) -> std::cell::RefMut<'_, Recorder> {
        self.recorder.borrow_mut()
    }

    /// Returns the recorder, once the run is over.
    pub fn into_recorder(self: Rc<Self>) -> Recorder {
        self.recorder.replace(Recorder::default())
    }

    /// Returns the endpoint list as it is now.
    fn endpoint_list(&self) -> Vec<ListedEndpoint> {
        let listed = |endpoint: &EndpointState| self.listed(endpoint);
        let mut list: Vec<_> = self.endpoints.borrow().iter().map(listed).collect();
        let nonexistent = self.nonexistent_endpoints.borrow();
        list.extend(
            nonexistent.iter().enumerate().map(|(index, endpoint)| self.listed_nonexistent(index, endpoint)),
        );
        list
    }

    fn listed(&self, endpoint: &EndpointState) -> ListedEndpoint {
        ListedEndpoint {
            id: endpoint.id.clone(),
            addresses: endpoint.addresses.clone(),
            zone: self.plan.scenario.buildings.get_ref()[endpoint.zone].clone(),
            kind: self.plan.destinations[endpoint.destination as usize].kind.name(),
            destination: endpoint.destination,
            phase: endpoint.phase,
        }
    }

    fn listed_nonexistent(&self, index: usize, endpoint: &NonexistentEndpoint) -> ListedEndpoint {
        // In a simulation no host has this address and connections time out; on loopback they are refused.
        let unknown_host = SocketAddr::from(([10, 9, 0, (index % 250) as u8], 9));
        let address = self.fleet.unused_address().unwrap_or(unknown_host);
        ListedEndpoint {
            id: endpoint.id.clone(),
            addresses: vec![address; self.plan.senders.len()],
            zone: self.plan.scenario.buildings.get_ref()[0].clone(),
            kind: self.plan.destinations[endpoint.destination as usize].kind.name(),
            destination: endpoint.destination,
            phase: "SERVING",
        }
    }

    /// Returns the host of an endpoint.
    pub fn host_of(endpoint: usize) -> Host {
        Host::Endpoint(endpoint as u32)
    }
}

/// Returns the endpoints of a plan as they are at the start, and the number of routes.
fn initial_endpoints(plan: &Plan, models: &[DestinationModel]) -> (Vec<EndpointState>, u32) {
    let mut endpoints = Vec::new();
    let mut route_count = 0;
    for (destination, model) in plan.destinations.iter().zip(models) {
        for endpoint in &destination.endpoints {
            endpoints.push(EndpointState {
                number: endpoint.number,
                destination: destination.number,
                route: route_count + model.route_of(endpoint.number) as u32,
                zone: endpoint.building,
                id: endpoint.id.clone(),
                previous: None,
                phase: "SERVING",
                addresses: Vec::new(),
                address_generation: 0,
                condition: Condition::default(),
            });
        }
        route_count +=
            if destination.kind.has_endpoint_limits() { destination.endpoints.len() as u32 } else { 1 };
    }
    (endpoints, route_count)
}

/// Runs a whole scenario: starts the senders, lets clients submit messages and faults strike, and waits until all
/// accepted messages are due. `progress` is called with each minute that has passed and the number of operations.
///
/// # Errors
/// Returns an error where a sender does not start.
pub async fn run_scenario(world: &Rc<World>, progress: impl Fn(u64, usize) + 'static) -> std::io::Result<()> {
    senders::start_all(world).await?;
    let started_at = world.now();
    faults::schedule(world, started_at);
    schedule_admin_snapshots(world, started_at);
    let observed = world.clone();
    let progress_reports = spawn_local(async move {
        for minute in 1.. {
            observed.wait_until(started_at + minute * MINUTE_US).await;
            progress(minute, observed.recorder().operations());
        }
    });
    clients::submit_all(world, started_at).await;
    // The last message may be delivered until its deadline.
    let longest = Class::ALL.iter().map(|class| class.deadline().0).max().unwrap_or(0);
    let tail = world.plan.scenario.tail.map_or(longest + MARGIN_AFTER_DEADLINE_US, |tail| tail.0);
    let end = (started_at + world.plan.length().0).max(world.now()) + tail;
    world.wait_until(end).await;
    progress_reports.abort();
    Ok(())
}

/// Reads the status of senders at the times that the scenario names.
fn schedule_admin_snapshots(world: &Rc<World>, started_at: Micros) {
    for look in world.plan.scenario.admin_snapshots.clone() {
        let world = world.clone();
        spawn_local(async move {
            world.wait_until(started_at + look.at.get_ref().0).await;
            if let Some(status) = world.fleet.admin_status(look.sender).await {
                let now = world.now();
                world.recorder().history.add_admin_snapshot(now, look.sender, &status);
            }
        });
    }
}
