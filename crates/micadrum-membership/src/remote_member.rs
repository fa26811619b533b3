//! The state kept for one other member: its status, the probe in progress, and recent pings awaiting an ack.
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

/// Upper bound on pings remembered per member, so that late acks still yield round-trip time samples.
const MAX_REMEMBERED_PROBES: usize = 48;
/// Bounds on the time to wait for an ack.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time to wait for an ack before the first round-trip time sample.
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

/// A probe that has not been acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    pub started_at: Duration,
    pub stage: ProbeStage,
    /// Rounds of direct and indirect pings that ended without an ack.
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

/// When and on which path a member was last heard.
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
    /// Whether the member has announced that it lost the state of earlier incarnations.
    pub lost_state: bool,
    /// Whether the member's roster differs from this sender's.
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
    /// Pings sent to the member while it was dead or had left.
    pub reconnect_attempts: u32,
    /// Whether the member is queued for a probe outside the regular rounds.
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
    /// The keys are derived on first use, as deriving those of all members at once would delay the start of a
    /// large fleet.
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

    /// Returns whether the member takes part in the regular probe rounds.
    pub fn is_probed_in_rounds(&self) -> bool {
        self.status.is_probed_in_rounds()
    }

    /// Records that the member was heard.
    pub fn record_heard(&mut self, now: Duration, reach: Reach) {
        self.last_heard = Some(LastHeard { at: now, reach });
    }

    /// Returns when the member was last heard, or `None` if it never was.
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

    /// Removes and returns the ping with this nonce, or returns `None` if it was not sent or is no longer
    /// remembered.
    pub fn take_sent_probe(&mut self, nonce: u32) -> Option<SentProbe> {
        let position = self.sent_probes.iter().position(|sent| sent.nonce == nonce)?;
        self.sent_probes.remove(position)
    }

    /// Adds a round-trip time sample of the link to this member.
    pub fn add_round_trip_sample(&mut self, sample: Duration) {
        self.round_trip.get_or_insert_with(|| RoundTrip::from_first_sample(sample)).add_sample(sample);
    }

    /// Returns the time to wait for an ack. `zone_round_trip` is the estimate for the member's zone, used
    /// until the link itself has a sample.
    pub fn probe_timeout(&self, zone_round_trip: Option<RoundTrip>) -> Duration {
        self.round_trip
            .or(zone_round_trip)
            .map_or(INITIAL_PROBE_TIMEOUT, RoundTrip::timeout)
            .clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    /// Switches to the incarnation of an authentic datagram, whose sequence numbers start with an empty
    /// replay window.
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
