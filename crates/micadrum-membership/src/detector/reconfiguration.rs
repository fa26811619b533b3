//! Roster changes, and recovery from stalls of the process.
use super::{Event, Membership};
use crate::member::MemberId;
use crate::remote_member::{PendingProbe, RemoteMember};
use crate::status::Status;
use std::collections::BTreeSet;
use std::time::Duration;

impl Membership {
    /// Adds, removes and updates members to match the roster. A member whose key has changed is replaced by a
    /// new one.
    pub(super) fn apply_roster(&mut self, now: Duration) {
        let roster = &self.roster;
        let gossip = &mut self.gossip.queue;
        self.members.retain(|id, known| {
            let stays = roster.get(*id).is_some_and(|member| member.key == known.member.key);
            if !stays {
                gossip.remove(*id);
            }
            stays
        });
        for (id, member) in roster.others() {
            let known = self.members.entry(id).or_insert_with(|| RemoteMember::new(member.clone(), now));
            known.member = member.clone();
        }
        self.remove_former_members();
        if self.is_communicating() {
            for id in self.shuffled_members(|member| member.status == Status::Unknown) {
                self.request_urgent_probe(id);
            }
            self.check_confirmed();
        }
    }

    /// Removes all remaining state of members that are no longer on the roster.
    fn remove_former_members(&mut self) {
        let current: BTreeSet<MemberId> = self.members.keys().copied().collect();
        self.probes.retain_members(&current);
        self.local.confirmed_by.retain(|id| current.contains(id));
        let members = &self.members;
        self.zone_round_trips.retain(|zone, _| members.values().any(|known| known.member.zone == *zone));
    }

    /// Restarts all probes in progress after a stall. Their acks may still be in the socket buffer, so
    /// missing acks are not counted as failures.
    pub(super) fn restart_probes_after_stall(&mut self, due: Duration, now: Duration) {
        let late_ms = now.saturating_sub(due).as_millis() as u64;
        self.emit(Event::Stalled { late_ms });
        self.connectivity.last_answered_probe = None;
        self.probes.timers.clear();
        for (id, member) in &mut self.members {
            let zone_round_trip = self.zone_round_trips.get(&member.member.zone).copied();
            let timeout = member.probe_timeout(zone_round_trip);
            if let Some(probe) = &mut member.probe {
                *probe = PendingProbe::new(now, now + timeout);
                self.probes.timers.insert((probe.expires_at, *id));
            }
        }
    }
}
