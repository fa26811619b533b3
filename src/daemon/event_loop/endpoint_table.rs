//! The endpoints that discovery has listed, by the engine's numbers and by their names.
use crate::daemon::endpoint_list::{ListedEndpoint, Phase};
use crate::daemon::maintenance::Maintenance;
use crate::profile::Names;
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointState, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// One endpoint as the list last described it.
pub(super) struct TrackedEndpoint {
    pub(super) listed: ListedEndpoint,
    /// How many messages a call to the endpoint may carry.
    pub(super) max_batch_size: usize,
    /// When this sender first heard of the endpoint's phase, wall clock.
    pub(super) phase_since: Timestamp,
    /// Whether the list has the endpoint in service and no operator has taken it out.
    pub(super) is_serving: bool,
}

/// All endpoints that the engine still has a use for, and those that operators have taken out of service.
pub(super) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    ids: BTreeMap<String, EndpointId>,
    next_id: u32,
    pub(super) maintenance: Maintenance,
}

impl EndpointTable {
    /// A table without endpoints.
    pub(super) fn new(maintenance: Maintenance) -> Self {
        Self { endpoints: BTreeMap::new(), ids: BTreeMap::new(), next_id: 0, maintenance }
    }

    /// Returns an endpoint by its number.
    pub(super) fn get(&self, id: EndpointId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(&id)
    }

    /// Returns an endpoint by its number, to change it.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(&id)
    }

    /// Returns the number of the endpoint with that name.
    pub(super) fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Returns the number of the endpoint with that name, and assigns one to a new name.
    pub(super) fn assign_id(&mut self, name: &str) -> EndpointId {
        *self.ids.entry(name.to_owned()).or_insert_with(|| {
            let id = EndpointId(self.next_id);
            self.next_id += 1;
            id
        })
    }

    /// Returns all endpoints in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &TrackedEndpoint)> + Clone {
        self.endpoints.iter().map(|(id, tracked)| (*id, tracked))
    }

    /// Takes in what the list says of an endpoint; true if that differs from what was known.
    pub(super) fn update(
        &mut self,
        id: EndpointId,
        listed: ListedEndpoint,
        max_batch_size: usize,
        now: Timestamp,
    ) -> bool {
        let before = self.endpoints.get(&id);
        let unchanged_phase = before.filter(|tracked| tracked.listed.phase == listed.phase);
        let phase_since = unchanged_phase.map_or(now, |tracked| tracked.phase_since);
        let has_changed = before.is_none_or(|tracked| tracked.listed != listed);
        self.endpoints.insert(id, TrackedEndpoint { listed, max_batch_size, phase_since, is_serving: true });
        has_changed
    }

    /// Marks all endpoints that a complete list does not name as deleted.
    pub(super) fn delete_unlisted(&mut self, listed: &BTreeSet<EndpointId>, now: Timestamp) -> Removals {
        let mut removals = Removals::default();
        for (id, tracked) in self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            if tracked.listed.phase != Phase::Deleted {
                (tracked.listed.phase, tracked.phase_since) = (Phase::Deleted, now);
                removals.deleted.push(*id);
            }
            if std::mem::take(&mut tracked.is_serving) {
                removals.out_of_service.push(*id);
            }
        }
        removals
    }

    /// Forgets an endpoint and its name.
    pub(super) fn remove(&mut self, id: EndpointId) {
        if let Some(removed) = self.endpoints.remove(&id) {
            self.ids.remove(&removed.listed.id);
        }
    }

    /// Returns what the engine is told of an endpoint, and updates whether the endpoint is serving. An
    /// endpoint in maintenance drains whatever the list says.
    pub(super) fn entry(&mut self, id: EndpointId, names: &Names) -> Option<EndpointEntry> {
        let tracked = self.endpoints.get_mut(&id)?;
        let listed = &tracked.listed;
        let state = match listed.phase {
            Phase::Serving if self.maintenance.contains(&listed.id) => EndpointState::Draining,
            Phase::Serving => EndpointState::Active,
            Phase::Draining => EndpointState::Draining,
            Phase::Deleted => EndpointState::Removed,
        };
        tracked.is_serving = state == EndpointState::Active;
        Some(EndpointEntry {
            endpoint: id,
            destination: DestinationId(listed.destination),
            kind: *names.kinds.get(&listed.kind)?,
            zone: *names.zones.get(&listed.zone)?,
            state,
            capacity_hint: listed.capacity_hint,
        })
    }
}

/// What a complete list changed about endpoints that it does not name.
#[derive(Default)]
pub(super) struct Removals {
    /// Endpoints that are deleted since this list.
    pub(super) deleted: Vec<EndpointId>,
    /// Endpoints that were in service until this list.
    pub(super) out_of_service: Vec<EndpointId>,
}
