//! Compares the detection times and false detections of this package and of `foca` 1 in a simulated fleet.
//! Run with `cargo bench -p micadrum-membership --bench foca_comparison`.
#[path = "../tests/fleet/simulated_fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulated_fleet;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use micadrum_membership::{Event, Status};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use simulated_fleet::{LinkConditions, PERFECT_LINK, SimulatedFleet, ms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::NonZeroU32;
use std::time::Duration;

const MEMBERS: usize = 20;
/// The round-trip time that foca expects on clean links. foca probes at twice this interval, as often as our
/// detector.
const CLEAN_LINK_RTT: Duration = ms(50);
/// The round-trip time that foca expects on the lossy links, where the real one is 110 to 220 ms.
const LOSSY_LINK_RTT: Duration = ms(250);
const ONE_HOUR: Duration = ms(3_600_000);
/// A number that no member has.
const NO_MEMBER: u16 = u16::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct FocaId {
    member: u16,
    incarnation: u16,
}

impl Identity for FocaId {
    type Addr = u16;

    fn addr(&self) -> u16 {
        self.member
    }

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation + 1, ..*self })
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

type Node = Foca<FocaId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

enum Scheduled {
    Delivery(u16, Vec<u8>),
    Timer(u16, Timer<FocaId>),
}

/// A paused member, with the datagrams and timers that became due during the pause.
struct Paused {
    member: u16,
    deferred: Vec<Scheduled>,
}

/// A declaration of the member `of` as dead by the member `by`.
struct Death {
    at: Duration,
    by: u16,
    of: u16,
}

/// The simulated fleet with `foca` as the failure detector.
struct FocaFleet {
    now: Duration,
    nodes: Vec<Option<Node>>,
    link: Box<dyn Fn(usize, usize) -> LinkConditions>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    last_scheduled: u64,
    rng: ChaCha8Rng,
    paused: Option<Paused>,
    deaths: Vec<Death>,
    sent_bytes: u64,
}

impl FocaFleet {
    /// Starts a fleet that expects acks within `rtt`.
    fn started(seed: u64, rtt: Duration) -> Self {
        let config = foca_config(rtt);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..MEMBERS).map(|n| {
            let rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
            Some(Foca::new(FocaId { member: n as u16, incarnation: 0 }, config.clone(), rng, PostcardCodec))
        });
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            link: Box::new(|_, _| PERFECT_LINK),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_scheduled: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            paused: None,
            deaths: Vec::new(),
            sent_bytes: 0,
        };
        for n in 1..MEMBERS as u16 {
            let first = FocaId { member: 0, incarnation: 0 };
            fleet.act(n, |node, runtime| drop(node.announce(first, runtime)));
        }
        fleet.run(ms(5000));
        fleet
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule(&mut self, at: Duration, scheduled: Scheduled) {
        self.last_scheduled += 1;
        self.queue.push(Reverse((at, self.last_scheduled)));
        self.scheduled.insert(self.last_scheduled, scheduled);
    }

    fn act(&mut self, member: u16, act: impl FnOnce(&mut Node, &mut AccumulatingRuntime<FocaId>)) {
        let mut runtime = AccumulatingRuntime::new();
        let Some(node) = &mut self.nodes[member as usize] else { return };
        act(node, &mut runtime);
        while let Some((to, data)) = runtime.to_send() {
            self.sent_bytes += data.len() as u64;
            let link = (self.link)(member as usize, to.member as usize);
            if !link.is_cut && self.random_unit() >= link.loss {
                let due = self.now + link.delay + link.jitter.mul_f64(self.random_unit());
                self.schedule(due, Scheduled::Delivery(to.member, data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.schedule(self.now + after, Scheduled::Timer(member, timer));
        }
        while let Some(notification) = runtime.to_notify() {
            if let OwnedNotification::MemberDown(of) = notification {
                self.deaths.push(Death { at: self.now, by: member, of: of.member });
            }
        }
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Delivery(to, bytes) => {
                self.act(to, |node, runtime| drop(node.handle_data(&bytes, runtime)));
            }
            Scheduled::Timer(of, timer) => {
                self.act(of, |node, runtime| drop(node.handle_timer(timer, runtime)));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            let Some(scheduled) = self.scheduled.remove(&number) else { continue };
            let (Scheduled::Delivery(member, _) | Scheduled::Timer(member, _)) = &scheduled;
            match &mut self.paused {
                Some(paused) if paused.member == *member => paused.deferred.push(scheduled),
                _ => self.handle(scheduled),
            }
        }
        self.now = end;
    }

    fn pause(&mut self, member: u16) {
        self.paused = Some(Paused { member, deferred: Vec::new() });
    }

    fn resume(&mut self) {
        for scheduled in self.paused.take().map_or(Vec::new(), |paused| paused.deferred) {
            self.handle(scheduled);
        }
    }

    /// Returns the number of deaths declared since `since` of members other than `except`.
    fn deaths_since(&self, since: Duration, except: u16) -> usize {
        self.deaths.iter().filter(|death| death.at >= since && death.of != except).count()
    }
}

fn foca_config(rtt: Duration) -> Config {
    let mut config = Config::simple();
    config.probe_period = rtt * 2;
    config.probe_rtt = rtt;
    config.suspect_to_down_after = ms(1000);
    config.remove_down_after = ONE_HOUR;
    config.periodic_gossip = Some(foca::PeriodicParams {
        frequency: ms(200),
        num_members: NonZeroU32::new(3).unwrap().try_into().unwrap(),
    });
    config.periodic_announce = None;
    config.periodic_announce_to_down_members = Some(foca::PeriodicParams {
        frequency: ms(800),
        num_members: NonZeroU32::new(3).unwrap().try_into().unwrap(),
    });
    config.notify_down_members = true;
    config
}

fn lossy_link(_: usize, _: usize) -> LinkConditions {
    LinkConditions { loss: 0.2, delay: ms(55), jitter: ms(55), ..PERFECT_LINK }
}

fn start_ours(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::started(MEMBERS, seed);
    fleet.run(ms(5000));
    fleet
}

/// Returns the number of deaths declared since `since` of members other than `except`.
fn our_deaths_since(fleet: &SimulatedFleet, since: Duration, except: &str) -> usize {
    fleet.deaths(since).iter().filter(|(.., name)| name != except).count()
}

fn summarize(mut times_ms: Vec<u128>) -> String {
    times_ms.sort_unstable();
    let (count, median) = (times_ms.len(), times_ms[times_ms.len() / 2]);
    format!("median {median} ms, worst {} ms of {count}", times_ms[count - 1])
}

/// Kills member 7, and returns the time in milliseconds until the last declaration of death by our detector.
fn our_detection_time(seed: u64) -> Option<u128> {
    let mut fleet = start_ours(seed);
    let killed_at = fleet.now;
    fleet.kill(7);
    fleet.run(ms(20_000));
    let is_death = |event: &Event| matches!(event, Event::StatusChanged { current: Status::Dead, .. });
    let last_death = fleet.events.iter().rev().find(|(_, _, event)| is_death(event));
    last_death.map(|(at, ..)| (*at - killed_at).as_millis())
}

/// Kills member 7, and returns the time in milliseconds until all others have declared it dead with foca, or
/// `None` if some have not.
fn foca_detection_time(seed: u64) -> Option<u128> {
    let mut fleet = FocaFleet::started(seed, CLEAN_LINK_RTT);
    let killed_at = fleet.now;
    fleet.nodes[7] = None;
    fleet.run(ms(20_000));
    let deaths = || fleet.deaths.iter().filter(|death| death.of == 7);
    let detected_by: BTreeSet<u16> = deaths().map(|death| death.by).collect();
    let is_known_to_all = detected_by.len() == MEMBERS - 1;
    let times = deaths().map(|death| (death.at - killed_at).as_millis());
    if is_known_to_all { times.max() } else { None }
}

fn compare_detection_times() {
    let ours = (0..100).filter_map(our_detection_time).collect();
    let foca = (0..100).filter_map(foca_detection_time).collect();
    println!(
        "killed member, time until all 19 others have declared it dead: ours {}; foca {}",
        summarize(ours),
        summarize(foca)
    );
}

fn compare_lossy_links() {
    let (mut ours, mut foca) = (start_ours(1), FocaFleet::started(1, LOSSY_LINK_RTT));
    ours.link = Box::new(lossy_link);
    foca.link = Box::new(lossy_link);
    let (our_start, foca_start) = (ours.now, foca.now);
    let sent = |fleet: &SimulatedFleet| (0..MEMBERS).map(|n| fleet.view(n).counts.sent_bytes).sum::<u64>();
    let (our_bytes_before, foca_bytes_before) = (sent(&ours), foca.sent_bytes);
    ours.run(ONE_HOUR);
    foca.run(ONE_HOUR);
    let rate = |bytes: u64| bytes / MEMBERS as u64 / ONE_HOUR.as_secs();
    println!(
        "20% loss, one hour: live members declared dead: ours {}, foca {}; bytes per second and member: ours {}, \
         foca {}",
        our_deaths_since(&ours, our_start, ""),
        foca.deaths_since(foca_start, NO_MEMBER),
        rate(sent(&ours) - our_bytes_before),
        rate(foca.sent_bytes - foca_bytes_before)
    );
}

fn compare_pauses() {
    let (mut our_deaths, mut foca_deaths) = (0, 0);
    for seed in 0..20 {
        let (mut ours, mut foca) = (start_ours(seed), FocaFleet::started(seed, CLEAN_LINK_RTT));
        let (our_start, foca_start) = (ours.now, foca.now);
        ours.pause(2);
        foca.pause(2);
        ours.run(ms(5000));
        foca.run(ms(5000));
        ours.resume(2);
        foca.resume();
        ours.run(ms(10_000));
        foca.run(ms(10_000));
        our_deaths += our_deaths_since(&ours, our_start, "n2");
        foca_deaths += foca.deaths_since(foca_start, 2);
    }
    println!(
        "one member paused for 5 s, 20 runs: other members declared dead: ours {our_deaths}, foca {foca_deaths}"
    );
}

fn compare_one_way_cuts() {
    let (mut our_deaths, mut foca_deaths) = (0, 0);
    for seed in 0..20 {
        let (mut ours, mut foca) = (start_ours(seed), FocaFleet::started(seed, CLEAN_LINK_RTT));
        let (our_start, foca_start) = (ours.now, foca.now);
        let one_way =
            |from: usize, to: usize| LinkConditions { is_cut: from == 0 && to != 0, ..PERFECT_LINK };
        ours.link = Box::new(one_way);
        foca.link = Box::new(one_way);
        ours.run(ms(30_000));
        foca.run(ms(30_000));
        our_deaths += our_deaths_since(&ours, our_start, "n0");
        foca_deaths += foca.deaths_since(foca_start, 0);
    }
    println!(
        "all datagrams from one member lost for 30 s, 20 runs: other members declared dead: ours {our_deaths}, \
         foca {foca_deaths}"
    );
}

fn main() {
    compare_detection_times();
    compare_lossy_links();
    compare_pauses();
    compare_one_way_cuts();
}
