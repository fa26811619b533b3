//! Membership views while processes and links fail.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use std::time::Duration;

/// Guards against a killed member that is detected late or by some members only, and against live members
/// declared dead.
#[test]
fn a_killed_member_is_declared_dead_by_all_within_two_seconds() {
    for seed in 0..20 {
        let mut fleet = SimulatedFleet::started(20, seed);
        fleet.run(ms(3000 + 37 * seed));
        assert_eq!(fleet.wrong_views(), [], "seed {seed}");
        let at = fleet.now;
        fleet.kill(7);
        let took = fleet.converge_within(ms(2000));
        assert!(took.is_some(), "seed {seed}: {:?}", fleet.wrong_views());
        assert!(fleet.deaths(at).iter().all(|(.., name)| name == "n7"), "seed {seed}");
    }
}

/// Guards against a partition between the zones that does not heal, or that one half does not notice.
#[test]
fn a_partition_between_zones_heals_within_two_seconds() {
    for seed in 0..10 {
        let mut fleet = SimulatedFleet::started(20, seed);
        fleet.run(ms(3000));
        fleet.link = Box::new(|a, b| LinkConditions { is_cut: a % 2 != b % 2, ..PERFECT_LINK });
        fleet.run(ms(10_000));
        for (n, other) in (0..20).flat_map(|n| (0..20).map(move |other| (n, other))).filter(|(a, b)| a != b) {
            let is_same_zone = n % 2 == other % 2;
            assert_eq!(
                fleet.status(n, other),
                if is_same_zone { Status::Live } else { Status::Dead },
                "{n} {other}"
            );
        }
        fleet.link = Box::new(|_, _| PERFECT_LINK);
        assert!(fleet.converge_within(ms(2000)).is_some(), "seed {seed}: {:?}", fleet.wrong_views());
    }
}

/// Guards against an isolated member that declares all others dead.
#[test]
fn an_isolated_member_declares_nobody_dead_and_reports_its_isolation() {
    let mut fleet = SimulatedFleet::started(8, 3);
    fleet.run(ms(3000));
    fleet.link = Box::new(|a, b| LinkConditions { is_cut: a == 0 || b == 0, ..PERFECT_LINK });
    fleet.run(ms(60_000));
    let view = fleet.view(0);
    assert!(view.isolated && view.counts.deaths == 0, "{view:?}");
    assert!((1..8).all(|n| fleet.status(n, 0) == Status::Dead && !fleet.view(n).isolated));
    fleet.link = Box::new(|_, _| PERFECT_LINK);
    assert!(fleet.converge_within(ms(2000)).is_some(), "{:?}", fleet.wrong_views());
    assert!(!fleet.view(0).isolated);
}

/// Guards against a one-way cut after which a member is declared dead: n1 still hears n0 through others.
#[test]
fn a_member_behind_a_one_way_cut_stays_live_through_others() {
    let mut fleet = SimulatedFleet::started(6, 4);
    fleet.run(ms(3000));
    let at = fleet.now;
    fleet.link = Box::new(|from, to| LinkConditions { is_cut: from == 0 && to == 1, ..PERFECT_LINK });
    fleet.run(ms(60_000));
    assert_eq!(fleet.deaths(at), []);
    assert_eq!(fleet.wrong_views(), []);
    assert_eq!(fleet.view_of(1, 0).reach, Some(Reach::Relayed));
    let answered = fleet.view_of(0, 1).last_direct_ack.unwrap();
    assert!(
        fleet.now - answered > ms(50_000),
        "n1 must not have answered a direct ping of n0 since the cut: {answered:?}"
    );
}

/// Guards against a member that reaches only half of the others and makes the fleet declare the other half
/// dead.
#[test]
fn a_member_that_reaches_half_of_the_others_reaches_the_rest_through_them() {
    let mut fleet = SimulatedFleet::started(9, 5);
    fleet.run(ms(3000));
    let at = fleet.now;
    fleet.link = Box::new(|a, b| LinkConditions { is_cut: a.min(b) == 0 && a.max(b) > 4, ..PERFECT_LINK });
    fleet.run(ms(60_000));
    assert_eq!((fleet.deaths(at), fleet.wrong_views()), (vec![], vec![]));
    assert!((5..9).all(|n| fleet.view_of(0, n).reach == Some(Reach::Relayed)));
}

/// Guards against a stalled process that, once resumed, declares the others dead.
#[test]
fn a_stalled_process_declares_nobody_dead_when_it_resumes() {
    for pause in [ms(700), ms(1500), ms(5000), ms(60_000)] {
        let mut fleet = SimulatedFleet::started(8, 6);
        fleet.run(ms(3050));
        fleet.pause(2);
        fleet.run(pause);
        let dead = (0..8).any(|n| n != 2 && fleet.status(n, 2) == Status::Dead);
        assert!(dead || pause < ms(5000), "the other members must declare a long-stalled member dead");
        let at = fleet.now;
        fleet.resume(2);
        assert!(fleet.converge_within(ms(2000)).is_some(), "{pause:?}: {:?}", fleet.wrong_views());
        fleet.run(ms(5000));
        assert!(fleet.deaths(at).iter().all(|(_, by, _)| *by != 2), "{pause:?}: {:?}", fleet.deaths(at));
        let stalled =
            fleet.events.iter().any(|(_, n, event)| *n == 2 && matches!(event, Event::Stalled { .. }));
        assert!(stalled, "{pause:?}");
    }
}

/// Guards against packet loss that makes live members appear dead, or hides a death.
#[test]
fn loss_of_a_fifth_of_all_datagrams_neither_causes_nor_hides_deaths() {
    let mut fleet = SimulatedFleet::started(20, 7);
    let loss =
        |_, _| LinkConditions { loss: 0.2, delay: ms(55), jitter: ms(55), duplication: 0.05, ..PERFECT_LINK };
    fleet.link = Box::new(loss);
    fleet.run(ms(600_000));
    assert_eq!(fleet.deaths(Duration::ZERO), []);
    fleet.kill(11);
    let took = fleet.converge_within(ms(8000));
    assert!(took.is_some(), "{:?}", fleet.wrong_views());
}

/// Guards against a slow link that makes a member flap: the probe timeout must adapt to its round-trip time.
#[test]
fn the_round_trip_time_of_a_slow_link_is_learned() {
    let mut fleet = SimulatedFleet::started(6, 8);
    fleet.run(ms(3000));
    fleet.link = Box::new(|a, b| LinkConditions {
        delay: if a.min(b) == 0 { ms(2000) } else { ms(1) },
        ..PERFECT_LINK
    });
    fleet.run(ms(60_000));
    let at = fleet.now;
    fleet.run(ms(120_000));
    assert_eq!(fleet.deaths(at), []);
}

/// Guards against declaring a member dead that restarts quickly or has left gracefully.
#[test]
fn a_fast_restart_and_a_graceful_leave_cause_no_deaths() {
    let mut fleet = SimulatedFleet::started(8, 9);
    fleet.run(ms(3000));
    let at = fleet.now;
    fleet.kill(3);
    fleet.run(ms(600));
    fleet.start(3);
    assert!(fleet.converge_within(ms(1500)).is_some(), "{:?}", fleet.wrong_views());
    fleet.run(ms(5000));
    assert_eq!((fleet.deaths(at), fleet.wrong_views()), (vec![], vec![]));
    assert!((0..8).all(|n| n == 3 || fleet.view_of(n, 3).incarnation.unwrap().number == 2));
    fleet.input(5, Input::Leave);
    fleet.kill(5);
    fleet.run(ms(300));
    assert!((0..8).all(|n| n == 5 || fleet.status(n, 5) == Status::Left));
    fleet.run(ms(10_000));
    assert!(fleet.deaths(at).is_empty(), "a departed member must not be declared dead");
    fleet.start(5);
    assert!(fleet.converge_within(ms(2000)).is_some(), "{:?}", fleet.wrong_views());
}

/// Guards against rosters that stay different after members are added or removed while links are cut.
#[test]
fn rosters_converge_after_changes_while_one_member_is_isolated() {
    let mut fleet = SimulatedFleet::started(6, 10);
    fleet.run(ms(3000));
    fleet.link = Box::new(|a, b| LinkConditions { is_cut: a == 0 || b == 0, ..PERFECT_LINK });
    fleet.run(ms(3000));
    // n5 is killed and removed from all rosters except that of n0, which is isolated.
    let all = fleet.members.clone();
    fleet.members.truncate(5);
    for n in 1..5 {
        let roster = fleet.roster(n);
        fleet.input(n, Input::Reconfigured(SETTINGS, roster));
    }
    fleet.kill(5);
    fleet.run(ms(3000));
    assert!((1..5).all(|n| fleet.view(n).peers.len() == 4));
    fleet.link = Box::new(|_, _| PERFECT_LINK);
    fleet.run(ms(4000));
    assert!((1..5).all(|n| fleet.status(0, n) == Status::Live && fleet.status(n, 0) == Status::Live));
    // Both sides of each mismatch report it.
    let mismatches = |fleet: &SimulatedFleet, n: usize| {
        fleet.view(n).peers.iter().filter(|peer| peer.roster_differs).count()
    };
    assert_eq!((0..5).map(|n| mismatches(&fleet, n)).collect::<Vec<_>>(), [4, 1, 1, 1, 1]);
    let is_reported = |event: &(_, usize, Event)| matches!(&event.2, Event::RosterMismatch { name, differs: true } if name == "n0");
    assert_eq!(
        fleet.events.iter().filter(|event| is_reported(event)).count(),
        4,
        "each mismatch must be reported once"
    );
    fleet.members = all;
    assert_eq!(fleet.status(0, 5), Status::Dead);
    for n in 0..5 {
        let roster = fleet.roster(n);
        fleet.input(n, Input::Reconfigured(SETTINGS, roster));
    }
    fleet.start(5);
    assert!(fleet.converge_within(ms(3000)).is_some(), "{:?}", fleet.wrong_views());
    fleet.run(ms(1000));
    assert!((0..6).all(|n| mismatches(&fleet, n) == 0), "all rosters must match again");
}
