//! The state of this sender's own membership.
use crate::incarnation::{Incarnation, IncarnationProof};
use crate::member::MemberId;
use crate::status::LocalStatus;
use std::collections::BTreeSet;
use std::time::Duration;

/// This sender as a member.
pub(super) struct LocalMember {
    pub incarnation: Incarnation,
    pub proof: IncarnationProof,
    /// Whether the state of earlier incarnations was lost.
    pub lost_state: bool,
    pub status: LocalStatus,
    /// How often this process has moved to a higher incarnation since its start.
    pub renewals: u32,
    /// When another process was first found to use this incarnation number, or `None` if none is known to.
    pub disputed_since: Option<Duration>,
    /// The members that have reported this incarnation as the highest one that they know.
    pub confirmed_by: BTreeSet<MemberId>,
    /// The sequence number of the last datagram sent under this incarnation.
    pub last_sequence: u64,
}

impl LocalMember {
    /// Creates a member whose incarnation is not persisted yet.
    pub fn new(incarnation: Incarnation, proof: IncarnationProof) -> Self {
        Self {
            incarnation,
            proof,
            lost_state: false,
            status: LocalStatus::PersistingIncarnation,
            renewals: 0,
            disputed_since: None,
            confirmed_by: BTreeSet::new(),
            last_sequence: 0,
        }
    }

    /// Moves to a higher incarnation, which no member has confirmed yet.
    pub fn renew(&mut self, incarnation: Incarnation, proof: IncarnationProof) {
        self.incarnation = incarnation;
        self.proof = proof;
        self.renewals += 1;
        self.last_sequence = 0;
        self.lost_state = true;
        self.confirmed_by.clear();
    }
}
