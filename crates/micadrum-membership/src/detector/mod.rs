//! The failure detector: a state machine that probes other members, answers their probes, and tracks the
//! status of each.
//!
//! | module | task |
//! | --- | --- |
//! | `interface` | inputs, outputs and events |
//! | `local_member`, `schedule` | parts of the state |
//! | `probing` | probe rounds, indirect probes, declaring members suspect or dead |
//! | `receiving` | incoming datagrams: authentication, freshness, handling of pings and acks |
//! | `dissemination` | gossip: status changes, sent and received updates |
//! | `sending` | outgoing datagrams: sealing, send budget |
//! | `refutation` | this sender's own incarnation: persistence, confirmation, disputes |
//! | `reconfiguration` | roster changes, stalls of the process |
mod dissemination;
mod interface;
mod local_member;
mod probing;
mod receiving;
mod reconfiguration;
mod refutation;
mod schedule;
mod sending;

pub use interface::{Event, Input, Output, Settings};

use crate::incarnation::{Incarnation, IncarnationRecord};
use crate::local_health::LocalHealth;
use crate::member::{MemberId, Roster};
use crate::remote_member::RemoteMember;
use crate::round_trip::RoundTrip;
use crate::sealing::Secret;
use crate::send_budget::TokenBucket;
use crate::status::LocalStatus;
use crate::view::{Counts, View};
use local_member::LocalMember;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use schedule::{Connectivity, GossipSchedule, ProbeSchedule, RecordSchedule};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The membership of a fleet, as one of its members sees it.
pub struct Membership {
    settings: Settings,
    secret: Secret,
    rng: ChaCha8Rng,
    roster: Roster,
    record: IncarnationRecord,
    record_schedule: RecordSchedule,
    local: LocalMember,
    members: BTreeMap<MemberId, RemoteMember>,
    /// Round-trip time estimates per zone, used for members without a sample of their own.
    zone_round_trips: BTreeMap<String, RoundTrip>,
    probes: ProbeSchedule,
    gossip: GossipSchedule,
    connectivity: Connectivity,
    local_health: LocalHealth,
    send_tokens: TokenBucket,
    counts: Counts,
    last_nonce: u32,
    /// When this process started to send and accept datagrams.
    started_at: Duration,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// Starts the membership of a sender with the record of its earlier incarnations, or an empty one.
    ///
    /// The first output asks the driver to persist the new incarnation; nothing is sent before it is
    /// persisted.
    #[must_use]
    pub fn new(
        settings: Settings,
        secret: Secret,
        roster: Roster,
        mut record: IncarnationRecord,
        mut rng: ChaCha8Rng,
        now: Duration,
    ) -> Self {
        let run = draw_run(&mut rng);
        let next_number = record.own_number.checked_add(1);
        let incarnation = Incarnation { number: next_number.unwrap_or(u64::MAX), run };
        record.own_number = incarnation.number;
        let proof = secret.prove(incarnation);
        let mut membership = Self {
            send_tokens: TokenBucket::new(settings.send_budget, now),
            settings,
            secret,
            rng,
            record,
            record_schedule: RecordSchedule::default(),
            local: LocalMember::new(incarnation, proof),
            members: BTreeMap::new(),
            zone_round_trips: BTreeMap::new(),
            probes: ProbeSchedule::new(now),
            gossip: GossipSchedule::default(),
            connectivity: Connectivity::default(),
            local_health: LocalHealth::default(),
            counts: Counts::default(),
            last_nonce: 0,
            started_at: now,
            outputs: VecDeque::new(),
            roster,
        };
        membership.apply_roster(now);
        if next_number.is_none() {
            membership.set_local_status(LocalStatus::Exhausted);
        } else {
            membership.write_record();
        }
        membership
    }

    /// Handles an input. `now` must not be lower than in earlier calls.
    pub fn handle(&mut self, input: Input<'_>, now: Duration) {
        let due = self.due();
        if self.is_communicating() && self.local_health.record_wakeup(due, now) {
            self.restart_probes_after_stall(due.unwrap_or(now), now);
        }
        match input {
            Input::Datagram(bytes) => {
                self.counts.received += 1;
                if self.is_communicating() {
                    self.handle_datagram(bytes, now, None);
                }
            }
            Input::Timer => self.handle_timer(now),
            Input::RecordWritten => self.handle_record_written(now),
            Input::RecordWriteFailed => self.handle_record_write_failed(now),
            Input::Reconfigured(settings, roster) => {
                self.send_tokens = TokenBucket::new(settings.send_budget, now);
                self.settings = settings;
                self.roster = roster;
                self.apply_roster(now);
            }
            Input::Leave => self.leave(now),
        }
        self.send_urgent_probes(now);
    }

    /// Returns the next effect for the driver to perform, or `None` if there is none.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns when the driver has to report [`Input::Timer`] at the latest, or `None` if no timer is set.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        let round_end = self.probes.timers.first().map(|(at, _)| *at);
        let next_probe = self.is_communicating().then_some(self.probes.next_probe_at);
        let (urgent, gossip) = (self.probes.urgent_retry_at, self.gossip.push_at);
        [round_end, next_probe, urgent, gossip, self.record_schedule.write_at].into_iter().flatten().min()
    }

    /// Returns a snapshot of the membership state.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let own = self.roster.get(self.roster.own());
        let view_of = |(id, member): (&MemberId, &RemoteMember)| member.view(self.record.incarnation_of(*id));
        let mut peers: Vec<_> = self.members.iter().map(view_of).collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            at: now,
            own_name: own.map_or(String::new(), |member| member.name.clone()),
            incarnation: self.local.incarnation,
            local_status: self.local.status,
            lost_state: self.local.lost_state,
            isolated: self.connectivity.isolated,
            local_health_score: self.local_health.score(),
            peers,
            counts: self.counts,
        }
    }

    fn is_communicating(&self) -> bool {
        self.local.status.is_communicating()
    }

    fn emit(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }
}

/// Draws a random run for this process. The value 0 is reserved for an unknown run.
fn draw_run(rng: &mut ChaCha8Rng) -> u64 {
    loop {
        let run = rng.next_u64();
        if run != 0 {
            return run;
        }
    }
}
