//! Each rule of delivery, with cases that it allows and forbids, and the retries of each class after each
//! outcome.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

const MAY_HAVE_RUN: [Outcome; 4] = [Outcome::Failure, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
const NEVER_RAN: [Outcome; 4] = [
    Outcome::Rejected { retry_after: None },
    Outcome::Rejected { retry_after: Some(TimeDelta(300_000)) },
    Outcome::ConnectFailed,
    Outcome::NotSent,
];

/// Ends a first attempt with `outcome`. Returns the endpoint of the retry, if any, and whether the message is
/// returned and whether it fails within 4 s.
fn consequences(class: ClassId, outcome: Outcome) -> (Option<u32>, bool, bool) {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent_to(&host.submit(7, class, 1), 7), Some(0));
    host.now += 100_000;
    let mut run: Vec<_> = host.end_attempt(7, 0, outcome).into_iter().map(|a| (host.now, a)).collect();
    run.extend(host.run_for(4 * SECOND));
    (first_send(&run, 7).map(|(_, e)| e), is_returned(&run, 7), is_failed(&run, 7))
}

#[test]
fn retries_every_class_after_an_attempt_that_never_ran() {
    for class in [IDEMPOTENT, KEYED_BY_DESTINATION, KEYED_BY_ZONE, NON_IDEMPOTENT] {
        for outcome in NEVER_RAN {
            let (retry, returned, failed) = consequences(class, outcome);
            assert!(retry.is_some() && !returned && !failed, "{class:?} {outcome:?}");
        }
    }
}

#[test]
fn retries_as_the_class_permits_after_an_attempt_that_may_have_run() {
    for outcome in MAY_HAVE_RUN {
        for class in [IDEMPOTENT, KEYED_BY_DESTINATION] {
            assert!(consequences(class, outcome).0.is_some(), "{class:?} {outcome:?}");
        }
        assert_eq!(
            consequences(KEYED_BY_ZONE, outcome).0,
            Some(0),
            "retried in the zone of the first attempt: {outcome:?}"
        );
        assert_eq!(consequences(NON_IDEMPOTENT, outcome), (None, false, true), "{outcome:?}");
    }
}

#[test]
fn a_zone_keyed_message_fails_when_its_zone_has_no_endpoint() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    host.submit(7, KEYED_BY_ZONE, 1);
    host.now += 100_000;
    host.end_attempt(7, 0, Outcome::Failure);
    host.step(&[Event::EndpointUpdates(vec![EndpointEntry {
        state: EndpointState::Removed,
        ..entry(1, 0, 0, 0)
    }])]);
    let run = host.run_for(6 * SECOND);
    assert!(first_send(&run, 7).is_none() && is_failed(&run, 7) && !is_returned(&run, 7));
}

#[test]
fn the_deduplication_window_starts_at_the_first_attempt_that_may_have_run() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(7, KEYED_BY_DESTINATION, 1);
    let first = host.now;
    let mut attempt = 0;
    let mut last_sent = first;
    let mut was_returned = false;
    host.now += 1_000_000;
    let mut pending = Some(attempt_ended(7, 0, Outcome::TimedOut));
    while host.now < first + 8 * SECOND {
        for action in host.step(pending.take().as_slice()) {
            match action {
                Action::Send { .. } => {
                    attempt += 1;
                    last_sent = host.now;
                    pending = Some(attempt_ended(7, attempt, Outcome::Failure));
                }
                Action::Return { .. } => was_returned = true,
                other => panic!("{other:?}"),
            }
        }
        host.now += 20_000;
    }
    assert!(attempt > 0 && was_returned, "retried within the window and returned after it");
    assert!(last_sent < first + 5 * SECOND);
}

#[test]
fn an_undeliverable_message_is_returned_once_before_it_expires() {
    for list in [vec![], vec![EndpointEntry { state: EndpointState::Draining, ..entry(1, 0, 0, 0) }]] {
        let mut host = Host::new(settings(), list);
        let accepted_at = host.now;
        assert!(host.submit(7, NON_IDEMPOTENT, 1).is_empty());
        let run = host.run_for(20 * SECOND);
        let returns: Vec<_> =
            run.iter().filter(|(_, a)| matches!(a, Action::Return { message: MessageId(7), .. })).collect();
        assert_eq!(run.len(), returns.len());
        assert_eq!(returns.len(), 1);
        assert!(returns[0].0 < accepted_at + 16 * SECOND && returns[0].0 > accepted_at + 15 * SECOND);
    }
}

#[test]
fn an_attempt_expires_before_its_message_and_its_timeout_fails_the_message() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let expires = |actions: &[Action]| match actions {
        [Action::Send { expires, .. }] => expires.0,
        other => panic!("{other:?}"),
    };
    let Event::Message(message) = message_event(7, NON_IDEMPOTENT, 1, None) else { unreachable!() };
    let short = Message { time_to_live: TimeDelta(300_000), ..message };
    let at = expires(&host.step(&[Event::Message(short)]));
    assert!(at > host.now && at < host.now + 300_000);
    host.now += 295_000;
    assert_eq!(host.end_attempt(7, 0, Outcome::TimedOut), vec![Action::Fail(MessageId(7))]);
    assert!(host.run_for(SECOND).is_empty());
}

#[test]
fn retry_after_blocks_a_shared_destination_or_only_the_endpoint_with_its_own_limit() {
    for (kind, other_is_sent) in [(0, false), (1, true)] {
        let mut host = Host::new(settings(), vec![entry(1, 0, kind, 0), entry(1, 1, kind, 1)]);
        assert_eq!(sent_to(&host.submit(7, IDEMPOTENT, 1), 7), Some(0));
        host.end_attempt(7, 0, Outcome::Rejected { retry_after: Some(TimeDelta(2 * SECOND)) });
        let rejected_at = host.now;
        let mut run: Vec<_> = host.submit(8, IDEMPOTENT, 1).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run_for(4 * SECOND));
        let (at, endpoint) = first_send(&run, 8).unwrap();
        assert_eq!(other_is_sent, at < rejected_at + 2 * SECOND);
        assert_eq!(other_is_sent, endpoint == 1);
        let (at, endpoint) = first_send(&run, 7).unwrap();
        assert!(at >= rejected_at + 2 * SECOND || (other_is_sent && endpoint == 1));
    }
}

#[test]
fn the_longest_retry_after_of_a_batch_applies() {
    let mut s = settings();
    s.kinds[0].max_batch_size = 2;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0)]);
    let sends = host.step(&[message_event(1, IDEMPOTENT, 1, None), message_event(2, IDEMPOTENT, 1, None)]);
    assert_eq!(sends.len(), 2);
    let rejected_at = host.now;
    host.step(&[
        attempt_ended(1, 0, Outcome::Rejected { retry_after: Some(TimeDelta(300_000)) }),
        attempt_ended(2, 0, Outcome::Rejected { retry_after: Some(TimeDelta(400_000)) }),
    ]);
    let run = host.run_for(8 * SECOND);
    assert!(first_send(&run, 1).unwrap().0 >= rejected_at + 400_000);
}

#[test]
fn sends_nothing_to_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
        host.step(&[Event::EndpointUpdates(vec![EndpointEntry { state, ..entry(1, 0, 0, 0) }])]);
        assert_eq!(
            sent_to(&host.submit(7, IDEMPOTENT, 1), 7),
            Some(1),
            "sent to the other endpoint at once, even within the drain grace"
        );
        host.now += 2 * SECOND;
        assert_eq!(sent_to(&host.submit(8, IDEMPOTENT, 1), 8), Some(1));
        // An endpoint that is missing from a snapshot is removed too.
        host.step(&[Event::EndpointSnapshot(vec![entry(1, 0, 0, 0)])]);
        assert_eq!(sent_to(&host.submit(9, IDEMPOTENT, 1), 9), Some(0));
    }
}

#[test]
fn ordered_messages_are_sent_one_at_a_time_with_a_hold_after_a_timeout() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let events = [
        message_event(1, ORDERED, 1, Some(5)),
        message_event(2, ORDERED, 2, Some(5)),
        message_event(3, ORDERED, 2, Some(6)),
    ];
    let first = host.step(&events);
    assert!(sent_to(&first, 1).is_some() && sent_to(&first, 2).is_none() && sent_to(&first, 3).is_some());
    host.now += 100_000;
    let next = host.end_attempt(1, 0, Outcome::Success);
    assert!(sent_to(&next, 2).is_some(), "no ordering hold after a success");
    host.step(&[message_event(4, ORDERED, 1, Some(5))]);
    host.now += 100_000;
    host.step(&[attempt_ended(2, 0, Outcome::TimedOut)]);
    let timed_out = host.now;
    // The ordering hold delays the next message with the key, but not the retries of the current one.
    let run = host.run_for(SECOND);
    assert!(first_send(&run, 2).is_some() && first_send(&run, 4).is_none());
    host.end_attempt(2, 1, Outcome::Success);
    let run = host.run_for(3 * SECOND);
    assert!(first_send(&run, 4).unwrap().0 >= timed_out + 2 * SECOND);
}

#[test]
fn an_undeliverable_message_does_not_block_its_key_for_good() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    host.step(&[message_event(1, ORDERED, 9, Some(5)), message_event(2, ORDERED, 2, Some(5))]);
    let run = host.run_for(17 * SECOND);
    assert!(is_returned(&run, 1) && is_returned(&run, 2), "both messages are returned before they expire");
    host.step(&[Event::Cancelled(MessageId(77))]);
    assert!(sent_to(&host.step(&[message_event(3, ORDERED, 2, Some(5))]), 3).is_some());
}

#[test]
fn a_cancelled_message_holds_its_key_until_its_attempt_ends() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.step(&[message_event(1, ORDERED, 1, Some(5)), message_event(2, ORDERED, 1, Some(5))]);
    assert!(host.step(&[Event::Cancelled(MessageId(1))]).is_empty());
    let next = host.end_attempt(1, 0, Outcome::Success);
    assert!(sent_to(&next, 2).is_some());
}

#[test]
fn a_recovering_destination_gets_a_slow_start() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    // 20 messages per second for 45 s, with an outage from second 10 to second 20.
    let mut id = 0;
    let mut in_flight: Vec<(u64, u32, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let start = host.now;
    let mut sends = Vec::new();
    let mut first_success = None;
    while host.now < start + 45 * SECOND {
        let mut events = Vec::new();
        let t = host.now - start;
        let down = (10 * SECOND..20 * SECOND).contains(&t);
        in_flight.retain(|(due, m, attempt)| {
            if *due > host.now {
                return true;
            }
            events.push(attempt_ended(
                *m,
                *attempt,
                if down { Outcome::ConnectFailed } else { Outcome::Success },
            ));
            if !down && t >= 20 * SECOND && first_success.is_none() {
                first_success = Some(host.now);
            }
            false
        });
        if t % 50_000 == 0 {
            id += 1;
            events.push(message_event(id, IDEMPOTENT, 1, None));
        }
        for action in host.step(&events) {
            if let Action::Send { message, .. } = action {
                let attempt = attempts.entry(message).and_modify(|n| *n += 1).or_insert(0u32);
                in_flight.push((host.now + 100_000, message.0, *attempt));
                sends.push(host.now);
            }
        }
        host.now += 10_000;
    }
    let count = |from: u64, to: u64| sends.iter().filter(|at| (from..to).contains(*at)).count();
    let recovered_at = first_success.expect("a call succeeds after the outage");
    let outage_sends = count(start + 12 * SECOND, recovered_at);
    assert!(outage_sends <= 14, "{outage_sends} sends during the outage, expected at most 14");
    // The capacity is at least 20 per second. With a slow-start share of 0.2 and an overload factor of 2, at
    // most 12 calls may arrive within the overload window of 1.5 s.
    assert!(count(recovered_at, recovered_at + 1_500_000) <= 12);
    assert!(
        count(recovered_at + 7 * SECOND, recovered_at + 9 * SECOND)
            > count(recovered_at, recovered_at + 2 * SECOND)
    );
}

#[test]
fn one_destination_gets_at_most_half_of_the_slots_and_others_get_their_turn() {
    let mut s = settings();
    s.max_concurrent_calls = 4;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let mut events: Vec<Event> = (0..6).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    events.push(message_event(10, IDEMPOTENT, 2, None));
    let actions = host.step(&events);
    assert_eq!(actions.len(), 3, "half of the slots for the first destination, and one call to the second");
    assert!(sent_to(&actions, 10).is_some());
}

#[test]
fn a_failed_poll_of_discovery_is_repeated_after_a_delay() {
    let mut s = settings();
    s.discovery = DiscoveryMode::Poll;
    let mut host = Host { sender: DeliveryEngine::new(s, 1).unwrap(), now: SECOND };
    assert_eq!(host.step(&[Event::EndpointSnapshot(vec![])]), vec![Action::WatchEndpoints]);
    assert!(host.run_for(SECOND).is_empty(), "no second request while the first one is pending");
    assert!(host.step(&[Event::DiscoveryFailed]).is_empty(), "not repeated at once");
    let run = host.run_for(5 * SECOND);
    assert_eq!(run.iter().filter(|(_, a)| *a == Action::WatchEndpoints).count(), 1);
}

#[test]
fn a_restart_with_an_outdated_list_finds_the_running_endpoint() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent_to(&host.submit(7, NON_IDEMPOTENT, 1), 7), Some(0));
    host.now += SECOND;
    let mut attempt = 0;
    let mut run: Vec<_> =
        host.end_attempt(7, 0, Outcome::ConnectFailed).into_iter().map(|a| (host.now, a)).collect();
    for _ in 0..5 {
        run.extend(host.run_for(3 * SECOND));
        match first_send(&run, 7) {
            Some((_, 1)) => return,
            Some(_) => {
                attempt += 1;
                run = host
                    .end_attempt(7, attempt, Outcome::ConnectFailed)
                    .into_iter()
                    .map(|a| (host.now, a))
                    .collect();
            }
            None => {}
        }
    }
    panic!("no call to the other endpoint within 15 s");
}

#[test]
fn rejects_invalid_settings_and_names_them() {
    let rejection = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        DeliveryEngine::new(s, 1).err().expect("the settings are rejected").to_string()
    };
    assert!(rejection(|s| s.classes.clear()).contains("classes"));
    assert!(rejection(|s| s.max_concurrent_calls = 0).contains("slots"));
    assert!(rejection(|s| s.kinds.clear()).contains("kinds"));
}

#[test]
fn ignores_events_of_ended_messages() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(7, IDEMPOTENT, 1);
    host.end_attempt(7, 0, Outcome::Success);
    assert!(host.end_attempt(7, 0, Outcome::Failure).is_empty());
    assert!(host.step(&[Event::Cancelled(MessageId(7))]).is_empty());
}

#[test]
fn returns_messages_of_unknown_classes_and_ignores_endpoints_of_unknown_kinds() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 9, 0)]);
    assert_eq!(
        host.submit(7, ClassId(99), 1),
        vec![Action::Return { message: MessageId(7), retry_after: None }]
    );
    assert!(host.submit(8, IDEMPOTENT, 1).is_empty(), "an endpoint of an unknown kind is not used");
}

#[test]
fn sends_a_message_when_only_one_may_be_pending() {
    let mut s = settings();
    s.max_pending_messages = 1;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0)]);
    assert!(sent_to(&host.submit(7, IDEMPOTENT, 1), 7).is_some());
}

/// Guards against sending a call that became forbidden while its connection was being established.
#[test]
fn a_delayed_call_starts_only_while_it_is_still_allowed() {
    let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0)];
    let mut host = Host::new(settings(), list);
    let first = sent_to(&host.submit(1, KEYED_BY_DESTINATION, 1), 1).unwrap();
    let (id, to) = (MessageId(1), EndpointId(first));
    assert!(host.sender.is_call_still_allowed(Timestamp(host.now), id, to));
    host.step(&[Event::RetryAfter { endpoint: to, wait: TimeDelta(SECOND) }]);
    assert!(!host.sender.is_call_still_allowed(Timestamp(host.now + SECOND - 1), id, to));
    assert!(host.sender.is_call_still_allowed(Timestamp(host.now + SECOND), id, to));
    let draining = EndpointEntry { state: EndpointState::Draining, ..entry(1, first, 0, 0) };
    host.step(&[Event::EndpointUpdates(vec![draining])]);
    assert!(!host.sender.is_call_still_allowed(Timestamp(host.now + SECOND), id, to));
    // After an attempt that may have run, a retry is allowed only within the deduplication window.
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let start = host.now;
    host.submit(1, KEYED_BY_DESTINATION, 1);
    host.end_attempt(1, 0, Outcome::Reset);
    let (at, to) = first_send(&host.run_for(4 * SECOND), 1).unwrap();
    assert!(host.sender.is_call_still_allowed(Timestamp(at), id, EndpointId(to)));
    assert!(!host.sender.is_call_still_allowed(Timestamp(start + 5 * SECOND), id, EndpointId(to)));
}

/// Guards against a retry that is scheduled within the deduplication window but written after it, because the
/// process pauses in between.
#[test]
fn a_retry_leaves_time_for_a_pause_of_the_process_before_the_write() {
    const PAUSE_US: u64 = 150_000;
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let (start, id) = (host.now, MessageId(1));
    host.submit(1, KEYED_BY_DESTINATION, 1);
    host.end_attempt(1, 0, Outcome::Reset);
    let (_, to) = first_send(&host.run_for(4 * SECOND), 1).unwrap();
    let is_allowed = |at| host.sender.is_call_still_allowed(Timestamp(at), id, EndpointId(to));
    let latest_allowed = start + 5 * SECOND - PAUSE_US;
    assert!(is_allowed(latest_allowed - 20_000));
    assert!(!is_allowed(latest_allowed));
}

/// Guards against losing the state of recovered messages: their attempts, what may have run, and their
/// ordering keys.
#[test]
fn recovered_messages_keep_their_attempts_windows_and_order() {
    let mut host = Host::new(
        Settings { completion_requires_acknowledgement: true, ..settings() },
        vec![entry(1, 0, 0, 0)],
    );
    let now = host.now;
    let recovered = |id, class, key, attempts, ran: Option<u64>, ended| {
        let Event::Message(message) = message_event(id, class, 1, key) else { unreachable!() };
        let ran = ran.map(|ago| (Timestamp(now - ago), ZoneId(0)));
        Event::Recovered(RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended })
    };
    let actions = host.step(&[
        recovered(1, NON_IDEMPOTENT, None, 1, Some(SECOND), false),
        recovered(2, KEYED_BY_DESTINATION, None, 1, Some(6 * SECOND), false),
        recovered(3, ORDERED, Some(9), 2, None, true),
        recovered(4, ORDERED, Some(9), 0, None, false),
        recovered(5, NON_IDEMPOTENT, None, 6, None, false),
        recovered(6, KEYED_BY_DESTINATION, None, 5, Some(SECOND), false),
    ]);
    let mut run = vec![];
    run.extend(actions.into_iter().map(|a| (now, a)));
    run.extend(host.run_for(3 * SECOND));
    assert!(is_failed(&run, 1) && first_send(&run, 1).is_none(), "it may have run");
    assert!(is_returned(&run, 2) && first_send(&run, 2).is_none(), "its deduplication window is over");
    assert!(
        first_send(&run, 4).is_none(),
        "the end of the previous message with its key is not acknowledged yet"
    );
    assert!(first_send(&run, 5).is_none(), "it has no attempts left");
    assert!(first_send(&run, 6).is_some());
    let mut run = host.step(&[Event::CompletionAcknowledged(MessageId(3))]);
    run.extend(host.run_for(SECOND).into_iter().map(|(_, a)| a));
    assert!(sent_to(&run, 4).is_some());
}

/// Guards against calls that the end of the process would interrupt.
#[test]
fn starts_no_call_that_may_outlast_the_process() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(1, IDEMPOTENT, 1);
    host.now += SECOND;
    host.end_attempt(1, 0, Outcome::Success);
    let end = Timestamp(host.now + 4 * SECOND);
    host.step(&[Event::Shutdown(end)]);
    assert!(sent_to(&host.submit(2, IDEMPOTENT, 1), 2).is_some());
    let at = DestinationId(1);
    assert!(
        host.sender.admits(Timestamp(host.now), 0, at) && !host.sender.admits(Timestamp(host.now), 100, at)
    );
    host.now = end.0 - SECOND / 2;
    assert_eq!(host.submit(3, IDEMPOTENT, 1), vec![]);
    assert!(!host.sender.admits(Timestamp(host.now), 0, at));
}

/// Guards against releasing an ordering key too early after a restart, while an attempt of the previous
/// process may still be running.
#[test]
fn the_ordering_hold_lasts_across_a_restart() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let begun = host.now;
    let recovered = |id, attempts, ran| {
        let Event::Message(message) = message_event(id, ORDERED, 1, Some(9)) else { unreachable!() };
        Event::Recovered(RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended: false })
    };
    let ran = Some((Timestamp(begun - SECOND), ZoneId(0)));
    let mut actions = host.step(&[recovered(1, 1, ran), recovered(2, 0, None)]);
    while sent_to(&actions, 1).is_none() {
        assert!(host.now < begun + 2 * SECOND, "the retry of the same message does not wait for the hold");
        host.now += 20_000;
        actions = host.step(&[Event::TimerFired]);
    }
    host.end_attempt(1, 1, Outcome::Success);
    let (at, _) = first_send(&host.run_for(4 * SECOND), 2).expect("the next message is sent");
    assert!(at >= begun + 2 * SECOND, "sent at {at}, before the end of the hold");
}
