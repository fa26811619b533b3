use super::*;
use crate::index::deadline_index::DeadlineIndex;
use crate::{Idempotency, MessageId, TimeDelta};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Guards against a heaviest item that differs from the one computed from the weights, for both decays, and
/// against an item that is overtaken before the reported time.
#[test]
fn weight_curve_agrees_with_the_computed_weights() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u64| random.next_u64() % n;
        let objective = 1 + draw(3_000_000);
        let class = Class {
            latency_objective: TimeDelta(objective),
            deadline: TimeDelta(objective + draw(20_000_000)),
            priority_weight: draw(3) as f64,
            late_weight: [0.0, 0.02, 0.3, 0.5, 1.0][draw(5) as usize],
            idempotency: Idempotency::Idempotent,
            ordered: false,
        };
        let decay = if seed % 2 == 0 { WeightDecay::Linear } else { WeightDecay::Exponential };
        let (curve, mut index) = (weight_curve(&class, decay), DeadlineIndex::new());
        let items: Vec<_> =
            (0..30).map(|id| (Timestamp(50_000_000 + draw(30_000_000)), MessageId(id))).collect();
        items.iter().for_each(|(at, id)| index.insert((), *at, *id));
        let best = |now: Timestamp| {
            let mut unexpired: Vec<_> = items.iter().filter(|(at, _)| *at >= now).collect();
            let weight = |at: Timestamp| remaining_weight(&class, decay, now, at, 0.0);
            unexpired.sort_by(|a, b| weight(b.0).total_cmp(&weight(a.0)).then(a.cmp(b)));
            unexpired.first().map(|first| **first)
        };
        for _ in 0..40 {
            let now = Timestamp(40_000_000 + draw(40_000_000));
            let found = index.heaviest((), &curve.boundaries(now, now));
            assert_eq!(found, best(now), "seed {seed}: {class:?} at {now:?}");
            let Some((first, _)) = found else { continue };
            let until = curve.overtaken_at(now, first).unwrap_or(Timestamp(u64::MAX)).min(first);
            if until > now {
                let before = Timestamp(now.0 + draw(until.0 - now.0));
                assert_eq!(best(before), found, "seed {seed}: {class:?} from {now:?} to {before:?}");
            }
        }
    }
}
