//! Regression tests for failures of fleets of hundreds of senders with a low message rate each.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod common;
use common::*;
use micadrum::*;

fn many_senders() -> Settings {
    Settings { fleet_size: 300, max_concurrent_calls: 4, ..settings() }
}

fn step_unfiltered(host: &mut Host, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    host.sender.step(Timestamp(host.now), events, &mut actions);
    actions
}

fn closes_connections(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_)))
}

/// Submits a message, fails its connection after `elapsed` microseconds and cancels the message. Returns all
/// actions.
fn fail_connection(host: &mut Host, id: u32, elapsed: u64) -> Vec<Action> {
    host.submit(id, IDEMPOTENT, 1);
    host.now += elapsed;
    let outcome = Outcome::ConnectFailed;
    let (message, elapsed) = (MessageId(id), TimeDelta(elapsed));
    let failed =
        Event::AttemptEnded { message, attempt: 0, outcome, elapsed, completes: false, report: None };
    step_unfiltered(host, &[failed, Event::Cancelled(message)])
}

/// Guards against idle connections of hundreds of senders that fill the connection table of an endpoint.
#[test]
fn closes_connections_after_use_while_endpoints_refuse_new_ones() {
    let mut host = Host::new(many_senders(), vec![entry(1, 0, 1, 0), entry(1, 1, 1, 0)]);
    let closes_after_answer = |host: &mut Host, id: u32| {
        assert!(sent_to(&host.submit(id, IDEMPOTENT, 1), id).is_some());
        host.now += 100_000;
        let actions = step_unfiltered(host, &[attempt_ended(id, 0, Outcome::Success)]);
        host.now += 5 * SECOND;
        closes_connections(&actions)
    };
    assert!(!closes_after_answer(&mut host, 1), "kept while connections succeed");
    fail_connection(&mut host, 2, 50_000);
    host.now += 5 * SECOND;
    assert!(closes_after_answer(&mut host, 3), "closed after use once a connection has failed");
    assert!(
        (10..60).any(|id| !closes_after_answer(&mut host, id)),
        "kept again after connections have succeeded"
    );
}

/// Guards against retries of hundreds of senders to a recovering destination (incident ia592bc). A quickly
/// refused connection does not indicate an outage: the connection table of the endpoint may be full.
#[test]
fn a_connect_timeout_blocks_an_unknown_route_but_a_refused_connection_does_not() {
    for (elapsed, is_sent) in [(50_000, true), (SECOND, false)] {
        let mut host = Host::new(many_senders(), vec![entry(1, 0, 1, 0)]);
        fail_connection(&mut host, 1, elapsed);
        assert_eq!(
            sent_to(&host.submit(2, IDEMPOTENT, 1), 2).is_some(),
            is_sent,
            "connection failed after {elapsed} us"
        );
    }
}

/// Guards against probe intervals of minutes that grow with the number of senders.
#[test]
fn probes_a_blocked_route_within_30_s_in_a_large_fleet() {
    let mut host = Host::new(many_senders(), vec![entry(1, 0, 1, 0)]);
    fail_connection(&mut host, 1, SECOND);
    let blocked_at = host.now;
    let probed_after = (2..20).find_map(|id| {
        host.submit(id, IDEMPOTENT, 1);
        let run = host.run_for(4 * SECOND);
        host.step(&[Event::Cancelled(MessageId(id))]);
        first_send(&run, id).map(|(at, _)| at - blocked_at)
    });
    let probed_after = probed_after.expect("the route is probed");
    assert!((SECOND..30 * SECOND).contains(&probed_after), "probed after {probed_after} us");
}

/// Guards against a burst of all senders at the end of a common Retry-After delay.
#[test]
fn spreads_the_calls_of_senders_after_the_same_retry_after() {
    let delay_after_retry_at = |seed| {
        let mut s = DeliveryEngine::new(many_senders(), seed).unwrap();
        let mut now = 100 * SECOND;
        let mut step = |now: u64, events: &[Event]| {
            let mut actions = Vec::new();
            s.step(Timestamp(now), events, &mut actions);
            actions
        };
        step(now, &[Event::EndpointSnapshot(vec![entry(1, 0, 1, 0)])]);
        step(now, &[message_event(1, IDEMPOTENT, 1, None)]);
        let retry_at = now + 2 * SECOND;
        step(now, &[attempt_ended(1, 0, Outcome::Rejected { retry_after: Some(TimeDelta(2 * SECOND)) })]);
        while sent_to(&step(now, &[Event::TimerFired]), 1).is_none() {
            now += 20_000;
            assert!(now < retry_at + 10 * SECOND);
        }
        assert!(now >= retry_at);
        now - retry_at
    };
    let mut all: Vec<u64> = (0..40).map(delay_after_retry_at).collect();
    all.sort_unstable();
    assert!(all[39] - all[0] > SECOND, "{all:?}");
}

/// Guards against missing the latency objective while answers get lost, and against short timeouts of
/// messages that cannot be retried.
#[test]
fn lost_answers_shorten_the_timeouts_of_retryable_messages_only() {
    let list: Vec<EndpointEntry> = (0..6).map(|d| entry(u64::from(d), d, 1, 0)).collect();
    let mut host = Host::new(many_senders(), list);
    let timeout = |host: &mut Host, id: u32, class: ClassId, d: u64| {
        let actions = host.submit(id, class, d);
        let span = actions.iter().find_map(|a| match a {
            Action::Send { expires, .. } => Some(expires.0 - host.now),
            _ => None,
        });
        host.step(&[Event::Cancelled(MessageId(id))]);
        host.now += 100_000;
        span.unwrap()
    };
    let latency_objective = 2 * SECOND;
    for id in 0..5 {
        assert!(timeout(&mut host, id, IDEMPOTENT, 0) > latency_objective);
        host.end_attempt(id, 0, Outcome::Success);
        host.now += SECOND;
    }
    for d in 1..6 {
        timeout(&mut host, 10 + d, IDEMPOTENT, u64::from(d));
        host.end_attempt(10 + d, 0, Outcome::TimedOut);
        host.now += SECOND;
    }
    assert!(timeout(&mut host, 30, KEYED_BY_DESTINATION, 0) < latency_objective);
    host.end_attempt(30, 0, Outcome::Success);
    assert!(timeout(&mut host, 31, NON_IDEMPOTENT, 0) > 2 * latency_objective);
}

/// Guards against wasting CPU on timers before the end of a Retry-After delay (incident if8d1b5).
#[test]
fn sets_no_timer_before_the_end_of_a_retry_after() {
    let mut host = Host::new(many_senders(), vec![entry(1, 0, 1, 0)]);
    host.submit(1, IDEMPOTENT, 1);
    host.now += 5 * SECOND;
    step_unfiltered(&mut host, &[Event::TimerFired]);
    let actions = step_unfiltered(
        &mut host,
        &[attempt_ended(1, 0, Outcome::Rejected { retry_after: Some(TimeDelta(2 * SECOND)) })],
    );
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer(span) => Some(span.0),
        _ => None,
    });
    assert!(timer.is_some_and(|span| span >= 2 * SECOND), "{timer:?}");
    // A new message that cannot be sent yet gets an earlier timer.
    let actions = step_unfiltered(&mut host, &[message_event(2, IDEMPOTENT, 1, None)]);
    assert!(actions.iter().any(|a| matches!(a, Action::SetTimer(span) if span.0 < SECOND)), "{actions:?}");
}

/// Guards against a message that never ends, or ends twice, with 1 or 1,000 senders, a single slot or a zone
/// without endpoints.
#[test]
fn extreme_settings_end_each_message_once() {
    for (senders, slots, zone) in [(1, 1, 0), (1_000, 1, 9), (1_000, 4, 0)] {
        let s = Settings {
            fleet_size: senders,
            max_concurrent_calls: slots,
            zone: ZoneId(zone),
            max_pending_messages: 1,
            ..settings()
        };
        let mut host = Host::new(s, vec![]);
        host.submit(1, NON_IDEMPOTENT, 77);
        let run = host.run_for(20 * SECOND);
        let ends = run.iter().filter(|(_, a)| matches!(a, Action::Return { .. } | Action::Fail(_))).count();
        assert_eq!(ends, 1);
    }
}

/// Guards against cross-zone calls that only explore an endpoint.
#[test]
fn prefers_a_known_endpoint_in_the_zone_to_an_unknown_one_in_another_zone() {
    let mut host = Host::new(many_senders(), vec![entry(1, 0, 1, 0), entry(1, 1, 1, 1)]);
    for id in 0..3 {
        assert_eq!(sent_to(&host.submit(id, IDEMPOTENT, 1), id), Some(0));
        host.now += 100_000;
        host.end_attempt(id, 0, Outcome::Success);
        host.now += 5 * SECOND;
    }
}

/// Guards against keeping the state of removed endpoints forever, and against dropping it while a call is in
/// flight, during a Retry-After delay or within the slow-start duration.
#[test]
fn drops_the_state_of_removed_endpoints_when_it_is_no_longer_needed() {
    let dropped = |actions: &[Action]| -> Vec<u32> {
        let ids = actions.iter().filter_map(|a| match a {
            Action::ForgetEndpoint(id) => Some(id.0),
            _ => None,
        });
        ids.collect()
    };
    let mut sender = DeliveryEngine::new(settings(), 7).unwrap();
    let mut actions = Vec::new();
    let removed = |e: u32| EndpointEntry { state: EndpointState::Removed, ..entry(1, e, 0, 0) };
    let new_message = |n: u32, deadline| Message {
        id: MessageId(n),
        class: NON_IDEMPOTENT,
        tenant: None,
        key: None,
        destination: DestinationId(1),
        time_to_live: TimeDelta(deadline),
    };
    sender.step(Timestamp(0), &[Event::EndpointSnapshot(vec![entry(1, 1, 0, 0)])], &mut actions);
    sender.step(Timestamp(10_000), &[Event::Message(new_message(1, 60 * SECOND))], &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
    actions.clear();
    // The endpoint with the call in flight is kept; endpoints that were added and removed since then are
    // dropped.
    let mut now = SECOND;
    for e in 2..40 {
        let events = [Event::EndpointUpdates(vec![removed(e - 1), entry(1, e, 0, 0)])];
        sender.step(Timestamp(now), &events, &mut actions);
        now += SECOND;
    }
    let slow_start_seconds = settings().rules.slow_start_duration.0 / SECOND;
    assert_eq!(dropped(&actions), (2..39 - slow_start_seconds as u32).collect::<Vec<_>>());
    actions.clear();
    let outcome = Outcome::Rejected { retry_after: Some(TimeDelta(20 * SECOND)) };
    let ended = Event::AttemptEnded {
        message: MessageId(1),
        attempt: 0,
        outcome,
        elapsed: TimeDelta(SECOND),
        completes: false,
        report: None,
    };
    sender.step(Timestamp(now), &[ended, Event::EndpointUpdates(vec![removed(39)])], &mut actions);
    // The destination has no endpoints but is still known until the end of its Retry-After delay.
    sender.step(Timestamp(now + 19 * SECOND), &[], &mut actions);
    let destination = new_message(1, 0).destination;
    assert!(sender.admits(Timestamp(now), 0, destination));
    sender.step(Timestamp(now + 21 * SECOND), &[], &mut actions);
    assert!(!sender.admits(Timestamp(now), 0, destination));
    assert_eq!(dropped(&actions).len() as u64, slow_start_seconds + 2);
}
