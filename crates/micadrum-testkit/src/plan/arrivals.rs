//! Draws the operations of all clients lazily, in the order in which they begin.
use super::model::{Arrival, Class};
use super::parameters::TENANTS;
use super::{Plan, SeededRng};
use crate::scenario::Peak;
use crate::units::Span;

/// Mean number of messages in a burst. Bursts are rarer by this factor, which keeps the message rate as
/// configured.
const MEAN_BURST_MESSAGES: f64 = 20.0;
const MIN_BURST_MESSAGES: usize = 10;
/// Number of distinct burst sizes, from [`MIN_BURST_MESSAGES`] on.
const BURST_SIZES: usize = 21;
/// Share of the messages that are of class [`Class::Charge`].
const CHARGE_SHARE: f64 = 0.52;
/// Share of the trip records that belong to one of the [`FREQUENT_VEHICLES`].
const FREQUENT_SHARE: f64 = 0.1;
const FREQUENT_VEHICLES: usize = 10;
const MIN_BODY_BYTES: usize = 60;
/// Number of distinct body lengths, from [`MIN_BODY_BYTES`] on.
const BODY_LENGTHS: usize = 300;
/// While there is no traffic, time advances in steps of this many seconds.
const IDLE_STEP_SECONDS: f64 = 1.0;

/// Iterator over the operations of all clients, in the order in which they begin.
pub struct Arrivals<'a> {
    plan: &'a Plan,
    rng: SeededRng,
    /// Time of the latest operation or burst, in seconds.
    now: f64,
    /// Number of the next operation.
    number: u64,
    /// The remaining operations of the current burst, which all begin at the same time; the last element is
    /// next.
    burst: Vec<Arrival>,
}

impl<'a> Arrivals<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        let rng = SeededRng::new(plan.seed, "arrivals");
        Self { plan, rng, now: 0.0, number: 0, burst: Vec::new() }
    }

    /// Returns the traffic at the current time as a multiple of the scenario's `traffic`.
    fn traffic_factor(&self) -> f64 {
        let is_active = |peak: &&Peak| {
            let from = peak.at.get_ref().as_secs();
            (from..from + peak.duration.as_secs()).contains(&self.now)
        };
        self.plan.scenario.peak.iter().filter(is_active).map(|peak| peak.traffic_factor).product()
    }

    /// Advances to the next operation or burst; returns whether it is a burst.
    fn advance(&mut self, traffic_factor: f64) -> bool {
        let rate = self.plan.scenario.traffic.0 * traffic_factor;
        let burst_share = self.plan.scenario.burst_share.share();
        let events = rate * (1.0 - burst_share) + rate * burst_share / MEAN_BURST_MESSAGES;
        self.now += self.rng.exponential(1.0 / events);
        !self.is_over() && self.rng.chance(rate * burst_share / MEAN_BURST_MESSAGES / events)
    }

    fn is_over(&self) -> bool {
        self.now >= self.plan.length().as_secs()
    }

    /// Draws a burst of messages for one destination, and returns its first operation.
    fn draw_burst(&mut self) -> Option<Arrival> {
        let destination = self.rng.below(self.plan.destinations.len()) as u32;
        let size = MIN_BURST_MESSAGES + self.rng.below(BURST_SIZES);
        self.burst = (0..size).map(|_| self.draw(Some(destination))).collect();
        self.burst.pop()
    }

    /// Draws an operation at the current time; its destination is drawn too if none is given.
    fn draw(&mut self, destination: Option<u32>) -> Arrival {
        let destination = destination.unwrap_or_else(|| self.draw_destination());
        let tenant = self.rng.weighted_index(TENANTS.iter().map(|(_, share)| *share)).unwrap_or(0);
        let class = if self.rng.chance(CHARGE_SHARE) { Class::Charge } else { Class::TripRecord };
        let vehicle = (class == Class::TripRecord).then(|| self.draw_vehicle());
        let body = MIN_BODY_BYTES + self.rng.below(BODY_LENGTHS);
        let mut key = self.rng.id();
        key.push_str(&self.rng.id());
        let number = self.number;
        self.number += 1;
        let at = Span((self.now * 1e6) as u64);
        Arrival { at, number, class, tenant, destination, vehicle, body, key }
    }

    fn draw_destination(&mut self) -> u32 {
        let shares = self.plan.destinations.iter().map(|destination| destination.share);
        self.rng.weighted_index(shares).map_or(0, |number| number as u32)
    }

    fn draw_vehicle(&mut self) -> u32 {
        let vehicles = self.plan.scenario.vehicles.max(1) as usize;
        let candidates =
            if self.rng.chance(FREQUENT_SHARE) { vehicles.min(FREQUENT_VEHICLES) } else { vehicles };
        self.rng.below(candidates) as u32
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if let Some(next) = self.burst.pop() {
            return Some(next);
        }
        loop {
            let traffic_factor = self.traffic_factor();
            let is_idle = traffic_factor <= 0.0;
            if is_idle {
                self.now += IDLE_STEP_SECONDS;
            } else if self.advance(traffic_factor) {
                return self.draw_burst();
            }
            if self.is_over() {
                return None;
            }
            if !is_idle {
                return Some(self.draw(None));
            }
        }
    }
}
