//! Endpoints and destinations as the list tells of them, with a place for what is learned of each line.
use crate::{DestinationId, EndpointId, Entry, KindId, Listing, Time, ZoneId};
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
    pub listing: Listing,
    /// Its line's place.
    pub line: usize,
    /// When it went, if it has.
    pub gone: Time,
}

/// A destination with endpoints.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct Destination {
    /// The place of the line that its endpoints share, if they do.
    pub shared: Option<usize>,
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
    lines: Vec<L>,
    free: Vec<usize>,
}

impl<L> Directory<L> {
    /// Nothing is listed.
    pub fn new() -> Self {
        Self {
            endpoints: FxHashMap::default(),
            destinations: FxHashMap::default(),
            lines: Vec::new(),
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
    pub fn call_begun(&mut self, id: EndpointId) {
        if let Some(of) = self.of_mut(id) {
            of.calls += 1;
        }
    }

    /// A call to a known endpoint is over.
    pub fn call_over(&mut self, id: EndpointId) {
        if let Some(of) = self.of_mut(id) {
            of.calls -= 1;
        }
    }

    fn of_mut(&mut self, id: EndpointId) -> Option<&mut Destination> {
        self.destinations.get_mut(&self.endpoints.get(&id)?.destination)
    }

    /// The line at a place.
    pub fn line(&self, place: usize) -> &L {
        &self.lines[place]
    }

    /// The line at a place, to change it.
    pub fn line_mut(&mut self, place: usize) -> &mut L {
        &mut self.lines[place]
    }

    /// The places of an endpoint's own line and of the one that it shares.
    pub fn places(&self, at: &Endpoint) -> [Option<usize>; 2] {
        [Some(at.line), self.destinations.get(&at.destination).and_then(|d| d.shared)]
    }

    /// An endpoint's own line and the one that it shares.
    pub fn lines(&self, at: &Endpoint) -> impl Iterator<Item = &L> {
        self.places(at).into_iter().flatten().map(|place| &self.lines[place])
    }

    /// The known endpoints of a destination.
    pub fn endpoints_of(&self, id: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.destinations.get(&id).into_iter().flat_map(|d| &d.endpoints);
        ids.filter_map(|id| self.endpoints.get(id).map(|at| (*id, at)))
    }

    /// Enters what a list says, all of it if it is `whole`: then what it does not name is gone. A new endpoint gets a
    /// line of its own by `line`, and so does a new destination whose endpoints share a limit, which `shares` tells.
    /// All endpoints that were told of, with since when they are gone, if they are, and what the list said before.
    pub fn enter(
        &mut self,
        entries: &[Entry],
        whole: bool,
        now: Time,
        shares: impl Fn(KindId) -> bool,
        line: impl Fn(&Entry, Option<EndpointId>) -> L,
    ) -> Vec<(EndpointId, DestinationId, Option<Time>, Listing)> {
        let mut told = Vec::with_capacity(entries.len());
        if whole {
            let listed = self.endpoints.iter().filter(|(_, known)| known.listing != Listing::Removed);
            let mut unlisted: BTreeSet<EndpointId> = listed.map(|(id, _)| *id).collect();
            for entry in entries {
                unlisted.remove(&entry.endpoint);
            }
            told.extend(unlisted.into_iter().filter_map(|id| self.relist(id, Listing::Removed, now)));
        }
        for entry in entries {
            let Entry { endpoint, destination, zone, kind, listing, .. } = *entry;
            if !self.endpoints.contains_key(&endpoint) {
                let own = self.place(line(entry, Some(endpoint)));
                let known = self.destinations.get(&destination).and_then(|d| d.shared);
                let shared = known.or_else(|| shares(kind).then(|| self.place(line(entry, None))));
                let of = self.destinations.entry(destination).or_default();
                of.shared = shared;
                of.endpoints.push(endpoint);
                let new = Endpoint { destination, zone, kind, listing, line: own, gone: now };
                self.endpoints.insert(endpoint, new);
            }
            told.extend(self.relist(endpoint, listing, now));
        }
        told
    }

    fn relist(
        &mut self,
        id: EndpointId,
        listing: Listing,
        now: Time,
    ) -> Option<(EndpointId, DestinationId, Option<Time>, Listing)> {
        let known = self.endpoints.get_mut(&id)?;
        if known.listing != Listing::Removed || listing != Listing::Removed {
            known.gone = now;
        }
        let before = std::mem::replace(&mut known.listing, listing);
        Some((id, known.destination, (listing == Listing::Removed).then_some(known.gone), before))
    }

    /// Forgets an endpoint that has been gone since `before` or longer, and its destination with the last one, as far
    /// as nothing is out to them and `wanted` tells no moment up to which their lines are still of use: the first such
    /// moment to come, if that keeps one of them. Whether the endpoint was forgotten.
    pub fn retire(
        &mut self,
        id: EndpointId,
        of: DestinationId,
        before: Time,
        wanted: impl Fn(&L) -> Option<Time>,
    ) -> (bool, Option<Time>) {
        let mut forgotten = false;
        if let Some(known) = self.endpoints.get(&id) {
            if known.listing != Listing::Removed || known.gone > before {
                return (false, None);
            }
            if let Some(until) = wanted(&self.lines[known.line]) {
                return (false, Some(until));
            }
            self.free.push(known.line);
            self.endpoints.remove(&id);
            forgotten = true;
            if let Some(destination) = self.destinations.get_mut(&of) {
                destination.endpoints.retain(|other| *other != id);
            }
        }
        let empty = |of: &&Destination| of.endpoints.is_empty() && of.calls == 0;
        let Some(destination) = self.destinations.get(&of).filter(empty) else { return (forgotten, None) };
        if let Some(until) = destination.shared.and_then(|line| wanted(&self.lines[line])) {
            return (forgotten, Some(until));
        }
        self.free.extend(destination.shared);
        self.destinations.remove(&of);
        (forgotten, None)
    }

    /// The same for several, each once, in order: what became of each.
    pub fn retire_all(
        &mut self,
        mut leaving: Vec<(EndpointId, DestinationId)>,
        before: Time,
        wanted: impl Fn(&L) -> Option<Time>,
    ) -> Vec<(EndpointId, DestinationId, bool, Option<Time>)> {
        leaving.sort_unstable();
        leaving.dedup();
        let mut retire = |(id, of)| {
            let (forgotten, again) = self.retire(id, of, before, &wanted);
            (id, of, forgotten, again)
        };
        leaving.into_iter().map(&mut retire).collect()
    }

    fn place(&mut self, line: L) -> usize {
        match self.free.pop() {
            Some(place) => {
                self.lines[place] = line;
                place
            }
            None => {
                self.lines.push(line);
                self.lines.len() - 1
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(endpoint: u32, destination: u64, listing: Listing) -> Entry {
        let (endpoint, destination) = (EndpointId(endpoint), DestinationId(destination));
        Entry { endpoint, destination, kind: KindId(0), zone: ZoneId(0), listing, hint: 0.0 }
    }

    fn list(
        known: &mut Directory<Line>,
        entries: &[Entry],
        whole: bool,
        now: u64,
    ) -> Vec<(u32, Option<u64>)> {
        let line = |entry: &Entry, own| (entry.destination, own);
        let told = known.enter(entries, whole, Time(now), |_| true, line);
        told.into_iter().map(|(id, _, gone, _)| (id.0, gone.map(|gone| gone.0))).collect()
    }

    type Line = (DestinationId, Option<EndpointId>);

    /// Guards against lines that add up as endpoints come and go, and against two endpoints on one line.
    #[test]
    fn lines_are_used_again_and_never_shared_by_mistake() {
        let mut known = Directory::new();
        for round in 0..50_u32 {
            let ids: Vec<u32> = (round * 4..round * 4 + 4).collect();
            let entries: Vec<_> =
                ids.iter().map(|e| entry(*e, u64::from(e % 4 / 2), Listing::Active)).collect();
            list(&mut known, &entries, true, 1);
            let mut places = BTreeSet::new();
            for (id, at) in (0..2).flat_map(|d| known.endpoints_of(DestinationId(d))) {
                let lines: Vec<_> = known.lines(at).copied().collect();
                assert_eq!(lines, [(at.destination, Some(id)), (at.destination, None)]);
                places.extend(known.places(at).into_iter().flatten());
            }
            assert_eq!((places.len(), known.lines.len()), (6, 6), "round {round}");
            list(&mut known, &[], true, 2);
            for e in &entries {
                assert_eq!(known.retire(e.endpoint, e.destination, Time(2), |_| None), (true, None));
            }
        }
    }

    /// Guards against forgetting what is still of use: in service, gone a short while ago, or told to wait.
    #[test]
    fn what_is_still_wanted_stays() {
        let mut known = Directory::new();
        list(&mut known, &[entry(1, 7, Listing::Active)], false, 1);
        let retire = |known: &mut Directory<Line>, before, own, shared| {
            let wanted = |line: &Line| if line.1.is_some() { own } else { shared };
            known.retire(EndpointId(1), DestinationId(7), Time(before), wanted)
        };
        assert_eq!(retire(&mut known, 9, None, None), (false, None), "in service");
        list(&mut known, &[], true, 5);
        assert_eq!(retire(&mut known, 4, None, None), (false, None), "gone since");
        assert_eq!(retire(&mut known, 5, Some(Time(8)), None), (false, Some(Time(8))));
        assert_eq!(retire(&mut known, 5, None, Some(Time(9))), (true, Some(Time(9))));
        assert!(known.destination(DestinationId(7)).is_some());
        assert_eq!(retire(&mut known, 5, None, None), (false, None));
        assert!(known.destination(DestinationId(7)).is_none());
    }

    /// Guards against an endpoint whose time of leaving moves, and against a whole list that leaves it listed.
    #[test]
    fn an_endpoint_is_gone_since_it_was_last_listed() {
        let mut known = Directory::new();
        let gone = [entry(1, 1, Listing::Removed)];
        let first = [entry(1, 1, Listing::Active), entry(2, 1, Listing::Removed)];
        assert_eq!(list(&mut known, &first, false, 1), [(1, None), (2, Some(1))]);
        assert_eq!(list(&mut known, &[entry(3, 1, Listing::Active)], true, 5), [(1, Some(5)), (3, None)]);
        assert_eq!(list(&mut known, &gone, false, 9), [(1, Some(5))]);
        assert_eq!(list(&mut known, &[entry(1, 1, Listing::Draining)], false, 11), [(1, None)]);
        assert_eq!(list(&mut known, &gone, false, 12), [(1, Some(12))]);
    }
}
