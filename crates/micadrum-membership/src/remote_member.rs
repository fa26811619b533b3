//! What this sender knows of one other member: its state, the probe in progress, and recent probes awaiting an ack.
use crate::datagram::Header;
use crate::incarnation::Incarnation;
use crate::member::{Member, MemberId};
use crate::replay_window::ReplayWindow;
use crate::round_trip::RoundTrip;
use crate::sealing::{Secret, SessionKeys};
use crate::send_budget::{SendBudget, TokenBucket};
use crate::status::{Reach, Status};
use crate::view::PeerView;
use std::collections::VecDeque;
use std::time::Duration;

/// Probes remembered for acks that arrive late: such acks still measure the link.
const MAX_REMEMBERED_PROBES: usize = 48;
/// Bounds on how long an ack is waited for.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an ack is waited for before the link was measured.
const INITIAL_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Datagrams received from one member beyond this rate are dropped.
const RECEIVE_LIMIT: SendBudget = SendBudget { datagrams_per_second: 400.0, bytes_per_second: 200_000.0 };

/// The stage of a probe (SWIM, section 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// A direct ping was sent.
    Direct,
    /// The ping was repeated, and sent through other members.
    Indirect,
}

/// A probe without an ack so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    pub started_at: Duration,
    pub stage: ProbeStage,
    /// Rounds of direct and indirect pings that remained without an ack.
    pub failed_rounds: u32,
    /// When the current round ends.
    pub expires_at: Duration,
}

impl PendingProbe {
    /// Creates a probe whose first, direct round ends at `expires_at`.
    pub fn new(now: Duration, expires_at: Duration) -> Self {
        Self { started_at: now, stage: ProbeStage::Direct, failed_rounds: 0, expires_at }
    }
}

/// The path on which a ping was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePath {
    Direct,
    Indirect,
}

/// A ping whose ack may still arrive.
pub(crate) struct SentProbe {
    nonce: u32,
    pub sent_at: Duration,
    pub path: ProbePath,
}

/// The last sign of life of a member.
#[derive(Clone, Copy)]
struct LastHeard {
    at: Duration,
    reach: Reach,
}

/// The session keys of a member, derived on first use.
enum SessionKeyState {
    NotDerived,
    /// The member's public key is degenerate.
    Unavailable,
    Derived(SessionKeys),
}

/// One other member of the fleet.
pub(crate) struct RemoteMember {
    pub member: Member,
    session_keys: SessionKeyState,
    pub status: Status,
    pub status_since: Duration,
    /// The member announced that it has lost the state of earlier incarnations.
    pub lost_state: bool,
    /// The member's roster differs from this sender's.
    pub roster_differs: bool,
    /// The incarnation whose datagrams `replay_window` covers.
    pub active_incarnation: Option<Incarnation>,
    pub replay_window: ReplayWindow,
    pub receive_limit: TokenBucket,
    pub probe: Option<PendingProbe>,
    last_heard: Option<LastHeard>,
    /// When the member last answered a direct ping.
    pub last_direct_ack: Option<Duration>,
    sent_probes: VecDeque<SentProbe>,
    round_trip: Option<RoundTrip>,
    /// Attempts to reach the member while it is dead or has left.
    pub reconnect_attempts: u32,
    /// The member is queued for a probe outside the regular rounds.
    pub is_urgent: bool,
    pub last_probed: Option<Duration>,
    /// The incarnation under which the member announced that it leaves.
    pub left_incarnation: Option<Incarnation>,
}

impl RemoteMember {
    /// Creates a member that has not been heard yet.
    pub fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            session_keys: SessionKeyState::NotDerived,
            status: Status::Unknown,
            status_since: now,
            lost_state: false,
            roster_differs: false,
            active_incarnation: None,
            replay_window: ReplayWindow::default(),
            receive_limit: TokenBucket::new(RECEIVE_LIMIT, now),
            probe: None,
            last_heard: None,
            last_direct_ack: None,
            sent_probes: VecDeque::new(),
            round_trip: None,
            reconnect_attempts: 0,
            is_urgent: false,
            last_probed: None,
            left_incarnation: None,
        }
    }

    /// Returns the session keys shared with this member, or `None` if its public key is degenerate.
    ///
    /// The keys are derived on first use: a key agreement takes some 50 us, and a thousand at once would delay the start.
    pub fn session_keys(&mut self, secret: &Secret, own: MemberId) -> Option<SessionKeys> {
        if matches!(self.session_keys, SessionKeyState::NotDerived) {
            let other = MemberId::of(&self.member.name);
            let derived = secret.session_keys(own, other, &self.member.key);
            self.session_keys = derived.map_or(SessionKeyState::Unavailable, SessionKeyState::Derived);
        }
        match &self.session_keys {
            SessionKeyState::Derived(keys) => Some(*keys),
            SessionKeyState::NotDerived | SessionKeyState::Unavailable => None,
        }
    }

    /// Whether the member takes part in the regular probe rounds.
    pub fn is_probed_in_rounds(&self) -> bool {
        self.status.is_probed_in_rounds()
    }

    /// Records a sign of life.
    pub fn record_heard(&mut self, now: Duration, reach: Reach) {
        self.last_heard = Some(LastHeard { at: now, reach });
    }

    /// Returns when the member last gave a sign of life.
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard.map(|heard| heard.at)
    }

    /// Records a ping that was sent.
    pub fn record_probe_sent(&mut self, nonce: u32, now: Duration, path: ProbePath) {
        self.last_probed = Some(now);
        if self.sent_probes.len() == MAX_REMEMBERED_PROBES {
            self.sent_probes.pop_front();
        }
        self.sent_probes.push_back(SentProbe { nonce, sent_at: now, path });
    }

    /// Removes and returns the ping that an ack with this nonce answers.
    pub fn take_sent_probe(&mut self, nonce: u32) -> Option<SentProbe> {
        let position = self.sent_probes.iter().position(|sent| sent.nonce == nonce)?;
        self.sent_probes.remove(position)
    }

    /// Adds a round-trip time sample of the link to this member.
    pub fn add_round_trip_sample(&mut self, sample: Duration) {
        self.round_trip.get_or_insert_with(|| RoundTrip::from_first_sample(sample)).add_sample(sample);
    }

    /// Returns how long an ack is waited for. `zone_round_trip` is the estimate for the member's zone, used while the
    /// link itself is not measured.
    pub fn probe_timeout(&self, zone_round_trip: Option<RoundTrip>) -> Duration {
        self.round_trip
            .or(zone_round_trip)
            .map_or(INITIAL_PROBE_TIMEOUT, RoundTrip::timeout)
            .clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    /// Switches to the incarnation of an authentic datagram: datagrams of the previous one do not count against its replay window.
    pub fn begin_incarnation(&mut self, header: &Header) {
        self.active_incarnation = Some(header.incarnation);
        self.replay_window = ReplayWindow::default();
        self.lost_state = header.lost_state;
    }

    /// Returns the public view of this member; `incarnation` is the highest one known.
    pub fn view(&self, incarnation: Option<Incarnation>) -> PeerView {
        PeerView {
            name: self.member.name.clone(),
            address: self.member.address,
            zone: self.member.zone.clone(),
            status: self.status,
            since: self.status_since,
            last_heard: self.last_heard(),
            reach: self.last_heard.map(|heard| heard.reach),
            last_direct_ack: self.last_direct_ack,
            round_trip: self.round_trip.map(RoundTrip::smoothed),
            incarnation,
            lost_state: self.lost_state,
            roster_differs: self.roster_differs,
        }
    }
}
