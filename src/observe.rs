//! Queries of the host on the state of the decision core, and snapshots of routes for a later process.
use crate::decision::DeliveryEngine;
use crate::pacing::{Health, Route};
use crate::{ClassId, EndpointId, EndpointState, MessageId, Timestamp};
use serde::{Deserialize, Serialize};

/// The learned state of a route: an endpoint, or a destination whose endpoints share a limit.
#[derive(Clone, Serialize, Deserialize)]
pub struct RouteSnapshot(pub(crate) Route);

impl DeliveryEngine {
    /// Returns the class of a message; `None` if the message has ended.
    pub fn class_of(&self, message: MessageId) -> Option<ClassId> {
        self.messages.get(message).map(|state| state.message.class)
    }

    /// Returns the class of each message that has not ended.
    pub fn classes_in_use(&self) -> impl Iterator<Item = ClassId> {
        self.messages.iter().map(|(_, state)| state.message.class)
    }

    /// Returns whether an endpoint gets no calls at `now` other than trials: it is unknown, not active,
    /// ejected, or under a Retry-After.
    pub fn is_unavailable(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.directory.endpoint(endpoint) else { return true };
        let is_closed = |route: &Route| {
            let pacer = route.pacer_at(now, &self.settings);
            matches!(pacer.health, Health::Ejected(_)) || now < route.retry_after_until
        };
        endpoint.state != EndpointState::Active || self.directory.routes(endpoint).any(is_closed)
    }

    /// Returns whether a Retry-After, an outage or a slow start restricts calls to an endpoint at `now`. The
    /// state of such endpoints is stored before that of others.
    pub fn is_restricted(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let endpoint = self.directory.endpoint(endpoint);
        endpoint.is_some_and(|endpoint| {
            self.directory.routes(endpoint).any(|route| route.is_restricted(now, &self.settings))
        })
    }

    /// Returns snapshots of an endpoint's own route and of the one that it shares; `None` where there is no
    /// such route.
    pub fn route_snapshots(&self, endpoint: EndpointId) -> [Option<RouteSnapshot>; 2] {
        self.slots_of(endpoint).map(|slot| {
            let route = self.directory.route(slot?).snapshot(self.now, &self.settings);
            Some(RouteSnapshot(route))
        })
    }

    /// Restores snapshots of an earlier process for an endpoint. Has no effect if discovery has not listed it
    /// yet.
    pub fn restore_routes(&mut self, endpoint: EndpointId, snapshots: [Option<RouteSnapshot>; 2]) {
        for (slot, snapshot) in self.slots_of(endpoint).into_iter().zip(snapshots) {
            if let (Some(slot), Some(RouteSnapshot(mut route))) = (slot, snapshot) {
                let own = self.directory.route_mut(slot);
                (route.destination, route.endpoint) = (own.destination, own.endpoint);
                // Keep the capacity hint of discovery if the snapshot has no limit.
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
