//! What goes out: sealed, and as far as the ceiling allows.
use super::{Membership, Output};
use crate::datagram::{self, Body, Header, MOST_DATAGRAM};
use crate::member::MemberId;
use crate::remote_member::Peer;
use crate::send_budget::Rank;
use crate::view::Status;
use rand_chacha::rand_core::RngCore;
use std::time::Duration;

/// Rumours in a question or an answer.
const FEW: usize = 6;

impl Membership {
    pub(super) fn next_nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// A question that goes straight, with some rumours; whether the ceiling allowed it.
    pub(super) fn ping(&mut self, id: MemberId, rank: Rank, now: Duration) -> bool {
        let nonce = self.next_nonce();
        let rumours = self.rumours.next(FEW);
        let ping = Body::Ping { nonce, stamp: self.stamp, list: self.roster.mark(), rumours };
        let sent = self.send(id, &ping, rank, now);
        if sent && let Some(peer) = self.peers.get_mut(&id) {
            peer.asked(nonce, now, true);
        }
        sent
    }

    /// The same through some others: one in its own building, where there is one, and whoever chance picks.
    pub(super) fn ping_through(&mut self, id: MemberId, through: usize, now: Duration) {
        let Some(building) = self.peers.get(&id).map(|peer| peer.member.building.clone()) else { return };
        let suits = |peer: &Peer| peer.status == Status::Live && peer.member.building == building;
        let mut others = self.some(1, |other, peer| other != id && suits(peer));
        let beside = others.first().copied();
        others.extend(self.some(through - others.len().min(through), |other, peer| {
            other != id && Some(other) != beside && peer.status == Status::Live
        }));
        for other in others {
            let nonce = self.next_nonce();
            let list = self.roster.mark();
            let ping = Body::Ping { nonce, stamp: self.stamp, list, rumours: Vec::new() };
            let Some(sealed) = self.seal(id, self.run_of(id), &ping) else { return };
            let sent = self.send(other, &Body::Relay { to: id, sealed }, Rank::Usual, now);
            if sent && let Some(peer) = self.peers.get_mut(&id) {
                peer.asked(nonce, now, false);
            }
        }
    }

    /// Answers a question, by the way that it came. One that cannot be shown to be fresh is answered all the same: a
    /// sender that has forgotten learns so of its higher life. The answer goes to the address in the list and to the
    /// run that asked, so nobody gains by sending an old question once more.
    pub(super) fn answer(
        &mut self,
        id: MemberId,
        run: u64,
        nonce: u32,
        via: Option<MemberId>,
        fresh: bool,
        now: Duration,
    ) {
        let known = self.book.heard.get(&id).copied();
        let rumours = if fresh && via.is_none() { self.rumours.next(FEW) } else { Vec::new() };
        let ack = Body::Ack { nonce, stamp: self.stamp, known, rumours };
        let rank = if fresh { Rank::First } else { Rank::Last };
        let Some(sealed) = self.seal(id, run, &ack) else { return };
        match via {
            Some(via) => drop(self.send(via, &Body::Relay { to: id, sealed }, rank, now)),
            None => drop(self.put(id, sealed, rank, now)),
        }
    }

    pub(super) fn run_of(&self, id: MemberId) -> u64 {
        self.book.heard.get(&id).map_or(0, |heard| heard.life.run)
    }

    pub(super) fn seal(&mut self, to: MemberId, to_run: u64, body: &Body) -> Option<Vec<u8>> {
        let from = self.roster.own();
        let pair = self.peers.get_mut(&to)?.pair(&self.secret, from)?;
        self.number += 1;
        let (life, number) = (self.life, self.number);
        let header = Header { forgot: self.forgot, from, to, life, to_run, number };
        Some(datagram::seal(&header, body, &pair.out))
    }

    pub(super) fn send(&mut self, to: MemberId, body: &Body, rank: Rank, now: Duration) -> bool {
        let sealed = self.seal(to, self.run_of(to), body);
        sealed.is_some_and(|sealed| self.put(to, sealed, rank, now))
    }

    pub(super) fn put(&mut self, to: MemberId, sealed: Vec<u8>, rank: Rank, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&to) else { return false };
        if sealed.len() > MOST_DATAGRAM || !self.bucket.take(now, sealed.len(), rank) {
            self.counts.held_back += 1;
            return false;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += sealed.len() as u64;
        self.outputs.push_back(Output::Send(peer.member.address, sealed));
        true
    }

    /// All of them of whom that holds, in an order that chance picks.
    pub(super) fn shuffled(&mut self, which: impl Fn(&Peer) -> bool) -> Vec<MemberId> {
        self.some(usize::MAX, |_, peer| which(peer))
    }

    /// So many of those of whom that holds, picked by chance.
    pub(super) fn some(&mut self, most: usize, which: impl Fn(MemberId, &Peer) -> bool) -> Vec<MemberId> {
        let mut ids: Vec<MemberId> =
            self.peers.iter().filter(|(id, peer)| which(**id, peer)).map(|(id, _)| *id).collect();
        let picked = most.min(ids.len());
        for i in 0..picked {
            let rest = (ids.len() - i) as u64;
            ids.swap(i, i + (self.chance.next_u64() % rest) as usize);
        }
        ids.truncate(picked);
        ids
    }
}
