//! Measures the cost per message in the decision module alone, by the number of pending messages and of
//! destinations: steps of 1 ms, 1,000 slots, answers after 10 to 30 ms, one ordered class, one endpoint per
//! destination. Only the time inside `DeliveryEngine::step` counts. The longest step of each case is printed
//! last.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
use criterion::{BenchmarkId, Criterion, Throughput};
use micadrum::*;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
const MILLISECOND: u64 = 1_000;
const SLOTS: usize = 1_000;

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: TimeDelta(2 * SECOND),
            deadline: TimeDelta(600 * SECOND),
            priority_weight: 1.0,
            late_weight: 0.5,
            idempotency: Idempotency::WithKey {
                scope: DeduplicationScope::Destination,
                window: TimeDelta(5 * SECOND),
            },
            ordered: true,
        }],
        kinds: vec![DestinationKind { limits_per_endpoint: false, max_batch_size: 1 }],
        tenants: vec![],
        over_quota_weight: 1.0,
        zone: ZoneId(0),
        fleet_size: 3,
        max_concurrent_calls: SLOTS,
        max_pending_messages: 1_000_000,
        max_attempts: 6,
        min_step_interval: TimeDelta(MILLISECOND),
        connect_timeout: TimeDelta(SECOND),
        weight_decay: WeightDecay::Linear,
        discovery: DiscoveryMode::Watch,
        capacity_hints: CapacityHints::None,
        health_checks: false,
        cancellation: true,
        completion_requires_acknowledgement: false,
        batch_expires_together: false,
        rules: Rules {
            drain_grace: TimeDelta(SECOND),
            slow_start_share: 0.2,
            slow_start_duration: TimeDelta(10 * SECOND),
            overload_factor: 2.0,
            overload_window: TimeDelta(1_500_000),
            ordering_hold: TimeDelta(0),
            discovery_staleness_limit: TimeDelta(10 * SECOND),
        },
    }
}

/// A sender with a constant number of pending messages: each delivered message is replaced by a new one.
struct Simulation {
    sender: DeliveryEngine,
    now: u64,
    destinations: u64,
    next: u32,
    /// The messages in flight, by the time of their answer.
    in_flight: BTreeSet<(u64, MessageId)>,
    spent: Duration,
    delivered: u64,
    longest: Duration,
}

impl Simulation {
    /// Creates a sender with `held` pending messages and runs it to a steady state.
    fn new(destinations: u64, held: u32) -> Self {
        let sender = DeliveryEngine::new(settings(), 1).expect("valid settings");
        let mut simulation = Simulation {
            sender,
            now: 1_000 * SECOND,
            destinations,
            next: 0,
            in_flight: BTreeSet::new(),
            spent: Duration::ZERO,
            delivered: 0,
            longest: Duration::ZERO,
        };
        let entry = |d: u64| EndpointEntry {
            endpoint: EndpointId(d as u32),
            destination: DestinationId(d),
            kind: KindId(0),
            zone: ZoneId(0),
            state: EndpointState::Active,
            capacity_hint: 0.0,
        };
        let mut events = vec![Event::EndpointSnapshot((0..destinations).map(entry).collect())];
        events.extend((0..held).map(|_| simulation.message()));
        simulation.step(&events);
        for _ in 0..500 {
            simulation.run_step();
        }
        (simulation.spent, simulation.delivered, simulation.longest) = Default::default();
        simulation
    }

    fn message(&mut self) -> Event {
        let id = self.next;
        self.next += 1;
        // Spreads consecutive messages over the destinations.
        let destination = u64::from(id).wrapping_mul(7_919) % self.destinations;
        Event::Message(Message {
            id: MessageId(id),
            class: ClassId(0),
            tenant: None,
            key: Some(OrderKey(u64::from(id) / 3 * self.destinations + destination)),
            destination: DestinationId(destination),
            time_to_live: TimeDelta(600 * SECOND),
        })
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::with_capacity(2 * SLOTS);
        let began = Instant::now();
        self.sender.step(Timestamp(self.now), black_box(events), &mut actions);
        let took = began.elapsed();
        self.spent += took;
        self.longest = self.longest.max(took);
        for action in actions {
            match action {
                Action::Send { message, .. } => {
                    let answer_after = (10 + u64::from(message.0) * 6_151 % 21) * MILLISECOND;
                    self.in_flight.insert((self.now + answer_after, message));
                }
                Action::Return { .. } | Action::Fail(_) => panic!("{action:?}"),
                _ => {}
            }
        }
    }

    fn run_step(&mut self) {
        self.now += MILLISECOND;
        let mut events = Vec::new();
        while let Some((_, message)) = self.in_flight.first().copied().filter(|(at, _)| *at <= self.now) {
            self.in_flight.pop_first();
            self.delivered += 1;
            let (outcome, elapsed) = (Outcome::Success, TimeDelta(20 * MILLISECOND));
            events.push(Event::AttemptEnded {
                message,
                attempt: 0,
                outcome,
                elapsed,
                completes: true,
                report: None,
            });
            let new = self.message();
            events.push(new);
        }
        self.step(&events);
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("a readable /proc/self/statm");
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).expect("a number of pages") * 4096
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args().sample_size(10);
    let mut longest = Vec::new();
    let mut group = criterion.benchmark_group("one message");
    group.throughput(Throughput::Elements(1)).warm_up_time(Duration::from_millis(500));
    for (destinations, held) in [
        (100, 100),
        (100, 1_000),
        (100, 10_000),
        (100, 100_000),
        (10_000, 100),
        (10_000, 10_000),
        (10_000, 100_000),
    ] {
        let mut simulation = None;
        let name = BenchmarkId::new(format!("{destinations} destinations"), format!("{held} held"));
        group.bench_function(name, |bencher| {
            let simulation = simulation.get_or_insert_with(|| Simulation::new(destinations, held));
            bencher.iter_custom(|messages| {
                let (spent, delivered) = (simulation.spent, simulation.delivered);
                while simulation.delivered < delivered + messages {
                    simulation.run_step();
                }
                (simulation.spent - spent)
                    .mul_f64(messages as f64 / (simulation.delivered - delivered) as f64)
            });
        });
        longest.extend(simulation.map(|simulation| (destinations, held, simulation.longest)));
    }
    group.finish();
    // Memory per endpoint and per message, from the growth of the resident memory.
    let before = resident();
    let mut simulation = Simulation::new(100_000, 0);
    println!("an endpoint with its destination and routes: {} bytes", (resident() - before) / 100_000);
    let before = resident();
    let events: Vec<Event> = (0..100_000).map(|_| simulation.message()).collect();
    simulation.step(&events);
    drop(events);
    println!(
        "a held message, three messages per key: {} bytes",
        (resident().saturating_sub(before)) / 100_000
    );
    // One list replaces all of 10,000 endpoints.
    let mut simulation = Simulation::new(10_000, 10_000);
    let entry = |e: u32| EndpointEntry {
        endpoint: EndpointId(10_000 + e),
        destination: DestinationId(u64::from(e)),
        kind: KindId(0),
        zone: ZoneId(0),
        state: EndpointState::Active,
        capacity_hint: 0.0,
    };
    simulation.step(&[Event::EndpointSnapshot((0..10_000).map(entry).collect())]);
    println!("a step with a list that replaces 10,000 endpoints: {:?}", simulation.longest);
    for (destinations, held, longest) in longest {
        println!("longest step at {destinations} destinations, {held} held: {longest:?}");
    }
}
