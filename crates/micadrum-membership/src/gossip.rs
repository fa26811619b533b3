//! Gossip about third members. An update is not evidence of a member's status: the receiver probes the member
//! itself.
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound on updates in one datagram.
pub(crate) const MAX_UPDATES_PER_DATAGRAM: usize = 24;

/// The claimed status of a member. Encoded by position: variants are never reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipStatus {
    /// The member does not answer.
    Unresponsive,
    /// The member answers again, or runs under a new incarnation.
    Recovered,
}

/// A claim about one member. Encoded by position: fields are never reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GossipUpdate {
    pub about: MemberId,
    pub incarnation: u64,
    pub status: GossipStatus,
}

/// An update and the number of times that it is still to be sent.
struct QueuedUpdate {
    update: GossipUpdate,
    remaining_sends: u32,
}

/// The updates being disseminated, at most one per member. The cost of a batch grows with the number of
/// updates in it, not with the length of the queue.
#[derive(Default)]
pub(crate) struct GossipQueue {
    by_member: BTreeMap<MemberId, QueuedUpdate>,
    /// The send order: the update with the most remaining sends comes first.
    order: BTreeSet<(Reverse<u32>, MemberId)>,
}

impl GossipQueue {
    /// Queues an update for `sends` transmissions, replacing any earlier update about the same member.
    pub fn insert(&mut self, update: GossipUpdate, sends: u32) {
        self.remove(update.about);
        if sends > 0 {
            self.by_member.insert(update.about, QueuedUpdate { update, remaining_sends: sends });
            self.order.insert((Reverse(sends), update.about));
        }
    }

    /// Returns up to `max_updates` updates for the next datagram, and counts one send of each.
    pub fn next_batch(&mut self, max_updates: usize) -> Vec<GossipUpdate> {
        let first: Vec<_> = self.order.iter().take(max_updates).copied().collect();
        let mut batch = Vec::with_capacity(first.len());
        for (Reverse(remaining), id) in first {
            self.order.remove(&(Reverse(remaining), id));
            let Some(queued) = self.by_member.get_mut(&id) else { continue };
            batch.push(queued.update);
            queued.remaining_sends = remaining - 1;
            if queued.remaining_sends == 0 {
                self.by_member.remove(&id);
            } else {
                self.order.insert((Reverse(queued.remaining_sends), id));
            }
        }
        batch
    }

    /// Removes the update about a member, if one is queued.
    pub fn remove(&mut self, about: MemberId) {
        if let Some(queued) = self.by_member.remove(&about) {
            self.order.remove(&(Reverse(queued.remaining_sends), about));
        }
    }
}

#[cfg(test)]
mod tests;
