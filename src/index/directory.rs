//! Endpoints and destinations as discovery names them, with a slot for what is learned of each route.
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointState, KindId, Timestamp, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// An endpoint that is listed, or was a short while ago.
#[cfg_attr(test, derive(Clone))]
pub struct Endpoint {
    /// Its destination.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Its state by discovery.
    pub state: EndpointState,
    /// The slot of its own route.
    pub route: usize,
    /// When it was removed, if it was.
    pub removed_at: Timestamp,
}

/// A destination with endpoints.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct Destination {
    /// The slot of the route that its endpoints share, if they share a limit.
    pub shared_route: Option<usize>,
    /// Its endpoints, in the order in which they were first listed.
    pub endpoints: Vec<EndpointId>,
    /// Calls in flight to it.
    pub calls: usize,
}

/// An endpoint that discovery has named or left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Since when it is removed, if it is.
    pub removed_at: Option<Timestamp>,
    /// Its state before the change.
    pub previous: EndpointState,
}

/// What became of an endpoint that may be forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Whether the endpoint was forgotten.
    pub is_forgotten: bool,
    /// Until when the endpoint, or its destination, is still needed.
    pub needed_until: Option<Timestamp>,
}

/// All endpoints and destinations, and their routes; the slot of a route that is gone is used again.
#[cfg_attr(test, derive(Clone))]
pub struct Directory<R> {
    endpoints: FxHashMap<EndpointId, Endpoint>,
    destinations: FxHashMap<DestinationId, Destination>,
    routes: Vec<R>,
    free_slots: Vec<usize>,
}

impl<R> Directory<R> {
    /// Creates a directory with nothing in it.
    pub fn new() -> Self {
        Self {
            endpoints: FxHashMap::default(),
            destinations: FxHashMap::default(),
            routes: Vec::new(),
            free_slots: Vec::new(),
        }
    }

    /// Returns an endpoint, if it is known.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns a destination, if it is known.
    pub fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    /// Records that a call to a known endpoint has started.
    pub fn call_started(&mut self, id: EndpointId) {
        if let Some(destination) = self.destination_of(id) {
            destination.calls += 1;
        }
    }

    /// Records that a call to a known endpoint has ended.
    pub fn call_ended(&mut self, id: EndpointId) {
        if let Some(destination) = self.destination_of(id) {
            destination.calls -= 1;
        }
    }

    fn destination_of(&mut self, id: EndpointId) -> Option<&mut Destination> {
        self.destinations.get_mut(&self.endpoints.get(&id)?.destination)
    }

    /// Returns the route in a slot.
    pub fn route(&self, slot: usize) -> &R {
        &self.routes[slot]
    }

    /// Returns the route in a slot, to change it.
    pub fn route_mut(&mut self, slot: usize) -> &mut R {
        &mut self.routes[slot]
    }

    /// Returns the slots of an endpoint's own route and of the one that it shares.
    pub fn route_slots(&self, endpoint: &Endpoint) -> [Option<usize>; 2] {
        let destination = self.destinations.get(&endpoint.destination);
        [Some(endpoint.route), destination.and_then(|destination| destination.shared_route)]
    }

    /// Returns an endpoint's own route and the one that it shares.
    pub fn routes(&self, endpoint: &Endpoint) -> impl Iterator<Item = &R> {
        self.route_slots(endpoint).into_iter().flatten().map(|slot| &self.routes[slot])
    }

    /// Returns the known endpoints of a destination.
    pub fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.destinations.get(&id).into_iter().flat_map(|destination| &destination.endpoints);
        ids.filter_map(|id| self.endpoints.get(id).map(|endpoint| (*id, endpoint)))
    }

    /// Applies what discovery says; if it is `complete`, an endpoint that it does not name is removed.
    ///
    /// A new endpoint gets a route by `new_route`, and so does a new destination whose endpoints share a limit, which
    /// `shares_limit` tells. Returns a change for each endpoint that was named or left out.
    pub fn apply(
        &mut self,
        entries: &[EndpointEntry],
        complete: bool,
        now: Timestamp,
        shares_limit: impl Fn(KindId) -> bool,
        new_route: impl Fn(&EndpointEntry, Option<EndpointId>) -> R,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::with_capacity(entries.len());
        if complete {
            let unlisted = self.unlisted(entries).into_iter();
            changes.extend(unlisted.filter_map(|id| self.set_state(id, EndpointState::Removed, now)));
        }
        for entry in entries {
            if !self.endpoints.contains_key(&entry.endpoint) {
                self.add(entry, now, &shares_limit, &new_route);
            }
            changes.extend(self.set_state(entry.endpoint, entry.state, now));
        }
        changes
    }

    /// The endpoints in service or draining that a complete list does not name.
    fn unlisted(&self, entries: &[EndpointEntry]) -> BTreeSet<EndpointId> {
        let listed = self.endpoints.iter().filter(|(_, known)| known.state != EndpointState::Removed);
        let mut unlisted: BTreeSet<EndpointId> = listed.map(|(id, _)| *id).collect();
        for entry in entries {
            unlisted.remove(&entry.endpoint);
        }
        unlisted
    }

    fn add(
        &mut self,
        entry: &EndpointEntry,
        now: Timestamp,
        shares_limit: &impl Fn(KindId) -> bool,
        new_route: &impl Fn(&EndpointEntry, Option<EndpointId>) -> R,
    ) {
        let EndpointEntry { endpoint, destination, zone, kind, state, .. } = *entry;
        let route = self.allocate(new_route(entry, Some(endpoint)));
        let known = self.destinations.get(&destination).and_then(|known| known.shared_route);
        let shared = known.or_else(|| shares_limit(kind).then(|| self.allocate(new_route(entry, None))));
        let of = self.destinations.entry(destination).or_default();
        of.shared_route = shared;
        of.endpoints.push(endpoint);
        self.endpoints.insert(endpoint, Endpoint { destination, zone, kind, state, route, removed_at: now });
    }

    fn set_state(&mut self, id: EndpointId, state: EndpointState, now: Timestamp) -> Option<EndpointChange> {
        let known = self.endpoints.get_mut(&id)?;
        if known.state != EndpointState::Removed || state != EndpointState::Removed {
            known.removed_at = now;
        }
        let previous = std::mem::replace(&mut known.state, state);
        Some(EndpointChange {
            endpoint: id,
            destination: known.destination,
            removed_at: (state == EndpointState::Removed).then_some(known.removed_at),
            previous,
        })
    }

    /// Forgets an endpoint that was removed at `removed_before` or earlier, and its destination with the last one, as
    /// far as no call is in flight to them and `needed_until` names no time up to which their routes are of use.
    pub fn retire(
        &mut self,
        id: EndpointId,
        destination: DestinationId,
        removed_before: Timestamp,
        needed_until: impl Fn(&R) -> Option<Timestamp>,
    ) -> Retirement {
        let mut retired = Retirement { endpoint: id, destination, is_forgotten: false, needed_until: None };
        if let Some(known) = self.endpoints.get(&id) {
            if known.state != EndpointState::Removed || known.removed_at > removed_before {
                return retired;
            }
            retired.needed_until = needed_until(&self.routes[known.route]);
            if retired.needed_until.is_some() {
                return retired;
            }
            self.free_slots.push(known.route);
            self.endpoints.remove(&id);
            retired.is_forgotten = true;
            if let Some(of) = self.destinations.get_mut(&destination) {
                of.endpoints.retain(|other| *other != id);
            }
        }
        retired.needed_until = self.retire_destination(destination, needed_until);
        retired
    }

    /// Forgets a destination without endpoints and calls; returns until when it is still needed.
    fn retire_destination(
        &mut self,
        id: DestinationId,
        needed_until: impl Fn(&R) -> Option<Timestamp>,
    ) -> Option<Timestamp> {
        let is_empty = |of: &&Destination| of.endpoints.is_empty() && of.calls == 0;
        let destination = self.destinations.get(&id).filter(is_empty)?;
        let until = destination.shared_route.and_then(|slot| needed_until(&self.routes[slot]));
        if until.is_some() {
            return until;
        }
        self.free_slots.extend(destination.shared_route);
        self.destinations.remove(&id);
        None
    }

    /// Retires several endpoints, each once, in order.
    pub fn retire_all(
        &mut self,
        mut retiring: Vec<(EndpointId, DestinationId)>,
        removed_before: Timestamp,
        needed_until: impl Fn(&R) -> Option<Timestamp>,
    ) -> Vec<Retirement> {
        retiring.sort_unstable();
        retiring.dedup();
        let mut retire = |(id, destination)| self.retire(id, destination, removed_before, &needed_until);
        retiring.into_iter().map(&mut retire).collect()
    }

    fn allocate(&mut self, route: R) -> usize {
        match self.free_slots.pop() {
            Some(slot) => {
                self.routes[slot] = route;
                slot
            }
            None => {
                self.routes.push(route);
                self.routes.len() - 1
            }
        }
    }
}

#[cfg(test)]
mod tests;
