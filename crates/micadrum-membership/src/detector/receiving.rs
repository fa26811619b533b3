//! What comes: datagrams, signs of life, rumours; and what is believed by them.
use super::{Event, Membership};
use crate::datagram::{self, Body, Header, Unread};
use crate::gossip::{GossipStatus, GossipUpdate, MOST_IN_ONE};
use crate::incarnation::Heard;
use crate::member::MemberId;
use crate::remote_member::RoundTrip;
use crate::send_budget::Rank;
use crate::view::{Reach, Status};
use std::time::Duration;

/// News waits so long for more of it.
const TELL_AFTER: Duration = Duration::from_millis(10);
/// ... and for the last news to have been told: in a storm most of it goes together.
const TELL_AGAIN: Duration = Duration::from_millis(200);
/// A member that was heard within this is not asked for a rumour's sake.
const FRESH: Duration = Duration::from_millis(300);
/// From its begin or its waking on, a process does not trust its own clockwork for so long.
const STEADY: Duration = Duration::from_secs(1);
/// What was heard of lives is written down so long after it was.
const WRITE_AFTER: Duration = Duration::from_millis(200);
/// Bytes of a datagram that is passed on: a question or its answer.
const MOST_SEALED: usize = 400;

impl Membership {
    /// Takes a datagram in; `via` passed it on, unless it came straight.
    pub(super) fn datagram(&mut self, bytes: &[u8], now: Duration, via: Option<MemberId>) {
        let Ok(Header { forgot, from, to, life, to_run, number }) = datagram::header(bytes) else {
            self.counts.foreign += 1;
            return;
        };
        let own = self.roster.own();
        let peer = self.peers.get_mut(&from).filter(|_| to == own);
        let Some((peer, pair)) = peer.and_then(|peer| peer.pair(&self.secret, own).map(|pair| (peer, pair)))
        else {
            self.counts.foreign += 1;
            return;
        };
        let body = match datagram::open(bytes, &pair.back) {
            Ok(body) => body,
            Err(Unread::Forged) => {
                self.counts.forged += 1;
                return;
            }
            Err(Unread::Foreign | Unread::Garbled) => {
                self.counts.foreign += 1;
                return;
            }
        };
        if !peer.flood.take(now, bytes.len(), Rank::First) {
            self.counts.flooded += 1;
            return;
        }
        if let Body::Ping { stamp, .. } | Body::Ack { stamp, .. } = &body {
            self.life_of(from, Heard { life, stamp: *stamp }, forgot, now);
        }
        let current = self.book.heard.get(&from).is_some_and(|heard| heard.life == life);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if current && peer.speaks != Some(life) {
            // Known from an earlier process of this sender.
            peer.begins(life, forgot);
        }
        // Only what is meant for this run, and comes for the first time, shows that its sender lives now.
        let fresh = current && to_run == self.life.run;
        if fresh && !peer.window.take(number) {
            self.counts.stale += 1;
            return;
        }
        if fresh {
            self.sign_of(from, now, if via.is_some() { Reach::Relayed } else { Reach::Direct });
        } else {
            self.counts.stale += 1;
        }
        match body {
            Body::Ping { nonce, rumours, list, .. } => {
                if fresh {
                    self.list_of(from, list);
                    self.hear(&rumours, now);
                }
                self.answer(from, life.run, nonce, via, fresh, now);
            }
            // What it knows of this sender it knows now, whatever life it speaks under itself.
            Body::Ack { nonce, known, rumours, .. } if to_run == self.life.run => {
                if fresh {
                    // A process that has just begun, or stood still, is slow itself: what it measures then, it would
                    // hold against the links for long.
                    let steady = self.begun.max(self.health.woke().unwrap_or_default()) + STEADY;
                    let measures = now >= steady;
                    let asked = self.peers.get_mut(&from).and_then(|peer| peer.answer(nonce, now, measures));
                    if let Some((asked, straight)) = asked {
                        if measures && straight {
                            self.measured(from, now.saturating_sub(asked));
                        }
                        self.touched = self.touched.max(Some(asked));
                        self.health.better();
                    }
                    self.hear(&rumours, now);
                }
                if let Some(known) = known {
                    self.known_as(from, known, now);
                }
            }
            Body::Relay { to, sealed } if fresh && via.is_none() && sealed.len() <= MOST_SEALED => {
                self.send(to, &Body::Passed { sealed }, Rank::Usual, now);
            }
            // Whoever passes it on cannot have changed it.
            Body::Passed { sealed } if fresh && via.is_none() => self.datagram(&sealed, now, Some(from)),
            Body::Leave if fresh => self.change(from, Status::Left, now),
            Body::Ack { .. } | Body::Relay { .. } | Body::Passed { .. } | Body::Leave => {}
        }
    }

    /// A member speaks under a life. A higher one than was heard can be no replay.
    pub(super) fn life_of(&mut self, from: MemberId, heard: Heard, forgot: bool, now: Duration) {
        let roster = &self.roster;
        if !self.book.note(from, heard, |id| roster.get(id).is_some()) {
            return;
        }
        self.write_at = self.write_at.or(Some(now + WRITE_AFTER));
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.begins(heard.life, forgot);
        let name = peer.member.name.clone();
        self.event(Event::Life { name, life: heard.life.number, forgot });
        // That it lives now, only an answer to this run shows.
        self.make_urgent(from);
    }

    /// A member's list is this one's, or another.
    fn list_of(&mut self, from: MemberId, list: u64) {
        let other = list != self.roster.mark();
        let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.other_list != other) else { return };
        peer.other_list = other;
        let name = peer.member.name.clone();
        self.event(Event::OtherList { name, other });
    }

    pub(super) fn sign_of(&mut self, id: MemberId, now: Duration, reach: Reach) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.left == peer.speaks && peer.left.is_some() {
            // Said before it left, and late on the way.
            return;
        }
        peer.came(now, reach);
        self.drop_question(id);
        self.heard = Some(now);
        if std::mem::take(&mut self.cut_off) {
            self.event(Event::CutOff(false));
        }
        self.change(id, Status::Live, now);
    }

    /// An answer took so long, there and back.
    pub(super) fn measured(&mut self, from: MemberId, took: Duration) {
        let Some(peer) = self.peers.get(&from) else { return };
        match self.usual.get_mut(&peer.member.building) {
            Some(trip) => trip.measure(took),
            None => drop(self.usual.insert(peer.member.building.clone(), RoundTrip::first(took))),
        }
    }

    /// What is believed of a member is another thing now: those who should ask it themselves are told.
    pub(super) fn change(&mut self, id: MemberId, is: Status, now: Duration) {
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.status != is) else { return };
        let was = std::mem::replace(&mut peer.status, is);
        peer.since = now;
        peer.left = if is == Status::Left { peer.speaks } else { None };
        let name = peer.member.name.clone();
        if matches!(is, Status::Dead | Status::Left) {
            self.drop_question(id);
            self.dead_ring.push_back(id);
        }
        if is == Status::Dead {
            self.counts.deaths += 1;
        }
        let life = self.book.heard.get(&id).map_or(0, |heard| heard.life.number);
        self.event(Event::Changed { name, was, is, life });
        let word = match (was, is) {
            (_, Status::Suspect | Status::Dead) => GossipStatus::Silent,
            (Status::Suspect | Status::Dead | Status::Left, Status::Live) => GossipStatus::Back,
            _ => return,
        };
        let times = (self.told_at_once() + 2 * self.doublings()) as u32;
        self.rumours.add(GossipUpdate { about: id, life, word }, times);
        let soon = now + TELL_AFTER;
        let tell_at = self.told_at.map_or(soon, |told| soon.max(told + TELL_AGAIN));
        self.tell_at = self.tell_at.or(Some(tell_at));
    }

    pub(super) fn hear(&mut self, rumours: &[GossipUpdate], now: Duration) {
        for rumour in rumours.iter().take(MOST_IN_ONE) {
            if rumour.about == self.roster.own() {
                if rumour.word == GossipStatus::Silent && rumour.life == self.life.number {
                    self.health.worse();
                }
                continue;
            }
            let known = self.book.heard.get(&rumour.about).map_or(0, |heard| heard.life.number);
            let Some(peer) = self.peers.get(&rumour.about) else { continue };
            let of_late = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < FRESH);
            let points = match rumour.word {
                GossipStatus::Silent => {
                    rumour.life >= known
                        && matches!(peer.status, Status::Live | Status::Unknown)
                        && !of_late(peer.heard())
                }
                GossipStatus::Back => peer.status != Status::Live || rumour.life > known,
            };
            if points && peer.question.is_none() && !of_late(peer.asked_at) {
                self.make_urgent(rumour.about);
            }
        }
    }
}
