//! What a message is worth as time passes: the curves that the settings give, and where they bend.
use super::deadline_index::WeightCurve;
use crate::{Class, Settings, Timestamp, WeightDecay};

/// Share of its worth that is left of a message that is so late, in microseconds.
fn weight_share(class: &Class, decay: WeightDecay, late: f64) -> f64 {
    let (aim, end) = (class.latency_objective.0 as f64, class.deadline.0 as f64);
    match decay {
        WeightDecay::Linear => 1.0 - (1.0 - class.late_weight) * late / (end - aim).max(1.0),
        WeightDecay::Exponential => 0.5f64.powf(late / aim.max(1.0)).max(class.late_weight),
    }
}

/// What delivering a message of that deadline earns, `delay` microseconds after `now`.
pub fn remaining_weight(
    class: &Class,
    decay: WeightDecay,
    now: Timestamp,
    deadline: Timestamp,
    delay: f64,
) -> f64 {
    let born = deadline.0 as f64 - class.deadline.0 as f64;
    let late = (now.0 as f64 + delay - born - class.latency_objective.0 as f64).max(0.0);
    class.priority_weight * weight_share(class, decay, late)
}

/// The mean of a rate that grows evenly from `a` to `b` and is held under `most` and, before all, over `least`.
pub fn mean_rate(a: f64, b: f64, least: f64, most: f64) -> f64 {
    let [x, y] = [a, b].map(|rate| rate.min(most).max(least));
    let below = least * (b.min(least) - a.min(least));
    let above = if b > y { y * (b - a.max(y)) } else { 0.0 };
    if b > a { (below + (y * y - x * x) / 2.0 + above) / (b - a) } else { x }
}

/// Moves a learned share by one more observation of that weight.
pub fn update_mean_share(share: &mut f64, seen: bool, weight: f64) {
    *share += weight * (f64::from(u8::from(seen)) - *share);
}

/// Returns the weight curves of all classes, by class.
pub fn weight_curves(settings: &Settings) -> Vec<WeightCurve> {
    settings.classes.iter().map(|class| weight_curve(class, settings.weight_decay)).collect()
}

/// Returns when the weight of a class begins to fall, and when it falls no more.
pub fn weight_curve(class: &Class, decay: WeightDecay) -> WeightCurve {
    let falls = class.priority_weight > 0.0 && class.late_weight < 1.0;
    // After 1100 aims nothing is left to halve; on an even slope the bottom is the deadline.
    let most = if decay == WeightDecay::Exponential {
        class.latency_objective.0.max(1).saturating_mul(1100)
    } else {
        0
    };
    let bottom = |late| most > 0 && weight_share(class, decay, late as f64) <= class.late_weight;
    WeightCurve::new(falls, class.deadline.0.saturating_sub(class.latency_objective.0), most, bottom)
}

#[cfg(test)]
mod tests;
