//! Endpoint reports that senders exchange when one of them recovers.
use super::EventLoop;
use crate::daemon::endpoint_list::Phase;
use crate::{EndpointEntry, EndpointId, Event, TimeDelta, Timestamp};
use micadrum_recovery::EndpointRestrictions;
use micadrum_recovery::peer_report::EndpointReport;
use std::collections::BTreeMap;

impl EventLoop {
    /// Applies restrictions that peers reported, in addition to what this sender has observed. A later
    /// endpoint list overrides the reported phases.
    pub(super) fn apply_restrictions(&mut self, restrictions: EndpointRestrictions) {
        if !self.recovery.status.sends_backlog() {
            // The discovery agent answers a request for the whole list immediately, but one for changes only
            // when there are some.
            self.checkpointing.version = None;
        }
        let now = self.clock.now();
        let mut entries = Vec::new();
        for (name, report) in restrictions.endpoints {
            let Some(id) = self.endpoints.id_of(&name) else { continue };
            if report.is_withdrawn {
                entries.extend(self.drain_restricted(id));
            }
            if report.retry_after_us > 0 {
                self.queue
                    .push(now, Event::RetryAfter { endpoint: id, wait: TimeDelta(report.retry_after_us) });
            }
            self.engine.apply_peer_report(now, id, report.health);
        }
        if !entries.is_empty() {
            self.log(format_args!(
                "recovery: endpoints kept out of service, peers reported them as draining or removed count={}",
                entries.len()
            ));
            self.queue.push(now, Event::EndpointUpdates(entries));
        }
    }

    /// Marks a serving endpoint as draining until the next complete endpoint list.
    fn drain_restricted(&mut self, id: EndpointId) -> Option<EndpointEntry> {
        let tracked = self.endpoints.get_mut(id).filter(|tracked| tracked.listed.phase == Phase::Serving)?;
        tracked.listed.phase = Phase::Draining;
        let entry = self.endpoint_entry(id);
        self.checkpointing.version = None;
        entry
    }

    /// Returns the endpoint reports for a peer that recovers, by endpoint name, without empty ones.
    pub(super) fn endpoint_reports(&self) -> BTreeMap<String, EndpointReport> {
        let now = self.clock.now();
        let reports = self.endpoints.iter().map(|(id, tracked)| {
            let is_withdrawn = tracked.listed.phase != Phase::Serving;
            (tracked.listed.id.clone(), self.endpoint_report(id, is_withdrawn, now))
        });
        reports.filter(|(_, report)| !report.is_empty()).collect()
    }

    fn endpoint_report(&self, id: EndpointId, is_withdrawn: bool, now: Timestamp) -> EndpointReport {
        let [own, shared] =
            self.engine.route_snapshots(id).map(|learned| learned.map(|route| route.report(now)));
        let mut report = EndpointReport { is_withdrawn, ..EndpointReport::default() };
        for (wait, _) in own.iter().chain(&shared) {
            report.retry_after_us = report.retry_after_us.max(wait.0);
        }
        // Only the endpoint's own route has information about the endpoint's health.
        if let Some((_, health)) = own {
            report.health = health;
        }
        report
    }
}
