//! The state machine: what comes from others, what is asked of them, and what is believed.
mod probing;
mod receiving;
mod refutation;
mod sending;

use crate::gossip::GossipQueue;
use crate::incarnation::{Incarnation, IncarnationProof, IncarnationRecord};
use crate::local_health::Health;
use crate::member::{MemberId, Roster};
use crate::remote_member::{Peer, RoundTrip};
use crate::sealing::Secret;
use crate::send_budget::{Bucket, SendBudget};
use crate::view::{Counts, Status, View};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What the operator's file sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// From one probe to the next.
    pub probe_every: Duration,
    /// A suspect that says nothing for so long is dead.
    pub dead_after: Duration,
    /// What is sent at the most.
    pub ceiling: SendBudget,
}

/// How a sender stands among its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Its life is not written down yet: it says nothing.
    Writing,
    /// It asks whether anybody knows a higher life of it.
    Asking,
    /// Most members know this life as its highest.
    Settled,
    /// A later process speaks under its name: it says nothing any more.
    Superseded,
    /// There is no higher life to take: it says nothing.
    Exhausted,
    /// It told the others that it ends.
    Left,
}

impl Standing {
    fn speaks(self) -> bool {
        matches!(self, Self::Asking | Self::Settled)
    }
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram(&'a [u8]),
    /// It is the time that [`Peers::due`] told, or later.
    Timer,
    /// What [`Output::Write`] asked for last is in the folder that lasts, or could not be written.
    Written(bool),
    /// The operator's file reads like this now.
    Follow(Settings, Roster),
    /// This sender ends, in good order.
    Leave,
}

/// What the host is to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send(std::net::SocketAddr, Vec<u8>),
    /// Put these bytes in place of the book of lives, and say [`Input::Written`].
    Write(Vec<u8>),
    /// Tell the layers above, and the log.
    Event(Event),
}

/// What the layers above hear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// What is believed of a member has changed.
    Changed {
        /// Who.
        name: String,
        /// What it was.
        was: Status,
        /// What it is.
        is: Status,
        /// The highest life that was heard of it.
        life: u64,
    },
    /// A member speaks under a new life.
    Life {
        /// Who.
        name: String,
        /// Which.
        life: u64,
        /// It has forgotten what it promised under earlier ones.
        forgot: bool,
    },
    /// A member's list of members is another than this sender's, or is no longer.
    OtherList {
        /// Who.
        name: String,
        /// Whether it is another.
        other: bool,
    },
    /// Others know a higher life of this sender: its folder was lost, or put back from an older copy. It has taken a
    /// higher one.
    Forgotten {
        /// The life that it took.
        life: u64,
        /// The one that others knew.
        known: u64,
    },
    /// How this sender stands has changed.
    Stands(Standing),
    /// It stood still, and begins anew what it asked.
    Stalled {
        /// So much later than it should it came back, in milliseconds.
        late_ms: u64,
    },
    /// Nobody answers any more, or somebody does again.
    CutOff(bool),
}

/// The members as one of them sees them.
pub struct Membership {
    settings: Settings,
    secret: Secret,
    chance: ChaCha8Rng,
    roster: Roster,
    book: IncarnationRecord,
    life: Incarnation,
    stamp: IncarnationProof,
    forgot: bool,
    standing: Standing,
    renewals: u32,
    /// When it was first heard that another process took this number.
    disputed: Option<Duration>,
    /// Those that know this life as the highest.
    confirmed: BTreeSet<MemberId>,
    /// What links to each building take, for those that were not measured yet.
    usual: BTreeMap<String, RoundTrip>,
    peers: BTreeMap<MemberId, Peer>,
    timers: BTreeSet<(Duration, MemberId)>,
    rumours: GossipQueue,
    health: Health,
    bucket: Bucket,
    counts: Counts,
    number: u64,
    nonce: u32,
    /// Members in the order in which they are asked; drawn anew for each round.
    ring: Vec<MemberId>,
    dead_ring: VecDeque<MemberId>,
    /// Who is to be asked as soon as the ceiling allows.
    urgent: VecDeque<MemberId>,
    urgent_at: Option<Duration>,
    next_probe: Duration,
    tell_at: Option<Duration>,
    told_at: Option<Duration>,
    write_at: Option<Duration>,
    writing: bool,
    /// When a question was asked that somebody answered, the last such.
    touched: Option<Duration>,
    heard: Option<Duration>,
    cut_off: bool,
    begun: Duration,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// A sender that starts now, with the book of its earlier lives; an empty one where there is none.
    ///
    /// Its life is to be written down before anything else: the first output asks for that.
    #[must_use]
    pub fn new(
        settings: Settings,
        secret: Secret,
        roster: Roster,
        mut book: IncarnationRecord,
        mut chance: ChaCha8Rng,
        now: Duration,
    ) -> Self {
        let run = loop {
            // 0 stands for a run that is not known.
            let run = chance.next_u64();
            if run != 0 {
                break run;
            }
        };
        let number = book.own.checked_add(1);
        let life = Incarnation { number: number.unwrap_or(u64::MAX), run };
        book.own = life.number;
        let stamp = secret.stamp(life);
        let mut peers = Self {
            bucket: Bucket::new(settings.ceiling, now),
            settings,
            secret,
            chance,
            book,
            life,
            stamp,
            forgot: false,
            standing: Standing::Writing,
            renewals: 0,
            disputed: None,
            confirmed: BTreeSet::new(),
            usual: BTreeMap::new(),
            peers: BTreeMap::new(),
            timers: BTreeSet::new(),
            rumours: GossipQueue::default(),
            health: Health::default(),
            counts: Counts::default(),
            number: 0,
            nonce: 0,
            ring: Vec::new(),
            dead_ring: VecDeque::new(),
            urgent: VecDeque::new(),
            urgent_at: None,
            next_probe: now,
            tell_at: None,
            told_at: None,
            write_at: None,
            writing: false,
            touched: None,
            heard: None,
            cut_off: false,
            begun: now,
            outputs: VecDeque::new(),
            roster,
        };
        peers.follow_roster(now);
        if number.is_none() {
            peers.stand(Standing::Exhausted);
        } else {
            peers.write();
        }
        peers
    }

    /// Takes in what happened. `now` never goes back.
    pub fn handle(&mut self, input: Input<'_>, now: Duration) {
        let due = self.due();
        if self.standing.speaks() && self.health.came(due, now) {
            self.stalled(due.unwrap_or(now), now);
        }
        match input {
            Input::Datagram(bytes) => {
                self.counts.came += 1;
                if self.standing.speaks() {
                    self.datagram(bytes, now, None);
                }
            }
            Input::Timer => self.timer(now),
            Input::Written(done) => self.written(done, now),
            Input::Follow(settings, roster) => {
                self.bucket = Bucket::new(settings.ceiling, now);
                self.settings = settings;
                self.roster = roster;
                self.follow_roster(now);
            }
            Input::Leave => self.leave(now),
        }
        self.ask_urgent(now);
    }

    /// The next thing for the host to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When to come back with [`Input::Timer`] at the latest.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let probe = self.standing.speaks().then_some(self.next_probe);
        [timer, probe, self.urgent_at, self.tell_at, self.write_at].into_iter().flatten().min()
    }

    /// What is believed now.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let own = self.roster.get(self.roster.own()).map_or(String::new(), |member| member.name.clone());
        let life = |id| self.book.heard.get(id).map(|heard| heard.life);
        let mut peers: Vec<_> = self.peers.iter().map(|(id, peer)| peer.view(life(id))).collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let (life, standing, forgot, cut_off) = (self.life, self.standing, self.forgot, self.cut_off);
        let (doubt, counts) = (self.health.doubt(), self.counts);
        View { at: now, own, life, standing, forgot, cut_off, doubt, peers, counts }
    }
}
