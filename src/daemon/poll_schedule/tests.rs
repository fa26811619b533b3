use super::*;

const GRACE: Duration = Duration::from_secs(1);
const MUST: Duration = Duration::from_secs(10);

fn terms(senders: usize, discovery: DiscoveryMode) -> PollingTerms {
    PollingTerms { senders, discovery, grace: GRACE, must_ask_in: MUST }
}

/// What became of a fleet that starts together and asks one place that answers `capacity` calls a second in turn, but
/// whose answer counts only within 2 s of the call: senders that were answered by `end`. It turns away whom it could
/// not answer by then, or nobody, and works in vain.
fn answered(senders: usize, capacity: f64, end: f64, turns_away: bool) -> usize {
    let mut asking: Vec<_> = (0..senders)
        .map(|seed| PollSchedule::new(terms(senders, DiscoveryMode::Poll), seed as u64))
        .collect();
    let mut calls: Vec<(f64, usize)> = asking
        .iter_mut()
        .enumerate()
        .map(|(sender, asking)| (asking.first().as_secs_f64(), sender))
        .collect();
    let (mut free, mut answered) = (0.0f64, 0);
    while let Some(next) = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)) {
        let (at, sender) = calls.swap_remove(next);
        if at > end {
            break;
        }
        let done = free.max(at) + 1.0 / capacity;
        let in_time = done <= at + 2.0;
        free = if in_time || !turns_away { done } else { free };
        if in_time {
            answered += 1;
        } else {
            calls.push((at + 2.0 + asking[sender].failed().as_secs_f64(), sender));
        }
    }
    answered
}

/// Guards against a fleet that keeps an overbooked discovery busy with calls whose answers come too late.
#[test]
fn a_fleet_that_starts_together_is_answered() {
    let cases = [(3, 2.0), (20, 5.0), (100, 12.5), (100, 25.0), (200, 25.0)];
    let cases = cases.into_iter().flat_map(|(n, capacity)| [true, false].map(|t| (n, capacity, 20.0, t)));
    // Within what counts as told after a call in vain.
    let bound = (MUST * AFTER_FAILURE).as_secs_f64();
    for (senders, capacity, end, turns_away) in cases.chain([(300, 20.0, bound, true)]) {
        let share = answered(senders, capacity, end, turns_away) as f64 / senders as f64;
        assert!(share > 0.9, "{senders} senders, {capacity} a second, turned away: {turns_away}: {share}");
    }
}

/// Guards against a sender that does not know for longer than the grace what its agent has: a list that is pushed
/// counts as told with what the agent has, whatever the size of the fleet.
#[test]
fn what_is_pushed_is_asked_for_within_the_grace() {
    for seed in 0..200 {
        for senders in [1, 20, 300, usize::MAX] {
            let mut asking = PollSchedule::new(terms(senders, DiscoveryMode::Watch), seed);
            assert_eq!(asking.first(), Duration::ZERO, "{senders} senders, seed {seed}");
            for _ in 0..20 {
                let pause = asking.failed();
                let call = asking.call(true);
                assert!(
                    pause >= AT_ONCE / 2 && pause + call.patience <= GRACE.mul_f64(0.8),
                    "{senders}, {seed}: {pause:?}, {call:?}"
                );
            }
        }
    }
}

/// Guards against a watch whose silence is found out too late to hear again what it missed by when that counts as told:
/// 6 s after it fell silent or 2 s after the wait that was asked for, whichever is later, however the list comes; and
/// against an agent that was away and counts as heard at once when it is back, longer than the grace before it is.
#[test]
fn silence_is_found_out_before_what_it_hides_counts_as_told() {
    const ANSWER: Duration = Duration::from_millis(500);
    for (seed, discovery) in
        (0..200).flat_map(|seed| [(seed, DiscoveryMode::Watch), (seed, DiscoveryMode::Poll)])
    {
        for grace in [Duration::from_millis(250), GRACE] {
            let mut asking = PollSchedule::new(PollingTerms { grace, ..terms(300, discovery) }, seed);
            asking.answered();
            let watch = asking.call(true);
            let told = Duration::from_secs(6).max(watch.hold + Duration::from_secs(2));
            assert!(watch.patience.max(watch.whole) + asking.failed() + ANSWER <= told, "{watch:?}");
            if discovery == DiscoveryMode::Watch {
                let waited = |asking: &mut PollSchedule| asking.call(true).patience + asking.failed();
                let longest = (1..20).map(|_| waited(&mut asking)).max().unwrap();
                assert!(longest.mul_f64(1.2) <= grace, "{longest:?} of {grace:?}, seed {seed}");
                assert!(asking.call(true).hold < asking.call(true).patience);
            }
            // Asked for all of it, it is answered at once or not at all.
            let whole = asking.call(false);
            assert!(whole.whole + Duration::from_secs(2) <= Duration::from_secs(6), "{whole:?}");
        }
    }
}

/// Guards against going on by the terms of the start after a reload.
#[test]
fn other_terms_hold_from_the_next_call_on() {
    let short = PollingTerms { grace: Duration::from_millis(250), ..terms(3, DiscoveryMode::Watch) };
    let mut asking = PollSchedule::new(terms(3, DiscoveryMode::Watch), 1);
    let before = asking.call(true);
    asking.follow(short);
    assert_eq!(asking.call(true), PollSchedule::new(short, 1).call(true));
    assert!(asking.call(true).patience < before.patience);
}

/// Guards against an agent that is only slow and never gets to answer.
#[test]
fn an_agent_that_is_slow_for_long_is_given_time() {
    let mut asking = PollSchedule::new(
        PollingTerms { grace: Duration::from_millis(250), ..terms(3, DiscoveryMode::Watch) },
        1,
    );
    let first = asking.call(true);
    (0..MANY).for_each(|_| assert!(asking.failed() > Duration::ZERO));
    let later = asking.call(true);
    assert!(first.patience < PATIENCE && later.patience >= PATIENCE && later.whole > first.whole);
    asking.answered();
    assert_eq!(asking.call(true).hold, HOLD);
}

/// Guards against a sender that counts as told because it has not asked for too long, after its start or a call in
/// vain; against a pause that is none or without bound, with an absurd fleet; and against one that stays long after
/// an answer.
#[test]
fn pauses_are_bounded_whatever_the_settings_say() {
    for seed in 0..200 {
        for senders in [0, 1, 3, 300, usize::MAX] {
            for must_ask_in in [MUST, Duration::from_secs(2), Duration::ZERO] {
                let terms = PollingTerms { must_ask_in, ..terms(senders, DiscoveryMode::Poll) };
                let bound = if must_ask_in.is_zero() { MUST } else { must_ask_in };
                let mut asking = PollSchedule::new(terms, seed);
                assert!(asking.first() <= bound, "{senders} senders, seed {seed}");
                for _ in 0..20 {
                    let pause = asking.failed();
                    assert!(pause >= AT_ONCE / 2 && pause <= bound * 3, "{senders}, {seed}: {pause:?}");
                }
                asking.answered();
                assert!(asking.failed() <= AT_ONCE * 3 / 2);
            }
        }
    }
}
