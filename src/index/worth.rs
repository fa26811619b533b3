//! What a message is worth as time passes: the curves that the settings give, and where they bend.
use super::shelf::Bends;
use crate::{Class, Decay, Time};

/// Share of its worth that is left of a message that is so late, in microseconds.
fn share(class: &Class, decay: Decay, late: f64) -> f64 {
    let (aim, end) = (class.aim.0 as f64, class.deadline.0 as f64);
    match decay {
        Decay::Even => 1.0 - (1.0 - class.late_worth) * late / (end - aim).max(1.0),
        Decay::Halves => 0.5f64.powf(late / aim.max(1.0)).max(class.late_worth),
    }
}

/// What delivering a message of that deadline earns, `delay` microseconds after `now`.
pub fn worth(class: &Class, decay: Decay, now: Time, deadline: Time, delay: f64) -> f64 {
    let born = deadline.0 as f64 - class.deadline.0 as f64;
    let late = (now.0 as f64 + delay - born - class.aim.0 as f64).max(0.0);
    class.worth * share(class, decay, late)
}

/// The mean of a rate that grows evenly from `a` to `b` and is held under `most` and, before all, over `least`.
pub fn mean_rate(a: f64, b: f64, least: f64, most: f64) -> f64 {
    let [x, y] = [a, b].map(|rate| rate.min(most).max(least));
    let below = least * (b.min(least) - a.min(least));
    let above = if b > y { y * (b - a.max(y)) } else { 0.0 };
    if b > a { (below + (y * y - x * x) / 2.0 + above) / (b - a) } else { x }
}

/// Moves a learned share by one more observation of that weight.
pub fn learn(share: &mut f64, seen: bool, weight: f64) {
    *share += weight * (f64::from(u8::from(seen)) - *share);
}

/// Where it begins to fall, and where it falls no more.
pub fn bends(class: &Class, decay: Decay) -> Bends {
    let falls = class.worth > 0.0 && class.late_worth < 1.0;
    // After 1100 aims nothing is left to halve; on an even slope the bottom is the deadline.
    let most = if decay == Decay::Halves { class.aim.0.max(1).saturating_mul(1100) } else { 0 };
    let bottom = |late| most > 0 && share(class, decay, late as f64) <= class.late_worth;
    Bends::new(falls, class.deadline.0.saturating_sub(class.aim.0), most, bottom)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::index::shelf::Shelf;
    use crate::{MessageId, Repeat, Span};
    use rand_chacha::ChaCha8Rng;
    use rand_chacha::rand_core::{RngCore, SeedableRng};

    /// Guards against an order of worth that is not that of the curve: at random times, for both decays, the shelf's
    /// choice is the one that the curve itself tells, and it gives way no later than it says.
    #[test]
    fn the_bends_are_those_of_the_curve() {
        for seed in 0..300 {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let mut draw = move |n: u64| random.next_u64() % n;
            let aim = 1 + draw(3_000_000);
            let class = Class {
                aim: Span(aim),
                deadline: Span(aim + draw(20_000_000)),
                worth: draw(3) as f64,
                late_worth: [0.0, 0.02, 0.3, 0.5, 1.0][draw(5) as usize],
                repeat: Repeat::Safe,
                ordered: false,
            };
            let decay = if seed % 2 == 0 { Decay::Even } else { Decay::Halves };
            let (bends, mut shelf) = (bends(&class, decay), Shelf::new());
            let all: Vec<_> =
                (0..30).map(|id| (Time(50_000_000 + draw(30_000_000)), MessageId(id))).collect();
            all.iter().for_each(|(at, id)| shelf.insert((), *at, *id));
            let best = |now: Time| {
                let mut live: Vec<_> = all.iter().filter(|(at, _)| *at >= now).collect();
                let worth = |at: Time| worth(&class, decay, now, at, 0.0);
                live.sort_by(|a, b| worth(b.0).total_cmp(&worth(a.0)).then(a.cmp(b)));
                live.first().map(|first| **first)
            };
            for _ in 0..40 {
                let now = Time(40_000_000 + draw(40_000_000));
                let found = shelf.best((), &bends.cuts(now, now));
                assert_eq!(found, best(now), "seed {seed}: {class:?} at {now:?}");
                let Some((first, _)) = found else { continue };
                let until = bends.gives_way(now, first).unwrap_or(Time(u64::MAX)).min(first);
                if until > now {
                    let before = Time(now.0 + draw(until.0 - now.0));
                    assert_eq!(best(before), found, "seed {seed}: {class:?} from {now:?} to {before:?}");
                }
            }
        }
    }
}
