//! The decision core with very many pending messages, endpoints or due timers. The tests count the actions of
//! each step; none of them measures time.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of actions of one kind per step.
const MAX_ACTIONS_PER_STEP: usize = 1024;
/// The latency of an endpoint in microseconds.
const LATENCY_US: u64 = 20_000;

fn large_settings() -> Settings {
    Settings { max_concurrent_calls: 1_000, max_pending_messages: 1_000_000, ..settings() }
}

fn message_with_ttl(id: u32, class: ClassId, d: u64, key: Option<u64>, time_to_live: u64) -> Event {
    let Event::Message(message) = message_event(id, class, d, key) else { unreachable!() };
    Event::Message(Message { time_to_live: TimeDelta(time_to_live), ..message })
}

/// A sender whose endpoints answer after 20 ms, except for the dead ones, which never answer.
struct Simulation {
    host: Host,
    dead: BTreeSet<u32>,
    attempts: BTreeMap<u32, u32>,
    /// Calls that will succeed: when, and the message.
    answering: VecDeque<(u64, u32)>,
    /// Calls that will time out: when, and the message.
    timing_out: VecDeque<(u64, u32)>,
    /// The sends to each endpoint: when, and the message.
    sent: BTreeMap<u32, Vec<(u64, u32)>>,
    /// The messages that were returned or have failed.
    ended: BTreeSet<u32>,
    delivered: usize,
}

impl Simulation {
    fn new(settings: Settings, list: Vec<EndpointEntry>) -> Self {
        Simulation {
            host: Host::new(settings, list),
            dead: BTreeSet::new(),
            attempts: BTreeMap::new(),
            answering: VecDeque::new(),
            timing_out: VecDeque::new(),
            sent: BTreeMap::new(),
            ended: BTreeSet::new(),
            delivered: 0,
        }
    }

    /// Advances the clock by 5 ms, runs a step with `events` and returns its number of actions.
    fn step(&mut self, mut events: Vec<Event>) -> usize {
        self.host.now += 5_000;
        let now = self.host.now;
        for (queue, outcome) in
            [(&mut self.answering, Outcome::Success), (&mut self.timing_out, Outcome::TimedOut)]
        {
            while let Some((_, id)) = queue.front().copied().filter(|(at, _)| *at <= now) {
                queue.pop_front();
                let attempt = self.attempts[&id] - 1;
                let is_success = outcome == Outcome::Success;
                self.delivered += usize::from(is_success);
                let (message, elapsed) = (MessageId(id), TimeDelta(LATENCY_US));
                events.push(Event::AttemptEnded {
                    message,
                    attempt,
                    outcome,
                    elapsed,
                    completes: is_success,
                    report: None,
                });
            }
        }
        events.push(Event::TimerFired);
        let actions = self.host.step(&events);
        for action in &actions {
            match action {
                Action::Send { message, endpoint, expires } => {
                    *self.attempts.entry(message.0).or_default() += 1;
                    self.sent.entry(endpoint.0).or_default().push((now, message.0));
                    match self.dead.contains(&endpoint.0) {
                        true => self.timing_out.push_back((expires.0, message.0)),
                        false => self.answering.push_back((now + LATENCY_US, message.0)),
                    }
                }
                Action::Return { message, .. } | Action::Fail(message) => {
                    assert!(self.ended.insert(message.0), "{message:?} ended twice");
                }
                _ => {}
            }
        }
        actions.len()
    }

    fn send_count(&self, endpoint: u32) -> usize {
        self.sent.get(&endpoint).map_or(0, Vec::len)
    }
}

/// Guards against a dead destination with 100,000 pending messages that delays the messages for 999 others.
#[test]
fn a_dead_destination_with_100_000_messages_does_not_delay_others() {
    let list: Vec<EndpointEntry> = (0..1_000).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut simulation = Simulation::new(Settings { max_attempts: 60, ..large_settings() }, list);
    simulation.dead.insert(0);
    simulation.step((0..100_000).map(|id| message_with_ttl(id, IDEMPOTENT, 0, None, 600 * SECOND)).collect());
    let mut id = 100_000;
    for round in 0..400 {
        let before = simulation.send_count(0);
        let events = (0..50)
            .map(|n| message_with_ttl(id + n, IDEMPOTENT, 1 + u64::from(id + n) % 999, None, 16 * SECOND));
        let all = simulation.step(events.collect());
        id += 50;
        // The dead destination gets its share of the slots in the first steps, and then only probes.
        assert!(
            all <= MAX_ACTIONS_PER_STEP && (round < 2 || simulation.send_count(0) - before <= 1),
            "round {round}: {all} actions"
        );
    }
    assert!(
        simulation.send_count(0) <= 510,
        "{} sends to the dead destination, expected at most 510",
        simulation.send_count(0)
    );
    let sends_to_others =
        |(endpoint, sent): (&u32, &Vec<(u64, u32)>)| if *endpoint == 0 { 0 } else { sent.len() };
    assert_eq!(
        simulation.sent.iter().map(sends_to_others).sum::<usize>(),
        400 * 50,
        "each message is sent at once"
    );
    assert!(simulation.ended.is_empty() && simulation.delivered >= 396 * 50);
}

/// Guards against sending messages with the same ordering key concurrently or out of order, and against steps
/// whose cost grows with the number of keys.
#[test]
fn keeps_the_order_of_50_000_keys() {
    let list: Vec<EndpointEntry> = (0..100).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut simulation = Simulation::new(large_settings(), list);
    let (keys, each) = (50_000, 4);
    let all = (0..keys * each).map(|id| {
        let key = u64::from(id % keys);
        message_with_ttl(id, ORDERED, key % 100, Some(key), 600 * SECOND)
    });
    simulation.step(all.collect());
    let mut rounds = 0;
    while simulation.delivered < (keys * each) as usize {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
        rounds += 1;
        assert!(rounds < 2_000, "{} delivered", simulation.delivered);
    }
    let mut last_send: BTreeMap<u32, (u64, u32)> = BTreeMap::new();
    for sent in simulation.sent.values() {
        for (at, id) in sent {
            if let Some((before, earlier)) = last_send.insert(id % keys, (*at, *id)) {
                assert!(
                    earlier < *id && before + LATENCY_US <= *at,
                    "message {earlier} sent at {before}, message {id} with the same key at {at}"
                );
            }
        }
    }
    assert!(simulation.ended.is_empty() && simulation.attempts.values().all(|attempts| *attempts == 1));
}

/// Guards against sends to endpoints that a list has replaced, against keeping their state, and against doing
/// all the work for 10,000 replaced endpoints in one step.
#[test]
fn one_list_replaces_10_000_endpoints() {
    let list = |from: u32| -> Vec<EndpointEntry> {
        (0..10_000).map(|e| entry(u64::from(e / 2), from + e, (e / 2 % 2) as usize, 0)).collect()
    };
    let mut simulation = Simulation::new(large_settings(), list(0));
    simulation.step(
        (0..20_000)
            .map(|id| message_with_ttl(id, IDEMPOTENT, u64::from(id % 5_000), None, 60 * SECOND))
            .collect(),
    );
    for _ in 0..8 {
        simulation.step(vec![]);
    }
    let (sent_before, replaced) = (simulation.attempts.len(), simulation.host.now);
    simulation.step(vec![Event::EndpointSnapshot(list(10_000))]);
    let mut total_dropped = 0;
    for _ in 0..2_500 {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
    }
    assert!(
        sent_before > 100 && simulation.delivered == 20_000 && simulation.ended.is_empty(),
        "{}",
        simulation.delivered
    );
    for (endpoint, sent) in &simulation.sent {
        assert!(*endpoint >= 10_000 || sent.iter().all(|(at, _)| *at <= replaced), "{endpoint}");
    }
    // The state of the old endpoints is dropped over several steps after the slow-start duration.
    let mut without_messages = Simulation::new(large_settings(), list(0));
    without_messages.step(vec![Event::EndpointSnapshot(list(10_000))]);
    without_messages.host.now += 11 * SECOND;
    for _ in 0..40 {
        let actions = without_messages.host.step_unfiltered(&[Event::TimerFired]);
        let dropped =
            actions.iter().filter(|a| matches!(a, Action::ForgetEndpoint(e) if e.0 < 10_000)).count();
        assert!(dropped <= MAX_ACTIONS_PER_STEP);
        total_dropped += dropped;
        without_messages.host.now += 5_000;
    }
    assert_eq!(total_dropped, 10_000);
}

/// Guards against ending 8,000 messages that expire at the same time in one step, twice or too late.
#[test]
fn returns_8_000_expiring_messages_over_several_steps_in_time() {
    let mut simulation = Simulation::new(large_settings(), vec![]);
    let due = simulation.host.now + 5_000 + SECOND;
    simulation.step((0..8_000).map(|id| message_with_ttl(id, NON_IDEMPOTENT, 7, None, SECOND)).collect());
    simulation.host.now = due - 50_000;
    let mut steps = 0;
    while simulation.ended.len() < 8_000 {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
        steps += 1;
        assert!(simulation.host.now < due, "{} of 8,000 ended in time", simulation.ended.len());
    }
    assert!(steps >= 8, "{steps} steps, expected at least 8");
    assert_eq!(simulation.step(vec![]), 0);
}

/// Guards against overloading a recovering destination, or the event loop, when 100,000 messages are ready at
/// the end of an outage.
#[test]
fn an_outage_ends_with_a_slow_start_when_100_000_messages_are_ready() {
    let mut simulation =
        Simulation::new(Settings { max_attempts: 60, ..large_settings() }, vec![entry(1, 1, 0, 0)]);
    // The destination has handled 20 messages per second before the outage.
    for id in 0..100 {
        simulation.step(vec![message_with_ttl(id, IDEMPOTENT, 1, None, 600 * SECOND)]);
        for _ in 0..9 {
            simulation.step(vec![]);
        }
    }
    simulation.dead.insert(1);
    simulation
        .step((100..100_100).map(|id| message_with_ttl(id, IDEMPOTENT, 1, None, 600 * SECOND)).collect());
    for _ in 0..2_000 {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
    }
    simulation.dead.clear();
    let delivered_before = simulation.delivered;
    while simulation.delivered == delivered_before {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
        assert!(simulation.host.now < 1_000 * SECOND, "no call succeeds after the outage");
    }
    let (recovered_at, before) = (simulation.host.now, simulation.send_count(1));
    for _ in 0..400 {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
    }
    // The first two seconds allow twice the slow-start share of the earlier rate, plus some random variation.
    let sent = simulation.send_count(1) - before;
    assert!(
        (2..=30).contains(&sent),
        "{sent} sent in {} us, expected 2 to 30",
        simulation.host.now - recovered_at
    );
    // After the slow start the full rate is reached.
    for _ in 0..4_000 {
        assert!(simulation.step(vec![]) <= MAX_ACTIONS_PER_STEP);
    }
    assert!(
        simulation.send_count(1) - before > 400,
        "{} sends after the slow start, expected more than 400",
        simulation.send_count(1) - before
    );
}

/// Guards against messages that never end, or end twice, after pauses and jumps of the clock in both
/// directions.
#[test]
fn all_messages_end_after_pauses_and_jumps_of_the_clock() {
    let list: Vec<EndpointEntry> = (0..50).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut simulation = Simulation::new(large_settings(), list);
    simulation.dead.extend(0..10);
    for id in 0..5_000 {
        simulation.step(vec![message_with_ttl(id, IDEMPOTENT, u64::from(id % 50), None, 16 * SECOND)]);
    }
    simulation.host.now += 5 * SECOND;
    for id in 5_000..6_000 {
        simulation.step(vec![message_with_ttl(id, IDEMPOTENT, u64::from(id % 50), None, 16 * SECOND)]);
    }
    let delivered = simulation.delivered;
    // After a step back of the clock, messages are still delivered.
    simulation.host.now -= 2 * SECOND;
    for id in 6_000..7_000 {
        simulation.step(vec![message_with_ttl(id, IDEMPOTENT, u64::from(id % 50), None, 16 * SECOND)]);
    }
    assert!(
        simulation.delivered > delivered + 500,
        "{} delivered, {delivered} of them before the clock stepped back",
        simulation.delivered
    );
    simulation.host.now += 86_400 * SECOND;
    let mut idle_steps = 0;
    while idle_steps < 10 {
        idle_steps = if simulation.step(vec![]) == 0 { idle_steps + 1 } else { 0 };
    }
    assert_eq!(simulation.delivered + simulation.ended.len(), 7_000, "each message ends once");
}
