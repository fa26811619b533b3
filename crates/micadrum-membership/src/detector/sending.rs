//! Outgoing datagrams: sealing, the send budget, and the random choice of receivers.
use super::receiving::PingToAnswer;
use super::{Membership, Output};
use crate::datagram::{self, Body, Header, MAX_DATAGRAM_BYTES};
use crate::member::MemberId;
use crate::remote_member::RemoteMember;
use crate::send_budget::SendPriority;
use rand_chacha::rand_core::RngCore;
use std::time::Duration;

impl Membership {
    /// Answers a ping on the path on which it arrived.
    ///
    /// A ping whose freshness is unproven is answered too, as the ack informs a sender that has lost its
    /// state of its higher incarnation. The ack goes to the address on the roster and to the run that sent
    /// the ping, so an attacker gains nothing by replaying a ping.
    pub(super) fn answer_ping(&mut self, ping: &PingToAnswer, now: Duration) {
        let known = self.record.known.get(&ping.from).copied();
        let carries_gossip = ping.is_fresh && ping.relayed_by.is_none();
        let updates = if carries_gossip { self.next_piggybacked_updates() } else { Vec::new() };
        let ack = Body::Ack { nonce: ping.nonce, proof: self.local.proof, known, updates };
        let priority = if ping.is_fresh { SendPriority::High } else { SendPriority::Low };
        let Some(sealed) = self.seal(ping.from, ping.from_run, &ack) else { return };
        match ping.relayed_by {
            Some(relay) => drop(self.send(relay, &Body::Relay { to: ping.from, sealed }, priority, now)),
            None => drop(self.transmit(ping.from, sealed, priority, now)),
        }
    }

    /// Returns the run of a member's highest known incarnation, or 0 if none is known.
    pub(super) fn known_run(&self, id: MemberId) -> u64 {
        self.record.incarnation_of(id).map_or(0, |incarnation| incarnation.run)
    }

    /// Seals a datagram to the run `to_run` of a member, or returns `None` if there are no session keys for
    /// it.
    pub(super) fn seal(&mut self, to: MemberId, to_run: u64, body: &Body) -> Option<Vec<u8>> {
        let from = self.roster.own();
        let keys = self.members.get_mut(&to)?.session_keys(&self.secret, from)?;
        self.local.last_sequence += 1;
        let header = Header {
            lost_state: self.local.lost_state,
            from,
            to,
            incarnation: self.local.incarnation,
            to_run,
            sequence: self.local.last_sequence,
        };
        Some(datagram::seal(&header, body, &keys.sending))
    }

    /// Seals and transmits a datagram, and returns whether the send budget permitted it.
    pub(super) fn send(&mut self, to: MemberId, body: &Body, priority: SendPriority, now: Duration) -> bool {
        let sealed = self.seal(to, self.known_run(to), body);
        sealed.is_some_and(|sealed| self.transmit(to, sealed, priority, now))
    }

    /// Transmits a sealed datagram, and returns whether the send budget permitted it.
    fn transmit(&mut self, to: MemberId, sealed: Vec<u8>, priority: SendPriority, now: Duration) -> bool {
        let Some(member) = self.members.get(&to) else { return false };
        let length = sealed.len();
        if length > MAX_DATAGRAM_BYTES || !self.send_tokens.try_take(now, length, priority) {
            self.counts.over_budget += 1;
            return false;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += length as u64;
        self.outputs.push_back(Output::Send(member.member.address, sealed));
        true
    }

    /// Returns all members that match, in random order.
    pub(super) fn shuffled_members(&mut self, matches: impl Fn(&RemoteMember) -> bool) -> Vec<MemberId> {
        self.random_members(usize::MAX, |_, member| matches(member))
    }

    /// Returns up to `max_members` members that match, chosen at random (a partial Fisher-Yates shuffle).
    pub(super) fn random_members(
        &mut self,
        max_members: usize,
        matches: impl Fn(MemberId, &RemoteMember) -> bool,
    ) -> Vec<MemberId> {
        let matching = self.members.iter().filter(|(id, member)| matches(**id, member));
        let mut ids: Vec<MemberId> = matching.map(|(id, _)| *id).collect();
        let count = max_members.min(ids.len());
        for i in 0..count {
            let remaining = (ids.len() - i) as u64;
            ids.swap(i, i + (self.rng.next_u64() % remaining) as usize);
        }
        ids.truncate(count);
        ids
    }
}
