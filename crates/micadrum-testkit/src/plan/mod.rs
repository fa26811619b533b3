//! The plan of a run: senders, destinations, client operations and faults, drawn from the scenario and the
//! seed alone. A simulated run and a live run of the same scenario and seed have the same plan.
mod arrivals;
mod description;
mod destinations;
mod faults;
mod model;
mod parameters;
mod random;
mod random_answer_faults;
mod random_discovery_faults;
mod random_faults;
mod random_request_faults;
mod random_system_faults;

pub use arrivals::Arrivals;
pub use model::{
    Arrival, Class, ConfigOverride, Destination, EndpointPlan, Kind, Limit, PlannedFault, SenderPlan,
    SystemFault,
};
pub use parameters::{
    CONNECT_TIMEOUT, DEADLINE_WORTH_SHARE, DEDUPLICATION_WINDOW, DRAIN_GRACE, INITIAL_CAPACITY_SHARE,
    LATENCY_OBJECTIVE, MAX_ATTEMPTS, MAX_POLL_INTERVAL, OVERLOAD_FACTOR, OVERLOAD_WINDOW,
    SLOW_START_DURATION, TENANTS,
};
pub use random::SeededRng;

use crate::scenario::Scenario;
use crate::units::Span;

/// The plan of one run.
pub struct Plan {
    /// The scenario that the plan is drawn from.
    pub scenario: Scenario,
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// The senders, by number.
    pub senders: Vec<SenderPlan>,
    /// The destinations, by number.
    pub destinations: Vec<Destination>,
    /// The faults, ordered by when they begin.
    pub faults: Vec<PlannedFault>,
    /// Changes to the senders' configuration; empty except in tests of the invariant checker.
    pub config_overrides: Vec<ConfigOverride>,
    /// Whether senders lose their state folder at each restart without a record in the history; true only in
    /// tests of the invariant checker.
    pub wipes_state_on_restart: bool,
}

impl Plan {
    /// Draws the plan of a scenario for a seed, with the scenario's faults and no random ones.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let senders = senders(&scenario);
        let destinations = destinations::draw_destinations(&scenario, seed);
        let mut plan = Self {
            scenario,
            seed,
            senders,
            destinations,
            faults: Vec::new(),
            config_overrides: Vec::new(),
            wipes_state_on_restart: false,
        };
        plan.faults =
            plan.scenario.faults().enumerate().map(|(number, fault)| plan.resolve(fault, number)).collect();
        plan.sort_faults();
        plan
    }

    /// Returns the length of the period during which clients submit messages.
    pub fn length(&self) -> Span {
        *self.scenario.length.get_ref()
    }

    /// Returns the capacity of all destinations together, in messages per second.
    pub fn total_capacity(&self) -> f64 {
        total_capacity(&self.scenario)
    }

    /// Returns all endpoints, each with its destination.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Destination, &EndpointPlan)> {
        self.destinations
            .iter()
            .flat_map(|destination| destination.endpoints.iter().map(move |endpoint| (destination, endpoint)))
    }

    /// Returns the operations of all clients, in the order in which they begin. They are drawn lazily, so a
    /// long run does not keep them in memory.
    pub fn arrivals(&self) -> Arrivals<'_> {
        Arrivals::new(self)
    }

    /// Keeps only the faults with these indices.
    pub fn retain_faults(&mut self, indices: &[usize]) {
        let mut index = 0;
        self.faults.retain(|_| {
            index += 1;
            indices.contains(&(index - 1))
        });
    }

    /// Shortens the run to `length`, and removes the faults that begin after it. Does nothing if the run is
    /// not longer.
    pub fn truncate(&mut self, length: Span) {
        if length < self.length() {
            *self.scenario.length.get_mut() = length;
            self.faults.retain(|fault| fault.from < length);
        }
    }

    fn sort_faults(&mut self) {
        self.faults.sort_by_key(|fault| fault.from);
    }
}

fn total_capacity(scenario: &Scenario) -> f64 {
    scenario.traffic.0 / scenario.load.get_ref().share()
}

/// Creates the senders, and assigns them to the zones in turn.
fn senders(scenario: &Scenario) -> Vec<SenderPlan> {
    let zones = scenario.buildings.get_ref().len();
    let sender =
        |number: u32| SenderPlan { number, name: format!("n{number}"), building: number as usize % zones };
    (0..*scenario.senders.get_ref()).map(sender).collect()
}
