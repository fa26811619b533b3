//! Measures the traffic, detection time, and cost of valid and forged datagrams in a fleet of 1000 members.
//! Run with `cargo bench -p micadrum-membership --bench large_fleet`.
#[path = "../tests/fleet/simulated_fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod simulated_fleet;

use micadrum_membership::{Input, PeerView};
use rand_chacha::rand_core::RngCore;
use simulated_fleet::{LinkConditions, PERFECT_LINK, SimulatedFleet, ms};
use std::time::{Duration, Instant};

const MEMBERS: usize = 1000;
const KILLED: usize = 100;
/// Every n-th member is killed.
const KILL_STRIDE: usize = 7;
const FORGED_DATAGRAMS: usize = 1_000_000;
/// The member that receives the forged datagrams.
const TARGET: usize = 1;

/// The highest traffic of one member within one second.
#[derive(Clone, Copy, Default)]
struct PeakRate {
    datagrams: u64,
    bytes: u64,
}

/// Runs the fleet for `span`, and returns the peak rate of its members.
fn measure_peak_rate(fleet: &mut SimulatedFleet, span: Duration) -> PeakRate {
    let sent = |fleet: &SimulatedFleet| -> Vec<PeakRate> {
        let sent_by = |n: &usize| {
            let counts = fleet.view(*n).counts;
            PeakRate { datagrams: counts.sent, bytes: counts.sent_bytes }
        };
        fleet.running().iter().map(sent_by).collect()
    };
    let mut peak = PeakRate::default();
    let end = fleet.now + span;
    let mut before = sent(fleet);
    while fleet.now < end {
        fleet.run(ms(1000));
        let after = sent(fleet);
        for (before, after) in before.iter().zip(&after) {
            peak.datagrams = peak.datagrams.max(after.datagrams - before.datagrams);
            peak.bytes = peak.bytes.max(after.bytes - before.bytes);
        }
        before = after;
    }
    peak
}

fn start_all(fleet: &mut SimulatedFleet) {
    (0..MEMBERS).for_each(|n| fleet.start(n));
    for second in 1..=30 {
        let PeakRate { datagrams, bytes } = measure_peak_rate(fleet, ms(1_000));
        let wrong = fleet.wrong_views().len();
        println!(
            "all started, after {second} s: {wrong} of {} views wrong; peak per member {datagrams} datagrams/s, \
             {bytes} bytes/s (budget 400 and 100000)",
            MEMBERS * (MEMBERS - 1),
        );
        if wrong == 0 {
            break;
        }
    }
}

fn measure_steady_state(fleet: &mut SimulatedFleet) {
    let PeakRate { datagrams, bytes } = measure_peak_rate(fleet, ms(4_000));
    println!("steady state: peak per member {datagrams} datagrams/s, {bytes} bytes/s");
}

fn kill_many(fleet: &mut SimulatedFleet) {
    (0..KILLED).for_each(|n| fleet.kill(n * KILL_STRIDE));
    let killed_at = fleet.now;
    let peak = measure_peak_rate(fleet, ms(12_000));
    let wrong = fleet.wrong_views().len();
    let deaths = fleet.deaths(killed_at);
    let mut times_ms: Vec<u128> = deaths.iter().map(|(at, ..)| (*at - killed_at).as_millis()).collect();
    times_ms.sort_unstable();
    let killed: Vec<String> = (0..KILLED).map(|n| format!("n{}", n * KILL_STRIDE)).collect();
    let false_deaths = deaths.iter().filter(|(.., name)| !killed.contains(name)).count();
    println!(
        "{KILLED} killed at once: {} of {} views updated within 12 s (median {} ms, last {} ms), {false_deaths} \
         live members declared dead, {wrong} views wrong; peak per member {} datagrams/s, {} bytes/s",
        times_ms.len(),
        KILLED * (MEMBERS - KILLED),
        times_ms.get(times_ms.len() / 2).copied().unwrap_or(0),
        times_ms.last().copied().unwrap_or(0),
        peak.datagrams,
        peak.bytes
    );
}

/// Returns the datagrams sent to the target within ten seconds.
fn capture_received(fleet: &mut SimulatedFleet) -> Vec<Vec<u8>> {
    fleet.captured = Some(Vec::new());
    fleet.run(ms(10_000));
    let captured = fleet.captured.take().unwrap();
    // Lets the datagrams still in flight arrive.
    fleet.run(ms(100));
    captured.into_iter().filter(|(_, to, _)| *to == TARGET).map(|(.., bytes)| bytes).collect()
}

/// Returns modified, truncated, overwritten and unchanged copies of captured datagrams.
fn forge(fleet: &mut SimulatedFleet, captured: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let forge_one = |n: usize| {
        let mut bytes = captured[n % captured.len()].clone();
        let position = fleet.rng.next_u64() as usize % bytes.len();
        match n % 4 {
            0 => bytes[position] ^= 1 << (n % 8),
            1 => bytes.truncate(position),
            2 => fleet.rng.fill_bytes(&mut bytes[20..]),
            _ => {}
        }
        bytes
    };
    (0..FORGED_DATAGRAMS).map(forge_one).collect()
}

fn receive_forged(fleet: &mut SimulatedFleet) {
    let captured = capture_received(fleet);
    let forged = forge(fleet, &captured);
    let before = fleet.view(TARGET);
    let started = Instant::now();
    for bytes in &forged {
        fleet.nodes[TARGET].as_mut().unwrap().handle(Input::Datagram(bytes), fleet.now);
    }
    let time_each = started.elapsed() / forged.len() as u32;
    let after = fleet.view(TARGET);
    let state = |peer: &PeerView| (peer.status, peer.incarnation, peer.last_heard);
    let unchanged =
        before.peers.iter().zip(&after.peers).filter(|(before, after)| state(before) == state(after));
    println!(
        "1,000,000 modified, truncated, overwritten and replayed datagrams: {time_each:?} each; {} of {} views \
         unchanged, {} datagrams sent in response",
        unchanged.count(),
        after.peers.len(),
        after.counts.sent - before.counts.sent
    );
}

fn main() {
    let mut fleet = SimulatedFleet::new(MEMBERS, 1);
    fleet.link = Box::new(|_, _| LinkConditions { delay: ms(1), jitter: ms(4), ..PERFECT_LINK });
    start_all(&mut fleet);
    measure_steady_state(&mut fleet);
    kill_many(&mut fleet);
    receive_forged(&mut fleet);
}
