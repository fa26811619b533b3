//! The list: what it tells of endpoints, and what operators say beside it.
use super::EventLoop;
use crate::daemon::checkpoint::DiscoveryVersion;
use crate::daemon::endpoint_list::{EndpointList, ListedEndpoint, Phase};
use crate::daemon::events::AdminError;
use crate::{DestinationId, EndpointEntry, EndpointId, EndpointState, Event, Timestamp};
use micadrum_recovery::phases::Input;
use std::collections::BTreeSet;

/// One endpoint as the list last told of it.
pub(super) struct KnownEndpoint {
    pub(super) member: ListedEndpoint,
    pub(super) batch: usize,
    /// When its state was heard, wall clock.
    pub(super) heard: Timestamp,
    /// In service, and not taken out by hand.
    pub(super) serving: bool,
}

impl EventLoop {
    pub(super) fn targets(&mut self, targets: EndpointList) {
        let now = self.now();
        self.trace.list(now, &targets);
        let version = targets.agent.map(|agent| DiscoveryVersion { agent, revision: targets.revision });
        let mut news = Vec::new();
        let mut entries = Vec::with_capacity(targets.members.len());
        for member in targets.members {
            let kind = self.names.kinds.get(&member.flavor);
            let Some(kind) = kind.filter(|_| self.names.zones.contains_key(&member.locality)) else {
                self.log(&format!("discovery: {} is of an unknown kind or zone", member.id));
                continue;
            };
            let batch = self.settings.kinds[kind.0].max_batch_size.max(1);
            let endpoint = *self.endpoint_ids.entry(member.id.clone()).or_insert_with(|| {
                let id = EndpointId(self.next_endpoint);
                self.next_endpoint += 1;
                id
            });
            let before = self.endpoints.get(&endpoint);
            let heard = before.filter(|at| at.member.phase == member.phase).map_or(now, |at| at.heard);
            if before.is_none_or(|at| at.member != member) {
                news.push(endpoint);
            }
            self.endpoints.insert(endpoint, KnownEndpoint { member, batch, heard, serving: true });
            entries.extend(self.entry(endpoint));
        }
        if targets.complete {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
            for (endpoint, known) in &mut self.endpoints {
                if !listed.contains(endpoint) {
                    if known.member.phase != Phase::Deleted {
                        (known.member.phase, known.heard) = (Phase::Deleted, now);
                        news.push(*endpoint);
                    }
                    if std::mem::take(&mut known.serving) {
                        self.pool.close(*endpoint);
                    }
                }
            }
            self.pending.push((now, Event::EndpointSnapshot(entries)));
        } else if !entries.is_empty() {
            self.pending.push((now, Event::EndpointUpdates(entries)));
        }
        if let Some(version) = version {
            self.returning.handle(Input::EndpointListReceived);
            self.heard(version, news);
        }
    }

    pub(super) fn maintain(&mut self, name: &str, out: bool) -> Result<(), AdminError> {
        let listed = self.endpoint_ids.get(name).copied();
        let listed = listed.filter(|id| self.endpoints[id].member.phase != Phase::Deleted);
        if listed.is_none() && !self.maintenance.holds(name) {
            return Err(AdminError::Unknown(name.to_owned()));
        }
        let changed = if out { self.maintenance.take_out(name) } else { self.maintenance.put_back(name) }?;
        if let Some(id) = listed.filter(|_| changed) {
            self.log(&format!("{name} is {}", if out { "taken out by hand" } else { "put back" }));
            let entries = self.entry(id).into_iter().collect();
            self.pending.push((self.now(), Event::EndpointUpdates(entries)));
        }
        Ok(())
    }

    /// What the module is told of an endpoint: taken out by hand, it drains whatever the list says.
    pub(super) fn entry(&mut self, id: EndpointId) -> Option<EndpointEntry> {
        let known = self.endpoints.get_mut(&id)?;
        let member = &known.member;
        let listing = match member.phase {
            Phase::Serving if self.maintenance.holds(&member.id) => EndpointState::Draining,
            Phase::Serving => EndpointState::Active,
            Phase::Draining => EndpointState::Draining,
            Phase::Deleted => EndpointState::Removed,
        };
        known.serving = listing == EndpointState::Active;
        let entry = EndpointEntry {
            endpoint: id,
            destination: DestinationId(member.cell),
            kind: *self.names.kinds.get(&member.flavor)?,
            zone: *self.names.zones.get(&member.locality)?,
            state: listing,
            capacity_hint: member.size,
        };
        if !known.serving {
            self.pool.close(id);
        }
        Some(entry)
    }
}
