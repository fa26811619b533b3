//! Incarnations: a lost or restored state folder, two processes with one name, and the exhaustion of
//! incarnation numbers.
use crate::simulated_fleet::*;
use micadrum_membership::*;

fn state_losses(fleet: &SimulatedFleet, n: usize) -> Vec<(u64, u64)> {
    let of = fleet.events.iter().filter(|(_, by, _)| *by == n).filter_map(|(.., event)| match event {
        Event::StateLossDetected { incarnation, known } => Some((*incarnation, *known)),
        _ => None,
    });
    of.collect()
}

/// Guards against a sender with a lost or outdated folder that communicates under an earlier incarnation.
#[test]
fn a_lost_or_restored_folder_is_detected() {
    for outdated in [false, true] {
        let mut fleet = SimulatedFleet::started(6, 1);
        fleet.run(ms(3000));
        let old = fleet.records[2].clone();
        for _ in 0..3 {
            fleet.kill(2);
            fleet.run(ms(500));
            fleet.start(2);
            fleet.run(ms(2000));
        }
        assert_eq!(state_losses(&fleet, 2), []);
        assert_eq!(fleet.view(2).incarnation.number, 4);
        fleet.kill(2);
        fleet.records[2] = if outdated { old } else { Vec::new() };
        fleet.run(ms(500));
        fleet.start(2);
        assert!(fleet.converge_within(ms(2000)).is_some(), "{:?}", fleet.wrong_views());
        fleet.run(ms(1000));
        assert_eq!(state_losses(&fleet, 2), [(5, 4)]);
        let view = fleet.view(2);
        assert_eq!(
            (view.incarnation.number, view.lost_state, view.local_status),
            (5, true, LocalStatus::Confirmed)
        );
        for n in [0, 1, 3, 4, 5] {
            let view = fleet.view_of(n, 2);
            assert_eq!(
                (view.incarnation.unwrap().number, view.lost_state),
                (5, true),
                "{n} does not know that 2 lost its state"
            );
        }
        // The next start, with an intact folder, reports no loss.
        fleet.kill(2);
        fleet.start(2);
        fleet.run(ms(2000));
        let view = fleet.view_of(0, 2);
        assert_eq!((view.incarnation.unwrap().number, view.lost_state), (6, false));
    }
}

/// Guards against a lost folder that goes undetected because the new process drew a higher run for the same
/// number.
#[test]
fn a_folder_lost_after_the_first_start_is_detected_whatever_run_is_drawn() {
    for seed in 0..20 {
        let mut fleet = SimulatedFleet::started(4, seed);
        fleet.run(ms(2000));
        fleet.kill(2);
        fleet.records[2].clear();
        fleet.start(2);
        fleet.run(ms(2000));
        assert_eq!((state_losses(&fleet, 2), fleet.wrong_views()), (vec![(2, 1)], vec![]), "seed {seed}");
    }
}

/// Guards against a sender that some members never accept again, as they know another run of its incarnation
/// number: its folder was lost before all members had learned of its last incarnation.
#[test]
fn an_incarnation_number_taken_twice_is_replaced_although_most_members_know_it() {
    for seed in 0..5 {
        let mut fleet = SimulatedFleet::started(5, seed);
        fleet.run(ms(3000));
        let halves = |a: usize, b: usize| LinkConditions {
            is_cut: [0, 4].contains(&a) != [0, 4].contains(&b),
            ..PERFECT_LINK
        };
        fleet.link = Box::new(halves);
        fleet.kill(0);
        fleet.start(0);
        fleet.run(ms(2000));
        assert_eq!(fleet.view_of(4, 0).incarnation.unwrap().number, 2);
        fleet.kill(0);
        fleet.records[0].clear();
        fleet.link = Box::new(|a, b| LinkConditions { is_cut: a.max(b) == 4, ..PERFECT_LINK });
        fleet.run(ms(3000));
        fleet.start(0);
        fleet.run(ms(5000));
        fleet.link = Box::new(|_, _| PERFECT_LINK);
        assert!(fleet.converge_within(ms(6000)).is_some(), "seed {seed}: {:?}", fleet.wrong_views());
        assert_eq!(fleet.view(0).local_status, LocalStatus::Confirmed);
    }
}

/// Guards against two processes that both keep sending under one name.
#[test]
fn of_two_processes_under_one_name_the_older_is_superseded() {
    // The second process has the name and key of the first, and its folder unless that was lost.
    for lost_folder in [false, true] {
        let mut fleet = SimulatedFleet::started(6, 2);
        fleet.run(ms(3000));
        let roster = SimulatedFleet::new(6, 9).roster(1);
        let id = MemberId::of("n1");
        let record = if lost_folder {
            IncarnationRecord::new(id)
        } else {
            IncarnationRecord::parse(&fleet.records[1], id).unwrap()
        };
        let rng = rand_chacha::rand_core::SeedableRng::seed_from_u64(77);
        let first = fleet.nodes[1].take().unwrap();
        fleet.nodes[1] = Some(Membership::new(SETTINGS, secret(1), roster, record, rng, fleet.now));
        fleet.input(1, Input::Timer);
        fleet.run(ms(2000));
        assert_eq!(fleet.view(1).local_status, LocalStatus::Confirmed);
        // The older process wakes up, probes the others, and learns of the later incarnation.
        let second = fleet.nodes[1].replace(first).unwrap();
        fleet.input(1, Input::Timer);
        fleet.run(ms(2000));
        assert_eq!(fleet.view(1).local_status, LocalStatus::Superseded);
        let sent = fleet.view(1).counts.sent;
        fleet.run(ms(3000));
        assert_eq!(fleet.view(1).counts.sent, sent, "a superseded process must not send");
        fleet.nodes[1] = Some(second);
        fleet.input(1, Input::Timer);
        assert!(fleet.converge_within(ms(2000)).is_some(), "{:?}", fleet.wrong_views());
    }
}

/// Guards against using an incarnation before it is persisted: a sender sends nothing while its disk is full.
#[test]
fn nothing_is_sent_before_the_incarnation_is_persisted() {
    let mut fleet = SimulatedFleet::started(4, 3);
    fleet.run(ms(2000));
    fleet.kill(1);
    fleet.disk_full = true;
    fleet.start(1);
    fleet.run(ms(5000));
    assert_eq!(
        (fleet.view(1).local_status, fleet.view(1).counts.sent),
        (LocalStatus::PersistingIncarnation, 0)
    );
    fleet.disk_full = false;
    fleet.run(ms(3000));
    assert_eq!((fleet.view(1).local_status, fleet.view(1).incarnation.number), (LocalStatus::Confirmed, 2));
}

/// Guards against incarnation numbers that wrap around.
#[test]
fn a_sender_without_a_higher_incarnation_number_stops_sending() {
    let mut fleet = SimulatedFleet::started(4, 4);
    fleet.run(ms(2000));
    fleet.kill(1);
    let id = MemberId::of("n1");
    for (last, expected_status) in
        [(u64::MAX - 1, LocalStatus::Confirmed), (u64::MAX, LocalStatus::Exhausted)]
    {
        fleet.records[1] = IncarnationRecord::with_last_number(id, last).to_bytes();
        fleet.start(1);
        fleet.run(ms(3000));
        assert_eq!(
            (fleet.view(1).incarnation.number, fleet.view(1).local_status),
            (u64::MAX, expected_status)
        );
        fleet.kill(1);
    }
    // After the loss of its folder, the sender learns that the last number is taken.
    fleet.records[1] = Vec::new();
    fleet.start(1);
    fleet.run(ms(3000));
    assert_eq!(fleet.view(1).local_status, LocalStatus::Exhausted);
}

/// Guards against incarnations that are lost when all members lose power at once.
#[test]
fn known_incarnations_survive_a_power_loss_of_all_members() {
    let mut fleet = SimulatedFleet::started(5, 5);
    fleet.run(ms(3000));
    fleet.kill(3);
    fleet.start(3);
    fleet.run(ms(3000));
    (0..5).for_each(|n| fleet.kill(n));
    fleet.records[3].clear();
    (0..5).for_each(|n| fleet.start(n));
    fleet.run(ms(3000));
    assert_eq!(state_losses(&fleet, 3), [(3, 2)]);
    assert_eq!(fleet.wrong_views(), []);
}
