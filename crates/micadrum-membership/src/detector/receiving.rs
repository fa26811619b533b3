//! Incoming datagrams: authentication, freshness, and the handling of pings and acks.
use super::{Event, Membership};
use crate::datagram::{self, Body, DatagramError, Header};
use crate::gossip::GossipUpdate;
use crate::incarnation::{IncarnationProof, KnownIncarnation};
use crate::member::MemberId;
use crate::remote_member::ProbePath;
use crate::round_trip::RoundTrip;
use crate::send_budget::SendPriority;
use crate::status::{Reach, Status};
use std::time::Duration;

/// How long after its start or a stall a process discards round-trip time samples.
const MEASUREMENT_WARM_UP: Duration = Duration::from_secs(1);
/// The delay between a change of the incarnation record and its write.
const RECORD_WRITE_DELAY: Duration = Duration::from_millis(200);
/// Upper bound on the length of a datagram relayed for another member, which is a ping or an ack.
const MAX_RELAYED_BYTES: usize = 400;

/// Why a received datagram is dropped.
enum Rejection {
    Foreign,
    Forged,
    OverLimit,
}

impl From<DatagramError> for Rejection {
    fn from(error: DatagramError) -> Self {
        match error {
            DatagramError::Forged => Self::Forged,
            DatagramError::Foreign | DatagramError::Malformed => Self::Foreign,
        }
    }
}

/// Whether a datagram proves that its sender is alive now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// The datagram is addressed to this run and arrived for the first time under its sender's current
    /// incarnation.
    Fresh,
    /// The datagram is authentic, but may be a replay.
    Unproven,
    /// The datagram has been received before.
    Replayed,
}

/// The header of an authentic datagram, and how the datagram arrived.
struct Received {
    header: Header,
    /// The member that relayed the datagram, unless it arrived directly.
    relayed_by: Option<MemberId>,
    is_fresh: bool,
}

/// The contents of an ack.
struct Ack {
    nonce: u32,
    known: Option<KnownIncarnation>,
    updates: Vec<GossipUpdate>,
    is_fresh: bool,
}

/// A ping to be answered.
pub(super) struct PingToAnswer {
    pub from: MemberId,
    pub from_run: u64,
    pub nonce: u32,
    /// The member that relayed the ping, unless it arrived directly.
    pub relayed_by: Option<MemberId>,
    pub is_fresh: bool,
}

impl Membership {
    /// Handles a datagram; `relayed_by` is the member that relayed it, unless it arrived directly.
    pub(super) fn handle_datagram(&mut self, bytes: &[u8], now: Duration, relayed_by: Option<MemberId>) {
        let (header, body) = match self.authenticate(bytes, now) {
            Ok(authentic) => authentic,
            Err(Rejection::Foreign) => return self.counts.foreign += 1,
            Err(Rejection::Forged) => return self.counts.forged += 1,
            Err(Rejection::OverLimit) => return self.counts.over_limit += 1,
        };
        if let Body::Ping { proof, .. } | Body::Ack { proof, .. } = &body {
            self.record_incarnation(&header, *proof, now);
        }
        let freshness = self.check_freshness(&header);
        let is_fresh = freshness == Freshness::Fresh;
        if is_fresh {
            let reach = if relayed_by.is_some() { Reach::Relayed } else { Reach::Direct };
            self.mark_alive(header.from, now, reach);
        } else {
            self.counts.stale += 1;
        }
        if freshness != Freshness::Replayed {
            self.handle_body(body, &Received { header, relayed_by, is_fresh }, now);
        }
    }

    /// Verifies that a datagram was sealed by the member that its header names, for this member, within its
    /// rate limit.
    fn authenticate(&mut self, bytes: &[u8], now: Duration) -> Result<(Header, Body), Rejection> {
        let header = datagram::parse_header(bytes)?;
        let own = self.roster.own();
        let member = self.members.get_mut(&header.from).filter(|_| header.to == own);
        let member = member.ok_or(Rejection::Foreign)?;
        let keys = member.session_keys(&self.secret, own).ok_or(Rejection::Foreign)?;
        let body = datagram::open(bytes, &keys.receiving)?;
        if !member.receive_limit.try_take(now, bytes.len(), SendPriority::High) {
            return Err(Rejection::OverLimit);
        }
        Ok((header, body))
    }

    /// Determines whether an authentic datagram proves that its sender is alive now, and marks it as
    /// received.
    fn check_freshness(&mut self, header: &Header) -> Freshness {
        let is_current = self.record.incarnation_of(header.from) == Some(header.incarnation);
        let Some(member) = self.members.get_mut(&header.from) else { return Freshness::Replayed };
        if is_current && member.active_incarnation != Some(header.incarnation) {
            // The incarnation was on record before this process started.
            member.begin_incarnation(header);
        }
        if !is_current || header.to_run != self.local.incarnation.run {
            return Freshness::Unproven;
        }
        if member.replay_window.accept(header.sequence) { Freshness::Fresh } else { Freshness::Replayed }
    }

    fn handle_body(&mut self, body: Body, received: &Received, now: Duration) {
        let from = received.header.from;
        let is_fresh = received.is_fresh;
        let is_direct = received.relayed_by.is_none();
        match body {
            Body::Ping { nonce, updates, roster_digest, .. } => {
                if is_fresh {
                    self.compare_rosters(from, roster_digest);
                    self.receive_gossip(&updates, now);
                }
                let from_run = received.header.incarnation.run;
                let relayed_by = received.relayed_by;
                self.answer_ping(&PingToAnswer { from, from_run, nonce, relayed_by, is_fresh }, now);
            }
            // An ack to this run is handled even under an outdated incarnation of the answering member: what
            // it reports about this sender is current.
            Body::Ack { nonce, known, updates, .. }
                if received.header.to_run == self.local.incarnation.run =>
            {
                self.handle_ack(from, &Ack { nonce, known, updates, is_fresh }, now);
            }
            Body::Relay { to, sealed } if is_fresh && is_direct && sealed.len() <= MAX_RELAYED_BYTES => {
                self.send(to, &Body::Relayed { sealed }, SendPriority::Normal, now);
            }
            // The relaying member cannot have modified a sealed datagram.
            Body::Relayed { sealed } if is_fresh && is_direct => {
                self.handle_datagram(&sealed, now, Some(from));
            }
            Body::Leave if is_fresh => self.set_status(from, Status::Left, now),
            Body::Ack { .. } | Body::Relay { .. } | Body::Relayed { .. } | Body::Leave => {}
        }
    }

    fn handle_ack(&mut self, from: MemberId, ack: &Ack, now: Duration) {
        if ack.is_fresh {
            self.match_ack_to_probe(from, ack.nonce, now);
            self.receive_gossip(&ack.updates, now);
        }
        if let Some(known) = ack.known {
            self.handle_own_incarnation_known(from, known, now);
        }
    }

    /// Finds the ping that an ack answers, and updates the round-trip time estimates.
    fn match_ack_to_probe(&mut self, from: MemberId, nonce: u32, now: Duration) {
        let Some(member) = self.members.get_mut(&from) else { return };
        let Some(probe) = member.take_sent_probe(nonce) else { return };
        if probe.path == ProbePath::Direct {
            member.last_direct_ack = Some(now);
            // A process that has just started or resumed is slow itself, so its samples would overstate the
            // round-trip time.
            let last_disturbance =
                self.started_at.max(self.local_health.last_stall_end().unwrap_or_default());
            if now >= last_disturbance + MEASUREMENT_WARM_UP {
                let sample = now.saturating_sub(probe.sent_at);
                member.add_round_trip_sample(sample);
                let zone = member.member.zone.clone();
                self.add_zone_round_trip_sample(zone, sample);
            }
        }
        let connectivity = &mut self.connectivity;
        connectivity.last_answered_probe = connectivity.last_answered_probe.max(Some(probe.sent_at));
        self.local_health.improve();
    }

    fn add_zone_round_trip_sample(&mut self, zone: String, sample: Duration) {
        match self.zone_round_trips.get_mut(&zone) {
            Some(round_trip) => round_trip.add_sample(sample),
            None => drop(self.zone_round_trips.insert(zone, RoundTrip::from_first_sample(sample))),
        }
    }

    /// Records an incarnation that a member announced. A replay cannot lower the recorded incarnation, so the
    /// datagram need not be fresh.
    fn record_incarnation(&mut self, header: &Header, proof: IncarnationProof, now: Duration) {
        let Header { from, incarnation, lost_state, .. } = *header;
        let announced = KnownIncarnation { incarnation, proof };
        let roster = &self.roster;
        if !self.record.record(from, announced, |id| roster.get(id).is_some()) {
            return;
        }
        let write_at = &mut self.record_schedule.write_at;
        *write_at = write_at.or(Some(now + RECORD_WRITE_DELAY));
        let Some(member) = self.members.get_mut(&from) else { return };
        member.begin_incarnation(header);
        let name = member.member.name.clone();
        let incarnation = incarnation.number;
        self.emit(Event::NewIncarnation { name, incarnation, lost_state });
        // The announcement may be a replay: only an answer to this run proves that the member is alive.
        self.request_urgent_probe(from);
    }

    /// Compares a member's roster with this sender's, and emits an event if the result has changed.
    fn compare_rosters(&mut self, from: MemberId, roster_digest: u64) {
        let differs = roster_digest != self.roster.digest();
        let member = self.members.get_mut(&from).filter(|member| member.roster_differs != differs);
        let Some(member) = member else { return };
        member.roster_differs = differs;
        let name = member.member.name.clone();
        self.emit(Event::RosterMismatch { name, differs });
    }

    fn mark_alive(&mut self, id: MemberId, now: Duration, reach: Reach) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.left_incarnation.is_some() && member.left_incarnation == member.active_incarnation {
            // The datagram was sent before the member left, and was delayed in the network.
            return;
        }
        member.record_heard(now, reach);
        self.cancel_probe(id);
        self.connectivity.last_heard = Some(now);
        if std::mem::take(&mut self.connectivity.isolated) {
            self.emit(Event::IsolationChanged(false));
        }
        self.set_status(id, Status::Live, now);
    }
}
