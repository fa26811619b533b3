//! The schedules of probes, gossip pushes and writes of the incarnation record.
use crate::gossip::GossipQueue;
use crate::member::MemberId;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The probes in progress and the probes to be started.
pub(super) struct ProbeSchedule {
    /// The ends of the probe rounds in progress, with the members probed.
    pub timers: BTreeSet<(Duration, MemberId)>,
    /// The members still to be probed in this round, in random order.
    pub round: Vec<MemberId>,
    /// Dead and departed members, in the order in which they are pinged.
    pub unreachable: VecDeque<MemberId>,
    /// Members to be probed as soon as the send budget permits.
    pub urgent: VecDeque<MemberId>,
    /// When urgent probes that exceeded the send budget are retried.
    pub urgent_retry_at: Option<Duration>,
    /// When the next regular probe is due.
    pub next_probe_at: Duration,
}

impl ProbeSchedule {
    /// Creates an empty schedule whose first regular probe is due now.
    pub fn new(now: Duration) -> Self {
        Self {
            timers: BTreeSet::new(),
            round: Vec::new(),
            unreachable: VecDeque::new(),
            urgent: VecDeque::new(),
            urgent_retry_at: None,
            next_probe_at: now,
        }
    }

    /// Removes all members that are not in `members`.
    pub fn retain_members(&mut self, members: &BTreeSet<MemberId>) {
        self.timers.retain(|(_, id)| members.contains(id));
        self.round.retain(|id| members.contains(id));
        self.unreachable.retain(|id| members.contains(id));
        self.urgent.retain(|id| members.contains(id));
    }

    /// Cancels all probes in progress and all urgent ones.
    pub fn cancel(&mut self) {
        self.timers.clear();
        self.urgent.clear();
        self.urgent_retry_at = None;
    }
}

/// The dissemination of gossip.
#[derive(Default)]
pub(super) struct GossipSchedule {
    pub queue: GossipQueue,
    /// When queued updates are next pushed to other members.
    pub push_at: Option<Duration>,
    /// When queued updates were last pushed.
    pub last_pushed: Option<Duration>,
}

/// The persistence of the incarnation record.
#[derive(Default)]
pub(super) struct RecordSchedule {
    /// When the record is next written.
    pub write_at: Option<Duration>,
    /// Whether the driver is writing the record.
    pub is_writing: bool,
}

/// The state from which isolation from all other members is detected.
#[derive(Default)]
pub(super) struct Connectivity {
    /// When the most recent of all answered probes was sent.
    pub last_answered_probe: Option<Duration>,
    /// When any member was last heard.
    pub last_heard: Option<Duration>,
    /// Whether no member answers.
    pub isolated: bool,
}
