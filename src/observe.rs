//! What the host reads of the decision core, and what a later process restores. Nothing here decides.
use crate::decision::DeliveryEngine;
use crate::pacing::{Health, Route};
use crate::{ClassId, EndpointId, EndpointState, MessageId, Timestamp};
use serde::{Deserialize, Serialize};

/// What was learned of one route: of an endpoint, or of a destination whose endpoints share a limit.
#[derive(Clone, Serialize, Deserialize)]
pub struct RouteSnapshot(pub(crate) Route);

impl DeliveryEngine {
    /// Returns the class of a message that has not ended.
    pub fn class_of(&self, message: MessageId) -> Option<ClassId> {
        self.messages.get(message).map(|state| state.message.class)
    }

    /// Returns whether nothing is sent to an endpoint at `now`, or nothing but a trial.
    pub fn is_unavailable(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.directory.endpoint(endpoint) else { return true };
        let is_closed = |route: &Route| {
            let pacer = route.pacer_at(now, &self.settings);
            matches!(pacer.health, Health::Ejected(_)) || now < route.retry_after_until
        };
        endpoint.state != EndpointState::Active || self.directory.routes(endpoint).any(is_closed)
    }

    /// Returns whether a rule depends at `now` on what was learned of an endpoint: it is stored before mere estimates.
    pub fn is_restricted(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let endpoint = self.directory.endpoint(endpoint);
        endpoint.is_some_and(|endpoint| self.directory.routes(endpoint).any(|route| route.is_restricted(now)))
    }

    /// Returns what was learned of an endpoint's own route and of the one that it shares, for the next process.
    pub fn route_snapshots(&self, endpoint: EndpointId) -> [Option<RouteSnapshot>; 2] {
        self.slots_of(endpoint).map(|slot| {
            let mut route = self.directory.route(slot?).clone();
            // Calls in flight end with their process.
            route.in_flight.clear();
            Some(RouteSnapshot(route))
        })
    }

    /// Restores what an earlier process learned of an endpoint that discovery has named by now.
    pub fn restore_routes(&mut self, endpoint: EndpointId, learned: [Option<RouteSnapshot>; 2]) {
        for (slot, learned) in self.slots_of(endpoint).into_iter().zip(learned) {
            if let (Some(slot), Some(RouteSnapshot(mut route))) = (slot, learned) {
                let own = self.directory.route_mut(slot);
                (route.destination, route.endpoint) = (own.destination, own.endpoint);
                // A hint of discovery is better than an unknown limit.
                route.limit = if route.limit > 0.0 { route.limit } else { own.limit };
                *own = route;
            }
        }
    }

    fn slots_of(&self, endpoint: EndpointId) -> [Option<usize>; 2] {
        let endpoint = self.directory.endpoint(endpoint);
        endpoint.map_or([None; 2], |endpoint| self.directory.route_slots(endpoint))
    }
}
