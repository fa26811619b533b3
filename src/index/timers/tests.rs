use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Guards against a timer that is lost, fires early or fires out of order, by comparison with a sorted list.
#[test]
fn fires_timers_in_the_order_of_a_sorted_list() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u32| random.next_u32() % n;
        let (mut timers, mut model) = (Timers::new(), Vec::new());
        for now in 0..400 {
            let (at, name) = (Timestamp(u64::from(now + draw(60))), draw(20));
            match draw(3) {
                0 => {
                    timers.unset(at, name);
                    model.retain(|set| *set != (at, name));
                }
                _ => {
                    timers.set(at, name);
                    model.push((at, name));
                }
            }
            model.sort_unstable();
            model.dedup();
            assert_eq!(timers.next(), model.first().map(|(at, _)| *at), "seed {seed}");
            while draw(2) == 0 {
                let due = model.first().filter(|(at, _)| at.0 <= u64::from(now)).map(|(_, name)| *name);
                assert_eq!(timers.take_due(Timestamp(u64::from(now))), due, "seed {seed}");
                model.drain(..usize::from(due.is_some()));
            }
        }
    }
}
