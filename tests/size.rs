//! The module at large size: what must not happen when very much is held, listed or due at once. Nothing here
//! measures time; what a step does is counted.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// No step does more than so much of a kind.
const MOST_IN_STEP: usize = 1024;
const ANSWER_AFTER: u64 = 20_000;

fn large() -> Settings {
    Settings { max_concurrent_calls: 1_000, max_pending_messages: 1_000_000, ..settings() }
}

fn to(id: u32, class: ClassId, d: u64, key: Option<u64>, budget: u64) -> Event {
    let Event::Message(message) = message(id, class, d, key) else { unreachable!() };
    Event::Message(Message { time_to_live: TimeDelta(budget), ..message })
}

/// A sender whose endpoints answer after 20 ms, but for the dead ones, which never do.
struct World {
    host: Host,
    dead: BTreeSet<u32>,
    attempts: BTreeMap<u32, u32>,
    out: VecDeque<(u64, u32)>,
    silent: VecDeque<(u64, u32)>,
    /// Sends by endpoint, and what ended undelivered.
    sent: BTreeMap<u32, Vec<(u64, u32)>>,
    ended: BTreeSet<u32>,
    delivered: usize,
}

impl World {
    fn new(settings: Settings, list: Vec<EndpointEntry>) -> Self {
        World {
            host: Host::new(settings, list),
            dead: BTreeSet::new(),
            attempts: BTreeMap::new(),
            out: VecDeque::new(),
            silent: VecDeque::new(),
            sent: BTreeMap::new(),
            ended: BTreeSet::new(),
            delivered: 0,
        }
    }

    /// A step of 5 ms with these events; how many actions it took.
    fn step(&mut self, mut events: Vec<Event>) -> usize {
        self.host.now += 5_000;
        let now = self.host.now;
        for (queue, outcome) in [(&mut self.out, Outcome::Success), (&mut self.silent, Outcome::TimedOut)] {
            while let Some((_, id)) = queue.front().copied().filter(|(at, _)| *at <= now) {
                queue.pop_front();
                let attempt = self.attempts[&id] - 1;
                let last = outcome == Outcome::Success;
                self.delivered += usize::from(last);
                let (message, elapsed) = (MessageId(id), TimeDelta(ANSWER_AFTER));
                events.push(Event::AttemptEnded {
                    message,
                    attempt,
                    outcome,
                    elapsed,
                    completes: last,
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
                        true => self.silent.push_back((expires.0, message.0)),
                        false => self.out.push_back((now + ANSWER_AFTER, message.0)),
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

    fn sends(&self, endpoint: u32) -> usize {
        self.sent.get(&endpoint).map_or(0, Vec::len)
    }
}

/// Guards against a dead destination that slows the others down: 100,000 messages wait for it, and 999 others go on
/// at the rate at which they are handed in.
#[test]
fn a_dead_destination_with_a_hundred_thousand_messages_holds_up_nobody() {
    let list: Vec<EndpointEntry> = (0..1_000).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut world = World::new(Settings { max_attempts: 60, ..large() }, list);
    world.dead.insert(0);
    world.step((0..100_000).map(|id| to(id, SAFE, 0, None, 600 * SECOND)).collect());
    let mut id = 100_000;
    for round in 0..400 {
        let before = world.sends(0);
        let events = (0..50).map(|n| to(id + n, SAFE, 1 + u64::from(id + n) % 999, None, 16 * SECOND));
        let all = world.step(events.collect());
        id += 50;
        // The dead one has its share of the slots at first, and then a trial now and then.
        assert!(all <= MOST_IN_STEP && (round < 2 || world.sends(0) - before <= 1), "round {round}: {all}");
    }
    assert!(world.sends(0) <= 510, "{}", world.sends(0));
    let on_time = |(endpoint, sent): (&u32, &Vec<(u64, u32)>)| if *endpoint == 0 { 0 } else { sent.len() };
    assert_eq!(world.sent.iter().map(on_time).sum::<usize>(), 400 * 50, "each at once");
    assert!(world.ended.is_empty() && world.delivered >= 396 * 50);
}

/// Guards against keys that are looked at though nothing about them changed, mixed up, or sent side by side: 50,000
/// of them with four messages each.
#[test]
fn fifty_thousand_keys_keep_their_order() {
    let list: Vec<EndpointEntry> = (0..100).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut world = World::new(large(), list);
    let (keys, each) = (50_000, 4);
    let all = (0..keys * each).map(|id| {
        let key = u64::from(id % keys);
        to(id, ORDERED, key % 100, Some(key), 600 * SECOND)
    });
    world.step(all.collect());
    let mut rounds = 0;
    while world.delivered < (keys * each) as usize {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
        rounds += 1;
        assert!(rounds < 2_000, "{} delivered", world.delivered);
    }
    let mut last: BTreeMap<u32, (u64, u32)> = BTreeMap::new();
    for sent in world.sent.values() {
        for (at, id) in sent {
            if let Some((before, earlier)) = last.insert(id % keys, (*at, *id)) {
                assert!(
                    earlier < *id && before + ANSWER_AFTER <= *at,
                    "{earlier} and {id} at {before} and {at}"
                );
            }
        }
    }
    assert!(world.ended.is_empty() && world.attempts.values().all(|attempts| *attempts == 1));
}

/// Guards against a list that costs more than it says: 10,000 endpoints are replaced by as many others in one list,
/// with messages waiting for all. The old ones get nothing more, the new ones all; the old ones are forgotten.
#[test]
fn a_list_may_replace_ten_thousand_endpoints() {
    let list = |from: u32| -> Vec<EndpointEntry> {
        (0..10_000).map(|e| entry(u64::from(e / 2), from + e, (e / 2 % 2) as usize, 0)).collect()
    };
    let mut world = World::new(large(), list(0));
    world.step((0..20_000).map(|id| to(id, SAFE, u64::from(id % 5_000), None, 60 * SECOND)).collect());
    for _ in 0..8 {
        world.step(vec![]);
    }
    let (old, replaced) = (world.attempts.len(), world.host.now);
    world.step(vec![Event::EndpointSnapshot(list(10_000))]);
    let mut forgotten = 0;
    for _ in 0..2_500 {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
    }
    assert!(old > 100 && world.delivered == 20_000 && world.ended.is_empty(), "{}", world.delivered);
    for (endpoint, sent) in &world.sent {
        assert!(*endpoint >= 10_000 || sent.iter().all(|(at, _)| *at <= replaced), "{endpoint}");
    }
    // A ramp after they went, in parts.
    let mut lost = World::new(large(), list(0));
    lost.step(vec![Event::EndpointSnapshot(list(10_000))]);
    lost.host.now += 11 * SECOND;
    for _ in 0..40 {
        let actions = lost.host.raw(&[Event::TimerFired]);
        let gone = actions.iter().filter(|a| matches!(a, Action::ForgetEndpoint(e) if e.0 < 10_000)).count();
        assert!(gone <= MOST_IN_STEP);
        forgotten += gone;
        lost.host.now += 5_000;
    }
    assert_eq!(forgotten, 10_000);
}

/// Guards against a step that ends all at once, and against one that ends some late or twice: 20,000 messages whose
/// time is up in one moment are ended in parts, each once, and the last of them still in its time.
#[test]
fn all_messages_may_expire_in_one_step() {
    let mut world = World::new(large(), vec![]);
    let due = world.host.now + 5_000 + SECOND;
    world.step((0..8_000).map(|id| to(id, UNSAFE, 7, None, SECOND)).collect());
    world.host.now = due - 50_000;
    let mut steps = 0;
    while world.ended.len() < 8_000 {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
        steps += 1;
        assert!(world.host.now < due, "{} ended in time", world.ended.len());
    }
    assert!(steps >= 8, "{steps} steps");
    assert_eq!(world.step(vec![]), 0);
}

/// Guards against an outage's end that pushes the partner over or stalls the loop: 100,000 messages are ready when it
/// answers again. Its return is paced as ever, and no step does more than its part.
#[test]
fn an_outage_may_end_with_a_hundred_thousand_messages_ready() {
    let mut world = World::new(Settings { max_attempts: 60, ..large() }, vec![entry(1, 1, 0, 0)]);
    // What it took before: 20 a second.
    for id in 0..100 {
        world.step(vec![to(id, SAFE, 1, None, 600 * SECOND)]);
        for _ in 0..9 {
            world.step(vec![]);
        }
    }
    world.dead.insert(1);
    world.step((100..100_100).map(|id| to(id, SAFE, 1, None, 600 * SECOND)).collect());
    for _ in 0..2_000 {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
    }
    world.dead.clear();
    let back = world.delivered;
    while world.delivered == back {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
        assert!(world.host.now < 1_000 * SECOND, "it is tried again");
    }
    let (returned, before) = (world.host.now, world.sends(1));
    for _ in 0..400 {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
    }
    // In the first two seconds of the ramp: twice what a cold partner can do, of what it took, and some chance.
    let sent = world.sends(1) - before;
    assert!((2..=30).contains(&sent), "{sent} sent in {} us", world.host.now - returned);
    // After the ramp it has all again.
    for _ in 0..4_000 {
        assert!(world.step(vec![]) <= MOST_IN_STEP);
    }
    assert!(world.sends(1) - before > 400, "{}", world.sends(1) - before);
}

/// Guards against a jump of the clock that ends what has time left, sends before its time, or is never caught up with:
/// a pause of seconds, a jump of a day, and a clock that steps back.
#[test]
fn pauses_and_jumps_of_the_clock_are_survived() {
    let list: Vec<EndpointEntry> = (0..50).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut world = World::new(large(), list);
    world.dead.extend(0..10);
    for id in 0..5_000 {
        world.step(vec![to(id, SAFE, u64::from(id % 50), None, 16 * SECOND)]);
    }
    world.host.now += 5 * SECOND;
    for id in 5_000..6_000 {
        world.step(vec![to(id, SAFE, u64::from(id % 50), None, 16 * SECOND)]);
    }
    let delivered = world.delivered;
    // Back: nothing is due before it was, and all goes on.
    world.host.now -= 2 * SECOND;
    for id in 6_000..7_000 {
        world.step(vec![to(id, SAFE, u64::from(id % 50), None, 16 * SECOND)]);
    }
    assert!(world.delivered > delivered + 500, "{} after {delivered}", world.delivered);
    world.host.now += 86_400 * SECOND;
    let mut quiet = 0;
    while quiet < 10 {
        quiet = if world.step(vec![]) == 0 { quiet + 1 } else { 0 };
    }
    assert_eq!(world.delivered + world.ended.len(), 7_000, "each has one end");
}
