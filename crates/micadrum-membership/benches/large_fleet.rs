//! A fleet of a thousand: what each member sends at rest and in a storm against its ceiling, how soon a hundred that are
//! killed at once are known to all, what a datagram costs, and what a million forged ones change.
//! Run with `cargo bench -p micadrum-membership --bench large_fleet`.
#[path = "../tests/fleet/simulated_fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulated_fleet;

use micadrum_membership::Input;
use rand_chacha::rand_core::RngCore;
use simulated_fleet::{CLEAN, Path, World, ms};
use std::time::{Duration, Instant};

const MEMBERS: usize = 1000;
const KILLED: usize = 100;

/// The most that one member sent in a second of a span, in datagrams and bytes.
fn busiest(world: &mut World, span: Duration) -> (u64, u64) {
    let counts = |world: &World| -> Vec<(u64, u64)> {
        let of = |n: &usize| {
            let counts = world.view(*n).counts;
            (counts.sent, counts.sent_bytes)
        };
        world.running().iter().map(of).collect()
    };
    let mut most = (0, 0);
    let end = world.now + span;
    let mut last = counts(world);
    while world.now < end {
        world.run(ms(1000));
        let now = counts(world);
        for (was, is) in last.iter().zip(&now) {
            most = (most.0.max(is.0 - was.0), most.1.max(is.1 - was.1));
        }
        last = now;
    }
    most
}

fn main() {
    let mut world = World::new(MEMBERS, 1);
    world.link = Box::new(|_, _| Path { delay: ms(1), jitter: ms(4), ..CLEAN });
    (0..MEMBERS).for_each(|n| world.start(n));
    for second in 1..=30 {
        let storm = busiest(&mut world, ms(1_000));
        let wrong = world.wrong().len();
        println!(
            "start of all, {second} s after: {wrong} of {} views wrong; in it at most {} datagrams, {} bytes for one \
             (ceiling 400, 100000)",
            MEMBERS * (MEMBERS - 1),
            storm.0,
            storm.1
        );
        if wrong == 0 {
            break;
        }
    }
    let rest = busiest(&mut world, ms(4_000));
    println!("at rest: at most {} datagrams, {} bytes a second for one", rest.0, rest.1);
    (0..KILLED).for_each(|n| world.kill(n * 7));
    let at = world.now;
    let storm = busiest(&mut world, ms(12_000));
    let wrong = world.wrong().len();
    let deaths = world.deaths(at);
    let last = deaths.iter().map(|(when, ..)| (*when - at).as_millis()).max().unwrap_or(0);
    let (mut took, killed): (Vec<u128>, Vec<String>) = (
        deaths.iter().map(|(when, ..)| (*when - at).as_millis()).collect(),
        (0..KILLED).map(|n| format!("n{}", n * 7)).collect(),
    );
    took.sort_unstable();
    let accused = deaths.iter().filter(|(.., name)| !killed.contains(name)).count();
    println!(
        "{KILLED} killed at once: {} of {} views know within 12 s (median {} ms, last {last} ms), {accused} others held \
         for dead, {wrong} views wrong; at most {} datagrams, {} bytes a second for one",
        took.len(),
        KILLED * (MEMBERS - KILLED),
        took.get(took.len() / 2).copied().unwrap_or(0),
        storm.0,
        storm.1
    );
    // What a datagram costs: what came to one member in ten seconds, changed, cut and said once more.
    world.wire = Some(Vec::new());
    world.run(ms(10_000));
    let came: Vec<Vec<u8>> = world
        .wire
        .take()
        .unwrap()
        .into_iter()
        .filter(|(_, to, _)| *to == 1)
        .map(|(.., bytes)| bytes)
        .collect();
    // What was on its way then comes first.
    world.run(ms(100));
    let forged: Vec<Vec<u8>> = (0..1_000_000)
        .map(|n| {
            let mut bytes = came[n % came.len()].clone();
            let place = world.chance.next_u64() as usize % bytes.len();
            match n % 4 {
                0 => bytes[place] ^= 1 << (n % 8),
                1 => bytes.truncate(place),
                2 => world.chance.fill_bytes(&mut bytes[20..]),
                _ => {}
            }
            bytes
        })
        .collect();
    let before = world.view(1);
    let begun = Instant::now();
    for bytes in &forged {
        world.nodes[1].as_mut().unwrap().handle(Input::Datagram(bytes), world.now);
    }
    let each = begun.elapsed() / forged.len() as u32;
    let after = world.view(1);
    let same = before
        .peers
        .iter()
        .zip(&after.peers)
        .filter(|(a, b)| (a.status, a.life, a.heard) == (b.status, b.life, b.heard));
    println!(
        "1,000,000 forged, cut, changed and repeated: {each:?} each; {} of {} views as before, {} datagrams sent for them",
        same.count(),
        after.peers.len(),
        after.counts.sent - before.counts.sent
    );
}
