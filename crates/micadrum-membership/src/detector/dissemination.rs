//! Gossip: the dissemination of status changes, and the handling of received updates.
use super::{Event, Membership};
use crate::gossip::{GossipStatus, GossipUpdate, MAX_UPDATES_PER_DATAGRAM};
use crate::member::MemberId;
use crate::send_budget::SendPriority;
use crate::status::Status;
use std::time::Duration;

/// Upper bound on updates in a regular ping or ack.
const MAX_PIGGYBACKED_UPDATES: usize = 6;
/// How long an update waits for further ones before it is pushed.
const PUSH_DELAY: Duration = Duration::from_millis(10);
/// The minimum time between two pushes, so that updates about many simultaneous failures are batched.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// A member that was heard or probed within this time is not probed because of a gossip update.
const RECENT_CONTACT: Duration = Duration::from_millis(300);
/// Up to this number of other members, updates are pushed to all of them.
const MAX_MEMBERS_FOR_FULL_PUSH: usize = 64;
/// The number of members to which an update is pushed in larger fleets, per doubling of the fleet size.
const PUSH_FANOUT_PER_DOUBLING: usize = 4;
/// The number of times that an update is sent in addition to the push, per doubling of the fleet size.
const EXTRA_SENDS_PER_DOUBLING: usize = 2;

impl Membership {
    /// Sets the status of a member, and disseminates changes that other members should verify with a probe.
    pub(super) fn set_status(&mut self, id: MemberId, current: Status, now: Duration) {
        let member = self.members.get_mut(&id).filter(|member| member.status != current);
        let Some(member) = member else { return };
        let previous = std::mem::replace(&mut member.status, current);
        member.status_since = now;
        member.left_incarnation = if current == Status::Left { member.active_incarnation } else { None };
        let name = member.member.name.clone();
        if !current.is_probed_in_rounds() {
            self.cancel_probe(id);
            self.probes.unreachable.push_back(id);
        }
        if current == Status::Dead {
            self.counts.deaths += 1;
        }
        let incarnation = self.record.number_of(id);
        self.emit(Event::StatusChanged { name, previous, current, incarnation });
        if let Some(status) = gossip_about_change(previous, current) {
            self.disseminate(GossipUpdate { about: id, incarnation, status }, now);
        }
    }

    fn disseminate(&mut self, update: GossipUpdate, now: Duration) {
        let sends = self.push_fanout() + EXTRA_SENDS_PER_DOUBLING * self.fleet_doublings();
        self.gossip.queue.insert(update, sends as u32);
        let soon = now + PUSH_DELAY;
        let push_at = self.gossip.last_pushed.map_or(soon, |last| soon.max(last + MIN_PUSH_INTERVAL));
        self.gossip.push_at = self.gossip.push_at.or(Some(push_at));
    }

    /// Returns the updates for a ping or an ack.
    pub(super) fn next_piggybacked_updates(&mut self) -> Vec<GossipUpdate> {
        self.gossip.queue.next_batch(MAX_PIGGYBACKED_UPDATES)
    }

    /// Sends queued updates to live members, in dedicated pings.
    pub(super) fn push_gossip(&mut self, now: Duration) {
        let targets = self.random_members(self.push_fanout(), |_, member| member.status == Status::Live);
        let is_small_fleet = self.members.len() <= MAX_MEMBERS_FOR_FULL_PUSH;
        let priority = if is_small_fleet { SendPriority::Normal } else { SendPriority::Low };
        for id in targets {
            let updates = self.gossip.queue.next_batch(MAX_UPDATES_PER_DATAGRAM);
            if updates.is_empty() {
                return;
            }
            self.ping_with_updates(id, updates, priority, now);
        }
    }

    /// Returns the number of members to which an update is pushed at once.
    fn push_fanout(&self) -> usize {
        if self.members.len() <= MAX_MEMBERS_FOR_FULL_PUSH {
            self.members.len()
        } else {
            PUSH_FANOUT_PER_DOUBLING * self.fleet_doublings()
        }
    }

    /// Returns the length of the number of other members in bits, as an approximation of its binary
    /// logarithm.
    fn fleet_doublings(&self) -> usize {
        (usize::BITS - self.members.len().leading_zeros()) as usize
    }

    /// Handles received updates. An update about a third member can only trigger a probe of it.
    pub(super) fn receive_gossip(&mut self, updates: &[GossipUpdate], now: Duration) {
        for update in updates.iter().take(MAX_UPDATES_PER_DATAGRAM) {
            if update.about == self.roster.own() {
                self.receive_gossip_about_self(*update);
            } else if self.is_worth_probing(*update, now) {
                self.request_urgent_probe(update.about);
            }
        }
    }

    fn receive_gossip_about_self(&mut self, update: GossipUpdate) {
        let is_current = update.incarnation == self.local.incarnation.number;
        if update.status == GossipStatus::Unresponsive && is_current {
            self.local_health.degrade();
        }
    }

    fn is_worth_probing(&self, update: GossipUpdate, now: Duration) -> bool {
        let Some(member) = self.members.get(&update.about) else { return false };
        let known_number = self.record.number_of(update.about);
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < RECENT_CONTACT);
        let contradicts_belief = match update.status {
            GossipStatus::Unresponsive => {
                update.incarnation >= known_number
                    && matches!(member.status, Status::Live | Status::Unknown)
                    && !is_recent(member.last_heard())
            }
            GossipStatus::Recovered => member.status != Status::Live || update.incarnation > known_number,
        };
        contradicts_belief && member.probe.is_none() && !is_recent(member.last_probed)
    }
}

/// Returns the status to disseminate after a change, or `None` if the change is not disseminated.
fn gossip_about_change(previous: Status, current: Status) -> Option<GossipStatus> {
    match (previous, current) {
        (_, Status::Suspect | Status::Dead) => Some(GossipStatus::Unresponsive),
        (Status::Suspect | Status::Dead | Status::Left, Status::Live) => Some(GossipStatus::Recovered),
        _ => None,
    }
}
