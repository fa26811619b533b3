//! The environment of the senders under test: emulated destinations, platform and clients, and injected
//! faults. The same code runs on a simulated network and on loopback.
pub mod clients;
pub mod destination_model;
pub mod endpoints;
pub mod faults;
pub mod messages;
pub mod platform;
pub mod repeated_answers;
mod request_cuts;
mod sender_config;
pub mod senders;

use crate::history::{History, HistoryEvent};
use crate::link_faults::LinkFaults;
use crate::observation::{Micros, Observation};
use crate::plan::{Class, Plan, SeededRng};
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
/// The time that a run continues after the last deadline, so that a pending restart can finish.
const MARGIN_AFTER_DEADLINE_US: Micros = 5_000_000;

/// The present state of an endpoint.
pub struct EndpointState {
    /// The endpoint's number in the plan.
    pub number: u32,
    /// The number of the endpoint's destination.
    pub destination: u32,
    /// The number of the endpoint's route among the routes of all destinations.
    pub route: u32,
    /// The index of the endpoint's zone in the scenario.
    pub zone: usize,
    /// The endpoint's id in the endpoint list, which changes when the endpoint is replaced.
    pub id: String,
    /// The endpoint's previous identity, by which senders know it until they receive the new list.
    pub previous: Option<EndpointIdentity>,
    /// The endpoint's phase in the endpoint list: `SERVING`, `DRAINING` or `DELETED`.
    pub phase: &'static str,
    /// The address for each sender, by sender number.
    pub addresses: Vec<SocketAddr>,
    /// The number of times that the endpoint has changed its address.
    pub address_generation: u16,
    /// The faults that apply to the endpoint at present.
    pub condition: Condition,
}

/// The identity under which senders know an endpoint.
#[derive(Clone)]
pub struct EndpointIdentity {
    /// The endpoint's id in the endpoint list.
    pub id: String,
    /// The number of the endpoint's route among the routes of all destinations.
    pub route: u32,
}

/// An endpoint that does not exist, and is listed nevertheless.
#[derive(Clone, PartialEq, Eq)]
pub struct NonexistentEndpoint {
    /// The number of the destination under which the endpoint is listed.
    pub destination: u32,
    /// The endpoint's id in the endpoint list.
    pub id: String,
}

/// The state that the emulated destinations, platform and clients share.
pub struct World {
    /// The plan of the run.
    pub plan: Rc<Plan>,
    /// The network that connects the emulated hosts with the senders.
    pub network: Rc<dyn TestNetwork>,
    /// The processes and machines of the senders.
    pub fleet: Rc<dyn Fleet>,
    /// The faults of the links between senders.
    pub link_faults: Rc<RefCell<LinkFaults>>,
    start: Instant,
    recorder: RefCell<Recorder>,
    /// The state of each endpoint, by number.
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
    /// The time at which discovery will have served all queued requests.
    discovery_idle_at: Cell<Micros>,
    next_call: Cell<u64>,
    repeated_answers: Cell<u64>,
    cut_requests: Cell<u64>,
    repetition_random: RefCell<SeededRng>,
    next_route: Cell<u32>,
}

impl World {
    /// Creates the environment of a plan, with all endpoints and agents listening. Does not start the
    /// senders.
    ///
    /// # Errors
    /// Returns an error if an endpoint or agent cannot listen.
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
            repeated_answers: Cell::default(),
            cut_requests: Cell::default(),
            repetition_random: RefCell::new(SeededRng::new(plan.seed, "repeated answers")),
            next_route: Cell::new(route_count),
            plan,
        });
        world.start_listening().await?;
        Ok(world)
    }

    /// Opens the listeners of all endpoints, and has all agents serve the first endpoint list.
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

    /// Returns the time since the creation of the world, in microseconds.
    pub fn now(&self) -> Micros {
        self.timestamp(Instant::now())
    }

    fn timestamp(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    async fn wait_until(&self, time: Micros) {
        sleep_until(self.start + Duration::from_micros(time)).await;
    }

    /// Records an observation at the present time, for the metrics and the invariant checks.
    pub fn observe(&self, observation: Observation) {
        self.recorder.borrow_mut().observe(self.now(), &observation);
    }

    /// Records an event of a sender in the history, at the present time.
    pub fn record(&self, sender: u32, event: HistoryEvent) {
        let now = self.now();
        self.recorder().history.add(now, sender, event);
    }

    /// Records a line of a sender's log in the history, if it traces a membership or recovery event.
    pub fn record_log_line(&self, sender: u32, line: &str) {
        let now = self.now();
        self.recorder().history.add_line(now, sender, line);
    }

    fn recorder(&self) -> std::cell::RefMut<'_, Recorder> {
        self.recorder.borrow_mut()
    }

    /// Takes the recorder out of the world at the end of a run.
    pub fn into_recorder(self: Rc<Self>) -> Recorder {
        self.recorder.replace(Recorder::default())
    }

    /// Returns the present endpoint list.
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
        // In a simulation no host has this address, so connections time out. On loopback they are refused.
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

/// Returns the initial state of a plan's endpoints, and the number of their routes.
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

/// Runs a whole scenario: starts the senders, injects faults, has the clients submit their messages, and
/// waits until the deadlines of all accepted messages have passed. After each minute, calls `progress` with
/// the number of minutes and of operations so far.
///
/// # Errors
/// Returns an error if a sender does not start.
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
    // A message may be delivered until its deadline.
    let longest = Class::ALL.iter().map(|class| class.deadline().0).max().unwrap_or(0);
    let tail = world.plan.scenario.tail.map_or(longest + MARGIN_AFTER_DEADLINE_US, |tail| tail.0);
    let end = (started_at + world.plan.length().0).max(world.now()) + tail;
    world.wait_until(end).await;
    progress_reports.abort();
    Ok(())
}

/// Records the status of senders from their admin endpoints, at the times that the scenario specifies.
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
