//! Incarnations: a state folder that was lost or restored, two processes under one name, and the end of numbers.
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
            let seen = fleet.view_of(n, 2);
            assert_eq!(
                (seen.incarnation.unwrap().number, seen.lost_state),
                (5, true),
                "{n} does not know that 2 lost its state"
            );
        }
        // Its next start loses nothing.
        fleet.kill(2);
        fleet.start(2);
        fleet.run(ms(2000));
        let seen = fleet.view_of(0, 2);
        assert_eq!((seen.incarnation.unwrap().number, seen.lost_state), (6, false));
    }
}

/// Guards against a lost folder that goes undetected because the new process drew a higher run for one number.
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

/// Guards against a sender that most members know under one run of a number and some under another one, so that the
/// latter never accept it again (peers-storm.toml --peer-faults, seed 470): its folder was lost before all members had
/// learned of its last incarnation.
#[test]
fn a_number_taken_twice_is_abandoned_although_most_members_know_it() {
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

/// Guards against two processes that both continue under one name: the older one falls silent.
#[test]
fn of_two_processes_under_one_name_the_older_is_superseded() {
    // The second process has the name, key and folder of the first.
    for lost_folder in [false, true] {
        let mut fleet = SimulatedFleet::started(6, 2);
        fleet.run(ms(3000));
        let twin = SimulatedFleet::new(6, 9).roster(1);
        let id = MemberId::of("n1");
        let book = if lost_folder {
            IncarnationRecord::new(id)
        } else {
            IncarnationRecord::parse(&fleet.records[1], id).unwrap()
        };
        let rng = rand_chacha::rand_core::SeedableRng::seed_from_u64(77);
        let first = fleet.nodes[1].take().unwrap();
        fleet.nodes[1] = Some(Membership::new(SETTINGS, secret(1), twin, book, rng, fleet.now));
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
        assert_eq!(fleet.view(1).counts.sent, sent, "it sends nothing any more");
        fleet.nodes[1] = Some(second);
        fleet.input(1, Input::Timer);
        assert!(fleet.converge_within(ms(2000)).is_some(), "{:?}", fleet.wrong_views());
    }
}

/// Guards against using an incarnation before it is persisted: a full disk keeps a sender silent until it has space.
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
fn a_sender_without_a_higher_number_falls_silent() {
    let mut fleet = SimulatedFleet::started(4, 4);
    fleet.run(ms(2000));
    fleet.kill(1);
    let id = MemberId::of("n1");
    for (last, standing) in [(u64::MAX - 1, LocalStatus::Confirmed), (u64::MAX, LocalStatus::Exhausted)] {
        fleet.records[1] = IncarnationRecord::starting_at(id, last).to_bytes();
        fleet.start(1);
        fleet.run(ms(3000));
        assert_eq!((fleet.view(1).incarnation.number, fleet.view(1).local_status), (u64::MAX, standing));
        fleet.kill(1);
    }
    // With its folder lost it learns that the last number was taken: there is no higher one.
    fleet.records[1] = Vec::new();
    fleet.start(1);
    fleet.run(ms(3000));
    assert_eq!(fleet.view(1).local_status, LocalStatus::Exhausted);
}

/// Guards against a fleet that loses incarnations with its power: members persist what they know of each other.
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
