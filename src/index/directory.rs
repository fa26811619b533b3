//! Endpoints and destinations as reported by discovery, and a slot for the learned state of each route.
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointState, KindId, Timestamp, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// An endpoint that discovery lists, or that it removed a short while ago.
#[cfg_attr(test, derive(Clone))]
pub struct Endpoint {
    /// The destination to which the endpoint belongs.
    pub destination: DestinationId,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// The kind of the destination.
    pub kind: KindId,
    /// The state that discovery last reported.
    pub state: EndpointState,
    /// The slot of the endpoint's own route.
    pub route: usize,
    /// When the endpoint was removed; meaningful only in the state [`EndpointState::Removed`].
    pub removed_at: Timestamp,
}

/// A destination with endpoints.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct Destination {
    /// The slot of the route that the endpoints share; `None` if they do not share a limit.
    pub shared_route: Option<usize>,
    /// The endpoints, in the order in which they were first listed.
    pub endpoints: Vec<EndpointId>,
    /// The number of calls in flight to the destination.
    pub calls: usize,
}

/// The effect of a discovery update on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint that the update changes.
    pub endpoint: EndpointId,
    /// The destination of the endpoint.
    pub destination: DestinationId,
    /// When the endpoint was removed; `None` if it is not removed.
    pub removed_at: Option<Timestamp>,
    /// The state of the endpoint before the update.
    pub previous: EndpointState,
}

/// The outcome of [`Directory::retire`] for one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// The endpoint to be retired.
    pub endpoint: EndpointId,
    /// The destination of the endpoint.
    pub destination: DestinationId,
    /// Whether this operation removed the endpoint from the directory.
    pub is_forgotten: bool,
    /// Until when the endpoint or its destination is still needed; `None` if nothing needs them.
    pub needed_until: Option<Timestamp>,
}

/// All endpoints and destinations, and their routes. The slot of a removed route is reused.
#[cfg_attr(test, derive(Clone))]
pub struct Directory<R> {
    endpoints: FxHashMap<EndpointId, Endpoint>,
    destinations: FxHashMap<DestinationId, Destination>,
    routes: Vec<R>,
    free_slots: Vec<usize>,
}

impl<R> Directory<R> {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            endpoints: FxHashMap::default(),
            destinations: FxHashMap::default(),
            routes: Vec::new(),
            free_slots: Vec::new(),
        }
    }

    /// Returns an endpoint, or `None` if it is unknown.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns a destination, or `None` if it is unknown.
    pub fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    /// Records that a call to an endpoint has started; does nothing if the endpoint is unknown.
    pub fn call_started(&mut self, id: EndpointId) {
        if let Some(destination) = self.destination_of(id) {
            destination.calls += 1;
        }
    }

    /// Records that a call to an endpoint has ended; does nothing if the endpoint is unknown.
    pub fn call_ended(&mut self, id: EndpointId) {
        if let Some(destination) = self.destination_of(id) {
            destination.calls -= 1;
        }
    }

    fn destination_of(&mut self, id: EndpointId) -> Option<&mut Destination> {
        self.destinations.get_mut(&self.endpoints.get(&id)?.destination)
    }

    /// Returns the route in a slot.
    ///
    /// # Panics
    /// Panics if the slot was never allocated.
    pub fn route(&self, slot: usize) -> &R {
        &self.routes[slot]
    }

    /// Returns a mutable reference to the route in a slot.
    ///
    /// # Panics
    /// Panics if the slot was never allocated.
    pub fn route_mut(&mut self, slot: usize) -> &mut R {
        &mut self.routes[slot]
    }

    /// Returns the slots of an endpoint's own route and of the route that it shares with its destination.
    pub fn route_slots(&self, endpoint: &Endpoint) -> [Option<usize>; 2] {
        let destination = self.destinations.get(&endpoint.destination);
        [Some(endpoint.route), destination.and_then(|destination| destination.shared_route)]
    }

    /// Returns an endpoint's own route and the route that it shares with its destination, if any.
    pub fn routes(&self, endpoint: &Endpoint) -> impl Iterator<Item = &R> {
        self.route_slots(endpoint).into_iter().flatten().map(|slot| &self.routes[slot])
    }

    /// Returns the endpoints of a destination; none if the destination is unknown.
    pub fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.destinations.get(&id).into_iter().flat_map(|destination| &destination.endpoints);
        ids.filter_map(|id| self.endpoints.get(id).map(|endpoint| (*id, endpoint)))
    }

    /// Applies a discovery update. If it is `complete`, endpoints that it does not list are removed.
    ///
    /// `new_route` creates the route of a new endpoint, and the shared route of a new destination if
    /// `shares_limit` returns true for its kind. Returns a change for each endpoint that is listed, or that a
    /// complete update omits.
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

    /// Returns the endpoints in service or draining that a complete list omits.
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
        let existing = self.destinations.get(&destination).and_then(|known| known.shared_route);
        let shared_route =
            existing.or_else(|| shares_limit(kind).then(|| self.allocate(new_route(entry, None))));
        let owner = self.destinations.entry(destination).or_default();
        owner.shared_route = shared_route;
        owner.endpoints.push(endpoint);
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

    /// Removes an endpoint from the directory if discovery removed it at `removed_before` or earlier, and its
    /// destination once it has no endpoints and no calls in flight. `needed_until` returns the time until
    /// which a route has to be kept, or `None` if it may be dropped.
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
            if let Some(owner) = self.destinations.get_mut(&destination) {
                owner.endpoints.retain(|other| *other != id);
            }
        }
        retired.needed_until = self.retire_destination(destination, needed_until);
        retired
    }

    /// Removes a destination without endpoints and calls. Returns the time until which it is still needed, if
    /// it is.
    fn retire_destination(
        &mut self,
        id: DestinationId,
        needed_until: impl Fn(&R) -> Option<Timestamp>,
    ) -> Option<Timestamp> {
        let is_unused = |known: &&Destination| known.endpoints.is_empty() && known.calls == 0;
        let destination = self.destinations.get(&id).filter(is_unused)?;
        let until = destination.shared_route.and_then(|slot| needed_until(&self.routes[slot]));
        if until.is_some() {
            return until;
        }
        self.free_slots.extend(destination.shared_route);
        self.destinations.remove(&id);
        None
    }

    /// Retires several endpoints in ascending order of id, skipping duplicates.
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
