//! What strangers, replays, liars and floods can do.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use rand_chacha::rand_core::RngCore;

/// Guards against any datagram that was not sealed by who it says, or was sent before: nothing may change by it.
#[test]
fn forged_foreign_and_repeated_datagrams_change_nothing() {
    let mut world = World::started(4, 1);
    world.wire = Some(Vec::new());
    world.run(ms(3000));
    let said = world.wire.take().unwrap();
    world.run(ms(1000));
    // Those of n1 die with it: what it said before must not keep it alive, whoever says it again.
    world.kill(1);
    assert!(world.agree_within(ms(3000)).is_some());
    let (before, sent) = (world.view(0), world.view(0).counts.sent);
    for (_, to, bytes) in said.iter().filter(|(_, to, _)| *to == 0).cycle().take(20_000) {
        world.input(*to, Input::Datagram(bytes));
        let mut changed = bytes.clone();
        let at = world.chance.next_u64() as usize % changed.len();
        changed[at] ^= 1 << (world.chance.next_u64() % 8);
        world.input(*to, Input::Datagram(&changed));
        changed.truncate(at);
        world.input(*to, Input::Datagram(&changed));
        let mut noise = vec![0; at];
        world.chance.fill_bytes(&mut noise);
        world.input(*to, Input::Datagram(&noise));
    }
    let after = world.view(0);
    assert_eq!((before.life, before.standing, before.doubt), (after.life, after.standing, after.doubt));
    for (was, is) in before.peers.iter().zip(&after.peers) {
        assert_eq!((was.status, was.life, was.heard), (is.status, is.life, is.heard), "{}", is.name);
    }
    // Whatever they say, no more goes out than the ceiling's burst.
    assert!(after.counts.sent - sent <= 100, "{}", after.counts.sent - sent);
    assert!(after.counts.forged > 10_000 && after.counts.foreign > 10_000, "{:?}", after.counts);
}

/// Guards against replays to a sender that has started again: it has no memory of what came before.
#[test]
fn what_was_said_to_an_earlier_run_shows_nothing() {
    let mut world = World::started(4, 2);
    world.wire = Some(Vec::new());
    world.run(ms(3000));
    let said = world.wire.take().unwrap();
    (0..4).for_each(|n| world.kill(n));
    world.start(0);
    world.run(ms(100));
    for (_, _, bytes) in said.iter().filter(|(_, to, _)| *to == 0) {
        world.input(0, Input::Datagram(bytes));
    }
    let view = world.view(0);
    assert!(view.peers.iter().all(|peer| peer.heard.is_none() && peer.status != Status::Live), "{view:?}");
    assert_eq!(view.standing, Standing::Asking);
}

/// Guards against a member that floods: its own share is all that it gets, and others are heard beside it.
#[test]
fn a_member_that_floods_is_held_to_its_share() {
    let mut world = World::started(4, 3);
    world.wire = Some(Vec::new());
    world.run(ms(2000));
    let flood: Vec<_> =
        world.wire.take().unwrap().into_iter().filter(|(by, to, _)| (*by, *to) == (1, 0)).collect();
    for _ in 0..100 {
        for (_, to, bytes) in flood.iter().cycle().take(200) {
            world.input(*to, Input::Datagram(bytes));
        }
        world.run(ms(50));
    }
    let counts = world.view(0).counts;
    assert!(counts.flooded > 15_000, "{counts:?}");
    assert_eq!(world.wrong(), []);
}
