//! How this sender stands: its life, who knows it, its end, the list that it follows.
use super::{Event, Membership, Output, Standing};
use crate::datagram::Body;
use crate::incarnation::Heard;
use crate::member::MemberId;
use crate::remote_member::{Peer, PendingProbe, Stage};
use crate::send_budget::Rank;
use crate::view::Status;
use std::collections::BTreeSet;
use std::time::Duration;

/// After a write that failed.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// A process takes a higher life no more often than this.
const RENEWALS: u32 = 3;
/// Two that took one number sort that out between them within this, if both are there.
const DISPUTE: Duration = Duration::from_secs(2);

impl Membership {
    pub(super) fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    pub(super) fn stand(&mut self, standing: Standing) {
        self.standing = standing;
        if !standing.speaks() {
            self.timers.clear();
            self.peers.values_mut().for_each(|peer| (peer.question, peer.urgent) = (None, false));
            self.urgent.clear();
            (self.tell_at, self.urgent_at) = (None, None);
        }
        self.event(Event::Stands(standing));
    }

    pub(super) fn write(&mut self) {
        self.write_at = None;
        self.writing = true;
        self.outputs.push_back(Output::Write(self.book.to_bytes()));
    }

    pub(super) fn written(&mut self, done: bool, now: Duration) {
        self.writing = false;
        if !done {
            // Until its life stands in the folder it says nothing; what it heard of others can wait.
            self.write_at = Some(now + WRITE_AGAIN);
        } else if self.standing == Standing::Writing {
            self.begun = now;
            self.next_probe = now;
            self.stand(Standing::Asking);
            // Everybody is told at once, as far as the ceiling allows.
            self.shuffled(|_| true).into_iter().for_each(|id| self.make_urgent(id));
            self.settle();
        }
    }

    /// Somebody knows a life of this sender.
    pub(super) fn known_as(&mut self, by: MemberId, known: Heard, now: Duration) {
        if known.life == self.life {
            self.confirmed.insert(by);
            self.settle();
            return;
        }
        let (theirs, ours) = (known.life, self.life);
        if theirs.number < ours.number || known.stamp != self.secret.stamp(theirs) {
            // Not yet heard of this one; or nobody but a liar can have said so.
            return;
        }
        let disputed = theirs.number == ours.number;
        if disputed {
            // Another process took this number, and some know it by that. Where both live, the one that still asks goes
            // past the other, who hears of that and falls silent. Where that does not happen, the other has ended: this
            // one goes past it, as those who know the other first would never hear it else.
            let since = *self.disputed.get_or_insert(now);
            let waits = self.standing != Standing::Asking || self.renewals > 0 && ours.run > theirs.run;
            if waits && now.saturating_sub(since) < DISPUTE || self.renewals == RENEWALS {
                return;
            }
            self.disputed = None;
        }
        if (disputed || self.standing == Standing::Asking) && self.renewals < RENEWALS {
            self.renewals += 1;
            let Some(number) = known.life.number.checked_add(1) else {
                self.stand(Standing::Exhausted);
                return;
            };
            self.life.number = number;
            self.stamp = self.secret.stamp(self.life);
            self.number = 0;
            self.forgot = true;
            self.book.own = number;
            self.confirmed.clear();
            self.event(Event::Forgotten { life: number, known: known.life.number });
            self.stand(Standing::Writing);
            self.write();
        } else {
            self.stand(Standing::Superseded);
        }
    }

    /// Known to most, its life is the highest that there is.
    pub(super) fn settle(&mut self) {
        if self.standing == Standing::Asking && (self.confirmed.len() + 1) * 2 > self.roster.size() {
            self.stand(Standing::Settled);
        }
    }

    pub(super) fn leave(&mut self, now: Duration) {
        if self.standing.speaks() {
            for id in self.shuffled(|peer| peer.status != Status::Dead) {
                self.send(id, &Body::Leave, Rank::First, now);
            }
        }
        self.stand(Standing::Left);
        self.write_at = None;
    }

    pub(super) fn follow_roster(&mut self, now: Duration) {
        let roster = &self.roster;
        let rumours = &mut self.rumours;
        self.peers.retain(|id, peer| {
            let stays = roster.get(*id).is_some_and(|member| member.key == peer.member.key);
            if !stays {
                rumours.forget(*id);
            }
            stays
        });
        for (id, member) in roster.others() {
            let peer = self.peers.entry(id).or_insert_with(|| Peer::new(member.clone(), now));
            peer.member = member.clone();
        }
        let known: BTreeSet<MemberId> = self.peers.keys().copied().collect();
        self.timers.retain(|(_, id)| known.contains(id));
        self.confirmed.retain(|id| known.contains(id));
        self.usual.retain(|building, _| self.peers.values().any(|peer| peer.member.building == *building));
        self.ring.retain(|id| known.contains(id));
        self.dead_ring.retain(|id| known.contains(id));
        self.urgent.retain(|id| known.contains(id));
        if self.standing.speaks() {
            let new = self.shuffled(|peer| peer.status == Status::Unknown);
            new.into_iter().for_each(|id| self.make_urgent(id));
            self.settle();
        }
    }

    /// It stood still: what was asked before may have been answered since, and nobody is to be blamed for that.
    pub(super) fn stalled(&mut self, due: Duration, now: Duration) {
        self.event(Event::Stalled { late_ms: now.saturating_sub(due).as_millis() as u64 });
        self.touched = None;
        self.timers.clear();
        for (id, peer) in &mut self.peers {
            let wait = peer.wait(self.usual.get(&peer.member.building).copied());
            if let Some(question) = &mut peer.question {
                *question = PendingProbe { began: now, stage: Stage::Straight, rounds: 0, timer: now + wait };
                self.timers.insert((question.timer, *id));
            }
        }
    }
}
