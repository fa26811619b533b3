use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Returns a number that orders deadlines by weight: constant up to the minimum, rising, then constant at
/// full weight.
fn weight_rank(boundaries: &WeightBoundaries, at: Timestamp) -> u64 {
    at.0.clamp(
        boundaries.minimum_before.0.min(boundaries.full_from.0).saturating_sub(1),
        boundaries.full_from.0,
    )
}

/// Guards against returning an item that is not the heaviest one, by comparison with a list that is sorted
/// for each lookup.
#[test]
fn finds_the_same_items_as_a_sorted_list() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u64| random.next_u64() % n;
        let (mut index, mut model) = (DeadlineIndex::new(), Vec::new());
        for _ in 0..draw(60) {
            let item = (draw(3), Timestamp(draw(100)), MessageId(draw(50) as u32));
            index.insert(item.0, item.1, item.2);
            model.push(item);
            if draw(4) == 0 {
                let (group, at, id) = model.swap_remove(draw(model.len() as u64) as usize);
                index.remove(group, at, id);
                model.retain(|other| *other != (group, at, id));
            }
        }
        model.sort_unstable();
        assert_eq!(
            index.iter().collect::<Vec<_>>(),
            {
                model.dedup();
                model.clone()
            },
            "seed {seed}"
        );
        for _ in 0..40 {
            let expired_before = draw(60);
            let minimum_before = expired_before + draw(40);
            let full_from = minimum_before + draw(60);
            let boundaries = WeightBoundaries {
                expired_before: Timestamp(expired_before),
                minimum_before: Timestamp(minimum_before),
                full_from: Timestamp(full_from),
            };
            // In the ranges of full and of falling weight, items fit up to a random deadline; of minimum
            // weight, all of them or none.
            let (full_end, falling_end, minimum_fits) =
                (full_from + draw(80), minimum_before + draw(60), draw(2) == 0);
            let fits = |at: Timestamp| match at.0 {
                at if at >= full_from => at < full_end,
                at if at >= minimum_before => at < falling_end,
                _ => minimum_fits,
            };
            for group in 0..3 {
                let mut candidates: Vec<_> =
                    model.iter().filter(|(of, at, _)| *of == group && at.0 >= expired_before).collect();
                candidates
                    .sort_by_key(|(_, at, id)| (std::cmp::Reverse(weight_rank(&boundaries, *at)), *at, *id));
                let found = candidates.iter().find(|(_, at, _)| fits(*at)).map(|(_, at, id)| (*at, *id));
                assert_eq!(
                    index.heaviest_where(group, &boundaries, fits),
                    found,
                    "seed {seed}: {boundaries:?}"
                );
                let first = candidates.first().map(|(_, at, id)| (*at, *id));
                assert_eq!(index.heaviest(group, &boundaries), first, "seed {seed}: {boundaries:?}");
            }
        }
    }
}
