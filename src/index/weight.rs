//! The weight of a message over time, as defined by the settings, and the means of rates and shares.
use super::deadline_index::WeightCurve;
use crate::{Class, Settings, Timestamp, WeightDecay};

/// An exponential decay underflows to zero within this many halvings, one for each latency objective.
const MAX_HALVINGS: u64 = 1100;

/// Returns the share of its full weight that a message has `late` microseconds after its latency objective.
fn weight_share(class: &Class, decay: WeightDecay, late: f64) -> f64 {
    let (objective, deadline) = (class.latency_objective.0 as f64, class.deadline.0 as f64);
    match decay {
        WeightDecay::Linear => 1.0 - (1.0 - class.late_weight) * late / (deadline - objective).max(1.0),
        WeightDecay::Exponential => 0.5f64.powf(late / objective.max(1.0)).max(class.late_weight),
    }
}

/// Returns the weight of a message with the given deadline if it is delivered `delay` microseconds after
/// `now`.
pub fn remaining_weight(
    class: &Class,
    decay: WeightDecay,
    now: Timestamp,
    deadline: Timestamp,
    delay: f64,
) -> f64 {
    let accepted = deadline.0 as f64 - class.deadline.0 as f64;
    let late = (now.0 as f64 + delay - accepted - class.latency_objective.0 as f64).max(0.0);
    class.priority_weight * weight_share(class, decay, late)
}

/// Returns the mean of a rate that changes linearly from `a` to `b` and is clamped to `min..=max`. If `min`
/// exceeds `max`, `min` takes precedence.
pub fn mean_rate(a: f64, b: f64, min: f64, max: f64) -> f64 {
    let [x, y] = [a, b].map(|rate| rate.min(max).max(min));
    let below = min * (b.min(min) - a.min(min));
    let above = if b > y { y * (b - a.max(y)) } else { 0.0 };
    if b > a { (below + (y * y - x * x) / 2.0 + above) / (b - a) } else { x }
}

/// Updates an exponentially weighted moving average of a share with an observation of the given weight.
pub fn update_mean_share(share: &mut f64, observed: bool, weight: f64) {
    *share += weight * (f64::from(u8::from(observed)) - *share);
}

/// Returns the weight curves of all classes, by class.
pub fn weight_curves(settings: &Settings) -> Vec<WeightCurve> {
    settings.classes.iter().map(|class| weight_curve(class, settings.weight_decay)).collect()
}

/// Returns the weight curve of a class.
pub fn weight_curve(class: &Class, decay: WeightDecay) -> WeightCurve {
    let falls = class.priority_weight > 0.0 && class.late_weight < 1.0;
    // A linear decay reaches its minimum only at the deadline, so its curve needs no minimum.
    let max_lateness = match decay {
        WeightDecay::Exponential => class.latency_objective.0.max(1).saturating_mul(MAX_HALVINGS),
        WeightDecay::Linear => 0,
    };
    let is_minimum = |late| max_lateness > 0 && weight_share(class, decay, late as f64) <= class.late_weight;
    let remaining = class.deadline.0.saturating_sub(class.latency_objective.0);
    WeightCurve::new(falls, remaining, max_lateness, is_minimum)
}

#[cfg(test)]
mod tests;
