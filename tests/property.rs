//! Arbitrary legal sequences of events, from fixed seeds: the rules that a sender can see are checked on every
//! action, and every message ends exactly once. Outcomes are drawn blindly; nothing here models a server.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

struct Seen {
    message: Message,
    taken: u64,
    attempts: u32,
    out: Option<(u64, u32)>,
    ran: Option<(u64, usize)>,
    ended: bool,
}

fn play(seed: u64) -> Vec<(u64, Action)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = move |n: u64| random.next_u64() % n;
    let mut s = settings();
    s.kinds[0].max_batch_size = 1 + draw(4) as usize;
    s.max_attempts = 4;
    let classes = s.classes.clone();
    let apart = |d: u64| d % 2 == 1;
    let mut listing = BTreeMap::new();
    let list: Vec<EndpointEntry> =
        (0..12).map(|e| entry(u64::from(e) % 5, e, (e % 5 % 2) as usize, (e / 5 % 2) as usize)).collect();
    let mut host = Host::new(s.clone(), list.clone());
    let mut seen: BTreeMap<u32, Seen> = BTreeMap::new();
    let mut keys: BTreeMap<u64, (Vec<u32>, u64)> = BTreeMap::new();
    let mut waits: BTreeMap<(u64, u32), u64> = BTreeMap::new();
    let mut trace = Vec::new();
    let start = host.now;
    let mut id = 0;
    loop {
        let quiet = host.now > start + 40 * SECOND;
        if quiet && seen.values().all(|m| m.ended && m.out.is_none()) {
            break;
        }
        assert!(host.now < start + 80 * SECOND, "seed {seed}: a message never ended");
        let mut events = vec![Event::TimerFired];
        if draw(400) == 0 {
            let e = list[draw(12) as usize];
            let state =
                [EndpointState::Active, EndpointState::Draining, EndpointState::Removed][draw(3) as usize];
            listing.insert(e.endpoint.0, state);
            events.push(Event::EndpointUpdates(vec![EndpointEntry { state, ..e }]));
        }
        while !quiet && draw(4) == 0 {
            id += 1;
            let class = draw(5) as usize;
            let key = (class == 4).then(|| OrderKey(draw(6)));
            let (destination, budget) = (DestinationId(draw(6)), TimeDelta(SECOND + draw(15 * SECOND)));
            let message = Message {
                id: MessageId(id),
                class: ClassId(class),
                tenant: None,
                key,
                destination,
                time_to_live: budget,
            };
            if let Some(key) = key {
                keys.entry(key.0).or_insert((vec![], 0)).0.push(id);
            }
            let new = Seen { message, taken: host.now, attempts: 0, out: None, ran: None, ended: false };
            seen.insert(id, new);
            events.push(Event::Message(message));
        }
        for (id, m) in &mut seen {
            let Some((expires, endpoint)) = m.out else {
                if !m.ended && draw(20_000) == 0 {
                    m.ended = true;
                    events.push(Event::Cancelled(MessageId(*id)));
                }
                continue;
            };
            if draw(10) > 0 && expires > host.now {
                continue;
            }
            let pick =
                if expires <= host.now { 2 } else { [0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7][draw(11) as usize] };
            let outcome = match pick {
                0 => Outcome::Success,
                1 => Outcome::Failure,
                2 => Outcome::TimedOut,
                3 => Outcome::Reset,
                4 => Outcome::ConnectFailed,
                5 => Outcome::Rejected { retry_after: (draw(2) == 0).then(|| TimeDelta(draw(3 * SECOND))) },
                6 => Outcome::NotSent,
                _ => Outcome::Cancelled,
            };
            let zone = list[endpoint as usize].zone.0;
            match outcome {
                Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                    m.ran = m.ran.or(Some((host.now, zone)));
                    if outcome != Outcome::Failure
                        && let Some(key) = m.message.key
                    {
                        keys.get_mut(&key.0).unwrap().1 = host.now + 2 * SECOND;
                    }
                }
                Outcome::Rejected { retry_after: Some(wait) } => {
                    let d = m.message.destination.0;
                    let at = (d, if apart(d) { endpoint } else { 0 });
                    let until = waits.entry(at).or_insert(0);
                    *until = (*until).max(host.now + wait.0);
                }
                _ => {}
            }
            m.out = None;
            m.ended |= outcome == Outcome::Success;
            events.push(Event::AttemptEnded {
                message: MessageId(*id),
                attempt: m.attempts - 1,
                outcome,
                elapsed: TimeDelta(1),
                completes: m.ended,
                report: None,
            });
        }
        for (queue, _) in keys.values_mut() {
            queue.retain(|id| !seen[id].ended || seen[id].out.is_some());
        }
        for action in host.step(&events) {
            trace.push((host.now, action.clone()));
            match action {
                Action::Send { message, endpoint, expires } => {
                    let m = seen.get_mut(&message.0).unwrap();
                    let at = list[endpoint.0 as usize];
                    let d = m.message.destination.0;
                    assert!(!m.ended && m.out.is_none() && m.attempts < 4, "seed {seed}: {message:?}");
                    assert_eq!(at.destination, m.message.destination);
                    assert_eq!(
                        *listing.get(&endpoint.0).unwrap_or(&EndpointState::Active),
                        EndpointState::Active
                    );
                    assert!(expires.0 > host.now && expires.0 < m.taken + m.message.time_to_live.0);
                    let wait = waits.get(&(d, if apart(d) { endpoint.0 } else { 0 })).copied().unwrap_or(0);
                    assert!(host.now >= wait, "seed {seed}: a told wait broken");
                    match (classes[m.message.class.0].idempotency, m.ran) {
                        (Idempotency::NonIdempotent, Some(_)) => panic!("seed {seed}: unsafe repeated"),
                        (Idempotency::WithKey { scope: group, window }, Some((at_first, zone))) => {
                            assert!(host.now < at_first + window.0);
                            assert!(group == DeduplicationScope::Destination || zone == at.zone.0);
                        }
                        _ => {}
                    }
                    if let Some(key) = m.message.key {
                        let (queue, rest) = &keys[&key.0];
                        assert_eq!(queue.first(), Some(&message.0), "seed {seed}: out of order");
                        assert!(m.attempts > 0 || host.now >= *rest, "seed {seed}: not settled");
                    }
                    m.out = Some((expires.0, endpoint.0));
                    m.attempts += 1;
                }
                Action::Return { message: id, .. } | Action::Fail(id) => {
                    let m = seen.get_mut(&id.0).unwrap();
                    assert!(!m.ended && m.out.is_none(), "seed {seed}: {id:?} ended twice");
                    assert!(host.now <= m.taken + m.message.time_to_live.0 + 20_000);
                    let harmless = match classes[m.message.class.0].idempotency {
                        Idempotency::Idempotent
                        | Idempotency::WithKey { scope: DeduplicationScope::Destination, .. } => true,
                        _ => m.ran.is_none(),
                    };
                    assert!(harmless || action == Action::Fail(id), "seed {seed}: refused what may have run");
                    m.ended = true;
                    if let Some(key) = m.message.key {
                        keys.get_mut(&key.0).unwrap().0.retain(|other| *other != id.0);
                    }
                }
                other => panic!("seed {seed}: {other:?}"),
            }
        }
        let calls: BTreeSet<_> = seen.iter().filter_map(|(id, m)| m.out.map(|o| (o.1, *id))).collect();
        assert!(calls.len() <= s.max_concurrent_calls * s.kinds[0].max_batch_size);
        host.now += 5_000 * (1 + draw(2));
    }
    assert!(seen.len() > 100 && trace.len() > seen.len(), "something happened");
    trace
}

#[test]
fn arbitrary_sequences_keep_the_rules() {
    for seed in 0..10 {
        play(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(1), play(1));
}
