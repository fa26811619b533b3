//! Changed settings while messages are pending, and endpoints that return from draining.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

fn endpoint_update(state: EndpointState) -> Event {
    Event::EndpointUpdates(vec![EndpointEntry { state, ..entry(1, 0, 0, 0) }])
}

/// Guards against sending a restarted endpoint its full rate at once: a slow start follows the drain.
#[test]
fn an_endpoint_that_returns_from_draining_gets_a_slow_start() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let mut id = 0;
    let mut calls_in_one_second = |host: &mut Host, events: Option<Event>| {
        let mut sent = 0;
        let mut events: Vec<Event> = events.into_iter().collect();
        for _ in 0..10 {
            id += 1;
            events.push(message_event(id, IDEMPOTENT, 1, None));
            let mut actions = host.step(&std::mem::take(&mut events));
            host.now += 100_000;
            while let Some(Action::Send { message, .. }) = actions.pop() {
                sent += 1;
                actions.extend(host.step(&[Event::AttemptEnded {
                    message,
                    attempt: 0,
                    outcome: Outcome::Success,
                    elapsed: TimeDelta(100_000),
                    completes: true,
                    report: None,
                }]));
            }
        }
        sent
    };
    for _ in 0..5 {
        assert!(calls_in_one_second(&mut host, None) >= 9, "full rate before the drain");
    }
    assert_eq!(calls_in_one_second(&mut host, Some(endpoint_update(EndpointState::Draining))), 0);
    let first_second = calls_in_one_second(&mut host, Some(endpoint_update(EndpointState::Active)));
    assert!(
        (1..=5).contains(&first_second),
        "{first_second} calls in the first second after the drain, expected 1 to 5"
    );
    let calls: Vec<u32> = (0..12).map(|_| calls_in_one_second(&mut host, None)).collect();
    assert!(calls.last().is_some_and(|last| *last >= 9), "{calls:?}");
}

/// Guards against attempts beyond a lowered maximum, and against new classes that change the meaning of
/// existing ones.
#[test]
fn pending_messages_follow_changed_settings() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    for attempt in 0..2 {
        if attempt == 0 {
            assert_eq!(sent_to(&host.submit(7, IDEMPOTENT, 1), 7), Some(0));
        } else {
            assert!(first_send(&host.run_for(4 * SECOND), 7).is_some());
        }
        host.now += 50_000;
        host.end_attempt(7, attempt, Outcome::Failure);
    }
    let initial = settings();
    let mut classes = initial.classes.clone();
    classes.push(Class { idempotency: Idempotency::NonIdempotent, ..classes[0].clone() });
    let changed = Settings { max_attempts: 2, classes, ..initial };
    let actions = host.step(&[Event::Settings(Box::new(changed))]);
    assert!(matches!(actions[..], [Action::Return { message: MessageId(7), .. }]), "{actions:?}");
    assert!(host.run_for(4 * SECOND).is_empty());
    let new = ClassId(5);
    for (id, class) in [(8, IDEMPOTENT), (9, new)] {
        let mut run: Vec<_> = host.submit(id, class, 1).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run_for(4 * SECOND));
        assert!(first_send(&run, id).is_some(), "{run:?}");
        host.now += 50_000;
        let mut run: Vec<_> =
            host.end_attempt(id, 0, Outcome::Failure).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run_for(10 * SECOND));
        assert_eq!(
            (first_send(&run, id).is_some(), is_failed(&run, id)),
            (class == IDEMPOTENT, class == new)
        );
        if class == IDEMPOTENT {
            host.end_attempt(id, 1, Outcome::Success);
        }
    }
}
