//! The combined load of 100 senders on one destination.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const SENDERS: usize = 100;
/// The interval between two steps of the simulation in microseconds.
const TICK_US: u64 = 20_000;
/// The duration of a call in microseconds.
const CALL_DURATION_US: u64 = 100_000;

/// A rate-limited destination. Rejected calls count toward the limit too; load reports lag by up to 300 ms.
struct Destination {
    /// The limit in calls per second.
    limit: f64,
    /// The tokens left in the token bucket.
    bucket: f64,
    down: bool,
    /// The unused share of the limit in load reports, and when it was last updated.
    reported: (f64, u64),
}

impl Destination {
    fn tick(&mut self, now: u64) {
        self.bucket = (self.bucket + self.limit * TICK_US as f64 / 1e6).min(self.limit);
        if now >= self.reported.1 + 300_000 {
            self.reported = (self.bucket / self.limit, now);
        }
    }

    fn call(&mut self) -> (Outcome, Option<LoadReport>) {
        if self.down {
            return (Outcome::ConnectFailed, None);
        }
        let report =
            Some(LoadReport { remaining_share: self.reported.0.max(0.0), limit_per_second: self.limit });
        let is_within_limit = self.bucket >= 1.0;
        self.bucket = (self.bucket - 1.0).max(0.0);
        (if is_within_limit { Outcome::Success } else { Outcome::Rejected { retry_after: None } }, report)
    }
}

/// The calls of one second and their outcomes.
#[derive(Default, Clone, Copy, Debug)]
struct Count {
    calls: usize,
    delivered: usize,
    rejected: usize,
}

/// Simulates `length` seconds in which random senders receive `demand` messages per second. `change` may
/// modify the destination at each tick. Returns the calls of each second.
fn simulate(
    seed: u64,
    length: u64,
    demand: f64,
    mut change: impl FnMut(u64, &mut Destination),
) -> Vec<Count> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut senders: Vec<DeliveryEngine> = (0..SENDERS)
        .map(|n| {
            DeliveryEngine::new(
                Settings { fleet_size: SENDERS, max_concurrent_calls: 4, ..settings() },
                seed * 1000 + n as u64,
            )
            .unwrap()
        })
        .collect();
    let mut destination = Destination { limit: 100.0, bucket: 100.0, down: false, reported: (1.0, 0) };
    let mut counts = vec![Count::default(); length as usize];
    let mut pending: Vec<Vec<(u64, Event)>> = vec![Vec::new(); SENDERS];
    let mut attempts: BTreeMap<(usize, u32), u32> = BTreeMap::new();
    let mut next = 0;
    let start = 1000 * SECOND;
    for (n, sender) in senders.iter_mut().enumerate() {
        sender.step(Timestamp(start), &[Event::EndpointSnapshot(vec![entry(1, 0, 1, 0)])], &mut Vec::new());
        pending[n].clear();
    }
    for tick in 1..length * SECOND / TICK_US {
        let (since, now) = (tick * TICK_US, start + tick * TICK_US);
        destination.tick(now);
        change(since, &mut destination);
        let mut due = demand * TICK_US as f64 / 1e6;
        while f64::from(random.next_u32()) / f64::from(u32::MAX) < due {
            due -= 1.0;
            next += 1;
            pending[random.next_u32() as usize % SENDERS]
                .push((now, message_event(next, IDEMPOTENT, 1, None)));
        }
        // A random first sender, so that none is favored.
        let first = random.next_u32() as usize % SENDERS;
        for n in (first..SENDERS).chain(0..first) {
            let (due, later) = pending[n].drain(..).partition(|(at, _)| *at <= now);
            pending[n] = later;
            let happened = Vec::into_iter(due).map(|(_, event)| event);
            let happened: Vec<Event> = std::iter::once(Event::TimerFired).chain(happened).collect();
            let mut actions = Vec::new();
            senders[n].step(Timestamp(now), &happened, &mut actions);
            for action in actions {
                let Action::Send { message, .. } = action else { continue };
                let attempt = *attempts.entry((n, message.0)).and_modify(|a| *a += 1).or_insert(0);
                let (outcome, report) = destination.call();
                let count = &mut counts[(since / SECOND) as usize];
                count.calls += 1;
                count.delivered += usize::from(outcome == Outcome::Success);
                count.rejected += usize::from(matches!(outcome, Outcome::Rejected { .. }));
                let (elapsed, completes) = (TimeDelta(CALL_DURATION_US), outcome == Outcome::Success);
                pending[n].push((
                    now + CALL_DURATION_US,
                    Event::AttemptEnded { message, attempt, outcome, elapsed, completes, report },
                ));
            }
        }
    }
    counts
}

fn sum(counts: &[Count], part: std::ops::Range<usize>, of: fn(&Count) -> usize) -> usize {
    counts[part].iter().map(of).sum()
}

/// Guards against steady rejections after the limit is halved: rejected calls use up the limit, so that fewer
/// messages are delivered than it allows.
#[test]
fn adapts_to_a_halved_limit_with_few_rejections() {
    for seed in [1, 2, 3] {
        let counts = simulate(seed, 20, 80.0, |since, destination| {
            destination.limit = if since >= 6 * SECOND { 50.0 } else { 100.0 };
        });
        let before = sum(&counts, 3..6, |c| c.delivered);
        assert!(
            before >= 180,
            "seed {seed}: {before} of 240 delivered below the limit, expected at least 180: {counts:?}"
        );
        let (delivered, rejected) =
            (sum(&counts, 8..20, |c| c.delivered), sum(&counts, 8..20, |c| c.rejected));
        assert!(
            delivered >= 360,
            "seed {seed}: {delivered} of 600 delivered, expected at least 360: {counts:?}"
        );
        assert!(
            rejected * 3 <= delivered,
            "seed {seed}: {rejected} rejected, {delivered} delivered, expected at most a third: {counts:?}"
        );
    }
}

/// Guards against leaving a destination almost unused after an outage of 5 s, because each sender probes it
/// rarely, and against overloading it in slow start.
#[test]
fn a_recovered_destination_is_used_soon_without_overload() {
    for seed in [1, 2, 3] {
        let counts = simulate(seed, 24, 60.0, |since, destination| {
            destination.down = (6 * SECOND..11 * SECOND).contains(&since);
        });
        let early = sum(&counts, 13..16, |c| c.delivered);
        assert!(
            early >= 75,
            "seed {seed}: {early} of 180 in seconds 3 to 5 after the recovery, expected at least 75: {counts:?}"
        );
        // Slow start raises the capacity from a fifth of the limit to all of it; the overload factor is 2.
        for second in 11..20 {
            let share = 0.2 + 0.8 * (second as f64 - 11.0 + 1.0) / 10.0;
            let max_calls = 2.0 * 100.0 * share;
            assert!((counts[second].calls as f64) < max_calls, "seed {seed}, second {second}: {counts:?}");
        }
    }
}

/// Guards against a burst when all senders start at once with several messages for an unknown destination.
#[test]
fn starting_senders_begin_with_one_call_each() {
    for seed in [1, 2, 3] {
        let mut sent = 0;
        for n in 0..SENDERS {
            let settings = Settings { fleet_size: SENDERS, max_concurrent_calls: 8, ..settings() };
            let mut host = Host {
                sender: DeliveryEngine::new(settings, seed * 1000 + n as u64).unwrap(),
                now: 100 * SECOND,
            };
            host.step(&[Event::EndpointSnapshot(vec![entry(1, 0, 1, 0), entry(1, 1, 1, 0)])]);
            let all: Vec<Event> = (0..5).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
            sent += host.step(&all).iter().filter(|action| matches!(action, Action::Send { .. })).count();
        }
        assert_eq!(sent, SENDERS, "seed {seed}");
    }
}
