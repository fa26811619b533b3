//! The endpoints from discovery, by the engine's IDs and by name.
use crate::daemon::endpoint_list::{ListedEndpoint, Phase};
use crate::daemon::maintenance::Maintenance;
use crate::profile::Names;
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointState, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An endpoint with its latest entry in the endpoint list.
pub(super) struct TrackedEndpoint {
    pub(super) listed: ListedEndpoint,
    /// The maximum number of messages per call to the endpoint.
    pub(super) max_batch_size: usize,
    /// When this sender first received the endpoint's current phase, in wall time.
    pub(super) phase_since: Timestamp,
    /// Whether the endpoint is listed as serving and is not in maintenance.
    pub(super) is_serving: bool,
}

/// The endpoints that the engine has not forgotten, and the names of endpoints in maintenance.
pub(super) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    ids: BTreeMap<String, EndpointId>,
    next_id: u32,
    pub(super) maintenance: Maintenance,
}

impl EndpointTable {
    /// Creates a table without endpoints.
    pub(super) fn new(maintenance: Maintenance) -> Self {
        Self { endpoints: BTreeMap::new(), ids: BTreeMap::new(), next_id: 0, maintenance }
    }

    /// Returns the endpoint with this ID.
    pub(super) fn get(&self, id: EndpointId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(&id)
    }

    /// Returns a mutable reference to the endpoint with this ID.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(&id)
    }

    /// Returns the ID of the endpoint with this name.
    pub(super) fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Returns the ID of the endpoint with this name, and assigns one if the name is new.
    pub(super) fn assign_id(&mut self, name: &str) -> EndpointId {
        *self.ids.entry(name.to_owned()).or_insert_with(|| {
            let id = EndpointId(self.next_id);
            self.next_id += 1;
            id
        })
    }

    /// Returns all endpoints in the order of their IDs.
    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &TrackedEndpoint)> + Clone {
        self.endpoints.iter().map(|(id, tracked)| (*id, tracked))
    }

    /// Returns whether a list entry names a process that this sender does not know yet: another endpoint, one
    /// at another address, or one that has started again.
    pub(super) fn is_new_process(&self, listed: &ListedEndpoint) -> bool {
        let known = self.id_of(&listed.id).and_then(|id| self.get(id)).map(|tracked| &tracked.listed);
        known.is_none_or(|known| {
            known.address != listed.address
                || known.started_at_ms != listed.started_at_ms
                || known.phase == Phase::Deleted
        })
    }

    /// Updates an endpoint from its list entry. Returns whether the entry is new or has changed.
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

    /// Marks the endpoints as deleted whose addresses now belong to others: each address in `taken` belongs to
    /// the endpoints in `listed` alone. A process at an address serves one endpoint.
    pub(super) fn delete_superseded(
        &mut self,
        taken: &BTreeSet<SocketAddr>,
        listed: &BTreeSet<EndpointId>,
        now: Timestamp,
    ) -> Vec<EndpointId> {
        let mut superseded = Vec::new();
        if taken.is_empty() {
            return superseded;
        }
        for (id, tracked) in self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            if tracked.listed.phase != Phase::Deleted && taken.contains(&tracked.listed.address) {
                (tracked.listed.phase, tracked.phase_since) = (Phase::Deleted, now);
                superseded.push(*id);
            }
        }
        superseded
    }

    /// Marks all endpoints that are missing from a complete list as deleted.
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

    /// Removes an endpoint and its name.
    pub(super) fn remove(&mut self, id: EndpointId) {
        if let Some(removed) = self.endpoints.remove(&id) {
            self.ids.remove(&removed.listed.id);
        }
    }

    /// Returns the engine's entry for an endpoint, and updates whether the endpoint is serving. An endpoint
    /// in maintenance is draining even if the list has it as serving.
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

/// The endpoints that changed because a complete list does not contain them.
#[derive(Default)]
pub(super) struct Removals {
    /// Endpoints that became deleted with this list.
    pub(super) deleted: Vec<EndpointId>,
    /// Endpoints that stopped serving with this list.
    pub(super) out_of_service: Vec<EndpointId>,
}
