use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// The order of worth, told by a curve: plateau, slope, plateau.
fn worth(cuts: &WeightBoundaries, at: Timestamp) -> u64 {
    at.0.clamp(cuts.minimum_before.0.min(cuts.full_from.0).saturating_sub(1), cuts.full_from.0)
}

/// Guards against an item found out of the order of worth: against a list that is sorted anew for each look.
#[test]
fn a_shelf_finds_what_sorting_finds() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u64| random.next_u64() % n;
        let (mut shelf, mut model) = (DeadlineIndex::new(), Vec::new());
        for _ in 0..draw(60) {
            let item = (draw(3), Timestamp(draw(100)), MessageId(draw(50) as u32));
            shelf.insert(item.0, item.1, item.2);
            model.push(item);
            if draw(4) == 0 {
                let (group, at, id) = model.swap_remove(draw(model.len() as u64) as usize);
                shelf.remove(group, at, id);
                model.retain(|other| *other != (group, at, id));
            }
        }
        model.sort_unstable();
        assert_eq!(
            shelf.iter().collect::<Vec<_>>(),
            {
                model.dedup();
                model.clone()
            },
            "seed {seed}"
        );
        for _ in 0..40 {
            let dead = draw(60);
            let least = dead + draw(40);
            let late = least + draw(60);
            let cuts = WeightBoundaries {
                expired_before: Timestamp(dead),
                minimum_before: Timestamp(least),
                full_from: Timestamp(late),
            };
            // Fits up to a deadline in each stretch: among those worth the same, that is up to any; on the slope too.
            let (full, slope, low) = (late + draw(80), least + draw(60), draw(2) == 0);
            let fits = |at: Timestamp| match at.0 {
                at if at >= late => at < full,
                at if at >= least => at < slope,
                _ => low,
            };
            for group in 0..3 {
                let mut all: Vec<_> =
                    model.iter().filter(|(of, at, _)| *of == group && at.0 >= dead).collect();
                all.sort_by_key(|(_, at, id)| (std::cmp::Reverse(worth(&cuts, *at)), *at, *id));
                let found = all.iter().find(|(_, at, _)| fits(*at)).map(|(_, at, id)| (*at, *id));
                assert_eq!(shelf.heaviest_where(group, &cuts, fits), found, "seed {seed}: {cuts:?}");
                let first = all.first().map(|(_, at, id)| (*at, *id));
                assert_eq!(shelf.heaviest(group, &cuts), first, "seed {seed}: {cuts:?}");
            }
        }
    }
}
