//! Draws the destinations and their endpoints.
use super::model::{Destination, EndpointPlan, Kind, Limit};
use super::{SeededRng, total_capacity};
use crate::scenario::Scenario;

/// Exponent of the Zipf distribution of the traffic over the destinations.
const ZIPF_EXPONENT: f64 = 0.8;
/// Destinations with a larger share of the traffic have three or four endpoints, the others one to three.
const LARGE_DESTINATION_SHARE: f64 = 0.15;
/// Minimum of a rate limit, in calls per second.
const MIN_RATE_LIMIT: f64 = 2.5;
/// Minimum capacity of a destination without a limit, in calls per second.
const MIN_CAPACITY: f64 = 4.0;
/// Length of the window of [`Limit::Window`], in seconds.
const LIMIT_WINDOW_SECONDS: f64 = 2.0;

pub(super) fn draw_destinations(scenario: &Scenario, seed: u64) -> Vec<Destination> {
    let count = *scenario.destinations.get_ref();
    let weights: Vec<f64> =
        (0..count).map(|number| 1.0 / libm::pow(f64::from(number) + 1.0, ZIPF_EXPONENT)).collect();
    let total_weight: f64 = weights.iter().sum();
    let mut draw = DestinationDraw {
        rng: SeededRng::new(seed, "partners"),
        zones: scenario.buildings.get_ref().len(),
        total_capacity: total_capacity(scenario),
        endpoints: 0,
    };
    (0..count).map(|number| draw.destination(number, weights[number as usize] / total_weight)).collect()
}

/// The state that is kept while the destinations are drawn one by one.
struct DestinationDraw {
    rng: SeededRng,
    zones: usize,
    total_capacity: f64,
    /// Number of endpoints of the destinations drawn so far.
    endpoints: u32,
}

impl DestinationDraw {
    fn destination(&mut self, number: u32, share: f64) -> Destination {
        let kind = kind(number);
        let mean_service_us = self.rng.between(120_000.0, 210_000.0) * self.rng.between(0.6, 1.5);
        let size =
            if share > LARGE_DESTINATION_SHARE { 3 + self.rng.below(2) } else { 1 + self.rng.below(3) };
        let routes = if kind.has_endpoint_limits() { size as f64 } else { 1.0 };
        let rate = (self.total_capacity * share / routes * self.rng.between(1.2, 2.2)).max(MIN_RATE_LIMIT);
        let limit = self.limit(kind, rate);
        let demand = self.total_capacity * share * self.rng.between(1.1, 1.5);
        // The capacity covers at least the calls that the limit admits.
        let capacity =
            if limit == Limit::None { demand.max(MIN_CAPACITY) } else { demand.max(rate * routes) };
        let slots = (capacity * mean_service_us / 1e6 / size as f64).ceil() as usize + 1;
        let endpoints = (0..size).map(|index| self.endpoint(index, slots)).collect();
        let retry_after_share = self.retry_after_share(kind);
        Destination { number, kind, share, capacity, limit, retry_after_share, mean_service_us, endpoints }
    }

    fn limit(&mut self, kind: Kind, rate: f64) -> Limit {
        match (kind, self.rng.below(2)) {
            (Kind::Bank, 0) => Limit::Window((rate * LIMIT_WINDOW_SECONDS).ceil() as u32),
            (Kind::Fleet | Kind::Leasing, 0) => Limit::None,
            _ => Limit::Rate(rate),
        }
    }

    fn endpoint(&mut self, index: usize, slots: usize) -> EndpointPlan {
        let number = self.endpoints;
        self.endpoints += 1;
        let id = format!("s-{}", &self.rng.id()[..8]);
        EndpointPlan { number, id, building: index % self.zones, slots }
    }

    fn retry_after_share(&mut self, kind: Kind) -> f64 {
        match kind {
            Kind::Bank => self.rng.between(0.64, 0.92),
            Kind::Fleet => self.rng.between(0.14, 0.54),
            Kind::Leasing => self.rng.between(0.05, 0.59),
        }
    }
}

/// Returns the kind of a destination. Of every six, one is a bank, two are fleets and three are leasing
/// companies; the destination with the most traffic is a bank.
fn kind(number: u32) -> Kind {
    match number % 6 {
        0 => Kind::Bank,
        2 | 5 => Kind::Fleet,
        _ => Kind::Leasing,
    }
}
