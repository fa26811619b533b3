//! Who is asked when, and what it means that no answer comes.
use super::{Event, Membership};
use crate::datagram::Body;
use crate::gossip::MOST_IN_ONE;
use crate::member::MemberId;
use crate::remote_member::{Peer, PendingProbe, Stage};
use crate::send_budget::Rank;
use crate::view::Status;
use std::time::Duration;

/// Members that are asked to pass a question on.
const THROUGH: usize = 3;
/// A round of questions to a suspect takes at least this.
const LEAST_ROUND: Duration = Duration::from_millis(150);
/// Rounds without an answer before a suspect can be dead.
const ROUNDS: u32 = 5;
/// Between two rounds while nobody at all answers.
const ALONE_ROUND: Duration = Duration::from_millis(500);
/// Each of the dead is tried once in this, as far as [`MOST_TRIES`] allows.
const TRY_DEAD: Duration = Duration::from_millis(800);
/// Dead ones that are tried at one probe.
const MOST_TRIES: usize = 8;
/// Up to so many members everybody is told of news at once; of more, a multiple of the logarithm.
const TELL_ALL: usize = 64;
/// Urgent questions that the ceiling held back are tried again after this.
const URGENT_AGAIN: Duration = Duration::from_millis(20);

impl Membership {
    pub(super) fn timer(&mut self, now: Duration) {
        if !self.writing && self.write_at.is_some_and(|at| at <= now) {
            self.write();
        }
        if !self.standing.speaks() {
            return;
        }
        while let Some((at, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, id));
            self.no_answer(id, now);
        }
        if self.tell_at.take_if(|at| *at <= now).is_some() {
            self.told_at = Some(now);
            self.tell(now);
        }
        if self.next_probe <= now {
            self.next_probe = now + self.settings.probe_every;
            self.look_at_oneself(now);
            self.probe(now);
            self.try_dead(now);
        }
    }

    pub(super) fn look_at_oneself(&mut self, now: Duration) {
        let quiet = (self.settings.dead_after * 2).max(Duration::from_secs(2));
        let since = self.heard.max(self.health.woke()).unwrap_or(self.begun);
        if !self.cut_off && !self.peers.is_empty() && now.saturating_sub(since) >= quiet {
            self.cut_off = true;
            self.event(Event::CutOff(true));
        }
    }

    /// Asks the next in turn.
    pub(super) fn probe(&mut self, now: Duration) {
        for _ in 0..2 {
            while let Some(id) = self.ring.pop() {
                let free = self.peers.get(&id).is_some_and(|peer| peer.question.is_none() && peer.is_asked());
                if free {
                    self.ask(id, now);
                    return;
                }
            }
            self.ring = self.shuffled(Peer::is_asked);
        }
    }

    /// Those that are dead or have left may be back without a word that came through.
    pub(super) fn try_dead(&mut self, now: Duration) {
        let share = self.settings.probe_every.as_secs_f64() / TRY_DEAD.as_secs_f64();
        let tries = ((self.dead_ring.len() as f64 * share).ceil() as usize).min(MOST_TRIES);
        for _ in 0..tries {
            let Some(id) = self.dead_ring.pop_front() else { return };
            let Some(peer) = self.peers.get_mut(&id).filter(|peer| !peer.is_asked()) else { continue };
            peer.tries = peer.tries.wrapping_add(1);
            if peer.tries.is_multiple_of(4) {
                self.ping_through(id, 1, now);
            } else {
                self.ping(id, Rank::Last, now);
            }
            self.dead_ring.push_back(id);
        }
    }

    pub(super) fn make_urgent(&mut self, id: MemberId) {
        if let Some(peer) = self.peers.get_mut(&id)
            && !std::mem::replace(&mut peer.urgent, true)
        {
            self.urgent.push_back(id);
        }
    }

    /// Asks those that must not wait for their turn, as far as the ceiling allows.
    pub(super) fn ask_urgent(&mut self, now: Duration) {
        if !self.standing.speaks() {
            return;
        }
        self.urgent_at = None;
        while let Some(id) = self.urgent.front().copied() {
            let asks = self.peers.get(&id).is_some_and(|peer| peer.question.is_none());
            if asks && !self.ask(id, now) {
                self.urgent_at = Some(now + URGENT_AGAIN);
                return;
            }
            self.urgent.pop_front();
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.urgent = false;
            }
        }
    }

    /// Asks a member, and waits for its answer; whether the ceiling allowed it.
    pub(super) fn ask(&mut self, id: MemberId, now: Duration) -> bool {
        if !self.ping(id, Rank::Usual, now) {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            let timer = now + self.health.patience(peer.wait(self.usual.get(&peer.member.building).copied()));
            peer.question = Some(PendingProbe { began: now, stage: Stage::Straight, rounds: 0, timer });
            self.timers.insert((timer, id));
        }
        true
    }

    /// A question got no answer in its time.
    pub(super) fn no_answer(&mut self, id: MemberId, now: Duration) {
        let Some(peer) = self.peers.get(&id) else { return };
        let wait = peer.wait(self.usual.get(&peer.member.building).copied());
        let patience = self.health.patience(self.settings.dead_after.max(wait * 3));
        let (Some(mut question), wait) = (peer.question, self.health.patience(wait)) else { return };
        let status = peer.status;
        if question.stage == Stage::Through {
            question.rounds += 1;
            let touched = self.touched.is_some_and(|asked| asked >= question.began);
            if !touched {
                self.health.worse();
            }
            if !matches!(status, Status::Live | Status::Unknown | Status::Suspect) {
                self.drop_question(id);
                return;
            }
            self.change(id, Status::Suspect, now);
            let silent = now.saturating_sub(question.began);
            if touched && question.rounds >= ROUNDS && silent >= patience {
                self.change(id, Status::Dead, now);
                return;
            }
        }
        question.stage = Stage::Through;
        let asked = self.ping(id, Rank::First, now);
        self.ping_through(id, THROUGH, now);
        if !asked {
            // Held back by the ceiling: no round.
            question.rounds = question.rounds.saturating_sub(1);
        }
        let least = if self.cut_off { ALONE_ROUND } else { LEAST_ROUND };
        question.timer = now + (wait * 3 / 2).max(least);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.question = Some(question);
            self.timers.insert((question.timer, id));
        }
    }

    pub(super) fn drop_question(&mut self, id: MemberId) {
        if let Some(question) = self.peers.get_mut(&id).and_then(|peer| peer.question.take()) {
            self.timers.remove(&(question.timer, id));
        }
    }

    /// Members who hear of news at once.
    pub(super) fn told_at_once(&self) -> usize {
        if self.peers.len() <= TELL_ALL { self.peers.len() } else { 4 * self.doublings() }
    }

    pub(super) fn doublings(&self) -> usize {
        (usize::BITS - self.peers.len().leading_zeros()) as usize
    }

    pub(super) fn tell(&mut self, now: Duration) {
        let to = self.some(self.told_at_once(), |_, peer| peer.status == Status::Live);
        let rank = if self.peers.len() <= TELL_ALL { Rank::Usual } else { Rank::Last };
        for id in to {
            let rumours = self.rumours.next(MOST_IN_ONE);
            if rumours.is_empty() {
                return;
            }
            let nonce = self.next_nonce();
            let ping = Body::Ping { nonce, stamp: self.stamp, list: self.roster.mark(), rumours };
            if self.send(id, &ping, rank, now)
                && let Some(peer) = self.peers.get_mut(&id)
            {
                peer.asked(nonce, now, true);
            }
        }
    }
}
