//! Endpoints and destinations as the list tells of them, with a place for what is learned of each line.
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
    /// Its destination's kind.
    pub kind: KindId,
    /// What the list says of it.
    pub state: EndpointState,
    /// Its line's place.
    pub route: usize,
    /// When it went, if it has.
    pub removed_at: Timestamp,
}

/// A destination with endpoints.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct Destination {
    /// The place of the line that its endpoints share, if they do.
    pub shared_route: Option<usize>,
    /// Its endpoints, in the order in which they were first listed.
    pub endpoints: Vec<EndpointId>,
    /// Calls that are out to it.
    pub calls: usize,
}

/// All of them, and their lines; the place of a line that has gone is used again.
#[cfg_attr(test, derive(Clone))]
pub struct Directory<L> {
    endpoints: FxHashMap<EndpointId, Endpoint>,
    destinations: FxHashMap<DestinationId, Destination>,
    routes: Vec<L>,
    free: Vec<usize>,
}

impl<L> Directory<L> {
    /// Nothing is listed.
    pub fn new() -> Self {
        Self {
            endpoints: FxHashMap::default(),
            destinations: FxHashMap::default(),
            routes: Vec::new(),
            free: Vec::new(),
        }
    }

    /// An endpoint, if it is known.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// A destination, if it is known.
    pub fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    /// A call to a known endpoint has begun.
    pub fn call_started(&mut self, id: EndpointId) {
        if let Some(of) = self.destination_of(id) {
            of.calls += 1;
        }
    }

    /// A call to a known endpoint is over.
    pub fn call_ended(&mut self, id: EndpointId) {
        if let Some(of) = self.destination_of(id) {
            of.calls -= 1;
        }
    }

    fn destination_of(&mut self, id: EndpointId) -> Option<&mut Destination> {
        self.destinations.get_mut(&self.endpoints.get(&id)?.destination)
    }

    /// The line at a place.
    pub fn route(&self, place: usize) -> &L {
        &self.routes[place]
    }

    /// The line at a place, to change it.
    pub fn route_mut(&mut self, place: usize) -> &mut L {
        &mut self.routes[place]
    }

    /// The places of an endpoint's own line and of the one that it shares.
    pub fn route_slots(&self, at: &Endpoint) -> [Option<usize>; 2] {
        [Some(at.route), self.destinations.get(&at.destination).and_then(|d| d.shared_route)]
    }

    /// An endpoint's own line and the one that it shares.
    pub fn routes(&self, at: &Endpoint) -> impl Iterator<Item = &L> {
        self.route_slots(at).into_iter().flatten().map(|place| &self.routes[place])
    }

    /// The known endpoints of a destination.
    pub fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.destinations.get(&id).into_iter().flat_map(|d| &d.endpoints);
        ids.filter_map(|id| self.endpoints.get(id).map(|at| (*id, at)))
    }

    /// Enters what a list says, all of it if it is `whole`: then what it does not name is gone. A new endpoint gets a
    /// line of its own by `line`, and so does a new destination whose endpoints share a limit, which `shares` tells.
    /// All endpoints that were told of, with since when they are gone, if they are, and what the list said before.
    pub fn apply(
        &mut self,
        entries: &[EndpointEntry],
        whole: bool,
        now: Timestamp,
        shares: impl Fn(KindId) -> bool,
        line: impl Fn(&EndpointEntry, Option<EndpointId>) -> L,
    ) -> Vec<(EndpointId, DestinationId, Option<Timestamp>, EndpointState)> {
        let mut told = Vec::with_capacity(entries.len());
        if whole {
            let listed = self.endpoints.iter().filter(|(_, known)| known.state != EndpointState::Removed);
            let mut unlisted: BTreeSet<EndpointId> = listed.map(|(id, _)| *id).collect();
            for entry in entries {
                unlisted.remove(&entry.endpoint);
            }
            told.extend(
                unlisted.into_iter().filter_map(|id| self.set_state(id, EndpointState::Removed, now)),
            );
        }
        for entry in entries {
            let EndpointEntry { endpoint, destination, zone, kind, state: listing, .. } = *entry;
            if !self.endpoints.contains_key(&endpoint) {
                let own = self.allocate(line(entry, Some(endpoint)));
                let known = self.destinations.get(&destination).and_then(|d| d.shared_route);
                let shared = known.or_else(|| shares(kind).then(|| self.allocate(line(entry, None))));
                let of = self.destinations.entry(destination).or_default();
                of.shared_route = shared;
                of.endpoints.push(endpoint);
                let new = Endpoint { destination, zone, kind, state: listing, route: own, removed_at: now };
                self.endpoints.insert(endpoint, new);
            }
            told.extend(self.set_state(endpoint, listing, now));
        }
        told
    }

    fn set_state(
        &mut self,
        id: EndpointId,
        listing: EndpointState,
        now: Timestamp,
    ) -> Option<(EndpointId, DestinationId, Option<Timestamp>, EndpointState)> {
        let known = self.endpoints.get_mut(&id)?;
        if known.state != EndpointState::Removed || listing != EndpointState::Removed {
            known.removed_at = now;
        }
        let before = std::mem::replace(&mut known.state, listing);
        Some((id, known.destination, (listing == EndpointState::Removed).then_some(known.removed_at), before))
    }

    /// Forgets an endpoint that has been gone since `before` or longer, and its destination with the last one, as far
    /// as nothing is out to them and `wanted` tells no moment up to which their lines are still of use: the first such
    /// moment to come, if that keeps one of them. Whether the endpoint was forgotten.
    pub fn retire(
        &mut self,
        id: EndpointId,
        of: DestinationId,
        before: Timestamp,
        wanted: impl Fn(&L) -> Option<Timestamp>,
    ) -> (bool, Option<Timestamp>) {
        let mut forgotten = false;
        if let Some(known) = self.endpoints.get(&id) {
            if known.state != EndpointState::Removed || known.removed_at > before {
                return (false, None);
            }
            if let Some(until) = wanted(&self.routes[known.route]) {
                return (false, Some(until));
            }
            self.free.push(known.route);
            self.endpoints.remove(&id);
            forgotten = true;
            if let Some(destination) = self.destinations.get_mut(&of) {
                destination.endpoints.retain(|other| *other != id);
            }
        }
        let empty = |of: &&Destination| of.endpoints.is_empty() && of.calls == 0;
        let Some(destination) = self.destinations.get(&of).filter(empty) else { return (forgotten, None) };
        if let Some(until) = destination.shared_route.and_then(|line| wanted(&self.routes[line])) {
            return (forgotten, Some(until));
        }
        self.free.extend(destination.shared_route);
        self.destinations.remove(&of);
        (forgotten, None)
    }

    /// The same for several, each once, in order: what became of each.
    pub fn retire_all(
        &mut self,
        mut leaving: Vec<(EndpointId, DestinationId)>,
        before: Timestamp,
        wanted: impl Fn(&L) -> Option<Timestamp>,
    ) -> Vec<(EndpointId, DestinationId, bool, Option<Timestamp>)> {
        leaving.sort_unstable();
        leaving.dedup();
        let mut retire = |(id, of)| {
            let (forgotten, again) = self.retire(id, of, before, &wanted);
            (id, of, forgotten, again)
        };
        leaving.into_iter().map(&mut retire).collect()
    }

    fn allocate(&mut self, line: L) -> usize {
        match self.free.pop() {
            Some(place) => {
                self.routes[place] = line;
                place
            }
            None => {
                self.routes.push(line);
                self.routes.len() - 1
            }
        }
    }
}

#[cfg(test)]
mod tests;
