//! What a sender passes on of third parties. A rumour decides nothing: it points at whom to ask.
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// So many stand in one datagram at the most.
pub(crate) const MOST_IN_ONE: usize = 24;

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipStatus {
    /// It does not answer.
    Silent,
    /// It answers again, or under a new life.
    Back,
}

/// One rumour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GossipUpdate {
    pub about: MemberId,
    pub life: u64,
    pub word: GossipStatus,
}

/// Those that are being passed on: one for each member at the most. A datagram costs what it takes along, not what is held.
#[derive(Default)]
pub(crate) struct GossipQueue {
    /// By member, with how many more times it is told.
    held: BTreeMap<MemberId, (GossipUpdate, u32)>,
    /// The same in the order in which they are told: told least often so far goes first.
    order: BTreeSet<(Reverse<u32>, MemberId)>,
}

impl GossipQueue {
    /// Passes one on, `times` over; it takes the place of what was said of that member before.
    pub fn add(&mut self, rumour: GossipUpdate, times: u32) {
        self.forget(rumour.about);
        if times > 0 {
            self.held.insert(rumour.about, (rumour, times));
            self.order.insert((Reverse(times), rumour.about));
        }
    }

    /// Those for the next datagram.
    pub fn next(&mut self, most: usize) -> Vec<GossipUpdate> {
        let first: Vec<_> = self.order.iter().take(most).copied().collect();
        let mut told = Vec::with_capacity(first.len());
        for (Reverse(left), id) in first {
            self.order.remove(&(Reverse(left), id));
            let Some((rumour, kept)) = self.held.get_mut(&id) else { continue };
            told.push(*rumour);
            *kept = left - 1;
            if *kept == 0 {
                self.held.remove(&id);
            } else {
                self.order.insert((Reverse(*kept), id));
            }
        }
        told
    }

    /// Forgets what is said of a member.
    pub fn forget(&mut self, of: MemberId) {
        if let Some((_, left)) = self.held.remove(&of) {
            self.order.remove(&(Reverse(left), of));
        }
    }
}

#[cfg(test)]
mod tests;
