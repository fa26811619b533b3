//! Who is believed to be there, while processes and links fail.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use std::time::Duration;

/// Guards against a killed member that some do not find, or find late, and against others that are blamed with it.
#[test]
fn a_killed_member_is_dead_for_all_within_two_seconds() {
    for seed in 0..20 {
        let mut world = World::started(20, seed);
        world.run(ms(3000 + 37 * seed));
        assert_eq!(world.wrong(), [], "seed {seed}");
        let at = world.now;
        world.kill(7);
        let took = world.agree_within(ms(2000));
        assert!(took.is_some(), "seed {seed}: {:?}", world.wrong());
        assert!(world.deaths(at).iter().all(|(.., name)| name == "n7"), "seed {seed}");
    }
}

/// Guards against a fleet that stays apart after a cut along the buildings, and against one half that does not notice.
#[test]
fn a_cut_along_the_buildings_heals_within_two_seconds() {
    for seed in 0..10 {
        let mut world = World::started(20, seed);
        world.run(ms(3000));
        world.link = Box::new(|a, b| Path { cut: a % 2 != b % 2, ..CLEAN });
        world.run(ms(10_000));
        for (n, other) in (0..20).flat_map(|n| (0..20).map(move |other| (n, other))).filter(|(a, b)| a != b) {
            let there = n % 2 == other % 2;
            assert_eq!(
                world.status(n, other),
                if there { Status::Live } else { Status::Dead },
                "{n} {other}"
            );
        }
        world.link = Box::new(|_, _| CLEAN);
        assert!(world.agree_within(ms(2000)).is_some(), "seed {seed}: {:?}", world.wrong());
    }
}

/// Guards against a sender that is cut off and blames all others for it.
#[test]
fn one_that_is_cut_off_accuses_nobody_and_says_so() {
    let mut world = World::started(8, 3);
    world.run(ms(3000));
    world.link = Box::new(|a, b| Path { cut: a == 0 || b == 0, ..CLEAN });
    world.run(ms(60_000));
    let view = world.view(0);
    assert!(view.cut_off && view.counts.deaths == 0, "{view:?}");
    assert!((1..8).all(|n| world.status(n, 0) == Status::Dead && !world.view(n).cut_off));
    world.link = Box::new(|_, _| CLEAN);
    assert!(world.agree_within(ms(2000)).is_some(), "{:?}", world.wrong());
    assert!(!world.view(0).cut_off);
}

/// Guards against a one-way cut that kills: B hears A only through others, and A knows that B does not answer it.
#[test]
fn who_is_heard_one_way_alone_stays_live_through_others() {
    let mut world = World::started(6, 4);
    world.run(ms(3000));
    let at = world.now;
    world.link = Box::new(|from, to| Path { cut: from == 0 && to == 1, ..CLEAN });
    world.run(ms(60_000));
    assert_eq!(world.deaths(at), []);
    assert_eq!(world.wrong(), []);
    assert_eq!(world.sees(1, 0).reach, Some(Reach::Relayed));
    let answered = world.sees(0, 1).answered.unwrap();
    assert!(world.now - answered > ms(50_000), "1 answers 0, as it does not hear it: {answered:?}");
}

/// Guards against one that sees half of the others and makes the rest of the fleet believe that the half is gone.
#[test]
fn one_that_sees_half_of_the_others_reaches_the_rest_through_them() {
    let mut world = World::started(9, 5);
    world.run(ms(3000));
    let at = world.now;
    world.link = Box::new(|a, b| Path { cut: a.min(b) == 0 && a.max(b) > 4, ..CLEAN });
    world.run(ms(60_000));
    assert_eq!((world.deaths(at), world.wrong()), (vec![], vec![]));
    assert!((5..9).all(|n| world.sees(0, n).reach == Some(Reach::Relayed)));
}

/// Guards against a process that stood still and, once it goes on, believes that all others were gone meanwhile.
#[test]
fn one_that_stood_still_accuses_nobody_when_it_goes_on() {
    for pause in [ms(700), ms(1500), ms(5000), ms(60_000)] {
        let mut world = World::started(8, 6);
        world.run(ms(3050));
        world.pause(2);
        world.run(pause);
        let dead = (0..8).any(|n| n != 2 && world.status(n, 2) == Status::Dead);
        assert!(dead || pause < ms(5000), "the others find it");
        let at = world.now;
        world.resume(2);
        assert!(world.agree_within(ms(2000)).is_some(), "{pause:?}: {:?}", world.wrong());
        world.run(ms(5000));
        assert!(world.deaths(at).iter().all(|(_, by, _)| *by != 2), "{pause:?}: {:?}", world.deaths(at));
        let stalled = world.events.iter().any(|(_, n, e)| *n == 2 && matches!(e, Event::Stalled { .. }));
        assert!(stalled, "{pause:?}");
    }
}

/// Guards against loss that kills, and a dead one that hides behind it.
#[test]
fn loss_of_a_fifth_kills_nobody_and_hides_nobody() {
    let mut world = World::started(20, 7);
    let loss = |_, _| Path { lose: 0.2, delay: ms(55), jitter: ms(55), twice: 0.05, ..CLEAN };
    world.link = Box::new(loss);
    world.run(ms(600_000));
    assert_eq!(world.deaths(Duration::ZERO), []);
    world.kill(11);
    let took = world.agree_within(ms(8000));
    assert!(took.is_some(), "{:?}", world.wrong());
}

/// Guards against a slow link that makes a member come and go for ever: once its slowness is known it is waited for.
#[test]
fn a_link_of_two_seconds_is_learned() {
    let mut world = World::started(6, 8);
    world.run(ms(3000));
    world.link = Box::new(|a, b| Path { delay: if a.min(b) == 0 { ms(2000) } else { ms(1) }, ..CLEAN });
    world.run(ms(60_000));
    let at = world.now;
    world.run(ms(120_000));
    assert_eq!(world.deaths(at), []);
}

/// Guards against a restart that leaves an accusation, and one that ends in good order and is looked for.
#[test]
fn a_restart_within_the_time_of_detection_leaves_nothing() {
    let mut world = World::started(8, 9);
    world.run(ms(3000));
    let at = world.now;
    world.kill(3);
    world.run(ms(600));
    world.start(3);
    assert!(world.agree_within(ms(1500)).is_some(), "{:?}", world.wrong());
    world.run(ms(5000));
    assert_eq!((world.deaths(at), world.wrong()), (vec![], vec![]));
    assert!((0..8).all(|n| n == 3 || world.sees(n, 3).life.unwrap().number == 2));
    world.input(5, Input::Leave);
    world.kill(5);
    world.run(ms(300));
    assert!((0..8).all(|n| n == 5 || world.status(n, 5) == Status::Left));
    world.run(ms(10_000));
    assert!(world.deaths(at).is_empty(), "who left is not looked for");
    world.start(5);
    assert!(world.agree_within(ms(2000)).is_some(), "{:?}", world.wrong());
}

/// Guards against members that come or go by a new list while links are cut, and are then half known.
#[test]
fn members_are_added_and_removed_while_one_is_cut_off() {
    let mut world = World::started(6, 10);
    world.run(ms(3000));
    world.link = Box::new(|a, b| Path { cut: a == 0 || b == 0, ..CLEAN });
    world.run(ms(3000));
    // n5 goes from all lists but that of n0, which hears nobody; its own process ends.
    let all = world.members.clone();
    world.members.truncate(5);
    for n in 1..5 {
        let roster = world.roster(n);
        world.input(n, Input::Follow(SETTINGS, roster));
    }
    world.kill(5);
    world.run(ms(3000));
    assert!((1..5).all(|n| world.view(n).peers.len() == 4));
    world.link = Box::new(|_, _| CLEAN);
    world.run(ms(4000));
    assert!((1..5).all(|n| world.status(0, n) == Status::Live && world.status(n, 0) == Status::Live));
    // Whose files differ is told to both.
    let others = |world: &World, n: usize| world.view(n).peers.iter().filter(|peer| peer.other_list).count();
    assert_eq!((0..5).map(|n| others(&world, n)).collect::<Vec<_>>(), [4, 1, 1, 1, 1]);
    let told = |event: &(_, usize, Event)| matches!(&event.2, Event::OtherList { name, other: true } if name == "n0");
    assert_eq!(world.events.iter().filter(|event| told(event)).count(), 4, "once each");
    world.members = all;
    assert_eq!(world.status(0, 5), Status::Dead);
    for n in 0..5 {
        let roster = world.roster(n);
        world.input(n, Input::Follow(SETTINGS, roster));
    }
    world.start(5);
    assert!(world.agree_within(ms(3000)).is_some(), "{:?}", world.wrong());
    world.run(ms(1000));
    assert!((0..6).all(|n| others(&world, n) == 0), "all read the same again");
}
