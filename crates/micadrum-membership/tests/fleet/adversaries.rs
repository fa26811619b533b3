//! Forged and replayed datagrams, and members that flood others.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use rand_chacha::rand_core::RngCore;

/// Guards against forged and replayed datagrams that change the state of a member.
#[test]
fn forged_foreign_and_replayed_datagrams_change_nothing() {
    let mut fleet = SimulatedFleet::started(4, 1);
    fleet.captured = Some(Vec::new());
    fleet.run(ms(3000));
    let captured = fleet.captured.take().unwrap();
    fleet.run(ms(1000));
    // Replayed datagrams of n1 must not make it appear alive after its death.
    fleet.kill(1);
    assert!(fleet.converge_within(ms(3000)).is_some());
    let (before, sent) = (fleet.view(0), fleet.view(0).counts.sent);
    for (_, to, bytes) in captured.iter().filter(|(_, to, _)| *to == 0).cycle().take(20_000) {
        fleet.input(*to, Input::Datagram(bytes));
        let mut changed = bytes.clone();
        let at = fleet.rng.next_u64() as usize % changed.len();
        changed[at] ^= 1 << (fleet.rng.next_u64() % 8);
        fleet.input(*to, Input::Datagram(&changed));
        changed.truncate(at);
        fleet.input(*to, Input::Datagram(&changed));
        let mut noise = vec![0; at];
        fleet.rng.fill_bytes(&mut noise);
        fleet.input(*to, Input::Datagram(&noise));
    }
    let after = fleet.view(0);
    assert_eq!(
        (before.incarnation, before.local_status, before.local_health_score),
        (after.incarnation, after.local_status, after.local_health_score)
    );
    for (old, new) in before.peers.iter().zip(&after.peers) {
        assert_eq!(
            (old.status, old.incarnation, old.last_heard),
            (new.status, new.incarnation, new.last_heard),
            "{}",
            new.name
        );
    }
    // The datagrams sent in response do not exceed the burst of the send budget.
    assert!(after.counts.sent - sent <= 100, "{}", after.counts.sent - sent);
    assert!(after.counts.forged > 10_000 && after.counts.foreign > 10_000, "{:?}", after.counts);
}

/// Guards against accepting replays after a restart, when all replay windows are empty.
#[test]
fn datagrams_to_an_earlier_run_prove_nothing() {
    let mut fleet = SimulatedFleet::started(4, 2);
    fleet.captured = Some(Vec::new());
    fleet.run(ms(3000));
    let captured = fleet.captured.take().unwrap();
    (0..4).for_each(|n| fleet.kill(n));
    fleet.start(0);
    fleet.run(ms(100));
    for (_, _, bytes) in captured.iter().filter(|(_, to, _)| *to == 0) {
        fleet.input(0, Input::Datagram(bytes));
    }
    let view = fleet.view(0);
    assert!(
        view.peers.iter().all(|peer| peer.last_heard.is_none() && peer.status != Status::Live),
        "{view:?}"
    );
    assert_eq!(view.local_status, LocalStatus::ConfirmingIncarnation);
}

/// Guards against a flooding member that keeps others from being heard.
#[test]
fn a_flooding_member_is_rate_limited() {
    let mut fleet = SimulatedFleet::started(4, 3);
    fleet.captured = Some(Vec::new());
    fleet.run(ms(2000));
    let flood: Vec<_> =
        fleet.captured.take().unwrap().into_iter().filter(|(by, to, _)| (*by, *to) == (1, 0)).collect();
    for _ in 0..100 {
        for (_, to, bytes) in flood.iter().cycle().take(200) {
            fleet.input(*to, Input::Datagram(bytes));
        }
        fleet.run(ms(50));
    }
    let counts = fleet.view(0).counts;
    assert!(counts.over_limit > 15_000, "{counts:?}");
    assert_eq!(fleet.wrong_views(), []);
}
