//! Probing (SWIM, section 3.1): a direct ping first, then repeated and indirect pings, then suspicion and
//! death.
use super::{Event, Membership};
use crate::datagram::Body;
use crate::gossip::GossipUpdate;
use crate::member::MemberId;
use crate::remote_member::{PendingProbe, ProbePath, ProbeStage, RemoteMember};
use crate::send_budget::SendPriority;
use crate::status::Status;
use std::time::Duration;

/// Upper bound on members through which an indirect ping is sent in each round.
const INDIRECT_PROBE_MEMBERS: usize = 3;
/// The minimum duration of an indirect round.
const MIN_ROUND_DURATION: Duration = Duration::from_millis(150);
/// The minimum duration of an indirect round while no member answers.
const MIN_ROUND_DURATION_WHILE_ISOLATED: Duration = Duration::from_millis(500);
/// The number of indirect rounds without an ack before a suspect can be declared dead.
const MIN_FAILED_ROUNDS_BEFORE_DEATH: u32 = 5;
/// The suspicion timeout is at least this multiple of the probe timeout.
const MIN_SUSPICION_PROBE_TIMEOUTS: u32 = 3;
/// Each unreachable member is pinged once within this time, as far as [`MAX_RECONNECTS_PER_PROBE`] permits.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(800);
/// Upper bound on unreachable members pinged along with one regular probe.
const MAX_RECONNECTS_PER_PROBE: usize = 8;
/// Every n-th ping to an unreachable member is indirect.
const INDIRECT_RECONNECT_PERIOD: u32 = 4;
/// How soon urgent probes that exceeded the send budget are retried.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// This sender is isolated after hearing nothing for this multiple of the suspicion timeout.
const ISOLATION_SUSPICION_TIMEOUTS: u32 = 2;
/// The minimum time without hearing anything before this sender is isolated.
const MIN_ISOLATION_SILENCE: Duration = Duration::from_secs(2);

/// The outcome of a probe round without an ack.
enum RoundOutcome {
    /// The probe continues with another round.
    Continue(PendingProbe),
    /// The probe has ended.
    Stop,
}

impl Membership {
    pub(super) fn handle_timer(&mut self, now: Duration) {
        let write_due = self.record_schedule.write_at.is_some_and(|at| at <= now);
        if !self.record_schedule.is_writing && write_due {
            self.write_record();
        }
        if !self.is_communicating() {
            return;
        }
        while let Some((at, id)) = self.probes.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.probes.timers.remove(&(at, id));
            self.handle_round_end(id, now);
        }
        if self.gossip.push_at.take_if(|at| *at <= now).is_some() {
            self.gossip.last_pushed = Some(now);
            self.push_gossip(now);
        }
        if self.probes.next_probe_at <= now {
            self.probes.next_probe_at = now + self.settings.probe_interval;
            self.detect_isolation(now);
            self.probe_next_member(now);
            self.ping_unreachable_members(now);
        }
    }

    fn detect_isolation(&mut self, now: Duration) {
        let silence =
            (self.settings.suspicion_timeout * ISOLATION_SUSPICION_TIMEOUTS).max(MIN_ISOLATION_SILENCE);
        let last_heard = self.connectivity.last_heard.max(self.local_health.last_stall_end());
        let silent_since = last_heard.unwrap_or(self.started_at);
        let is_silent = now.saturating_sub(silent_since) >= silence;
        if !self.connectivity.isolated && !self.members.is_empty() && is_silent {
            self.connectivity.isolated = true;
            self.emit(Event::IsolationChanged(true));
        }
    }

    /// Probes the next member of the current round. Once all are probed, a new round starts in a new random
    /// order.
    fn probe_next_member(&mut self, now: Duration) {
        for _ in 0..2 {
            while let Some(id) = self.probes.round.pop() {
                let is_probed =
                    |member: &RemoteMember| member.probe.is_none() && member.is_probed_in_rounds();
                if self.members.get(&id).is_some_and(is_probed) {
                    self.start_probe(id, now);
                    return;
                }
            }
            self.probes.round = self.shuffled_members(RemoteMember::is_probed_in_rounds);
        }
    }

    /// Pings members that are dead or have left: they may have restarted without any of their datagrams
    /// arriving.
    fn ping_unreachable_members(&mut self, now: Duration) {
        let share = self.settings.probe_interval.as_secs_f64() / RECONNECT_INTERVAL.as_secs_f64();
        let due = (self.probes.unreachable.len() as f64 * share).ceil() as usize;
        for _ in 0..due.min(MAX_RECONNECTS_PER_PROBE) {
            let Some(id) = self.probes.unreachable.pop_front() else { return };
            let member = self.members.get_mut(&id).filter(|member| !member.is_probed_in_rounds());
            let Some(member) = member else { continue };
            member.reconnect_attempts = member.reconnect_attempts.wrapping_add(1);
            if member.reconnect_attempts.is_multiple_of(INDIRECT_RECONNECT_PERIOD) {
                self.ping_indirectly(id, 1, now);
            } else {
                self.ping(id, SendPriority::Low, now);
            }
            self.probes.unreachable.push_back(id);
        }
    }

    /// Queues a member for a probe outside the regular rounds.
    pub(super) fn request_urgent_probe(&mut self, id: MemberId) {
        if let Some(member) = self.members.get_mut(&id)
            && !std::mem::replace(&mut member.is_urgent, true)
        {
            self.probes.urgent.push_back(id);
        }
    }

    /// Sends urgent probes as far as the send budget permits.
    pub(super) fn send_urgent_probes(&mut self, now: Duration) {
        if !self.is_communicating() {
            return;
        }
        self.probes.urgent_retry_at = None;
        while let Some(id) = self.probes.urgent.front().copied() {
            let is_idle = self.members.get(&id).is_some_and(|member| member.probe.is_none());
            if is_idle && !self.start_probe(id, now) {
                self.probes.urgent_retry_at = Some(now + URGENT_RETRY_DELAY);
                return;
            }
            self.probes.urgent.pop_front();
            if let Some(member) = self.members.get_mut(&id) {
                member.is_urgent = false;
            }
        }
    }

    /// Starts a probe, and returns whether the send budget permitted it.
    fn start_probe(&mut self, id: MemberId, now: Duration) -> bool {
        if !self.ping(id, SendPriority::Normal, now) {
            return false;
        }
        if let Some(member) = self.members.get_mut(&id) {
            let zone_round_trip = self.zone_round_trips.get(&member.member.zone).copied();
            let timeout = self.local_health.scale_timeout(member.probe_timeout(zone_round_trip));
            let expires_at = now + timeout;
            member.probe = Some(PendingProbe::new(now, expires_at));
            self.probes.timers.insert((expires_at, id));
        }
        true
    }

    /// Returns the time to wait for an ack of a member, before scaling by local health.
    pub(super) fn probe_timeout(&self, member: &RemoteMember) -> Duration {
        member.probe_timeout(self.zone_round_trips.get(&member.member.zone).copied())
    }

    /// Handles a probe round that ended without an ack.
    fn handle_round_end(&mut self, id: MemberId, now: Duration) {
        let Some(member) = self.members.get(&id) else { return };
        let probe_timeout = self.probe_timeout(member);
        let suspicion_timeout =
            self.settings.suspicion_timeout.max(probe_timeout * MIN_SUSPICION_PROBE_TIMEOUTS);
        let suspicion_timeout = self.local_health.scale_timeout(suspicion_timeout);
        let probe_timeout = self.local_health.scale_timeout(probe_timeout);
        let Some(mut probe) = member.probe else { return };
        if probe.stage == ProbeStage::Indirect {
            match self.evaluate_failed_round(id, probe, suspicion_timeout, now) {
                RoundOutcome::Continue(next) => probe = next,
                RoundOutcome::Stop => return,
            }
        }
        self.start_indirect_round(id, probe, probe_timeout, now);
    }

    /// Marks a member as suspect after a failed indirect round, or as dead after enough rounds and time.
    fn evaluate_failed_round(
        &mut self,
        id: MemberId,
        mut probe: PendingProbe,
        suspicion_timeout: Duration,
        now: Duration,
    ) -> RoundOutcome {
        probe.failed_rounds += 1;
        // A missing ack only counts while other members answer: otherwise this sender may be cut off itself.
        let others_answer =
            self.connectivity.last_answered_probe.is_some_and(|sent_at| sent_at >= probe.started_at);
        if !others_answer {
            self.local_health.degrade();
        }
        if !self.members.get(&id).is_some_and(RemoteMember::is_probed_in_rounds) {
            self.cancel_probe(id);
            return RoundOutcome::Stop;
        }
        self.set_status(id, Status::Suspect, now);
        let silent_for = now.saturating_sub(probe.started_at);
        let is_dead = others_answer
            && probe.failed_rounds >= MIN_FAILED_ROUNDS_BEFORE_DEATH
            && silent_for >= suspicion_timeout;
        if is_dead {
            self.set_status(id, Status::Dead, now);
            return RoundOutcome::Stop;
        }
        RoundOutcome::Continue(probe)
    }

    /// Repeats the direct ping, and also pings the member through other members.
    fn start_indirect_round(
        &mut self,
        id: MemberId,
        mut probe: PendingProbe,
        probe_timeout: Duration,
        now: Duration,
    ) {
        probe.stage = ProbeStage::Indirect;
        let sent = self.ping(id, SendPriority::High, now);
        self.ping_indirectly(id, INDIRECT_PROBE_MEMBERS, now);
        if !sent {
            // Offsets the increment at the end of this round: without a direct ping, it does not count as
            // failed.
            probe.failed_rounds = probe.failed_rounds.saturating_sub(1);
        }
        let min_round_duration =
            if self.connectivity.isolated { MIN_ROUND_DURATION_WHILE_ISOLATED } else { MIN_ROUND_DURATION };
        probe.expires_at = now + (probe_timeout * 3 / 2).max(min_round_duration);
        if let Some(member) = self.members.get_mut(&id) {
            member.probe = Some(probe);
            self.probes.timers.insert((probe.expires_at, id));
        }
    }

    /// Ends the probe of a member, if one is in progress.
    pub(super) fn cancel_probe(&mut self, id: MemberId) {
        if let Some(probe) = self.members.get_mut(&id).and_then(|member| member.probe.take()) {
            self.probes.timers.remove(&(probe.expires_at, id));
        }
    }

    /// Sends a direct ping with gossip, and returns whether the send budget permitted it.
    fn ping(&mut self, id: MemberId, priority: SendPriority, now: Duration) -> bool {
        let updates = self.next_piggybacked_updates();
        self.ping_with_updates(id, updates, priority, now)
    }

    /// Sends a direct ping that carries the given gossip updates.
    pub(super) fn ping_with_updates(
        &mut self,
        id: MemberId,
        updates: Vec<GossipUpdate>,
        priority: SendPriority,
        now: Duration,
    ) -> bool {
        let nonce = self.next_nonce();
        let ping =
            Body::Ping { nonce, proof: self.local.proof, roster_digest: self.roster.digest(), updates };
        let sent = self.send(id, &ping, priority, now);
        if sent && let Some(member) = self.members.get_mut(&id) {
            member.record_probe_sent(nonce, now, ProbePath::Direct);
        }
        sent
    }

    /// Sends a ping through up to `max_relays` live members: one in the target's own zone if there is one,
    /// the others chosen at random.
    fn ping_indirectly(&mut self, id: MemberId, max_relays: usize, now: Duration) {
        let Some(zone) = self.members.get(&id).map(|member| member.member.zone.clone()) else { return };
        let is_live = |member: &RemoteMember| member.status == Status::Live;
        let mut relays = self
            .random_members(1, |other, member| other != id && is_live(member) && member.member.zone == zone);
        let same_zone = relays.first().copied();
        relays.extend(self.random_members(max_relays - relays.len().min(max_relays), |other, member| {
            other != id && Some(other) != same_zone && is_live(member)
        }));
        for relay in relays {
            let nonce = self.next_nonce();
            let ping = Body::Ping {
                nonce,
                proof: self.local.proof,
                roster_digest: self.roster.digest(),
                updates: Vec::new(),
            };
            let Some(sealed) = self.seal(id, self.known_run(id), &ping) else { return };
            let sent = self.send(relay, &Body::Relay { to: id, sealed }, SendPriority::Normal, now);
            if sent && let Some(member) = self.members.get_mut(&id) {
                member.record_probe_sent(nonce, now, ProbePath::Indirect);
            }
        }
    }

    fn next_nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }
}
