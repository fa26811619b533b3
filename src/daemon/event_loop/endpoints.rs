//! Applies endpoint lists from discovery, and maintenance requests from operators.
use super::EventLoop;
use crate::daemon::checkpoint::DiscoveryVersion;
use crate::daemon::endpoint_list::{EndpointList, ListedEndpoint, Phase};
use crate::daemon::events::{AdminError, MaintenanceChange};
use crate::{EndpointEntry, EndpointId, Event, Timestamp};
use micadrum_recovery::phases::Input;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl EventLoop {
    /// Applies a complete endpoint list, or an incremental update of one.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let now = self.clock.now();
        self.trace.endpoint_list(now, &list);
        let version = list.agent.map(|agent| DiscoveryVersion { agent, revision: list.revision });
        let mut changed = Vec::new();
        let mut entries = Vec::with_capacity(list.endpoints.len());
        let mut taken_addresses = BTreeSet::new();
        for listed in list.endpoints {
            let is_new = listed.phase != Phase::Deleted && self.endpoints.is_new_process(&listed);
            let address = listed.address;
            let Some(id) = self.update_endpoint(listed, now, &mut changed) else { continue };
            if is_new {
                // Connections to an earlier process of the endpoint are of no use.
                self.calls.pool.close(id);
                taken_addresses.insert(address);
            }
            entries.extend(self.endpoint_entry(id));
        }
        if !list.complete {
            let superseded = self.delete_superseded(&taken_addresses, &entries, now);
            entries.extend(superseded.iter().filter_map(|id| self.endpoint_entry(*id)));
            changed.extend(superseded);
        }
        if list.complete {
            changed.extend(self.delete_unlisted(&entries, now));
            self.queue.push(now, Event::EndpointSnapshot(entries));
        } else if !entries.is_empty() {
            self.queue.push(now, Event::EndpointUpdates(entries));
        }
        if let Some(version) = version {
            self.recovery.status.handle(Input::EndpointListReceived);
            self.record_list_version(version, changed);
        }
    }

    /// Applies one entry of a list, and adds its endpoint to `changed` if the entry is new or has changed.
    /// Returns `None` if its kind or zone is not in the settings.
    fn update_endpoint(
        &mut self,
        listed: ListedEndpoint,
        now: Timestamp,
        changed: &mut Vec<EndpointId>,
    ) -> Option<EndpointId> {
        let Some(max_batch_size) = self.configuration.max_batch_size(&listed) else {
            self.log(format_args!(
                "discovery: endpoint ignored, unknown kind or zone endpoint={} kind={} zone={}",
                listed.id, listed.kind, listed.zone
            ));
            return None;
        };
        let id = self.endpoints.assign_id(&listed.id);
        if self.endpoints.update(id, listed, max_batch_size, now) {
            changed.push(id);
        }
        Some(id)
    }

    /// Marks the endpoints that are not among `entries` as deleted whose addresses are `taken` by some of these,
    /// and returns them.
    fn delete_superseded(
        &mut self,
        taken: &BTreeSet<SocketAddr>,
        entries: &[EndpointEntry],
        now: Timestamp,
    ) -> Vec<EndpointId> {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let superseded = self.endpoints.delete_superseded(taken, &listed, now);
        for id in &superseded {
            if let Some(tracked) = self.endpoints.get(*id) {
                let ListedEndpoint { id, address, .. } = &tracked.listed;
                self.log(format_args!(
                    "discovery: endpoint removed, another one has its address endpoint={id} address={address}"
                ));
            }
        }
        superseded
    }

    /// Marks the endpoints that are not among `entries` as deleted, and returns those that were not deleted
    /// before.
    fn delete_unlisted(&mut self, entries: &[EndpointEntry], now: Timestamp) -> Vec<EndpointId> {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let removals = self.endpoints.delete_unlisted(&listed, now);
        for id in removals.out_of_service {
            self.calls.pool.close(id);
        }
        removals.deleted
    }

    /// Takes an endpoint out of service for an operator, or puts it back.
    ///
    /// # Errors
    /// Returns an error if the endpoint is unknown or the change cannot be stored.
    pub(super) fn change_maintenance(
        &mut self,
        name: &str,
        change: MaintenanceChange,
    ) -> Result<(), AdminError> {
        let is_listed = |id: &EndpointId| {
            self.endpoints.get(*id).is_some_and(|tracked| tracked.listed.phase != Phase::Deleted)
        };
        let listed = self.endpoints.id_of(name).filter(is_listed);
        let maintenance = &mut self.endpoints.maintenance;
        if listed.is_none() && !maintenance.contains(name) {
            return Err(AdminError::UnknownEndpoint(name.to_owned()));
        }
        let (has_changed, event) = match change {
            MaintenanceChange::Enter => (maintenance.enter(name)?, "endpoint taken out of service"),
            MaintenanceChange::Exit => (maintenance.exit(name)?, "endpoint put back into service"),
        };
        if let Some(id) = listed.filter(|_| has_changed) {
            self.log(format_args!("maintenance: {event} endpoint={name}"));
            let entries = self.endpoint_entry(id).into_iter().collect();
            self.queue.push(self.clock.now(), Event::EndpointUpdates(entries));
        }
        Ok(())
    }

    /// Returns the engine's entry for an endpoint, and closes its idle connections if it is not serving.
    pub(super) fn endpoint_entry(&mut self, id: EndpointId) -> Option<EndpointEntry> {
        let entry = self.endpoints.entry(id, &self.configuration.names)?;
        if self.endpoints.get(id).is_some_and(|tracked| !tracked.is_serving) {
            self.calls.pool.close(id);
        }
        Some(entry)
    }
}
