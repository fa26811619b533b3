//! Regression tests for failures found in production incidents and by simulation.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

/// Submits `count` messages for destination `d`, 100 ms apart, and ends each attempt successfully.
fn warm_up(host: &mut Host, id: u32, class: ClassId, d: u64, count: u32) {
    for n in 0..count {
        let actions = host.submit(id + n, class, d);
        host.now += 100_000;
        if sent_to(&actions, id + n).is_some() {
            host.end_attempt(id + n, 0, Outcome::Success);
        }
    }
}

/// Returns the messages sent by `actions`.
fn sent_messages(actions: Vec<Action>) -> Vec<u32> {
    let calls = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message.0),
        _ => None,
    });
    calls.collect()
}

/// Guards against taking one call without an answer for an outage of a slow destination (incident if4aebe).
#[test]
fn keeps_sending_after_a_single_timeout() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 5);
    host.submit(50, IDEMPOTENT, 1);
    host.now += 3 * SECOND;
    host.end_attempt(50, 0, Outcome::TimedOut);
    let events: Vec<Event> = (60..63).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    assert_eq!(host.step(&events).len(), 3);
}

/// Guards against taking partial failures for an outage (incident i91fa18).
#[test]
fn partial_failures_delay_only_non_idempotent_messages() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 5);
    for (id, outcome) in (20..28).zip([Outcome::Reset, Outcome::Reset, Outcome::Success].into_iter().cycle())
    {
        host.submit(id, KEYED_BY_DESTINATION, 1);
        host.now += 50_000;
        host.step(&[attempt_ended(id, 0, outcome), Event::Cancelled(MessageId(id))]);
    }
    assert!(host.submit(40, NON_IDEMPOTENT, 1).is_empty());
    assert_eq!(sent_to(&host.submit(41, IDEMPOTENT, 1), 41), Some(0));
    // The failures are forgotten when they stop: the non-idempotent message is sent before it expires.
    host.end_attempt(41, 0, Outcome::Success);
    let run = host.run_for(15 * SECOND);
    assert!(first_send(&run, 40).is_some(), "{run:?}");
}

/// Guards against stopping calls to a healthy endpoint when another endpoint of its destination times out.
#[test]
fn uses_the_healthy_endpoint_when_another_one_times_out() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    warm_up(&mut host, 100, IDEMPOTENT, 1, 6);
    host.now += 100_000;
    let sends: Vec<Event> = (0..4).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    let actions = host.step(&sends);
    let on_first: Vec<u32> = (0..4).filter(|id| sent_to(&actions, *id) == Some(0)).collect();
    assert!(!on_first.is_empty() && on_first.len() < 4);
    host.now += 3 * SECOND;
    let outcomes: Vec<Event> = (0..4)
        .map(|id| {
            attempt_ended(id, 0, if on_first.contains(&id) { Outcome::TimedOut } else { Outcome::Success })
        })
        .collect();
    host.step(&outcomes);
    assert_eq!(sent_to(&host.submit(10, IDEMPOTENT, 1), 10), Some(1));
}

/// Guards against probing each endpoint of an unavailable shared destination separately: the probes of many
/// senders together broke the rule for slow start (incident i7311cc).
#[test]
fn probes_a_shared_destination_once_when_all_endpoints_are_down() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    let mut attempts = std::collections::BTreeMap::new();
    let mut sends = Vec::new();
    let mut submitted: Vec<u32> = Vec::new();
    for id in 0..40 {
        submitted.extend([id]);
        host.step(&[message_event(id, IDEMPOTENT, 1, None)]).iter().for_each(|a| {
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
            attempts.iter().map(|(id, n)| attempt_ended(*id, *n, Outcome::ConnectFailed)).collect();
        let before = std::mem::take(&mut attempts);
        for action in host.step(&events) {
            if let Action::Send { message, .. } = action {
                attempts.insert(message.0, before.get(&message.0).map_or(0, |n| n + 1));
                sends.push(host.now);
            }
        }
        // The count of attempts restarts for a message that was not in flight; outcomes with a wrong number
        // are ignored.
        assert!(host.now < start + 4 * SECOND || attempts.len() <= 1, "at most one call in flight");
    }
    assert!(sends.iter().filter(|at| **at > start + 4 * SECOND).count() <= 8);
}

/// Guards against overloading a recovering destination with the backlog: at a low call rate each endpoint
/// fails only once, so that no single endpoint counts as down and the outage of the destination is missed.
#[test]
fn detects_an_outage_when_calls_fail_at_each_endpoint_in_turn() {
    for outcome in [Outcome::TimedOut, Outcome::Failure] {
        let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0), entry(1, 2, 0, 0)];
        let mut host = Host::new(settings(), list);
        let failures = if outcome == Outcome::TimedOut { 3 } else { 4 };
        let mut endpoints = std::collections::BTreeSet::new();
        for id in 0..failures {
            host.now += 3 * SECOND;
            endpoints.extend(sent_to(&host.submit(id, NON_IDEMPOTENT, 1), id));
            host.now += 3 * SECOND;
            host.end_attempt(id, 0, outcome);
        }
        assert_eq!(endpoints.len(), 3, "each of the 3 endpoints is called: {endpoints:?}");
        // One probe is sent, and no other call.
        let backlog: Vec<Event> = (10..30).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
        let mut probes = sent_messages(host.step(&backlog));
        probes.extend(
            host.run_for(10 * SECOND).into_iter().flat_map(|(_, action)| sent_messages(vec![action])),
        );
        assert_eq!(probes.len(), 1, "{outcome:?}: exactly one probe");
        let probe = probes[0];
        // After its answer, slow start allows a fifth of the known capacity, not the whole backlog.
        let mut in_flight = sent_messages(host.end_attempt(probe, 0, Outcome::Success));
        let mut sends = in_flight.len();
        let end = host.now + settings().rules.overload_window.0;
        while host.now < end {
            host.now += 50_000;
            let answered: Vec<Event> =
                in_flight.iter().map(|id| attempt_ended(*id, 0, Outcome::Success)).collect();
            in_flight = sent_messages(host.step(&answered));
            sends += in_flight.len();
        }
        assert!(sends <= 2, "{outcome:?}: {sends} calls within the overload window, expected at most 2");
    }
}

/// Guards against reporting an outage of a destination while one of its endpoints has not failed.
#[test]
fn keeps_sending_to_the_endpoint_that_has_not_failed() {
    let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)];
    let mut host = Host::new(settings(), list);
    // A zone-scoped key binds the retry to the zone of the first attempt, so both attempts time out at one
    // endpoint.
    let first = sent_to(&host.submit(0, KEYED_BY_ZONE, 1), 0).unwrap();
    host.now += SECOND;
    host.end_attempt(0, 0, Outcome::TimedOut);
    let again = first_send(&host.run_for(2 * SECOND), 0).expect("a second attempt").1;
    assert_eq!(first, again);
    host.now += SECOND;
    host.end_attempt(0, 1, Outcome::TimedOut);
    let backlog: Vec<Event> = (10..13).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    let actions = host.step(&backlog);
    let on_other = (10..13).filter(|id| sent_to(&actions, *id) == Some(1 - first)).count();
    assert_eq!(on_other, 3, "all are sent to the other endpoint: {actions:?}");
}

/// Guards against a backoff of seconds after a rejection although the endpoint reported its limit.
#[test]
fn resumes_at_the_reported_limit_after_a_rejection() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(1, IDEMPOTENT, 1);
    let report = Some(LoadReport { remaining_share: 0.0, limit_per_second: 20.0 });
    let Event::AttemptEnded { message, attempt, outcome, elapsed, completes: last, .. } =
        attempt_ended(1, 0, Outcome::Rejected { retry_after: None })
    else {
        unreachable!()
    };
    host.step(&[Event::AttemptEnded { message, attempt, outcome, elapsed, completes: last, report }]);
    let run = host.run_for(SECOND);
    assert!(
        first_send(&run, 1).is_some(),
        "the pace is half of the equal share of 20 per second, 5 per second"
    );
}

/// Guards against a timeout that grows without bound with the learned latency (incident idc117d).
#[test]
fn bounds_the_timeout_when_answers_are_slow() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    for id in 0..10 {
        host.submit(id, IDEMPOTENT, 1);
        host.now += if id % 2 == 0 { 4 * SECOND } else { SECOND };
        host.end_attempt(id, 0, Outcome::Success);
    }
    let actions = host.submit(50, IDEMPOTENT, 1);
    let [Action::Send { expires, .. }] = actions[..] else { panic!("{actions:?}") };
    assert!(expires.0 <= host.now + 5 * SECOND);
}

/// Guards against sending calls on dead idle connections after a timeout (incidents i693fa0, i779a0d), until
/// calls have succeeded for a while.
#[test]
fn closes_long_idle_connections_after_a_timeout() {
    let closes_before_send = |actions: &[Action], e: u32| {
        let close = actions.iter().position(|a| *a == Action::CloseIdleConnections(EndpointId(e)));
        let send = actions.iter().position(|a| matches!(a, Action::Send { .. }));
        close.is_some() && (send.is_none() || close < send)
    };
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0), entry(2, 1, 1, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 3);
    warm_up(&mut host, 10, IDEMPOTENT, 2, 3);
    host.now += 2 * SECOND;
    assert!(
        !closes_before_send(&host.step_unfiltered(&[message_event(20, IDEMPOTENT, 2, None)]), 1),
        "idle connections are reused before any timeout"
    );
    host.now += 100_000;
    host.end_attempt(20, 0, Outcome::Success);
    host.step_unfiltered(&[message_event(30, IDEMPOTENT, 1, None)]);
    host.now += 3 * SECOND;
    assert!(
        closes_before_send(&host.step_unfiltered(&[attempt_ended(30, 0, Outcome::TimedOut)]), 0),
        "closed after the timeout"
    );
    assert!(
        closes_before_send(&host.step_unfiltered(&[message_event(31, IDEMPOTENT, 2, None)]), 1),
        "closed before use after being idle for as long"
    );
    host.now += 100_000;
    host.end_attempt(31, 0, Outcome::Success);
    assert!(
        !closes_before_send(&host.step_unfiltered(&[message_event(32, IDEMPOTENT, 2, None)]), 1),
        "just used, so kept"
    );
    host.now += 100_000;
    host.end_attempt(32, 0, Outcome::Success);
    host.run_for(30 * SECOND);
    host.now += SECOND;
    host.step_unfiltered(&[message_event(33, IDEMPOTENT, 2, None)]);
    host.now += 100_000;
    host.end_attempt(33, 0, Outcome::Success);
    host.now += 3 * SECOND;
    assert!(
        !closes_before_send(&host.step_unfiltered(&[message_event(34, IDEMPOTENT, 2, None)]), 1),
        "reused again after successful calls"
    );
}

/// Guards against delaying non-idempotent messages after a single failure.
#[test]
fn delays_non_idempotent_messages_only_after_consecutive_failures() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let mut is_delayed_after = |id: u32, failures: u32| {
        for n in id..id + failures {
            host.now += SECOND / 10;
            assert!(sent_to(&host.submit(n, NON_IDEMPOTENT, 1), n).is_some());
            host.now += SECOND / 10;
            host.end_attempt(n, 0, Outcome::Reset);
        }
        let probe = id + failures;
        let is_delayed = sent_to(&host.submit(probe, NON_IDEMPOTENT, 1), probe).is_none();
        host.now += SECOND / 10;
        host.end_attempt(probe, 0, Outcome::Success);
        is_delayed
    };
    assert!(!is_delayed_after(1, 1));
    assert!(!is_delayed_after(10, 1));
    assert!(!is_delayed_after(20, 1));
    assert!(is_delayed_after(30, 2));
}

/// Guards against a few unanswered calls that occupy all slots. The shorter timeout also applies to
/// non-idempotent messages.
#[test]
fn shortens_timeouts_when_few_slots_are_free() {
    let list = (1..=8).map(|d| entry(d, d as u32, 0, 0)).collect();
    let mut host = Host::new(settings(), list);
    for d in 1..=8 {
        for n in 0..20 {
            let id = d as u32 * 100 + n;
            host.submit(id, NON_IDEMPOTENT, d);
            host.now += SECOND / 10;
            host.end_attempt(id, 0, Outcome::Success);
        }
    }
    let mut timeouts = Vec::new();
    for d in 1..=8 {
        let actions = host.submit(d as u32, NON_IDEMPOTENT, d);
        let expires = actions.iter().find_map(|a| match a {
            Action::Send { expires, .. } => Some(expires.0 - host.now),
            _ => None,
        });
        timeouts.push(expires.unwrap());
    }
    let latency_objective = settings().classes[NON_IDEMPOTENT.0].latency_objective.0;
    assert!(timeouts[..6].iter().all(|timeout| *timeout > 2 * latency_objective), "{timeouts:?}");
    assert!(timeouts[6..].iter().all(|timeout| *timeout < latency_objective), "{timeouts:?}");
}

/// Guards against resending a message without a backoff when it was in flight as its process was killed.
#[test]
fn a_recovered_message_waits_for_the_backoff_of_its_attempts() {
    for (attempts, least, most) in [(0, 0, 30_000), (1, 250_000, 410_000), (3, 1_000_000, 1_160_000)] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
        let Event::Message(message) = message_event(5, KEYED_BY_DESTINATION, 1, None) else {
            panic!("expected a message event")
        };
        let began = host.now;
        let ran = (attempts > 0).then_some((Timestamp(began - 100_000), ZoneId(0)));
        let recovered = RecoveredMessage { message, attempts, first_uncertain_attempt: ran, ended: false };
        let first_actions = host.step(&[Event::Recovered(recovered)]);
        let sent = match sent_to(&first_actions, 5) {
            Some(_) => began,
            None => first_send(&host.run_for(3 * SECOND), 5).expect("the message is sent again").0,
        };
        let delay = sent - began;
        assert!((least..=most).contains(&delay), "{attempts} attempts: {delay} us");
    }
}

/// Sends one message every 100 ms, `count` in all, and returns how many calls are made in the first `window`
/// microseconds. Each call succeeds after 150 ms.
fn calls_of_a_burst(host: &mut Host, first: u32, count: u32, window: u64) -> usize {
    let burst: Vec<Event> = (first..first + count).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    let end = host.now + window;
    let mut in_flight: Vec<(u64, u32)> = Vec::new();
    let (mut events, mut calls) = (burst, 0);
    while host.now < end {
        let sent = sent_messages(host.step(&events));
        calls += sent.len();
        in_flight.extend(sent.into_iter().map(|id| (host.now + 150_000, id)));
        host.now += 10_000;
        let (ended, running) = in_flight.into_iter().partition(|(due, _)| *due <= host.now);
        in_flight = running;
        events =
            ended.into_iter().map(|(_, id): (u64, u32)| attempt_ended(id, 0, Outcome::Success)).collect();
    }
    calls
}

/// What the destination of `calls_of_a_burst` bears within an overload window right after an outage, if it
/// takes 4 calls a second when warm: N + 3 x root of N + 3, with N = 0.2 x 2 x 4 x 1.5.
const COLD_CALLS: usize = 10;

/// Guards against pushing over a quiet destination that returns from an outage of which this sender has seen
/// one call fail or be refused (review/10).
#[test]
fn a_burst_after_a_single_failure_in_an_outage_is_a_slow_start() {
    let outcomes = [
        Outcome::TimedOut,
        Outcome::Failure,
        Outcome::Reset,
        Outcome::ConnectFailed,
        Outcome::Rejected { retry_after: None },
        Outcome::Rejected { retry_after: Some(TimeDelta(300_000)) },
    ];
    for outcome in outcomes {
        for kind in [0, 1] {
            let mut host = Host::new(settings(), vec![entry(1, 0, kind, 0)]);
            warm_up(&mut host, 0, IDEMPOTENT, 1, 10);
            host.now += 10 * SECOND;
            assert!(sent_to(&host.submit(50, NON_IDEMPOTENT, 1), 50).is_some());
            host.now += 100_000;
            host.step(&[attempt_ended(50, 0, outcome), Event::Cancelled(MessageId(50))]);
            host.now += 8 * SECOND;
            let calls = calls_of_a_burst(&mut host, 100, 30, 1_500_000);
            assert!(calls <= COLD_CALLS, "{outcome:?}, kind {kind}: {calls} calls");
            // The limit holds until the slow start after the first success is over.
            host.now += 5 * SECOND;
            let calls = calls_of_a_burst(&mut host, 200, 30, 1_500_000);
            assert!(calls <= 2 * COLD_CALLS, "{outcome:?}, kind {kind}: {calls} calls after 5 s");
        }
    }
}

/// Guards against a process that forgets at a restart that its last call to a destination failed.
#[test]
fn a_failure_binds_a_restored_route() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 10);
    host.now += 10 * SECOND;
    host.submit(50, NON_IDEMPOTENT, 1);
    host.now += 5 * SECOND;
    host.end_attempt(50, 0, Outcome::TimedOut);
    let stored = host.sender.route_snapshots(EndpointId(0));
    for restart_after in [SECOND, 30 * SECOND] {
        let mut restarted = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
        let (written_at, now) = (Timestamp(host.now), Timestamp(host.now + restart_after));
        restarted.now = now.0;
        let aged = stored.clone().map(|route| Some(route?.aged(written_at, now, 1.0, &settings())));
        restarted.sender.restore_routes(EndpointId(0), aged);
        restarted.now += SECOND;
        let calls = calls_of_a_burst(&mut restarted, 100, 30, 1_500_000);
        assert!(calls <= COLD_CALLS, "{calls} calls, restarted after {restart_after} us");
    }
}

/// Guards against a process that hands over, or ends, while its only call to a destination hangs, and whose
/// successor does not know of it.
#[test]
fn an_overdue_call_of_an_ended_process_binds_a_restored_route() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 10);
    host.now += 10 * SECOND;
    host.submit(50, NON_IDEMPOTENT, 1);
    host.now += 3 * SECOND;
    host.step(&[Event::Handover(Timestamp(host.now))]);
    let handed_over = host.sender.route_snapshots(EndpointId(0));
    let mut successor = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    successor.now = host.now + SECOND;
    successor.sender.restore_routes(EndpointId(0), handed_over);
    let calls = calls_of_a_burst(&mut successor, 100, 30, 1_500_000);
    assert!(calls <= COLD_CALLS, "{calls} calls");
}

/// Guards against a slow start after a failure between two successes that follow each other closely, as the
/// destination cannot have had an outage.
#[test]
fn a_failure_among_successes_starts_no_slow_start() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 1, 0)]);
    warm_up(&mut host, 0, IDEMPOTENT, 1, 20);
    host.submit(50, NON_IDEMPOTENT, 1);
    host.now += 100_000;
    host.end_attempt(50, 0, Outcome::Reset);
    warm_up(&mut host, 60, IDEMPOTENT, 1, 1);
    let burst: Vec<Event> = (70..74).map(|id| message_event(id, IDEMPOTENT, 1, None)).collect();
    assert_eq!(host.step(&burst).len(), 4);
}
