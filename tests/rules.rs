//! Each rule from both sides, and the outcomes by kind of message.
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

/// What follows one outcome of a first attempt: sent again (to which endpoint), refused, failed.
fn after(class: ClassId, outcome: Outcome) -> (Option<u32>, bool, bool) {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent(&host.message(7, class, 1), 7), Some(0));
    host.now += 100_000;
    let mut run: Vec<_> = host.ended(7, 0, outcome).into_iter().map(|a| (host.now, a)).collect();
    run.extend(host.run(4 * SECOND));
    (sent_at(&run, 7).map(|(_, e)| e), refused(&run, 7), failed(&run, 7))
}

#[test]
fn what_never_ran_is_sent_again_whatever_its_kind() {
    for class in [SAFE, KEYED_ALL, KEYED_ZONE, UNSAFE] {
        for outcome in NEVER_RAN {
            let (again, refused, failed) = after(class, outcome);
            assert!(again.is_some() && !refused && !failed, "{class:?} {outcome:?}");
        }
    }
}

#[test]
fn what_may_have_run_is_repeated_as_its_kind_permits() {
    for outcome in MAY_HAVE_RUN {
        for class in [SAFE, KEYED_ALL] {
            assert!(after(class, outcome).0.is_some(), "{class:?} {outcome:?}");
        }
        assert_eq!(after(KEYED_ZONE, outcome).0, Some(0), "only the zone of the first: {outcome:?}");
        assert_eq!(after(UNSAFE, outcome), (None, false, true), "{outcome:?}");
    }
}

#[test]
fn a_zone_key_waits_for_its_zone_then_fails() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    host.message(7, KEYED_ZONE, 1);
    host.now += 100_000;
    host.ended(7, 0, Outcome::Failure);
    host.step(&[Event::EndpointUpdates(vec![EndpointEntry {
        state: EndpointState::Removed,
        ..entry(1, 0, 0, 0)
    }])]);
    let run = host.run(6 * SECOND);
    assert!(sent_at(&run, 7).is_none() && failed(&run, 7) && !refused(&run, 7));
}

#[test]
fn the_window_counts_from_the_first_attempt_that_may_have_run() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.message(7, KEYED_ALL, 1);
    let first = host.now;
    let mut attempt = 0;
    let mut last_sent = first;
    let mut over = false;
    host.now += 1_000_000;
    let mut pending = Some(ended(7, 0, Outcome::TimedOut));
    while host.now < first + 8 * SECOND {
        for action in host.step(pending.take().as_slice()) {
            match action {
                Action::Send { .. } => {
                    attempt += 1;
                    last_sent = host.now;
                    pending = Some(ended(7, attempt, Outcome::Failure));
                }
                Action::Return { .. } => over = true,
                other => panic!("{other:?}"),
            }
        }
        host.now += 20_000;
    }
    assert!(attempt > 0 && over, "repeated inside, refused (the group is all) after");
    assert!(last_sent < first + 5 * SECOND);
}

#[test]
fn a_message_is_ended_before_its_time_and_once() {
    for list in [vec![], vec![EndpointEntry { state: EndpointState::Draining, ..entry(1, 0, 0, 0) }]] {
        let mut host = Host::new(settings(), list);
        let taken = host.now;
        assert!(host.message(7, UNSAFE, 1).is_empty());
        let run = host.run(20 * SECOND);
        let ends: Vec<_> =
            run.iter().filter(|(_, a)| matches!(a, Action::Return { message: MessageId(7), .. })).collect();
        assert_eq!(run.len(), ends.len());
        assert_eq!(ends.len(), 1);
        assert!(ends[0].0 < taken + 16 * SECOND && ends[0].0 > taken + 15 * SECOND);
    }
}

#[test]
fn an_attempt_expires_before_the_deadline_and_its_timeout_is_answered() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let expires = |actions: &[Action]| match actions {
        [Action::Send { expires, .. }] => expires.0,
        other => panic!("{other:?}"),
    };
    let Event::Message(message) = message(7, UNSAFE, 1, None) else { unreachable!() };
    let short = Message { time_to_live: TimeDelta(300_000), ..message };
    let at = expires(&host.step(&[Event::Message(short)]));
    assert!(at > host.now && at < host.now + 300_000);
    host.now += 295_000;
    assert_eq!(host.ended(7, 0, Outcome::TimedOut), vec![Action::Fail(MessageId(7))]);
    assert!(host.run(SECOND).is_empty());
}

#[test]
fn a_told_wait_stops_a_shared_destination_but_only_the_route_apart() {
    for (kind, other_goes) in [(0, false), (1, true)] {
        let mut host = Host::new(settings(), vec![entry(1, 0, kind, 0), entry(1, 1, kind, 1)]);
        assert_eq!(sent(&host.message(7, SAFE, 1), 7), Some(0));
        host.ended(7, 0, Outcome::Rejected { retry_after: Some(TimeDelta(2 * SECOND)) });
        let told = host.now;
        let mut run: Vec<_> = host.message(8, SAFE, 1).into_iter().map(|a| (host.now, a)).collect();
        run.extend(host.run(4 * SECOND));
        let (at, endpoint) = sent_at(&run, 8).unwrap();
        assert_eq!(other_goes, at < told + 2 * SECOND);
        assert_eq!(other_goes, endpoint == 1);
        let (at, endpoint) = sent_at(&run, 7).unwrap();
        assert!(at >= told + 2 * SECOND || (other_goes && endpoint == 1));
    }
}

#[test]
fn each_message_of_a_batch_may_be_told_a_wait_and_the_longest_holds() {
    let mut s = settings();
    s.kinds[0].max_batch_size = 2;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0)]);
    let sends = host.step(&[message(1, SAFE, 1, None), message(2, SAFE, 1, None)]);
    assert_eq!(sends.len(), 2);
    let told = host.now;
    host.step(&[
        ended(1, 0, Outcome::Rejected { retry_after: Some(TimeDelta(300_000)) }),
        ended(2, 0, Outcome::Rejected { retry_after: Some(TimeDelta(400_000)) }),
    ]);
    let run = host.run(8 * SECOND);
    assert!(sent_at(&run, 1).unwrap().0 >= told + 400_000);
}

#[test]
fn nothing_new_goes_to_what_drains_or_is_gone() {
    for listing in [EndpointState::Draining, EndpointState::Removed] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
        host.step(&[Event::EndpointUpdates(vec![EndpointEntry { state: listing, ..entry(1, 0, 0, 0) }])]);
        assert_eq!(sent(&host.message(7, SAFE, 1), 7), Some(1), "at once, inside the grace already");
        host.now += 2 * SECOND;
        assert_eq!(sent(&host.message(8, SAFE, 1), 8), Some(1));
        // A whole list without it says the same.
        host.step(&[Event::EndpointSnapshot(vec![entry(1, 0, 0, 0)])]);
        assert_eq!(sent(&host.message(9, SAFE, 1), 9), Some(0));
    }
}

#[test]
fn ordered_messages_go_one_at_a_time_and_settle() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let events =
        [message(1, ORDERED, 1, Some(5)), message(2, ORDERED, 2, Some(5)), message(3, ORDERED, 2, Some(6))];
    let first = host.step(&events);
    assert!(sent(&first, 1).is_some() && sent(&first, 2).is_none() && sent(&first, 3).is_some());
    host.now += 100_000;
    let next = host.ended(1, 0, Outcome::Success);
    assert!(sent(&next, 2).is_some(), "nothing to settle after a success");
    host.step(&[message(4, ORDERED, 1, Some(5))]);
    host.now += 100_000;
    host.step(&[ended(2, 0, Outcome::TimedOut)]);
    let timed_out = host.now;
    // The head's own further tries do not wait for the settling; the next of its key does.
    let run = host.run(SECOND);
    assert!(sent_at(&run, 2).is_some() && sent_at(&run, 4).is_none());
    host.ended(2, 1, Outcome::Success);
    let run = host.run(3 * SECOND);
    assert!(sent_at(&run, 4).unwrap().0 >= timed_out + 2 * SECOND);
}

#[test]
fn a_failing_head_does_not_starve_the_rest_of_its_key() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    host.step(&[message(1, ORDERED, 9, Some(5)), message(2, ORDERED, 2, Some(5))]);
    let run = host.run(17 * SECOND);
    assert!(refused(&run, 1) && refused(&run, 2), "both end in time");
    host.step(&[Event::Cancelled(MessageId(77))]);
    assert!(sent(&host.step(&[message(3, ORDERED, 2, Some(5))]), 3).is_some());
}

#[test]
fn a_withdrawn_head_keeps_its_key_while_its_attempt_is_out() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.step(&[message(1, ORDERED, 1, Some(5)), message(2, ORDERED, 1, Some(5))]);
    assert!(host.step(&[Event::Cancelled(MessageId(1))]).is_empty());
    let next = host.ended(1, 0, Outcome::Success);
    assert!(sent(&next, 2).is_some());
}

#[test]
fn a_returning_destination_gets_a_trickle_that_grows() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    // Traffic of 20 a second, then an outage until second 20, then the return.
    let mut id = 0;
    let mut out: Vec<(u64, u32, u32)> = Vec::new();
    let mut tries = std::collections::BTreeMap::new();
    let start = host.now;
    let mut sends = Vec::new();
    let mut first_success = None;
    while host.now < start + 45 * SECOND {
        let mut events = Vec::new();
        let t = host.now - start;
        let down = (10 * SECOND..20 * SECOND).contains(&t);
        out.retain(|(due, m, attempt)| {
            if *due > host.now {
                return true;
            }
            events.push(ended(*m, *attempt, if down { Outcome::ConnectFailed } else { Outcome::Success }));
            if !down && t >= 20 * SECOND && first_success.is_none() {
                first_success = Some(host.now);
            }
            false
        });
        if t % 50_000 == 0 {
            id += 1;
            events.push(message(id, SAFE, 1, None));
        }
        for action in host.step(&events) {
            if let Action::Send { message, .. } = action {
                let attempt = tries.entry(message).and_modify(|n| *n += 1).or_insert(0u32);
                out.push((host.now + 100_000, message.0, *attempt));
                sends.push(host.now);
            }
        }
        host.now += 10_000;
    }
    let count = |from: u64, to: u64| sends.iter().filter(|at| (from..to).contains(*at)).count();
    let back = first_success.expect("it was tried again");
    let dark = count(start + 12 * SECOND, back);
    assert!(dark <= 14, "{dark} sends into the outage");
    // Capacity is 20 a second at least; cold share 0.2, factor 2, over 1.5 s: at most 12 may arrive.
    assert!(count(back, back + 1_500_000) <= 12);
    assert!(count(back + 7 * SECOND, back + 9 * SECOND) > count(back, back + 2 * SECOND));
}

#[test]
fn slots_and_turns() {
    let mut s = settings();
    s.max_concurrent_calls = 4;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let mut events: Vec<Event> = (0..6).map(|id| message(id, SAFE, 1, None)).collect();
    events.push(message(10, SAFE, 2, None));
    let actions = host.step(&events);
    assert_eq!(actions.len(), 3, "half the slots for one destination, and the other's turn");
    assert!(sent(&actions, 10).is_some());
}

#[test]
fn the_list_is_asked_for_again_after_a_failure() {
    let mut s = settings();
    s.discovery = DiscoveryMode::Poll;
    let mut host = Host { sender: DeliveryEngine::new(s, 1).unwrap(), now: SECOND };
    assert_eq!(host.step(&[Event::EndpointSnapshot(vec![])]), vec![Action::WatchEndpoints]);
    assert!(host.run(SECOND).is_empty(), "once is enough while it holds");
    assert!(host.step(&[Event::DiscoveryFailed]).is_empty(), "not at once");
    let run = host.run(5 * SECOND);
    assert_eq!(run.iter().filter(|(_, a)| *a == Action::WatchEndpoints).count(), 1);
}

#[test]
fn a_restart_with_a_stale_list_finds_the_live_endpoint() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent(&host.message(7, UNSAFE, 1), 7), Some(0));
    host.now += SECOND;
    let mut attempt = 0;
    let mut run: Vec<_> =
        host.ended(7, 0, Outcome::ConnectFailed).into_iter().map(|a| (host.now, a)).collect();
    for _ in 0..5 {
        run.extend(host.run(3 * SECOND));
        match sent_at(&run, 7) {
            Some((_, 1)) => return,
            Some(_) => {
                attempt += 1;
                run = host
                    .ended(7, attempt, Outcome::ConnectFailed)
                    .into_iter()
                    .map(|a| (host.now, a))
                    .collect();
            }
            None => {}
        }
    }
    panic!("never tried the other endpoint");
}

#[test]
fn unusable_settings_are_named() {
    let refuse = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        DeliveryEngine::new(s, 1).err().expect("refused").to_string()
    };
    assert!(refuse(|s| s.classes.clear()).contains("classes"));
    assert!(refuse(|s| s.max_concurrent_calls = 0).contains("slots"));
    assert!(refuse(|s| s.kinds.clear()).contains("kinds"));
}

#[test]
fn events_of_ended_messages_are_ignored() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.message(7, SAFE, 1);
    host.ended(7, 0, Outcome::Success);
    assert!(host.ended(7, 0, Outcome::Failure).is_empty());
    assert!(host.step(&[Event::Cancelled(MessageId(7))]).is_empty());
}

#[test]
fn what_the_settings_do_not_name_is_no_panic() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 9, 0)]);
    assert_eq!(
        host.message(7, ClassId(99), 1),
        vec![Action::Return { message: MessageId(7), retry_after: None }]
    );
    assert!(host.message(8, SAFE, 1).is_empty(), "an endpoint of an unknown kind is not used");
}

#[test]
fn room_for_one_message_is_room() {
    let mut s = settings();
    s.max_pending_messages = 1;
    let mut host = Host::new(s, vec![entry(1, 0, 0, 0)]);
    assert!(sent(&host.message(7, SAFE, 1), 7).is_some());
}

/// Guards against a call that goes out too late: connecting can outlast what let the call through.
#[test]
fn a_held_up_call_begins_only_while_it_may() {
    let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0)];
    let mut host = Host::new(settings(), list);
    let first = sent(&host.message(1, KEYED_ALL, 1), 1).unwrap();
    let (id, to) = (MessageId(1), EndpointId(first));
    assert!(host.sender.is_call_still_allowed(Timestamp(host.now), id, to));
    host.step(&[Event::RetryAfter { endpoint: to, wait: TimeDelta(SECOND) }]);
    assert!(!host.sender.is_call_still_allowed(Timestamp(host.now + SECOND - 1), id, to));
    assert!(host.sender.is_call_still_allowed(Timestamp(host.now + SECOND), id, to));
    let drains = EndpointEntry { state: EndpointState::Draining, ..entry(1, first, 0, 0) };
    host.step(&[Event::EndpointUpdates(vec![drains])]);
    assert!(!host.sender.is_call_still_allowed(Timestamp(host.now + SECOND), id, to));
    // After an attempt that may have run, only inside the window from its sending.
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let start = host.now;
    host.message(1, KEYED_ALL, 1);
    host.ended(1, 0, Outcome::Reset);
    let (at, to) = sent_at(&host.run(4 * SECOND), 1).unwrap();
    assert!(host.sender.is_call_still_allowed(Timestamp(at), id, EndpointId(to)));
    assert!(!host.sender.is_call_still_allowed(Timestamp(start + 5 * SECOND), id, EndpointId(to)));
}

/// Guards against a repeat that is decided on within the window and written after it: the process may be held up for 0.15 s in
/// between.
#[test]
fn a_repeat_leaves_room_for_a_write_that_is_held_up() {
    const HELD_UP: u64 = 150_000;
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let (start, id) = (host.now, MessageId(1));
    host.message(1, KEYED_ALL, 1);
    host.ended(1, 0, Outcome::Reset);
    let (_, to) = sent_at(&host.run(4 * SECOND), 1).unwrap();
    let is_allowed = |at| host.sender.is_call_still_allowed(Timestamp(at), id, EndpointId(to));
    let last_safe = start + 5 * SECOND - HELD_UP;
    assert!(is_allowed(last_safe - 20_000));
    assert!(!is_allowed(last_safe));
}

/// Guards against taking a restart for a new beginning: attempts, effects and keys of the process before.
#[test]
fn a_resumed_message_goes_on_where_it_was() {
    let mut host = Host::new(
        Settings { completion_requires_acknowledgement: true, ..settings() },
        vec![entry(1, 0, 0, 0)],
    );
    let now = host.now;
    let resumed = |id, class, key, attempts, ran: Option<u64>, ended| {
        let Event::Message(message) = message(id, class, 1, key) else { unreachable!() };
        let ran = ran.map(|ago| (Timestamp(now - ago), ZoneId(0)));
        Event::Recovered(RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended })
    };
    let actions = host.step(&[
        resumed(1, UNSAFE, None, 1, Some(SECOND), false),
        resumed(2, KEYED_ALL, None, 1, Some(6 * SECOND), false),
        resumed(3, ORDERED, Some(9), 2, None, true),
        resumed(4, ORDERED, Some(9), 0, None, false),
        resumed(5, UNSAFE, None, 6, None, false),
        resumed(6, KEYED_ALL, None, 5, Some(SECOND), false),
    ]);
    let mut run = vec![];
    run.extend(actions.into_iter().map(|a| (now, a)));
    run.extend(host.run(3 * SECOND));
    assert!(failed(&run, 1) && sent_at(&run, 1).is_none(), "it may have run");
    assert!(refused(&run, 2) && sent_at(&run, 2).is_none(), "its window is over");
    assert!(sent_at(&run, 4).is_none(), "the end before it on its key is not noticed yet");
    assert!(sent_at(&run, 5).is_none(), "it has had all its attempts");
    assert!(sent_at(&run, 6).is_some());
    let mut run = host.step(&[Event::CompletionAcknowledged(MessageId(3))]);
    run.extend(host.run(SECOND).into_iter().map(|(_, a)| a));
    assert!(sent(&run, 4).is_some());
}

/// Guards against calls that the end of the process would break off.
#[test]
fn winding_down_begins_no_call_that_cannot_end() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.message(1, SAFE, 1);
    host.now += SECOND;
    host.ended(1, 0, Outcome::Success);
    let end = Timestamp(host.now + 4 * SECOND);
    host.step(&[Event::Shutdown(end)]);
    assert!(sent(&host.message(2, SAFE, 1), 2).is_some());
    let at = DestinationId(1);
    assert!(
        host.sender.admits(Timestamp(host.now), 0, at) && !host.sender.admits(Timestamp(host.now), 100, at)
    );
    host.now = end.0 - SECOND / 2;
    assert_eq!(host.message(3, SAFE, 1), vec![]);
    assert!(!host.sender.admits(Timestamp(host.now), 0, at));
}

/// Guards against a key that is free too soon after a restart: what may still run of the process before is waited for.
#[test]
fn a_key_rests_over_a_restart() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let begun = host.now;
    let resumed = |id, attempts, ran| {
        let Event::Message(message) = message(id, ORDERED, 1, Some(9)) else { unreachable!() };
        Event::Recovered(RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended: false })
    };
    let ran = Some((Timestamp(begun - SECOND), ZoneId(0)));
    let mut actions = host.step(&[resumed(1, 1, ran), resumed(2, 0, None)]);
    while sent(&actions, 1).is_none() {
        assert!(host.now < begun + 2 * SECOND, "its own next attempt need not wait");
        host.now += 20_000;
        actions = host.step(&[Event::TimerFired]);
    }
    host.ended(1, 1, Outcome::Success);
    let (at, _) = sent_at(&host.run(4 * SECOND), 2).expect("it goes on");
    assert!(at >= begun + 2 * SECOND, "{at}");
}
