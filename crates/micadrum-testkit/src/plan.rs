//! The plan of a run, drawn from scenario and seed alone: who there is, what is handed in when, and what goes
//! wrong. The same for a simulated run and a live one.
use crate::scenario::{Fault, FaultKind, FolderKept, How, Scenario, Ways, Where};
use crate::units::{Percent, Span};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::fmt::Write as _;

/// Random numbers for one purpose: what one purpose draws never changes what another does.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// Those of `purpose`, of a run with this seed.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in purpose.bytes().chain(seed.to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        Self(ChaCha8Rng::seed_from_u64(hash))
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 up to, not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// From `low` up to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// From 0 up to, not including, `most`.
    pub fn below(&mut self, most: usize) -> usize {
        ((self.unit() * most as f64) as usize).min(most.saturating_sub(1))
    }

    /// True in that share of the cases.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// Exponentially distributed. Its logarithm is the same on every machine, as the system's need not be.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -libm::log(1.0 - self.unit()) * mean
    }

    /// 16 hex digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.number())
    }
}

/// The classes of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Debits an account: must never take effect twice.
    Charge,
    /// Keyed, and in order for each vehicle.
    TripRecord,
}

impl Class {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Charge, Self::TripRecord];

    /// The name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Charge => "charge",
            Self::TripRecord => "trip-record",
        }
    }

    /// Until when it may be delivered.
    pub fn deadline(self) -> Span {
        match self {
            Self::Charge => Span::seconds(16),
            Self::TripRecord => Span::seconds(20),
        }
    }
}

/// Delivered within this, a message earns its full worth.
pub const AIM: Span = Span::millis(2500);
/// Share of the worth that is left at the deadline.
pub const LATE_WORTH: f64 = 0.3;
/// For how long a destination drops a repeat of a keyed message.
pub const KEY_WINDOW: Span = Span::seconds(5);
/// The departments, with their shares of the traffic.
pub const TENANTS: [(&str, f64); 3] = [("cestnina", 0.41), ("parkirisca", 0.41), ("vinjete", 0.18)];
/// Attempts for one message at most.
pub const MAX_ATTEMPTS: u32 = 6;
/// Sends to a draining endpoint must stop within this.
pub const DRAIN_GRACE: Span = Span::seconds(1);
/// Where the list comes on request, who has not asked for so long counts as told; four times that after a call in vain.
pub const MUST_ASK_IN: Span = Span::seconds(10);
/// Share of its capacity that a partner has when it comes back ...
pub const COLD_SHARE: f64 = 0.19;
/// ... and all of it after this.
pub const RAMP: Span = Span::seconds(11);
/// Sent more than this multiple of what it can do ...
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// ... for this long, it falls over.
pub const FALL: Span = Span::millis(1500);
/// Drawn faults between senders are over so long before the end of the day, in seconds.
pub const PEERS_SETTLE: f64 = 15.0;
/// A connection not made within this never comes up.
pub const CONNECT_TIMEOUT: Span = Span::millis(1500);

/// The kinds of partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Large, with a rate or a count in each span, batches and routes apart.
    Bank,
    /// Small, with a plain rate or none.
    Fleet,
    /// Of all sizes.
    Leasing,
}

impl Kind {
    /// The name in the settings.
    pub fn name(self) -> &'static str {
        ["bank", "fleet", "leasing"][self as usize]
    }

    /// Messages in one call at most.
    pub fn batch(self) -> usize {
        if self == Self::Bank { 5 } else { 1 }
    }

    /// Whether its endpoints are separate routes.
    pub fn routes_apart(self) -> bool {
        self == Self::Bank
    }
}

/// What a partner takes from all senders together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No more than it can do.
    None,
    /// So many calls a second.
    Rate(f64),
    /// So many calls in each 2 s.
    Window(u32),
}

/// A partner, as the plan draws it.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Its number, which is that of its destination.
    pub number: u32,
    /// Its kind.
    pub kind: Kind,
    /// Share of the traffic.
    pub share: f64,
    /// Calls a second that it can serve when warm, all endpoints together.
    pub capacity: f64,
    /// Its limit; for routes apart that of each.
    pub limit: Limit,
    /// Share of its refusals that tell how long to wait.
    pub tells: f64,
    /// Mean time to serve a call, in microseconds.
    pub service: f64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointPlan>,
}

/// An endpoint, as the plan draws it.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its number among all endpoints, which also gives its address.
    pub number: u32,
    /// Its id in the list.
    pub id: String,
    /// Its building.
    pub building: usize,
    /// Calls that it serves at once.
    pub slots: usize,
}

/// A sender, as the plan draws it.
#[derive(Clone, Debug)]
pub struct SenderPlan {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// Its building.
    pub building: usize,
}

/// One operation of a client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is first handed in.
    pub at: Span,
    /// Its number.
    pub number: u64,
    /// Its class.
    pub class: Class,
    /// Its department, an index into [`TENANTS`].
    pub tenant: usize,
    /// Its destination.
    pub destination: u32,
    /// The vehicle, in the class that keeps order.
    pub vehicle: Option<u32>,
    /// Length of its body.
    pub body: usize,
    /// Its idempotency key.
    pub key: String,
}

/// A fault with all that is struck drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub from: Span,
    /// Until when; `from` for what happens at once.
    pub until: Span,
    /// Endpoints that are struck, by number.
    pub endpoints: Vec<u32>,
    /// Senders that are struck, by number, in the order in which they are.
    pub senders: Vec<u32>,
    /// Share of the calls.
    pub calls: f64,
    /// How a restart ends the process.
    pub how: How,
    /// Senders at once.
    pub batch: usize,
    /// From one batch or pause to the next.
    pub every: Span,
    /// Length of a pause.
    pub pause: Span,
    /// Added delay.
    pub delay: Span,
    /// Which write, counted from 1.
    pub nth: u64,
    /// Where in it.
    pub place: Where,
    /// How long a sender stays away.
    pub down: Span,
    /// Which way a cut holds.
    pub ways: Ways,
    /// Senders that a cut is from; all others where that is not given.
    pub between: Option<Vec<u32>>,
    /// Whether it is one from partners too.
    pub from_partners: bool,
    /// Added delay that chance draws, at the most.
    pub jitter: Span,
    /// Over how long those that lost power come back.
    pub back: Span,
    /// What is in the folder after a restart.
    pub folder: FolderKept,
    /// Those of the senders that never come back from it.
    pub never: Vec<u32>,
    /// How far clocks stand off at the most.
    pub clock: Span,
}

/// Something that the senders' configuration gets wrong, which makes faulty senders of sound ones: to see that the
/// judge convicts them.
#[derive(Clone, Debug)]
pub struct Lie {
    /// Where in the configuration, as a JSON pointer (RFC 6901).
    pub pointer: String,
    /// What stands there instead.
    pub value: serde_json::Value,
}

/// All that a run plays.
pub struct Plan {
    /// The file that it comes from.
    pub scenario: Scenario,
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The senders.
    pub senders: Vec<SenderPlan>,
    /// The partners, by number.
    pub partners: Vec<Destination>,
    /// What goes wrong, by when.
    pub faults: Vec<PlannedFault>,
    /// What the senders are told wrong; nothing, but in tests of the judge.
    pub lies: Vec<Lie>,
    /// Senders forget their folder at each restart, which nobody is told; not, but in tests of the judge.
    pub forgetful: bool,
}

impl Plan {
    /// Draws it.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let buildings = scenario.buildings.get_ref().len();
        let senders = (0..*scenario.senders.get_ref())
            .map(|number| SenderPlan {
                number,
                name: format!("n{number}"),
                building: number as usize % buildings,
            })
            .collect();
        let partners = partners(&scenario, seed);
        let mut plan = Self {
            scenario,
            seed,
            senders,
            partners,
            faults: Vec::new(),
            lies: Vec::new(),
            forgetful: false,
        };
        let faults = plan.scenario.faults().enumerate().map(|(n, fault)| plan.draw(fault, n)).collect();
        plan.faults = faults;
        plan.faults.sort_by_key(|fault| fault.from);
        plan
    }

    /// How long clients hand in messages.
    pub fn length(&self) -> Span {
        *self.scenario.length.get_ref()
    }

    /// Messages a second that the partners can do.
    pub fn full_load(&self) -> f64 {
        self.scenario.traffic.0 / self.scenario.load.get_ref().share()
    }

    /// All endpoints, with their partners.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Destination, &EndpointPlan)> {
        self.partners.iter().flat_map(|p| p.endpoints.iter().map(move |e| (p, e)))
    }

    /// What is handed in, in the order in which it is. Drawn as it is asked for: a long day need not be held.
    pub fn arrivals(&self) -> Arrivals<'_> {
        Arrivals {
            plan: self,
            dice: SeededRng::new(self.seed, "arrivals"),
            at: 0.0,
            number: 0,
            clump: Vec::new(),
        }
    }

    /// Adds faults drawn from the seed, a few a minute: every kind that the world can play.
    pub fn add_random_faults(&mut self) {
        let mut dice = SeededRng::new(self.seed, "random faults");
        let length = self.length().as_secs();
        let count = 2 + dice.below(3) + (length / 30.0) as usize;
        for n in 0..count {
            let fault = random_fault(&mut dice, length, self.senders.len());
            let fault = self.draw(&fault, 1000 + n);
            self.faults.push(fault);
        }
        self.faults.sort_by_key(|fault| fault.from);
    }

    /// Adds faults of senders and of what they say to each other, drawn from the seed: a few a minute, all of them over a
    /// good while before the end of the day, so that views can settle.
    pub fn add_peer_faults(&mut self) {
        let mut dice = SeededRng::new(self.seed, "peer faults");
        let length = (self.length().as_secs() - PEERS_SETTLE).max(2.0);
        let count = 3 + dice.below(4) + (length / 30.0) as usize;
        for n in 0..count {
            let fault = random_peer_fault(&mut dice, length);
            let fault = self.draw(&fault, 2000 + n);
            self.faults.push(fault);
        }
        self.faults.sort_by_key(|fault| fault.from);
    }

    fn draw(&self, fault: &Fault, number: usize) -> PlannedFault {
        let mut dice = SeededRng::new(self.seed, &format!("fault {number}"));
        let building = fault
            .building
            .as_ref()
            .and_then(|name| self.scenario.buildings.get_ref().iter().position(|other| other == name));
        let share = fault.share.map_or(1.0, Percent::share);
        let mut senders: Vec<u32> = (self.senders.iter())
            .filter(|s| building.is_none_or(|b| s.building == b))
            .filter(|s| fault.senders.as_ref().is_none_or(|list| list.contains(&s.number)))
            .map(|s| s.number)
            .collect();
        let mut endpoints = Vec::new();
        if fault.kind.strikes_partners() {
            senders.clear();
            // A partner is struck whole, as far as it stands in the building.
            let mut partners: Vec<&Destination> = (self.partners.iter())
                .filter(|p| fault.partners.as_ref().is_none_or(|list| list.contains(&p.number)))
                .collect();
            if fault.share.is_some() {
                shuffle(&mut partners, &mut dice);
                partners.truncate(((partners.len() as f64 * share).ceil() as usize).max(1));
            }
            endpoints = (partners.iter().flat_map(|p| &p.endpoints))
                .filter(|e| building.is_none_or(|b| e.building == b))
                .map(|e| e.number)
                .collect();
            endpoints.sort_unstable();
        } else if fault.with_partners == Some(true) {
            endpoints = (self.partners.iter().flat_map(|p| &p.endpoints))
                .filter(|e| building.is_none_or(|b| e.building == b))
                .map(|e| e.number)
                .collect();
        }
        if !fault.kind.strikes_partners() && fault.share.is_some() {
            shuffle(&mut senders, &mut dice);
            senders.truncate(((senders.len() as f64 * share).ceil() as usize).max(1));
        }
        let from = *fault.at.get_ref();
        let never = fault.never.map_or(0.0, Percent::share);
        let never = senders[..(senders.len() as f64 * never).round() as usize].to_vec();
        PlannedFault {
            never,
            clock: fault.clock.unwrap_or_default(),
            kind: fault.kind,
            from,
            until: Span(from.0 + fault.lasts.map_or(0, |lasts| lasts.0)),
            endpoints,
            senders,
            calls: fault.calls.map_or(1.0, Percent::share),
            how: fault.how.unwrap_or(How::Kill),
            batch: fault.batch.map_or(usize::MAX, |batch| batch as usize),
            every: fault.every.unwrap_or(Span::seconds(4)),
            pause: fault.pause.unwrap_or(Span::millis(300)),
            delay: fault.delay.unwrap_or_default(),
            nth: fault.nth.unwrap_or(1),
            place: fault.place.unwrap_or(Where::After),
            down: fault.down.unwrap_or(Span::millis(600)),
            ways: fault.ways.unwrap_or_default(),
            between: fault.between.clone(),
            from_partners: fault.from_partners.unwrap_or(false),
            jitter: fault.jitter.unwrap_or_default(),
            back: fault.back.unwrap_or_default(),
            folder: fault.folder.unwrap_or(match fault.kind {
                FaultKind::PowerLoss => FolderKept::Synced,
                _ => FolderKept::Kept,
            }),
        }
    }
}

fn shuffle<T>(items: &mut [T], dice: &mut SeededRng) {
    for i in (1..items.len()).rev() {
        items.swap(i, dice.below(i + 1));
    }
}

fn random_fault(dice: &mut SeededRng, length: f64, senders: usize) -> Fault {
    use FaultKind::*;
    const KINDS: [FaultKind; 24] = [
        Hang,
        Late,
        Stall,
        Shut,
        Full,
        Errors,
        Spoil,
        Reset,
        Vanish,
        Die,
        Drain,
        Move,
        Rename,
        ListLag,
        ListSilent,
        DeadHosts,
        Deaf,
        Restart,
        Restart,
        MachineLost,
        KillAtWrite,
        KillAtWrite,
        DiskFull,
        LinkHold,
    ];
    let kind = KINDS[dice.below(KINDS.len())];
    // Whole milliseconds, so that a plan that is printed reads as it was played.
    let mut span = |low: f64, high: f64| Span::millis((dice.between(low, high) * 1e3) as u64);
    let at = span(1.0, (length * 0.8).max(1.1));
    let lasts = span(1.0, (length * 0.3).clamp(1.1, 15.0));
    let most = Span::seconds(length as u64).0.saturating_sub(at.0);
    let mut fault = Fault::new(kind, at);
    fault.lasts = Some(Span(lasts.0.min(most)));
    fault.delay = Some(span(0.5, 10.0));
    fault.pause = Some(span(0.2, 0.5));
    fault.every = Some(span(0.8, 4.0));
    fault.down = Some(span(0.6, 2.0));
    fault.calls = Some(Percent((dice.between(0.1, 1.0) * 100.0).round()));
    fault.share = Some(Percent((dice.between(0.1, 0.5) * 100.0).round()));
    fault.how = Some(if dice.chance(0.5) { How::Kill } else { How::Term });
    fault.nth = Some(1 + dice.below(200) as u64);
    fault.place = Some([Where::Before, Where::Torn, Where::After][dice.below(3)]);
    if matches!(kind, Restart) {
        fault.batch = Some(1 + dice.below(senders) as u32);
        fault.share = Some(Percent(100.0));
    }
    if matches!(kind, Drain | Move | Rename | Restart | MachineLost | KillAtWrite) {
        fault.lasts = None;
    }
    fault
}

fn random_peer_fault(dice: &mut SeededRng, length: f64) -> Fault {
    use FaultKind::{Cut, Lose, MachineLost, Pause, Restart, Slow};
    const KINDS: [FaultKind; 8] = [Cut, Cut, Slow, Lose, Pause, Restart, Restart, MachineLost];
    let kind = KINDS[dice.below(KINDS.len())];
    let mut span = |low: f64, high: f64| Span::millis((dice.between(low, high) * 1e3) as u64);
    let at = span(1.0, (length * 0.8).max(1.1));
    let lasts = span(0.3, 8.0);
    let mut fault = Fault::new(kind, at);
    let most = Span::millis((length * 1e3) as u64).0.saturating_sub(at.0).max(1);
    fault.lasts = Some(Span(lasts.0.min(most)));
    // A slow answer is waited for longer and longer: nobody is dead within the day by that alone.
    fault.delay = Some(span(0.05, 1.0));
    fault.jitter = Some(span(0.0, 0.2));
    fault.down = Some(span(0.3, 4.0));
    fault.every = Some(span(0.3, 2.0));
    fault.calls = Some(Percent((dice.between(5.0, 40.0)).round()));
    fault.share = Some(Percent((dice.between(5.0, 60.0)).round()));
    fault.ways = Some([Ways::Both, Ways::Out, Ways::In][dice.below(3)]);
    fault.how = Some(if dice.chance(0.7) { How::Kill } else { How::Term });
    if matches!(kind, Restart | MachineLost) {
        fault.lasts = None;
        fault.batch = Some(1 + dice.below(3) as u32);
        fault.share = Some(Percent((dice.between(5.0, 40.0)).round()));
    }
    fault
}

fn partners(scenario: &Scenario, seed: u64) -> Vec<Destination> {
    let mut dice = SeededRng::new(seed, "partners");
    let count = *scenario.partners.get_ref();
    let buildings = scenario.buildings.get_ref().len();
    let full_load = scenario.traffic.0 / scenario.load.get_ref().share();
    let weights: Vec<f64> = (0..count).map(|n| 1.0 / libm::pow(f64::from(n) + 1.0, 0.8)).collect();
    let whole: f64 = weights.iter().sum();
    let mut next = 0;
    (0..count)
        .map(|number| {
            let share = weights[number as usize] / whole;
            // A sixth are banks, the largest among them; a third fleets, mostly small.
            let kind = match number % 6 {
                0 => Kind::Bank,
                2 | 5 => Kind::Fleet,
                _ => Kind::Leasing,
            };
            let service = dice.between(120_000.0, 210_000.0) * dice.between(0.6, 1.5);
            let size = if share > 0.15 { 3 + dice.below(2) } else { 1 + dice.below(3) };
            let routes = if kind.routes_apart() { size as f64 } else { 1.0 };
            let rate = (full_load * share / routes * dice.between(1.2, 2.2)).max(2.5);
            let limit = match (kind, dice.below(2)) {
                (Kind::Bank, 0) => Limit::Window((rate * 2.0).ceil() as u32),
                (Kind::Fleet | Kind::Leasing, 0) => Limit::None,
                _ => Limit::Rate(rate),
            };
            // What a partner lets in it can serve.
            let usual = full_load * share * dice.between(1.1, 1.5);
            let capacity = if limit == Limit::None { usual.max(4.0) } else { usual.max(rate * routes) };
            let endpoints: Vec<EndpointPlan> = (0..size)
                .map(|n| {
                    let slots = (capacity * service / 1e6 / size as f64).ceil() as usize + 1;
                    let number = next;
                    next += 1;
                    EndpointPlan {
                        number,
                        id: format!("s-{}", &dice.id()[..8]),
                        building: n % buildings,
                        slots,
                    }
                })
                .collect();
            let tells = match kind {
                Kind::Bank => dice.between(0.64, 0.92),
                Kind::Fleet => dice.between(0.14, 0.54),
                Kind::Leasing => dice.between(0.05, 0.59),
            };
            Destination { number, kind, share, capacity, limit, tells, service, endpoints }
        })
        .collect()
}

/// The place of one of several shares, drawn by them.
fn pick(dice: &mut SeededRng, mut shares: impl Iterator<Item = f64>) -> Option<usize> {
    let mut left = dice.unit();
    shares.position(|share| {
        left -= share;
        left < 0.0
    })
}

/// What is handed in, one after another.
pub struct Arrivals<'a> {
    plan: &'a Plan,
    dice: SeededRng,
    at: f64,
    number: u64,
    clump: Vec<Arrival>,
}

impl Arrivals<'_> {
    fn times(&self, at: f64) -> f64 {
        let inside = |p: &&crate::scenario::Peak| {
            let from = p.at.get_ref().as_secs();
            (from..from + p.lasts.as_secs()).contains(&at)
        };
        self.plan.scenario.peak.iter().filter(inside).map(|p| p.times).product()
    }

    fn draw(&mut self, at: f64, partner: Option<u32>) -> Arrival {
        let dice = &mut self.dice;
        let destination = partner.unwrap_or_else(|| {
            pick(dice, self.plan.partners.iter().map(|p| p.share)).map_or(0, |n| n as u32)
        });
        let tenant = pick(dice, TENANTS.iter().map(|(_, share)| *share)).unwrap_or(0);
        let class = if dice.chance(0.52) { Class::Charge } else { Class::TripRecord };
        let vehicles = self.plan.scenario.vehicles.max(1) as usize;
        // A few vehicles pass often.
        let vehicle = (class == Class::TripRecord).then(
            || if dice.chance(0.1) { dice.below(vehicles.min(10)) } else { dice.below(vehicles) } as u32,
        );
        let body = 60 + dice.below(300);
        let mut key = dice.id();
        key.push_str(&dice.id());
        self.number += 1;
        let at = Span((at * 1e6) as u64);
        Arrival { at, number: self.number - 1, class, tenant, destination, vehicle, body, key }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if let Some(next) = self.clump.pop() {
            return Some(next);
        }
        let length = self.plan.length().as_secs();
        let clumps = self.plan.scenario.clumps.share();
        loop {
            let times = self.times(self.at);
            if times <= 0.0 {
                self.at += 1.0;
            } else {
                let rate = self.plan.scenario.traffic.0 * times;
                // A clump of some n counts as n messages, so that all together stay at the rate.
                const CLUMP: f64 = 20.0;
                let events = rate * (1.0 - clumps) + rate * clumps / CLUMP;
                self.at += self.dice.exponential(1.0 / events);
                if self.at < length && self.dice.chance(rate * clumps / CLUMP / events) {
                    let partner = self.dice.below(self.plan.partners.len()) as u32;
                    let size = 10 + self.dice.below(21);
                    let at = self.at;
                    self.clump = (0..size).map(|_| self.draw(at, Some(partner))).rev().collect();
                    return self.clump.pop();
                }
            }
            if self.at >= length {
                return None;
            }
            if times > 0.0 {
                let at = self.at;
                return Some(self.draw(at, None));
            }
        }
    }
}

impl PlannedFault {
    /// One line that tells all of it, for reports.
    pub fn line(&self) -> String {
        let mut line = format!("{:?} at {}", self.kind, self.from);
        let mut add = |text: String| {
            let _ = write!(line, ", {text}");
        };
        if self.until > self.from {
            add(format!("until {}", self.until));
        }
        if !self.endpoints.is_empty() {
            add(format!("endpoints {:?}", self.endpoints));
        }
        if !self.senders.is_empty() {
            add(format!("senders {:?}", self.senders));
        }
        match self.kind {
            FaultKind::LimitFalls => add(format!("{:.0}% of the limit stays", self.calls * 100.0)),
            FaultKind::Full | FaultKind::Errors | FaultKind::Spoil | FaultKind::Reset => {
                add(format!("{:.0}% of the calls", self.calls * 100.0));
            }
            FaultKind::Late | FaultKind::ListLag | FaultKind::LinkDelay => add(format!("by {}", self.delay)),
            FaultKind::Stall => add(format!("{} every {}", self.pause, self.every)),
            FaultKind::Restart => {
                add(format!(
                    "{:?}, {} at once, a batch every {}",
                    self.how,
                    self.batch.min(self.senders.len()),
                    self.every
                ));
                if self.folder != FolderKept::Kept {
                    add(format!("folder {:?}", self.folder));
                }
            }
            FaultKind::PowerLoss => {
                add(format!("back over {}, folder {:?}", self.back, self.folder));
                if !self.never.is_empty() {
                    add(format!("never {:?}", self.never));
                }
                if self.clock > Span(0) {
                    add(format!("clocks off by up to {}", self.clock));
                }
            }
            FaultKind::KillAtWrite => add(format!("{:?} write {}", self.place, self.nth)),
            FaultKind::Cut => {
                let between = self.between.as_ref().map_or(String::new(), |from| format!(" from {from:?}"));
                add(format!("ways {:?}{between}, partners too: {}", self.ways, self.from_partners));
            }
            FaultKind::Slow => add(format!("by {} and up to {}", self.delay, self.jitter)),
            FaultKind::Break => add(format!("one every {}", self.every)),
            FaultKind::Lose => add(format!("{:.0}% lost", self.calls * 100.0)),
            _ => {}
        }
        line
    }
}

impl Plan {
    /// Leaves out all faults but those at these places.
    pub fn keep_faults(&mut self, places: &[usize]) {
        let mut place = 0;
        self.faults.retain(|_| {
            place += 1;
            places.contains(&(place - 1))
        });
    }

    /// Ends the day sooner; what would go wrong after its end does not.
    pub fn cut(&mut self, length: Span) {
        if length < self.length() {
            *self.scenario.length.get_mut() = length;
            self.faults.retain(|fault| fault.from < length);
        }
    }
}
