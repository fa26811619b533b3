//! Random valid sequences of events, from fixed seeds. Every action is checked against the rules of delivery
//! that a sender can observe, and every message must end exactly once. Outcomes are random; no server is
//! modeled.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The expected state of a message.
struct MessageModel {
    message: Message,
    accepted_at: u64,
    attempts: u32,
    /// When the attempt in flight expires, and its endpoint.
    in_flight: Option<(u64, u32)>,
    /// The time and the zone of the first attempt that may have run.
    first_uncertain: Option<(u64, usize)>,
    ended: bool,
}

/// Runs a random sequence until all messages have ended, and returns all actions with their times.
fn run(seed: u64) -> Vec<(u64, Action)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = move |n: u64| random.next_u64() % n;
    let mut s = settings();
    s.kinds[0].max_batch_size = 1 + draw(4) as usize;
    s.max_attempts = 4;
    let classes = s.classes.clone();
    let has_own_limits = |d: u64| d % 2 == 1;
    let mut states = BTreeMap::new();
    let list: Vec<EndpointEntry> =
        (0..12).map(|e| entry(u64::from(e) % 5, e, (e % 5 % 2) as usize, (e / 5 % 2) as usize)).collect();
    let mut host = Host::new(s.clone(), list.clone());
    let mut messages: BTreeMap<u32, MessageModel> = BTreeMap::new();
    let mut keys: BTreeMap<u64, (Vec<u32>, u64)> = BTreeMap::new();
    let mut retry_after_ends: BTreeMap<(u64, u32), u64> = BTreeMap::new();
    let mut trace = Vec::new();
    let start = host.now;
    let mut id = 0;
    loop {
        let is_ending = host.now > start + 40 * SECOND;
        if is_ending && messages.values().all(|m| m.ended && m.in_flight.is_none()) {
            break;
        }
        assert!(host.now < start + 80 * SECOND, "seed {seed}: a message has not ended within 80 s");
        let mut events = vec![Event::TimerFired];
        if draw(400) == 0 {
            let e = list[draw(12) as usize];
            let state =
                [EndpointState::Active, EndpointState::Draining, EndpointState::Removed][draw(3) as usize];
            states.insert(e.endpoint.0, state);
            events.push(Event::EndpointUpdates(vec![EndpointEntry { state, ..e }]));
        }
        while !is_ending && draw(4) == 0 {
            id += 1;
            let class = draw(5) as usize;
            let key = (class == 4).then(|| OrderKey(draw(6)));
            let (destination, time_to_live) = (DestinationId(draw(6)), TimeDelta(SECOND + draw(15 * SECOND)));
            let message = Message {
                id: MessageId(id),
                class: ClassId(class),
                tenant: None,
                key,
                destination,
                time_to_live,
            };
            if let Some(key) = key {
                keys.entry(key.0).or_insert((vec![], 0)).0.push(id);
            }
            let new = MessageModel {
                message,
                accepted_at: host.now,
                attempts: 0,
                in_flight: None,
                first_uncertain: None,
                ended: false,
            };
            messages.insert(id, new);
            events.push(Event::Message(message));
        }
        for (id, m) in &mut messages {
            let Some((expires, endpoint)) = m.in_flight else {
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
                    m.first_uncertain = m.first_uncertain.or(Some((host.now, zone)));
                    if outcome != Outcome::Failure
                        && let Some(key) = m.message.key
                    {
                        keys.get_mut(&key.0).unwrap().1 = host.now + 2 * SECOND;
                    }
                }
                Outcome::Rejected { retry_after: Some(delay) } => {
                    let d = m.message.destination.0;
                    let at = (d, if has_own_limits(d) { endpoint } else { 0 });
                    let until = retry_after_ends.entry(at).or_insert(0);
                    *until = (*until).max(host.now + delay.0);
                }
                _ => {}
            }
            m.in_flight = None;
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
            queue.retain(|id| !messages[id].ended || messages[id].in_flight.is_some());
        }
        for action in host.step(&events) {
            trace.push((host.now, action.clone()));
            match action {
                Action::Send { message, endpoint, expires } => {
                    let m = messages.get_mut(&message.0).unwrap();
                    let at = list[endpoint.0 as usize];
                    let d = m.message.destination.0;
                    assert!(
                        !m.ended && m.in_flight.is_none() && m.attempts < 4,
                        "seed {seed}: unexpected send of {message:?}"
                    );
                    assert_eq!(at.destination, m.message.destination);
                    assert_eq!(
                        *states.get(&endpoint.0).unwrap_or(&EndpointState::Active),
                        EndpointState::Active
                    );
                    assert!(expires.0 > host.now && expires.0 < m.accepted_at + m.message.time_to_live.0);
                    let retry_after_end = retry_after_ends
                        .get(&(d, if has_own_limits(d) { endpoint.0 } else { 0 }))
                        .copied()
                        .unwrap_or(0);
                    assert!(
                        host.now >= retry_after_end,
                        "seed {seed}: sent before the end of the Retry-After delay"
                    );
                    match (classes[m.message.class.0].idempotency, m.first_uncertain) {
                        (Idempotency::NonIdempotent, Some(_)) => {
                            panic!("seed {seed}: a non-idempotent message was retried after it may have run")
                        }
                        (Idempotency::WithKey { scope, window }, Some((at_first, zone))) => {
                            assert!(host.now < at_first + window.0);
                            assert!(scope == DeduplicationScope::Destination || zone == at.zone.0);
                        }
                        _ => {}
                    }
                    if let Some(key) = m.message.key {
                        let (queue, hold_end) = &keys[&key.0];
                        assert_eq!(
                            queue.first(),
                            Some(&message.0),
                            "seed {seed}: {message:?} was sent out of order"
                        );
                        assert!(
                            m.attempts > 0 || host.now >= *hold_end,
                            "seed {seed}: {message:?} was sent before the end of the ordering hold"
                        );
                    }
                    m.in_flight = Some((expires.0, endpoint.0));
                    m.attempts += 1;
                }
                Action::Return { message: id, .. } | Action::Fail(id) => {
                    let m = messages.get_mut(&id.0).unwrap();
                    assert!(
                        !m.ended && m.in_flight.is_none(),
                        "seed {seed}: {id:?} ended twice or with an attempt in flight"
                    );
                    assert!(host.now <= m.accepted_at + m.message.time_to_live.0 + 20_000);
                    let can_be_returned = match classes[m.message.class.0].idempotency {
                        Idempotency::Idempotent
                        | Idempotency::WithKey { scope: DeduplicationScope::Destination, .. } => true,
                        _ => m.first_uncertain.is_none(),
                    };
                    assert!(
                        can_be_returned || action == Action::Fail(id),
                        "seed {seed}: {id:?} was returned although it may have run"
                    );
                    m.ended = true;
                    if let Some(key) = m.message.key {
                        keys.get_mut(&key.0).unwrap().0.retain(|other| *other != id.0);
                    }
                }
                other => panic!("seed {seed}: unexpected action {other:?}"),
            }
        }
        let calls: BTreeSet<_> =
            messages.iter().filter_map(|(id, m)| m.in_flight.map(|o| (o.1, *id))).collect();
        assert!(calls.len() <= s.max_concurrent_calls * s.kinds[0].max_batch_size);
        host.now += 5_000 * (1 + draw(2));
    }
    assert!(
        messages.len() > 100 && trace.len() > messages.len(),
        "expected more than 100 messages and more actions than messages"
    );
    trace
}

#[test]
fn random_sequences_of_events_keep_the_rules() {
    for seed in 0..10 {
        run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(1), run(1));
}
