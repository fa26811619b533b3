//! The failure detector of this package beside `foca` 1 in the same simulated fleet: what each finds, how soon, and whom
//! it accuses wrongly. Run with `cargo bench -p micadrum-membership --bench foca_comparison`.
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
use simulated_fleet::{CLEAN, Path, World, ms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::NonZeroU32;
use std::time::Duration;

const MEMBERS: usize = 20;
/// foca waits a fixed time for an answer, and probes no sooner than twice that: one for clean links, with probes as often as
/// ours, and one that the lossy links keep (110 to 220 ms there and back).
const QUICK: Duration = ms(50);
const SLOW: Duration = ms(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Id {
    n: u16,
    life: u16,
}

impl Identity for Id {
    type Addr = u16;

    fn addr(&self) -> u16 {
        self.n
    }

    fn renew(&self) -> Option<Self> {
        Some(Self { life: self.life + 1, ..*self })
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.life > other.life
    }
}

type Node = Foca<Id, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

enum What {
    Comes(u16, Vec<u8>),
    Timer(u16, Timer<Id>),
}

/// The same world round `foca`.
struct Other {
    now: Duration,
    nodes: Vec<Option<Node>>,
    link: Box<dyn Fn(usize, usize) -> Path>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    what: BTreeMap<u64, What>,
    count: u64,
    chance: ChaCha8Rng,
    paused: Option<(u16, Vec<What>)>,
    /// Members that were held for gone: when, by whom, of whom.
    gone: Vec<(Duration, u16, u16)>,
    sent: u64,
    sent_bytes: u64,
}

impl Other {
    /// On links whose answers come within `rtt`.
    fn started(seed: u64, rtt: Duration) -> Self {
        let mut config = Config::simple();
        config.probe_period = rtt * 2;
        config.probe_rtt = rtt;
        config.suspect_to_down_after = ms(1000);
        config.remove_down_after = Duration::from_secs(3600);
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
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..MEMBERS).map(|n| {
            let chance = ChaCha8Rng::seed_from_u64(chance.next_u64());
            Some(Foca::new(Id { n: n as u16, life: 0 }, config.clone(), chance, PostcardCodec))
        });
        let mut world = Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            link: Box::new(|_, _| CLEAN),
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            count: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            paused: None,
            gone: Vec::new(),
            sent: 0,
            sent_bytes: 0,
        };
        for n in 1..MEMBERS as u16 {
            world.act(n, |node, runtime| drop(node.announce(Id { n: 0, life: 0 }, runtime)));
        }
        world.run(ms(5000));
        world
    }

    fn unit(&mut self) -> f64 {
        (self.chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn push(&mut self, at: Duration, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.what.insert(self.count, what);
    }

    fn act(&mut self, n: u16, act: impl FnOnce(&mut Node, &mut AccumulatingRuntime<Id>)) {
        let mut runtime = AccumulatingRuntime::new();
        let Some(node) = &mut self.nodes[n as usize] else { return };
        act(node, &mut runtime);
        while let Some((to, data)) = runtime.to_send() {
            self.sent += 1;
            self.sent_bytes += data.len() as u64;
            let link = (self.link)(n as usize, to.n as usize);
            if !link.cut && self.unit() >= link.lose {
                let due = self.now + link.delay + link.jitter.mul_f64(self.unit());
                self.push(due, What::Comes(to.n, data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.push(self.now + after, What::Timer(n, timer));
        }
        while let Some(said) = runtime.to_notify() {
            if let OwnedNotification::MemberDown(of) = said {
                self.gone.push((self.now, n, of.n));
            }
        }
    }

    fn take(&mut self, what: What) {
        match what {
            What::Comes(n, bytes) => self.act(n, |node, runtime| drop(node.handle_data(&bytes, runtime))),
            What::Timer(n, timer) => self.act(n, |node, runtime| drop(node.handle_timer(timer, runtime))),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            let Some(what) = self.what.remove(&number) else { continue };
            let (What::Comes(n, _) | What::Timer(n, _)) = &what;
            match &mut self.paused {
                Some((paused, held)) if paused == n => held.push(what),
                _ => self.take(what),
            }
        }
        self.now = end;
    }

    fn resume(&mut self) {
        for what in self.paused.take().map_or(Vec::new(), |(_, held)| held) {
            self.take(what);
        }
    }

    fn accused(&self, since: Duration, but: u16) -> usize {
        self.gone.iter().filter(|(at, _, of)| *at >= since && *of != but).count()
    }
}

fn lossy(_: usize, _: usize) -> Path {
    Path { lose: 0.2, delay: ms(55), jitter: ms(55), ..CLEAN }
}

fn ours(seed: u64) -> World {
    let mut world = World::started(MEMBERS, seed);
    world.run(ms(5000));
    world
}

fn deaths(world: &World, since: Duration, but: &str) -> usize {
    world.deaths(since).iter().filter(|(.., name)| name != but).count()
}

fn spread(mut took: Vec<u128>) -> String {
    took.sort_unstable();
    format!("median {} ms, worst {} ms of {}", took[took.len() / 2], took[took.len() - 1], took.len())
}

fn main() {
    let (mut mine, mut theirs) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut world = ours(seed);
        let at = world.now;
        world.kill(7);
        world.run(ms(20_000));
        let last = world
            .events
            .iter()
            .rev()
            .find(|(_, _, event)| matches!(event, Event::Changed { is: Status::Dead, .. }));
        mine.extend(last.map(|(when, ..)| (*when - at).as_millis()));
        let mut other = Other::started(seed, QUICK);
        let at = other.now;
        other.nodes[7] = None;
        other.run(ms(20_000));
        let by: std::collections::BTreeSet<u16> =
            other.gone.iter().filter(|(_, _, of)| *of == 7).map(|(_, by, _)| *by).collect();
        if by.len() == MEMBERS - 1 {
            theirs.extend(
                other
                    .gone
                    .iter()
                    .filter(|(_, _, of)| *of == 7)
                    .map(|(when, ..)| (*when - at).as_millis())
                    .max(),
            );
        }
    }
    println!("killed, known to all 19: ours {}; foca {}", spread(mine), spread(theirs));
    let (mut world, mut other) = (ours(1), Other::started(1, SLOW));
    world.link = Box::new(lossy);
    other.link = Box::new(lossy);
    let (at, then) = (world.now, other.now);
    let sent = |world: &World| (0..MEMBERS).map(|n| world.view(n).counts.sent_bytes).sum::<u64>();
    let (before, others_before) = (sent(&world), other.sent_bytes);
    world.run(ms(3_600_000));
    other.run(ms(3_600_000));
    let rate = |bytes: u64| bytes / MEMBERS as u64 / 3600;
    println!(
        "20% loss, one hour: live members held for dead: ours {}, foca {}; bytes a second for each: ours {}, foca {}",
        deaths(&world, at, ""),
        other.accused(then, u16::MAX),
        rate(sent(&world) - before),
        rate(other.sent_bytes - others_before)
    );
    let (mut mine, mut theirs) = (0, 0);
    for seed in 0..20 {
        let (mut world, mut other) = (ours(seed), Other::started(seed, QUICK));
        let (at, then) = (world.now, other.now);
        world.pause(2);
        other.paused = Some((2, Vec::new()));
        world.run(ms(5000));
        other.run(ms(5000));
        world.resume(2);
        other.resume();
        world.run(ms(10_000));
        other.run(ms(10_000));
        mine += deaths(&world, at, "n2");
        theirs += other.accused(then, 2);
    }
    println!("one stands still for 5 s, 20 times: others held for dead: ours {mine}, foca {theirs}");
    let (mut mine, mut theirs) = (0, 0);
    for seed in 0..20 {
        let (mut world, mut other) = (ours(seed), Other::started(seed, QUICK));
        let (at, then) = (world.now, other.now);
        let cut = |from: usize, to: usize| Path { cut: from == 0 && to != 0, ..CLEAN };
        world.link = Box::new(cut);
        other.link = Box::new(cut);
        world.run(ms(30_000));
        other.run(ms(30_000));
        mine += deaths(&world, at, "n0");
        theirs += other.accused(then, 0);
    }
    println!(
        "one is heard by nobody and hears all for 30 s, 20 times: others held for dead: ours {mine}, foca {theirs}"
    );
}
