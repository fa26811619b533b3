//! The state machine: what comes from others, what is asked of them, and what is believed.
use crate::ceiling::{Bucket, Ceiling, Rank};
use crate::health::Health;
use crate::life::{Book, Heard, Life, Stamp};
use crate::member::{MemberId, Roster};
use crate::peer::{Peer, Question, Stage, Trip};
use crate::rumours::{MOST_IN_ONE, Rumour, Rumours, Word};
use crate::seal::Secret;
use crate::view::{Counts, Reach, Status, View};
use crate::wire::{self, Body, Header, MOST_DATAGRAM, Unread};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
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
/// After a write that failed.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// A process takes a higher life no more often than this.
const RENEWALS: u32 = 3;
/// Two that took one number sort that out between them within this, if both are there.
const DISPUTE: Duration = Duration::from_secs(2);
/// Rumours in a question or an answer.
const FEW: usize = 6;
/// Urgent questions that the ceiling held back are tried again after this.
const URGENT_AGAIN: Duration = Duration::from_millis(20);
/// Bytes of a datagram that is passed on: a question or its answer.
const MOST_SEALED: usize = 400;

/// What the operator's file sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// From one probe to the next.
    pub probe_every: Duration,
    /// A suspect that says nothing for so long is dead.
    pub dead_after: Duration,
    /// What is sent at the most.
    pub ceiling: Ceiling,
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
pub struct Peers {
    settings: Settings,
    secret: Secret,
    chance: ChaCha8Rng,
    roster: Roster,
    book: Book,
    life: Life,
    stamp: Stamp,
    forgot: bool,
    standing: Standing,
    renewals: u32,
    /// When it was first heard that another process took this number.
    disputed: Option<Duration>,
    /// Those that know this life as the highest.
    confirmed: BTreeSet<MemberId>,
    /// What links to each building take, for those that were not measured yet.
    usual: BTreeMap<String, Trip>,
    peers: BTreeMap<MemberId, Peer>,
    timers: BTreeSet<(Duration, MemberId)>,
    rumours: Rumours,
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

impl Peers {
    /// A sender that starts now, with the book of its earlier lives; an empty one where there is none.
    ///
    /// Its life is to be written down before anything else: the first output asks for that.
    #[must_use]
    pub fn new(
        settings: Settings,
        secret: Secret,
        roster: Roster,
        mut book: Book,
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
        let life = Life { number: number.unwrap_or(u64::MAX), run };
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
            rumours: Rumours::default(),
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

    // ---- this sender itself --------------------------------------------------------------------------

    fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    fn stand(&mut self, standing: Standing) {
        self.standing = standing;
        if !standing.speaks() {
            self.timers.clear();
            self.peers.values_mut().for_each(|peer| (peer.question, peer.urgent) = (None, false));
            self.urgent.clear();
            (self.tell_at, self.urgent_at) = (None, None);
        }
        self.event(Event::Stands(standing));
    }

    fn write(&mut self) {
        self.write_at = None;
        self.writing = true;
        self.outputs.push_back(Output::Write(self.book.to_bytes()));
    }

    fn written(&mut self, done: bool, now: Duration) {
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
    fn known_as(&mut self, by: MemberId, known: Heard, now: Duration) {
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
    fn settle(&mut self) {
        if self.standing == Standing::Asking && (self.confirmed.len() + 1) * 2 > self.roster.size() {
            self.stand(Standing::Settled);
        }
    }

    fn leave(&mut self, now: Duration) {
        if self.standing.speaks() {
            for id in self.shuffled(|peer| peer.status != Status::Dead) {
                self.send(id, &Body::Leave, Rank::First, now);
            }
        }
        self.stand(Standing::Left);
        self.write_at = None;
    }

    fn follow_roster(&mut self, now: Duration) {
        let own = self.roster.own();
        let (roster, secret) = (&self.roster, &self.secret);
        let rumours = &mut self.rumours;
        self.peers.retain(|id, peer| {
            let stays = roster.get(*id).is_some_and(|member| member.key == peer.member.key);
            if !stays {
                rumours.forget(*id);
            }
            stays
        });
        for (id, member) in roster.others() {
            let peer = self.peers.entry(id).or_insert_with(|| {
                let pair = secret.pair(own, id, &member.key).ok();
                Peer::new(member.clone(), pair, now)
            });
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
    fn stalled(&mut self, due: Duration, now: Duration) {
        self.event(Event::Stalled { late_ms: now.saturating_sub(due).as_millis() as u64 });
        self.touched = None;
        self.timers.clear();
        for (id, peer) in &mut self.peers {
            let wait = peer.wait(self.usual.get(&peer.member.building).copied());
            if let Some(question) = &mut peer.question {
                *question = Question { began: now, stage: Stage::Straight, rounds: 0, timer: now + wait };
                self.timers.insert((question.timer, *id));
            }
        }
    }

    // ---- what comes ----------------------------------------------------------------------------------

    /// Takes a datagram in; `via` passed it on, unless it came straight.
    fn datagram(&mut self, bytes: &[u8], now: Duration, via: Option<MemberId>) {
        let Ok(Header { forgot, from, to, life, to_run, number }) = wire::header(bytes) else {
            self.counts.foreign += 1;
            return;
        };
        let peer = self.peers.get_mut(&from).filter(|_| to == self.roster.own());
        let Some((peer, pair)) = peer.and_then(|peer| peer.pair.map(|pair| (peer, pair))) else {
            self.counts.foreign += 1;
            return;
        };
        let body = match wire::open(bytes, &pair.back) {
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
            Body::Ping { nonce, rumours, .. } => {
                if fresh {
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
    fn life_of(&mut self, from: MemberId, heard: Heard, forgot: bool, now: Duration) {
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

    fn sign_of(&mut self, id: MemberId, now: Duration, reach: Reach) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.left == peer.speaks && peer.left.is_some() {
            // Said before it left, and late on the way.
            return;
        }
        peer.came(now, reach);
        if let Some(question) = peer.question.take() {
            self.timers.remove(&(question.timer, id));
        }
        self.heard = Some(now);
        if std::mem::take(&mut self.cut_off) {
            self.event(Event::CutOff(false));
        }
        self.change(id, Status::Live, now);
    }

    /// An answer took so long, there and back.
    fn measured(&mut self, from: MemberId, took: Duration) {
        let Some(peer) = self.peers.get(&from) else { return };
        match self.usual.get_mut(&peer.member.building) {
            Some(trip) => trip.measure(took),
            None => drop(self.usual.insert(peer.member.building.clone(), Trip::first(took))),
        }
    }

    /// What is believed of a member is another thing now: those who should ask it themselves are told.
    fn change(&mut self, id: MemberId, is: Status, now: Duration) {
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.status != is) else { return };
        let was = std::mem::replace(&mut peer.status, is);
        peer.since = now;
        peer.left = if is == Status::Left { peer.speaks } else { None };
        if matches!(is, Status::Dead | Status::Left) {
            if let Some(question) = peer.question.take() {
                self.timers.remove(&(question.timer, id));
            }
            self.dead_ring.push_back(id);
        }
        if is == Status::Dead {
            self.counts.deaths += 1;
        }
        let life = self.book.heard.get(&id).map_or(0, |heard| heard.life.number);
        let name = peer.member.name.clone();
        self.event(Event::Changed { name, was, is, life });
        let word = match (was, is) {
            (_, Status::Suspect | Status::Dead) => Word::Silent,
            (Status::Suspect | Status::Dead | Status::Left, Status::Live) => Word::Back,
            _ => return,
        };
        let times = (self.told_at_once() + 2 * self.doublings()) as u32;
        self.rumours.add(Rumour { about: id, life, word }, times);
        let soon = now + TELL_AFTER;
        let tell_at = self.told_at.map_or(soon, |told| soon.max(told + TELL_AGAIN));
        self.tell_at = self.tell_at.or(Some(tell_at));
    }

    fn hear(&mut self, rumours: &[Rumour], now: Duration) {
        for rumour in rumours.iter().take(MOST_IN_ONE) {
            if rumour.about == self.roster.own() {
                if rumour.word == Word::Silent && rumour.life == self.life.number {
                    self.health.worse();
                }
                continue;
            }
            let known = self.book.heard.get(&rumour.about).map_or(0, |heard| heard.life.number);
            let Some(peer) = self.peers.get(&rumour.about) else { continue };
            let of_late = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < FRESH);
            let points = match rumour.word {
                Word::Silent => {
                    rumour.life >= known
                        && matches!(peer.status, Status::Live | Status::Unknown)
                        && !of_late(peer.heard())
                }
                Word::Back => peer.status != Status::Live || rumour.life > known,
            };
            if points && peer.question.is_none() && !of_late(peer.asked_at) {
                self.make_urgent(rumour.about);
            }
        }
    }

    // ---- what is asked -------------------------------------------------------------------------------

    fn timer(&mut self, now: Duration) {
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

    fn look_at_oneself(&mut self, now: Duration) {
        let quiet = (self.settings.dead_after * 2).max(Duration::from_secs(2));
        let since = self.heard.max(self.health.woke()).unwrap_or(self.begun);
        if !self.cut_off && !self.peers.is_empty() && now.saturating_sub(since) >= quiet {
            self.cut_off = true;
            self.event(Event::CutOff(true));
        }
    }

    /// Asks the next in turn.
    fn probe(&mut self, now: Duration) {
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
    fn try_dead(&mut self, now: Duration) {
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

    fn make_urgent(&mut self, id: MemberId) {
        if let Some(peer) = self.peers.get_mut(&id)
            && !std::mem::replace(&mut peer.urgent, true)
        {
            self.urgent.push_back(id);
        }
    }

    /// Asks those that must not wait for their turn, as far as the ceiling allows.
    fn ask_urgent(&mut self, now: Duration) {
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
    fn ask(&mut self, id: MemberId, now: Duration) -> bool {
        if !self.ping(id, Rank::Usual, now) {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            let timer = now + self.health.patience(peer.wait(self.usual.get(&peer.member.building).copied()));
            peer.question = Some(Question { began: now, stage: Stage::Straight, rounds: 0, timer });
            self.timers.insert((timer, id));
        }
        true
    }

    /// A question got no answer in its time.
    fn no_answer(&mut self, id: MemberId, now: Duration) {
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

    fn drop_question(&mut self, id: MemberId) {
        if let Some(question) = self.peers.get_mut(&id).and_then(|peer| peer.question.take()) {
            self.timers.remove(&(question.timer, id));
        }
    }

    /// Members who hear of news at once.
    fn told_at_once(&self) -> usize {
        if self.peers.len() <= TELL_ALL { self.peers.len() } else { 4 * self.doublings() }
    }

    fn doublings(&self) -> usize {
        (usize::BITS - self.peers.len().leading_zeros()) as usize
    }

    fn tell(&mut self, now: Duration) {
        let mut to = self.shuffled(|peer| peer.status == Status::Live);
        to.truncate(self.told_at_once());
        let rank = if self.peers.len() <= TELL_ALL { Rank::Usual } else { Rank::Last };
        for id in to {
            let rumours = self.rumours.next(MOST_IN_ONE);
            if rumours.is_empty() {
                return;
            }
            let nonce = self.next_nonce();
            let ping = Body::Ping { nonce, stamp: self.stamp, rumours };
            if self.send(id, &ping, rank, now)
                && let Some(peer) = self.peers.get_mut(&id)
            {
                peer.asked(nonce, now, true);
            }
        }
    }

    // ---- what goes out -------------------------------------------------------------------------------

    fn next_nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// A question that goes straight, with some rumours; whether the ceiling allowed it.
    fn ping(&mut self, id: MemberId, rank: Rank, now: Duration) -> bool {
        let nonce = self.next_nonce();
        let rumours = self.rumours.next(FEW);
        let sent = self.send(id, &Body::Ping { nonce, stamp: self.stamp, rumours }, rank, now);
        if sent && let Some(peer) = self.peers.get_mut(&id) {
            peer.asked(nonce, now, true);
        }
        sent
    }

    /// The same through some others: one in its own building, where there is one, and whoever chance picks.
    fn ping_through(&mut self, id: MemberId, through: usize, now: Duration) {
        let Some(building) = self.peers.get(&id).map(|peer| peer.member.building.clone()) else { return };
        let mut others = self.shuffled(|peer| peer.status == Status::Live);
        others.retain(|other| *other != id);
        let beside = |other: &MemberId| self.peers.get(other).is_some_and(|p| p.member.building == building);
        if let Some(place) = others.iter().position(beside) {
            others.swap(0, place);
        }
        for other in others.into_iter().take(through) {
            let nonce = self.next_nonce();
            let ping = Body::Ping { nonce, stamp: self.stamp, rumours: Vec::new() };
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
    fn answer(
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

    fn run_of(&self, id: MemberId) -> u64 {
        self.book.heard.get(&id).map_or(0, |heard| heard.life.run)
    }

    fn seal(&mut self, to: MemberId, to_run: u64, body: &Body) -> Option<Vec<u8>> {
        let pair = self.peers.get(&to)?.pair?;
        self.number += 1;
        let (from, life, number) = (self.roster.own(), self.life, self.number);
        let header = Header { forgot: self.forgot, from, to, life, to_run, number };
        Some(wire::seal(&header, body, &pair.out))
    }

    fn send(&mut self, to: MemberId, body: &Body, rank: Rank, now: Duration) -> bool {
        let sealed = self.seal(to, self.run_of(to), body);
        sealed.is_some_and(|sealed| self.put(to, sealed, rank, now))
    }

    fn put(&mut self, to: MemberId, sealed: Vec<u8>, rank: Rank, now: Duration) -> bool {
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

    fn shuffled(&mut self, which: impl Fn(&Peer) -> bool) -> Vec<MemberId> {
        let mut ids: Vec<MemberId> =
            self.peers.iter().filter(|(_, peer)| which(peer)).map(|(id, _)| *id).collect();
        for i in (1..ids.len()).rev() {
            ids.swap(i, (self.chance.next_u64() % (i as u64 + 1)) as usize);
        }
        ids
    }
}
