use super::*;

const GRACE: Duration = Duration::from_secs(1);
const STALENESS_LIMIT: Duration = Duration::from_secs(10);

fn config(fleet_size: usize, discovery: DiscoveryMode) -> PollConfig {
    PollConfig { fleet_size, discovery, drain_grace: GRACE, staleness_limit: STALENESS_LIMIT }
}

/// The behaviour of the discovery service for a call that it cannot answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overload {
    /// The service rejects the call without processing it.
    Rejects,
    /// The service processes the call and responds too late.
    AnswersLate,
}

/// A fleet whose senders start at the same time, and a service that processes `calls_per_second` one after
/// the other. A call times out after 2 s.
#[derive(Clone, Copy, Debug)]
struct FleetStart {
    fleet_size: usize,
    calls_per_second: f64,
    overload: Overload,
    end_s: f64,
}

/// Returns the number of senders that have received a response by the end.
fn answered(start: FleetStart) -> usize {
    let FleetStart { fleet_size, calls_per_second, overload, end_s } = start;
    let mut schedules: Vec<_> = (0..fleet_size)
        .map(|seed| PollSchedule::new(config(fleet_size, DiscoveryMode::Poll), seed as u64))
        .collect();
    let mut calls: Vec<(f64, usize)> = schedules
        .iter_mut()
        .enumerate()
        .map(|(sender, schedule)| (schedule.initial_delay().as_secs_f64(), sender))
        .collect();
    let (mut free_at, mut answered) = (0.0f64, 0);
    while let Some(next) = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)) {
        let (called_at, sender) = calls.swap_remove(next);
        if called_at > end_s {
            break;
        }
        let done_at = free_at.max(called_at) + 1.0 / calls_per_second;
        let in_time = done_at <= called_at + 2.0;
        free_at = if in_time || overload == Overload::AnswersLate { done_at } else { free_at };
        if in_time {
            answered += 1;
        } else {
            calls.push((called_at + 2.0 + schedules[sender].record_failure().as_secs_f64(), sender));
        }
    }
    answered
}

/// Guards against a fleet that keeps an overloaded discovery service busy with calls whose responses arrive
/// too late.
#[test]
fn senders_that_start_together_receive_responses() {
    let sizes_and_rates = [(3, 2.0), (20, 5.0), (100, 12.5), (100, 25.0), (200, 25.0)];
    let cases = sizes_and_rates.into_iter().flat_map(|(fleet_size, calls_per_second)| {
        [Overload::Rejects, Overload::AnswersLate].map(|overload| FleetStart {
            fleet_size,
            calls_per_second,
            overload,
            end_s: 20.0,
        })
    });
    let large_fleet = FleetStart {
        fleet_size: 300,
        calls_per_second: 20.0,
        overload: Overload::Rejects,
        // The staleness limit after a failed call.
        end_s: (STALENESS_LIMIT * STALENESS_FACTOR_AFTER_FAILURE).as_secs_f64(),
    };
    for start in cases.chain([large_fleet]) {
        let share = answered(start) as f64 / start.fleet_size as f64;
        assert!(share > 0.9, "{start:?}: {share}");
    }
}

/// Guards against a sender in watch mode that polls its agent only after the grace period: it counts as
/// notified of a change as soon as the agent has it, for any size of the fleet.
#[test]
fn watched_list_is_polled_within_the_grace_period() {
    for seed in 0..200 {
        for senders in [1, 20, 300, usize::MAX] {
            let mut schedule = PollSchedule::new(config(senders, DiscoveryMode::Watch), seed);
            assert_eq!(schedule.initial_delay(), Duration::ZERO, "{senders} senders, seed {seed}");
            for _ in 0..20 {
                let pause = schedule.record_failure();
                let call = schedule.next_poll(PollScope::Changes);
                assert!(
                    pause >= MIN_DELAY / 2 && pause + call.response_timeout <= GRACE.mul_f64(0.8),
                    "{senders}, {seed}: {pause:?}, {call:?}"
                );
            }
        }
    }
}

/// Guards against missed changes that are received only after they count as notified, because a silent watch
/// was detected too late or an agent that is reachable again was not polled within the grace period.
#[test]
fn silent_watch_is_detected_before_missed_changes_count_as_notified() {
    const RESPONSE_TIME: Duration = Duration::from_millis(500);
    for (seed, discovery) in
        (0..200).flat_map(|seed| [(seed, DiscoveryMode::Watch), (seed, DiscoveryMode::Poll)])
    {
        for drain_grace in [Duration::from_millis(250), GRACE] {
            let mut schedule = PollSchedule::new(PollConfig { drain_grace, ..config(300, discovery) }, seed);
            schedule.record_success();
            let watch = schedule.next_poll(PollScope::Changes);
            let notified_after = Duration::from_secs(6).max(watch.hold + Duration::from_secs(2));
            assert!(
                watch.response_timeout.max(watch.total_timeout) + schedule.record_failure() + RESPONSE_TIME
                    <= notified_after,
                "{watch:?}"
            );
            if discovery == DiscoveryMode::Watch {
                let waited = |schedule: &mut PollSchedule| {
                    schedule.next_poll(PollScope::Changes).response_timeout + schedule.record_failure()
                };
                let longest = (1..20).map(|_| waited(&mut schedule)).max().unwrap();
                assert!(longest.mul_f64(1.2) <= drain_grace, "{longest:?} of {drain_grace:?}, seed {seed}");
                assert!(
                    schedule.next_poll(PollScope::Changes).hold
                        < schedule.next_poll(PollScope::Changes).response_timeout
                );
            }
            // A call for the complete list is not held, and times out early.
            let complete_list = schedule.next_poll(PollScope::CompleteList);
            assert!(
                complete_list.total_timeout + Duration::from_secs(2) <= Duration::from_secs(6),
                "{complete_list:?}"
            );
        }
    }
}

/// Guards against using the initial configuration after a reload.
#[test]
fn changed_config_applies_from_the_next_call() {
    let short = PollConfig { drain_grace: Duration::from_millis(250), ..config(3, DiscoveryMode::Watch) };
    let mut schedule = PollSchedule::new(config(3, DiscoveryMode::Watch), 1);
    let before = schedule.next_poll(PollScope::Changes);
    schedule.set_config(short);
    assert_eq!(
        schedule.next_poll(PollScope::Changes),
        PollSchedule::new(short, 1).next_poll(PollScope::Changes)
    );
    assert!(schedule.next_poll(PollScope::Changes).response_timeout < before.response_timeout);
}

/// Guards against timeouts that are always too short for a slow agent.
#[test]
fn timeouts_increase_after_many_failures() {
    let mut schedule = PollSchedule::new(
        PollConfig { drain_grace: Duration::from_millis(250), ..config(3, DiscoveryMode::Watch) },
        1,
    );
    let first = schedule.next_poll(PollScope::Changes);
    (0..SLOW_AGENT_FAILURES).for_each(|_| assert!(schedule.record_failure() > Duration::ZERO));
    let later = schedule.next_poll(PollScope::Changes);
    assert!(
        first.response_timeout < RESPONSE_TIMEOUT
            && later.response_timeout >= RESPONSE_TIMEOUT
            && later.total_timeout > first.total_timeout
    );
    schedule.record_success();
    assert_eq!(schedule.next_poll(PollScope::Changes).hold, HOLD);
}

/// Guards against a sender that exceeds the staleness limit after its start or a failed call; against a delay
/// that is zero or unbounded for extreme fleet sizes; and against delays that remain long after a success.
#[test]
fn delays_are_bounded_for_extreme_settings() {
    for seed in 0..200 {
        for senders in [0, 1, 3, 300, usize::MAX] {
            for staleness_limit in [STALENESS_LIMIT, Duration::from_secs(2), Duration::ZERO] {
                let config = PollConfig { staleness_limit, ..config(senders, DiscoveryMode::Poll) };
                let bound = if staleness_limit.is_zero() { STALENESS_LIMIT } else { staleness_limit };
                let mut schedule = PollSchedule::new(config, seed);
                assert!(schedule.initial_delay() <= bound, "{senders} senders, seed {seed}");
                for _ in 0..20 {
                    let pause = schedule.record_failure();
                    assert!(pause >= MIN_DELAY / 2 && pause <= bound * 3, "{senders}, {seed}: {pause:?}");
                }
                schedule.record_success();
                assert!(schedule.record_failure() <= MIN_DELAY * 3 / 2);
            }
        }
    }
}
