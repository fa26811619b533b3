//! What others may read of the decision module, and what the next process takes up of it. Nothing here decides.
use crate::decision::DeliveryEngine;
use crate::pacing::Health;
use crate::pacing::Route;
use crate::{EndpointId, EndpointState, Timestamp};
use serde::{Deserialize, Serialize};

impl DeliveryEngine {
    /// Whether nothing is sent to an endpoint at `now`, or nothing but a trial.
    pub fn avoids(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let Some(at) = self.directory.endpoint(endpoint) else { return true };
        let shut = |line: &Route| {
            matches!(line.pacer_at(now, &self.settings).health, Health::Ejected(_))
                || now < line.retry_after_until
        };
        at.state != EndpointState::Active || self.directory.routes(at).any(shut)
    }
}

impl DeliveryEngine {
    /// Whether a rule follows at `now` from what was learned of an endpoint: it is remembered before what is only of use.
    pub fn binds(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        let at = self.directory.endpoint(endpoint);
        at.is_some_and(|at| self.directory.routes(at).any(|line| line.binds(now)))
    }
}

/// What was learned of one line: of a route, or of a destination whose endpoints share a limit.
#[derive(Clone, Serialize, Deserialize)]
pub struct RouteSnapshot(pub(crate) Route);

impl DeliveryEngine {
    /// What was learned of an endpoint's own line, and of the one that it shares, for the next process.
    pub fn learned(&self, endpoint: EndpointId) -> [Option<RouteSnapshot>; 2] {
        let places = self.directory.endpoint(endpoint).map_or([None; 2], |at| self.directory.route_slots(at));
        places.map(|place| {
            let mut line = self.directory.route(place?).clone();
            // Calls that are out end with their process.
            line.in_flight.clear();
            Some(RouteSnapshot(line))
        })
    }

    /// Takes up what an earlier process learned of an endpoint that the list has named by now.
    pub fn take_up(&mut self, endpoint: EndpointId, learned: [Option<RouteSnapshot>; 2]) {
        let places = self.directory.endpoint(endpoint).map_or([None; 2], |at| self.directory.route_slots(at));
        for (place, learned) in places.into_iter().zip(learned) {
            if let (Some(place), Some(RouteSnapshot(mut line))) = (place, learned) {
                let own = self.directory.route_mut(place);
                (line.destination, line.endpoint) = (own.destination, own.endpoint);
                // What the list hints at is better than nothing known.
                line.limit = if line.limit > 0.0 { line.limit } else { own.limit };
                *own = line;
            }
        }
    }
}
