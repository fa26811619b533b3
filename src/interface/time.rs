//! Points in time and durations.
use serde::{Deserialize, Serialize};

/// A point in time on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// A duration, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct TimeDelta(pub u64);

/// Converts microseconds to seconds.
pub(crate) fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

/// Returns the time `micros` microseconds after `time`; negative values count as 0.
pub(crate) fn after(time: Timestamp, micros: f64) -> Timestamp {
    Timestamp(time.0 + micros.max(0.0) as u64)
}

/// Returns the microseconds from `then` to `now`; 0 if `now` is earlier.
pub(crate) fn since(now: Timestamp, then: Timestamp) -> u64 {
    now.0.saturating_sub(then.0)
}
