//! Settings that change under way, and endpoints that come back from a drain.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

fn relisted(listing: EndpointState) -> Event {
    Event::EndpointUpdates(vec![EndpointEntry { state: listing, ..entry(1, 0, 0, 0) }])
}

/// Guards against a restarted endpoint that gets all at once what it had warm: after its drain it is on the ramp, and
/// full again at its end.
#[test]
fn an_endpoint_back_from_a_drain_starts_cold() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let mut id = 0;
    let mut second = |host: &mut Host, change: Option<Event>| {
        let mut sent = 0;
        let mut change: Vec<Event> = change.into_iter().collect();
        for _ in 0..10 {
            id += 1;
            change.push(message(id, SAFE, 1, None));
            let mut actions = host.step(&std::mem::take(&mut change));
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
        assert!(second(&mut host, None) >= 9, "warm");
    }
    assert_eq!(second(&mut host, Some(relisted(EndpointState::Draining))), 0);
    let cold = second(&mut host, Some(relisted(EndpointState::Active)));
    assert!((1..=5).contains(&cold), "{cold} in the first second");
    let warm: Vec<u32> = (0..12).map(|_| second(&mut host, None)).collect();
    assert!(warm.last().is_some_and(|last| *last >= 9), "{warm:?}");
}

/// Guards against an attempt beyond the number now allowed, a message that is kept though it has none left, and a class
/// that means something else for what was taken on before.
#[test]
fn messages_under_way_follow_changed_settings() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    for attempt in 0..2 {
        if attempt == 0 {
            assert_eq!(sent(&host.message(7, SAFE, 1), 7), Some(0));
        } else {
            assert!(sent_at(&host.run(4 * SECOND), 7).is_some());
        }
        host.now += 50_000;
        host.ended(7, attempt, Outcome::Failure);
    }
    let before = settings();
    let mut classes = before.classes.clone();
    classes.push(Class { idempotency: Idempotency::NonIdempotent, ..classes[0].clone() });
    let fewer = Settings { max_attempts: 2, classes, ..before };
    let actions = host.step(&[Event::Settings(Box::new(fewer))]);
    assert!(matches!(actions[..], [Action::Return { message: MessageId(7), .. }]), "{actions:?}");
    assert!(host.run(4 * SECOND).is_empty());
    let new = ClassId(5);
    for (id, class) in [(8, SAFE), (9, new)] {
        let mut run: Vec<_> = host.message(id, class, 1).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run(4 * SECOND));
        assert!(sent_at(&run, id).is_some(), "{run:?}");
        host.now += 50_000;
        let mut run: Vec<_> =
            host.ended(id, 0, Outcome::Failure).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run(10 * SECOND));
        assert_eq!((sent_at(&run, id).is_some(), failed(&run, id)), (class == SAFE, class == new));
        if class == SAFE {
            host.ended(id, 1, Outcome::Success);
        }
    }
}
