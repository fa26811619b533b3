//! Recovered messages that the previous process accepted but never attempted: each is attempted at least
//! once.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;

use common::*;
use micadrum::{
    EndpointEntry, EndpointState, Event, MessageId, Outcome, RecoveredMessage, Settings, TimeDelta,
    Timestamp, ZoneId,
};

fn recovered(
    id: u32,
    class: micadrum::ClassId,
    destination: u64,
    attempts: u32,
    ran: Option<Timestamp>,
) -> Event {
    let Event::Message(message) = message_event(id, class, destination, None) else { unreachable!() };
    Event::Recovered(RecoveredMessage {
        message,
        attempts,
        first_uncertain_attempt: ran.map(|sent| (sent, ZoneId(0))),
        ended: false,
    })
}

/// Guards against returning recovered messages without an attempt when there are more of them than the
/// settings allow: new messages are returned instead.
#[test]
fn attempts_all_recovered_messages_beyond_the_pending_limit() {
    let few_pending = Settings { max_pending_messages: 20, max_concurrent_calls: 4, ..settings() };
    let mut host = Host::new(few_pending, vec![entry(1, 0, 0, 0)]);
    let recovered_events: Vec<Event> = (0..60).map(|id| recovered(id, IDEMPOTENT, 1, 0, None)).collect();
    let mut attempted = vec![];
    let mut run: Vec<_> = host.step(&recovered_events);
    run.extend(host.submit(100, IDEMPOTENT, 1));
    let mut in_flight: Vec<(u32, u64)> = vec![];
    for _ in 0..4_000 {
        for action in run.drain(..) {
            match action {
                micadrum::Action::Send { message, .. } => {
                    attempted.push(message.0);
                    in_flight.push((message.0, host.now + 20_000));
                }
                micadrum::Action::Return { message, .. } | micadrum::Action::Fail(message) => {
                    assert_eq!(message.0, 100, "a recovered message ended without an attempt");
                }
                _ => {}
            }
        }
        host.now += 10_000;
        let now = host.now;
        let answers: Vec<Event> = (in_flight.iter().filter(|(_, at)| *at <= now))
            .map(|(id, _)| attempt_ended(*id, 0, Outcome::Success))
            .collect();
        in_flight.retain(|(_, at)| *at > now);
        run = host.step(&answers);
        if attempted.len() >= 60 {
            break;
        }
    }
    attempted.sort_unstable();
    attempted.dedup();
    assert_eq!(attempted.len(), 60, "each recovered message is attempted");
}

/// Guards against new messages of a higher weight that delay recovered messages forever.
#[test]
fn sends_unattempted_recovered_messages_before_new_ones() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let Event::Message(mut unattempted) = message_event(1, NON_IDEMPOTENT, 1, None) else { unreachable!() };
    unattempted.time_to_live = TimeDelta(SECOND);
    let unattempted = Event::Recovered(RecoveredMessage {
        message: unattempted,
        attempts: 0,
        first_uncertain_attempt: None,
        ended: false,
    });
    let actions = host.step(&[
        message_event(2, NON_IDEMPOTENT, 1, None),
        message_event(3, NON_IDEMPOTENT, 1, None),
        unattempted,
    ]);
    let first = actions.iter().find_map(|action| match action {
        micadrum::Action::Send { message, .. } => Some(message.0),
        _ => None,
    });
    assert_eq!(first, Some(1));
}

/// Guards against holding a recovered message without attempts left until it expires.
#[test]
fn returns_recovered_messages_without_attempts_left_at_once() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let max_attempts = settings().max_attempts;
    let ran = Some(Timestamp(host.now - 100_000));
    let actions = host.step(&[
        recovered(1, IDEMPOTENT, 1, max_attempts, ran),
        recovered(2, NON_IDEMPOTENT, 1, max_attempts, None),
    ]);
    for id in [1, 2] {
        let ends = |action: &micadrum::Action| matches!(action, micadrum::Action::Return { message, .. } if *message == MessageId(id));
        assert!(actions.iter().any(ends), "{id}: {actions:?}");
    }
}

/// Guards against counting deferred attempts, which were never written, for example because the disk is full.
#[test]
fn deferred_attempts_do_not_count() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let start = host.now;
    let mut deferred = 0;
    let mut actions = host.submit(1, NON_IDEMPOTENT, 1);
    while host.now < start + 10 * SECOND {
        let is_pending = |action: &micadrum::Action| {
            !matches!(action, micadrum::Action::Return { .. } | micadrum::Action::Fail(_))
        };
        assert!(actions.iter().all(is_pending), "the message ended after {deferred} deferred attempts");
        if sent_to(&actions, 1).is_some() {
            deferred += 1;
            actions = host.step(&[attempt_ended(1, 0, Outcome::Deferred)]);
        } else {
            host.now += 20_000;
            actions = host.step(&[Event::TimerFired]);
        }
    }
    assert!(
        deferred > settings().max_attempts,
        "{deferred} deferred attempts, expected more than max_attempts"
    );
}

/// Guards against sending a recovered message to a draining endpoint.
#[test]
fn recovered_messages_wait_for_an_active_endpoint() {
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(1, 1, 0, 0) };
    let mut host = Host::new(settings(), vec![draining]);
    assert!(sent_to(&host.step(&[recovered(1, IDEMPOTENT, 1, 0, None)]), 1).is_none());
    let active = EndpointEntry { state: EndpointState::Active, ..draining };
    let mut run = host.step(&[Event::EndpointUpdates(vec![active])]);
    run.extend(host.run_for(SECOND).into_iter().map(|(_, action)| action));
    assert!(sent_to(&run, 1).is_some());
}
