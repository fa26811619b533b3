//! One small test for each failure that an incident or a hunt has shown.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

/// Delivers one message each at the given endpoints' destination, 100 ms apart, with a good answer.
fn warm_up(host: &mut Host, id: u32, class: ClassId, d: u64, count: u32) {
    for n in 0..count {
        let actions = host.message(id + n, class, d);
        host.now += 100_000;
        if sent(&actions, id + n).is_some() {
            host.ended(id + n, 0, Outcome::Success);
        }
    }
}

/// The messages that are called.
fn called(actions: Vec<Action>) -> Vec<u32> {
    let calls = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message.0),
        _ => None,
    });
    calls.collect()
}

/// One silent call does not close a slow but live partner (incident if4aebe).
#[test]
fn one_time_out_closes_nothing() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    warm_up(&mut host, 0, SAFE, 1, 5);
    host.message(50, SAFE, 1);
    host.now += 3 * SECOND;
    host.ended(50, 0, Outcome::TimedOut);
    let events: Vec<Event> = (60..63).map(|id| message(id, SAFE, 1, None)).collect();
    assert_eq!(host.step(&events).len(), 3);
}

/// Failures of part of the calls do not count as an outage (incident i91fa18), but spare unsafe messages.
#[test]
fn partial_failure_holds_back_only_unsafe_messages() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    warm_up(&mut host, 0, SAFE, 1, 5);
    for (id, outcome) in (20..28).zip([Outcome::Reset, Outcome::Reset, Outcome::Success].into_iter().cycle())
    {
        host.message(id, KEYED_ALL, 1);
        host.now += 50_000;
        host.step(&[ended(id, 0, outcome), Event::Cancelled(MessageId(id))]);
    }
    assert!(host.message(40, UNSAFE, 1).is_empty());
    assert_eq!(sent(&host.message(41, SAFE, 1), 41), Some(0));
    // What is not seen again is forgotten: the unsafe message goes well before its time is up.
    host.ended(41, 0, Outcome::Success);
    let run = host.run(15 * SECOND);
    assert!(sent_at(&run, 40).is_some(), "{run:?}");
}

/// A silent endpoint leaves the live one of its destination alone (big-2 of the third deployment).
#[test]
fn one_silent_endpoint_does_not_close_a_shared_destination() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    warm_up(&mut host, 100, SAFE, 1, 6);
    host.now += 100_000;
    let sends: Vec<Event> = (0..4).map(|id| message(id, SAFE, 1, None)).collect();
    let actions = host.step(&sends);
    let on_first: Vec<u32> = (0..4).filter(|id| sent(&actions, *id) == Some(0)).collect();
    assert!(!on_first.is_empty() && on_first.len() < 4);
    host.now += 3 * SECOND;
    let outcomes: Vec<Event> = (0..4)
        .map(|id| ended(id, 0, if on_first.contains(&id) { Outcome::TimedOut } else { Outcome::Success }))
        .collect();
    host.step(&outcomes);
    assert_eq!(sent(&host.message(10, SAFE, 1), 10), Some(1));
}

/// With its last endpoint a shared destination is out as one: no trial at each endpoint (incident i7311cc,
/// where many senders' trials together broke the recovery rule).
#[test]
fn the_last_endpoint_closes_a_shared_destination() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    let mut attempts = std::collections::BTreeMap::new();
    let mut sends = Vec::new();
    let mut out: Vec<u32> = Vec::new();
    for id in 0..40 {
        out.extend([id]);
        host.step(&[message(id, SAFE, 1, None)]).iter().for_each(|a| {
            if let Action::Send { message, .. } = a {
                attempts.insert(message.0, 0);
                sends.push(host.now);
            }
        });
    }
    let start = host.now;
    while host.now < start + 12 * SECOND {
        host.now += 100_000;
        let events: Vec<Event> =
            attempts.iter().map(|(id, n)| ended(*id, *n, Outcome::ConnectFailed)).collect();
        let before = std::mem::take(&mut attempts);
        for action in host.step(&events) {
            if let Action::Send { message, .. } = action {
                attempts.insert(message.0, before.get(&message.0).map_or(0, |n| n + 1));
                sends.push(host.now);
            }
        }
        // Attempt numbers of messages not out are learned again from the next send; stale outcomes are ignored.
        assert!(host.now < start + 4 * SECOND || attempts.len() <= 1, "one call at a time");
    }
    assert!(sends.iter().filter(|at| **at > start + 4 * SECOND).count() <= 8);
}

/// Guards against a returning partner that is pushed over by senders with few calls each: these fail at one endpoint
/// after the other, so that none of them is found down, and the backlog went out at once (hunts: mass-restart 1101021
/// and 980002, rolling-release 1101030, 1101087 and 1101239, building-hangs 982054).
#[test]
fn calls_that_fail_at_each_endpoint_in_turn_show_an_outage() {
    for outcome in [Outcome::TimedOut, Outcome::Failure] {
        let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0), entry(1, 2, 0, 0)];
        let mut host = Host::new(settings(), list);
        let failures = if outcome == Outcome::TimedOut { 3 } else { 4 };
        let mut endpoints = std::collections::BTreeSet::new();
        for id in 0..failures {
            host.now += 3 * SECOND;
            endpoints.extend(sent(&host.message(id, UNSAFE, 1), id));
            host.now += 3 * SECOND;
            host.ended(id, 0, outcome);
        }
        assert_eq!(endpoints.len(), 3, "each endpoint was called: {endpoints:?}");
        // A trial, and no more than one at a time.
        let backlog: Vec<Event> = (10..30).map(|id| message(id, SAFE, 1, None)).collect();
        let mut tries = called(host.step(&backlog));
        tries.extend(host.run(10 * SECOND).into_iter().flat_map(|(_, action)| called(vec![action])));
        assert_eq!(tries.len(), 1, "{outcome:?}: one trial at a time");
        let trial = tries[0];
        // It answers: a fifth of what a destination is known to take, and not the backlog.
        let mut out = called(host.ended(trial, 0, Outcome::Success));
        let mut sends = out.len();
        let end = host.now + settings().rules.overload_window.0;
        while host.now < end {
            host.now += 50_000;
            let answered: Vec<Event> = out.iter().map(|id| ended(*id, 0, Outcome::Success)).collect();
            out = called(host.step(&answered));
            sends += out.len();
        }
        assert!(sends <= 2, "{outcome:?}: {sends} calls in the time in which a cold partner falls");
    }
}

/// Guards against taking a destination for out while an endpoint of it was not heard to fail: calls go on there.
#[test]
fn an_endpoint_that_did_not_fail_keeps_its_destination_open() {
    let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)];
    let mut host = Host::new(settings(), list);
    // What may have run in a zone is repeated there: both attempts time out at one endpoint.
    let first = sent(&host.message(0, KEYED_ZONE, 1), 0).unwrap();
    host.now += SECOND;
    host.ended(0, 0, Outcome::TimedOut);
    let again = sent_at(&host.run(2 * SECOND), 0).expect("its second attempt").1;
    assert_eq!(first, again);
    host.now += SECOND;
    host.ended(0, 1, Outcome::TimedOut);
    let backlog: Vec<Event> = (10..13).map(|id| message(id, SAFE, 1, None)).collect();
    let actions = host.step(&backlog);
    let on_other = (10..13).filter(|id| sent(&actions, *id) == Some(1 - first)).count();
    assert_eq!(on_other, 3, "calls go on at the other: {actions:?}");
}

/// Refusals at a low rate do not stop a sender for seconds where the limit is told.
#[test]
fn a_refusal_paces_by_the_told_limit() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.message(1, SAFE, 1);
    let report = Some(LoadReport { remaining_share: 0.0, limit_per_second: 20.0 });
    let Event::AttemptEnded { message, attempt, outcome, elapsed, completes: last, .. } =
        ended(1, 0, Outcome::Rejected { retry_after: None })
    else {
        unreachable!()
    };
    host.step(&[Event::AttemptEnded { message, attempt, outcome, elapsed, completes: last, report }]);
    let run = host.run(SECOND);
    assert!(sent_at(&run, 1).is_some(), "half an equal part of 20 a second is 5 a second");
}

/// A time-out is bounded however long the learned answers are (incident idc117d).
#[test]
fn time_outs_stay_bounded() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    for id in 0..10 {
        host.message(id, SAFE, 1);
        host.now += if id % 2 == 0 { 4 * SECOND } else { SECOND };
        host.ended(id, 0, Outcome::Success);
    }
    let actions = host.message(50, SAFE, 1);
    let [Action::Send { expires, .. }] = actions[..] else { panic!("{actions:?}") };
    assert!(expires.0 <= host.now + 5 * SECOND);
}

/// Dead idle connections swallow calls (incidents i693fa0, i779a0d): closed after silence, and no endpoint's
/// connections are used that have been idle for as long, until trust has grown again.
#[test]
fn idle_connections_are_not_trusted_after_a_lost_call() {
    let closes = |actions: &[Action], e: u32| {
        let close = actions.iter().position(|a| *a == Action::CloseIdleConnections(EndpointId(e)));
        let send = actions.iter().position(|a| matches!(a, Action::Send { .. }));
        close.is_some() && (send.is_none() || close < send)
    };
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0), entry(2, 1, 1, 0)]);
    warm_up(&mut host, 0, SAFE, 1, 3);
    warm_up(&mut host, 10, SAFE, 2, 3);
    host.now += 2 * SECOND;
    assert!(!closes(&host.raw(&[message(20, SAFE, 2, None)]), 1), "trusted so far");
    host.now += 100_000;
    host.ended(20, 0, Outcome::Success);
    host.raw(&[message(30, SAFE, 1, None)]);
    host.now += 3 * SECOND;
    assert!(closes(&host.raw(&[ended(30, 0, Outcome::TimedOut)]), 0), "closed after silence");
    assert!(closes(&host.raw(&[message(31, SAFE, 2, None)]), 1), "idle for as long: closed before use");
    host.now += 100_000;
    host.ended(31, 0, Outcome::Success);
    assert!(!closes(&host.raw(&[message(32, SAFE, 2, None)]), 1), "just answered: kept");
    host.now += 100_000;
    host.ended(32, 0, Outcome::Success);
    host.run(30 * SECOND);
    host.now += SECOND;
    host.raw(&[message(33, SAFE, 2, None)]);
    host.now += 100_000;
    host.ended(33, 0, Outcome::Success);
    host.now += 3 * SECOND;
    assert!(!closes(&host.raw(&[message(34, SAFE, 2, None)]), 1), "trusted again");
}

/// Guards against waiting out what is chance: a call that fails singly holds no unsafe message back, however
/// far it moves the learned share; failures in a row do.
#[test]
fn only_failures_in_a_row_hold_unsafe_messages_back() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let mut waits_after = |id: u32, failures: u32| {
        for n in id..id + failures {
            host.now += SECOND / 10;
            assert!(sent(&host.message(n, UNSAFE, 1), n).is_some());
            host.now += SECOND / 10;
            host.ended(n, 0, Outcome::Reset);
        }
        let probe = id + failures;
        let waits = sent(&host.message(probe, UNSAFE, 1), probe).is_none();
        host.now += SECOND / 10;
        host.ended(probe, 0, Outcome::Success);
        waits
    };
    assert!(!waits_after(1, 1));
    assert!(!waits_after(10, 1));
    assert!(!waits_after(20, 1));
    assert!(waits_after(30, 2));
}

/// Guards against a few silent calls that keep all slots: once these are scarce, a call is given up soon after
/// the slowest healthy answer would have come, also one with an unsafe message.
#[test]
fn time_outs_are_short_while_slots_are_scarce() {
    let list = (1..=8).map(|d| entry(d, d as u32, 0, 0)).collect();
    let mut host = Host::new(settings(), list);
    for d in 1..=8 {
        for n in 0..20 {
            let id = d as u32 * 100 + n;
            host.message(id, UNSAFE, d);
            host.now += SECOND / 10;
            host.ended(id, 0, Outcome::Success);
        }
    }
    let mut spans = Vec::new();
    for d in 1..=8 {
        let actions = host.message(d as u32, UNSAFE, d);
        let expires = actions.iter().find_map(|a| match a {
            Action::Send { expires, .. } => Some(expires.0 - host.now),
            _ => None,
        });
        spans.push(expires.unwrap());
    }
    let aim = settings().classes[UNSAFE.0].latency_objective.0;
    assert!(spans[..6].iter().all(|span| *span > 2 * aim), "{spans:?}");
    assert!(spans[6..].iter().all(|span| *span < aim), "{spans:?}");
}

/// Guards against a message that was out when its process was killed and goes again at once: it waits the doubled
/// backoff of its attempts, as after any other failure.
#[test]
fn a_resumed_message_waits_its_backoff() {
    for (attempts, least, most) in [(0, 0, 30_000), (1, 250_000, 410_000), (3, 1_000_000, 1_160_000)] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
        let Event::Message(message) = message(5, KEYED_ALL, 1, None) else { panic!("no message") };
        let began = host.now;
        let ran = (attempts > 0).then_some((Timestamp(began - 100_000), ZoneId(0)));
        let resumed = RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended: false };
        let at_once = host.step(&[Event::Recovered(resumed)]);
        let sent = match sent(&at_once, 5) {
            Some(_) => began,
            None => sent_at(&host.run(3 * SECOND), 5).expect("it goes again").0,
        };
        let waited = sent - began;
        assert!((least..=most).contains(&waited), "{attempts} attempts: {waited} us");
    }
}
