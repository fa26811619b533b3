//! One other member, as it is known here: what came from it, and the question that is out to it.
use crate::incarnation::Incarnation;
use crate::member::{Member, MemberId};
use crate::replay_window::Window;
use crate::sealing::{Secret, SessionKeys};
use crate::send_budget::{Bucket, SendBudget};
use crate::view::{PeerView, Reach, Status};
use std::collections::VecDeque;
use std::time::Duration;

/// Questions whose answers may still come late: they tell how slow a link is.
const REMEMBERED: usize = 48;
/// Bounds of the time that an answer is waited for.
const LEAST_WAIT: Duration = Duration::from_millis(100);
const MOST_WAIT: Duration = Duration::from_secs(10);
/// The same before anything is known of a link.
const FIRST_WAIT: Duration = Duration::from_millis(300);
/// A member that says more than this is flooding.
const FLOOD: SendBudget = SendBudget { datagrams: 400.0, bytes: 200_000.0 };

/// Where a question stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Asked straight.
    Straight,
    /// Asked again, and through others.
    Through,
}

/// A question that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    /// When it was first asked.
    pub began: Duration,
    pub stage: Stage,
    /// Rounds, straight and through others, that got no answer.
    pub rounds: u32,
    /// When the next thing happens.
    pub timer: Duration,
}

/// There and back, as it was measured (after RFC 6298).
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTrip {
    mean: Duration,
    spread: Duration,
}

impl RoundTrip {
    /// That of a first measurement.
    pub fn first(took: Duration) -> Self {
        Self { mean: took, spread: took / 2 }
    }

    /// Takes one in.
    pub fn measure(&mut self, took: Duration) {
        let off = took.abs_diff(self.mean);
        *self = Self { mean: (self.mean * 7 + took) / 8, spread: (self.spread * 3 + off) / 4 };
    }

    fn wait(self) -> Duration {
        self.mean + self.spread * 4
    }
}

/// A question that was sent, for the answer that may come.
struct Sent {
    nonce: u32,
    at: Duration,
    straight: bool,
}

pub(crate) struct Peer {
    pub member: Member,
    /// What the two of them seal with, once it was needed; none if the member's key is none.
    pair: Option<Option<SessionKeys>>,
    pub status: Status,
    pub since: Duration,
    pub forgot: bool,
    /// Its list of members is another than ours.
    pub other_list: bool,
    /// The life whose datagrams the window tells apart.
    pub speaks: Option<Incarnation>,
    pub window: Window,
    pub flood: Bucket,
    pub question: Option<PendingProbe>,
    heard: Option<(Duration, Reach)>,
    /// When it was last heard straight.
    pub straight: Option<Duration>,
    /// When it last answered what went to it straight.
    pub answered: Option<Duration>,
    sent: VecDeque<Sent>,
    trip: Option<RoundTrip>,
    /// Tries to reach it while it is dead: every second one goes through another.
    pub tries: u32,
    /// It is in line to be asked.
    pub urgent: bool,
    /// When it was last asked.
    pub asked_at: Option<Duration>,
    /// The life under which it said that it ends.
    pub left: Option<Incarnation>,
}

impl Peer {
    pub fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            pair: None,
            status: Status::Unknown,
            since: now,
            forgot: false,
            other_list: false,
            speaks: None,
            window: Window::default(),
            flood: Bucket::new(FLOOD, now),
            question: None,
            heard: None,
            straight: None,
            answered: None,
            sent: VecDeque::new(),
            trip: None,
            tries: 0,
            urgent: false,
            asked_at: None,
            left: None,
        }
    }

    /// What the two of them seal with. Agreeing costs some 50 us: that of a thousand at once would hold a start up.
    pub fn pair(&mut self, secret: &Secret, own: MemberId) -> Option<SessionKeys> {
        let Member { key, .. } = &self.member;
        let other = MemberId::of(&self.member.name);
        *self.pair.get_or_insert_with(|| secret.pair(own, other, key).ok())
    }

    /// Whether it is asked in its turn: those that are dead or have left are tried apart.
    pub fn is_asked(&self) -> bool {
        !matches!(self.status, Status::Dead | Status::Left)
    }

    /// A sign of it came.
    pub fn came(&mut self, now: Duration, reach: Reach) {
        self.heard = Some((now, reach));
        if reach == Reach::Direct {
            self.straight = Some(now);
        }
    }

    pub fn heard(&self) -> Option<Duration> {
        self.heard.map(|(at, _)| at)
    }

    /// A question went out.
    pub fn asked(&mut self, nonce: u32, now: Duration, straight: bool) {
        self.asked_at = Some(now);
        if self.sent.len() == REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent { nonce, at: now, straight });
    }

    /// An answer came: whether to a question of ours, when that was asked, and whether it went straight. It tells how slow
    /// the link is if `measures`.
    pub fn answer(&mut self, nonce: u32, now: Duration, measures: bool) -> Option<(Duration, bool)> {
        let place = self.sent.iter().position(|sent| sent.nonce == nonce)?;
        let Sent { at, straight, .. } = self.sent.remove(place)?;
        if straight {
            self.answered = Some(now);
            let took = now.saturating_sub(at);
            if measures {
                self.trip.get_or_insert_with(|| RoundTrip::first(took)).measure(took);
            }
        }
        Some((at, straight))
    }

    /// How long an answer is waited for; `usual` is that of its building, for a link that was not measured yet.
    pub fn wait(&self, usual: Option<RoundTrip>) -> Duration {
        self.trip.or(usual).map_or(FIRST_WAIT, RoundTrip::wait).clamp(LEAST_WAIT, MOST_WAIT)
    }

    /// Another life of it speaks: what came under the one before says nothing of this one.
    pub fn begins(&mut self, life: Incarnation, forgot: bool) {
        self.speaks = Some(life);
        self.window = Window::default();
        self.forgot = forgot;
    }

    pub fn view(&self, life: Option<Incarnation>) -> PeerView {
        PeerView {
            name: self.member.name.clone(),
            address: self.member.address,
            building: self.member.building.clone(),
            status: self.status,
            since: self.since,
            heard: self.heard(),
            reach: self.heard.map(|(_, reach)| reach),
            answered: self.answered,
            round_trip: self.trip.map(|trip| trip.mean),
            life,
            forgot: self.forgot,
            other_list: self.other_list,
        }
    }
}
