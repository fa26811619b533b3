//! What an earlier process took on and did not try: this one owes it a try, whatever else there is.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;

use common::*;
use micadrum::{
    EndpointEntry, EndpointState, Event, MessageId, Outcome, RecoveredMessage, Settings, TimeDelta,
    Timestamp, ZoneId,
};

fn resumed(
    id: u32,
    class: micadrum::ClassId,
    destination: u64,
    attempts: u32,
    ran: Option<Timestamp>,
) -> Event {
    let Event::Message(message) = message(id, class, destination, None) else { unreachable!() };
    Event::Recovered(RecoveredMessage {
        message,
        attempts,
        first_uncertain_attempt: ran.map(|sent| (sent, ZoneId(0))),
        ended: false,
    })
}

/// Guards against a restart that gives up without a call what it found untried, as there is more of it than the settings
/// now leave room for: what comes afterwards gives way instead.
#[test]
fn a_house_full_of_what_was_found_untried_is_not_shed() {
    let small = Settings { max_pending_messages: 20, max_concurrent_calls: 4, ..settings() };
    let mut host = Host::new(small, vec![entry(1, 0, 0, 0)]);
    let found: Vec<Event> = (0..60).map(|id| resumed(id, SAFE, 1, 0, None)).collect();
    let mut tried = vec![];
    let mut run: Vec<_> = host.step(&found);
    run.extend(host.message(100, SAFE, 1));
    let mut out: Vec<(u32, u64)> = vec![];
    for _ in 0..4_000 {
        for action in run.drain(..) {
            match action {
                micadrum::Action::Send { message, .. } => {
                    tried.push(message.0);
                    out.push((message.0, host.now + 20_000));
                }
                micadrum::Action::Return { message, .. } | micadrum::Action::Fail(message) => {
                    assert_eq!(message.0, 100, "given up without a call");
                }
                _ => {}
            }
        }
        host.now += 10_000;
        let now = host.now;
        let done: Vec<Event> = (out.iter().filter(|(_, at)| *at <= now))
            .map(|(id, _)| ended(*id, 0, Outcome::Success))
            .collect();
        out.retain(|(_, at)| *at > now);
        run = host.step(&done);
        if tried.len() >= 60 {
            break;
        }
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 60, "each is tried");
}

/// Guards against newcomers of more worth that keep what was found untried from ever being tried.
#[test]
fn what_was_found_untried_goes_before_what_comes() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let Event::Message(mut late) = message(1, UNSAFE, 1, None) else { unreachable!() };
    late.time_to_live = TimeDelta(SECOND);
    let late = Event::Recovered(RecoveredMessage {
        message: late,
        attempts: 0,
        first_uncertain_attempt: None,
        ended: false,
    });
    let actions = host.step(&[message(2, UNSAFE, 1, None), message(3, UNSAFE, 1, None), late]);
    let first = actions.iter().find_map(|action| match action {
        micadrum::Action::Send { message, .. } => Some(message.0),
        _ => None,
    });
    assert_eq!(first, Some(1));
}

/// Guards against a message that has had all its attempts in an earlier process and hears of its end only when its time
/// is up.
#[test]
fn what_has_no_attempt_left_ends_at_once() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let most = settings().max_attempts;
    let ran = Some(Timestamp(host.now - 100_000));
    let actions = host.step(&[resumed(1, SAFE, 1, most, ran), resumed(2, UNSAFE, 1, most, None)]);
    for id in [1, 2] {
        let ends = |action: &micadrum::Action| matches!(action, micadrum::Action::Return { message, .. } if *message == MessageId(id));
        assert!(actions.iter().any(ends), "{id}: {actions:?}");
    }
}

/// Guards against attempts that never were and use up those that a message has, as where a full disk holds each back.
#[test]
fn an_attempt_that_was_held_back_is_none() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let start = host.now;
    let mut times = 0;
    let mut actions = host.message(1, UNSAFE, 1);
    while host.now < start + 10 * SECOND {
        let gone = |action: &micadrum::Action| {
            !matches!(action, micadrum::Action::Return { .. } | micadrum::Action::Fail(_))
        };
        assert!(actions.iter().all(gone), "given up after {times} held back");
        if sent(&actions, 1).is_some() {
            times += 1;
            actions = host.step(&[ended(1, 0, Outcome::Deferred)]);
        } else {
            host.now += 20_000;
            actions = host.step(&[Event::TimerFired]);
        }
    }
    assert!(times > settings().max_attempts, "{times}");
}

/// Guards against a drain that what was found untried goes by: it waits for an endpoint in service.
#[test]
fn what_was_found_untried_keeps_the_rules() {
    let drains = EndpointEntry { state: EndpointState::Draining, ..entry(1, 1, 0, 0) };
    let mut host = Host::new(settings(), vec![drains]);
    assert!(sent(&host.step(&[resumed(1, SAFE, 1, 0, None)]), 1).is_none());
    let back = EndpointEntry { state: EndpointState::Active, ..drains };
    let mut run = host.step(&[Event::EndpointUpdates(vec![back])]);
    run.extend(host.run(SECOND).into_iter().map(|(_, action)| action));
    assert!(sent(&run, 1).is_some());
}
