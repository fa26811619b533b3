//! How the engine's time goes on from one process to the next. No I/O and no clock: the readings are arguments.
use micadrum_recovery::BootId;
use serde::{Deserialize, Serialize};

/// An earlier process whose time cannot be continued is assumed to have ended no longer ago than this, in microseconds.
const MAX_ASSUMED_DOWNTIME_US: u64 = 30_000_000;
/// By so much a record may be younger than the continued time, in microseconds: times are rounded.
const RECORD_TOLERANCE_US: u64 = 100_000;

/// A moment at which both the engine's time and the monotonic clock were known. Stored by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The boot of the machine that the monotonic clock counts from.
    pub boot: BootId,
    /// The monotonic clock, in microseconds.
    pub monotonic_us: u64,
    /// The engine's time, in microseconds.
    pub engine_us: u64,
}

/// What the clocks of the machine show at the start of a process.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The boot of the machine; none where the system does not name it.
    pub boot: Option<BootId>,
    /// The monotonic clock, in microseconds.
    pub monotonic_us: u64,
    /// The wall clock, in microseconds since the Unix epoch.
    pub wall_us: u64,
}

impl ClockReading {
    /// Returns an anchor of the engine's time at this moment; none where the boot is unknown.
    pub fn anchor_at(self, engine_us: u64) -> Option<ClockAnchor> {
        let Self { boot, monotonic_us, .. } = self;
        Some(ClockAnchor { boot: boot?, monotonic_us, engine_us })
    }
}

/// What earlier processes left in the journal.
#[derive(Clone, Copy, Debug)]
pub struct Previous {
    /// Their last anchor.
    pub anchor: Option<ClockAnchor>,
    /// The latest of their times that a record mentions, in microseconds.
    pub latest_us: u64,
    /// The journal holds nothing.
    pub is_empty: bool,
    /// The earlier process hands over just now.
    pub hands_over: bool,
}

/// Whether durations between times of earlier processes and of this one are meaningful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockContinuity {
    /// This process continues the time of the earlier ones, or is the first one.
    Continued,
    /// Nobody knows how long ago the last process ended.
    Unknown,
}

/// The engine's time at the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTime {
    /// The time, in microseconds.
    pub now_us: u64,
    /// What earlier times are worth.
    pub continuity: ClockContinuity,
}

/// Decides on the engine's time at the start of a process.
///
/// Without an anchor of this boot the wall clock is believed only as far as it can be true: it does not show a time before
/// the last record, nor one long after it, so that a message is neither an hour late nor has an hour left.
pub fn continue_time(previous: &Previous, reading: ClockReading) -> EngineTime {
    if let Some(now_us) = continued_from_anchor(previous, reading) {
        return EngineTime { now_us, continuity: ClockContinuity::Continued };
    }
    if previous.is_empty || (previous.hands_over && previous.anchor.is_none()) {
        return EngineTime { now_us: reading.wall_us, continuity: ClockContinuity::Continued };
    }
    let plausible = previous.latest_us..=previous.latest_us.saturating_add(MAX_ASSUMED_DOWNTIME_US);
    let is_believed = previous.latest_us == 0 || plausible.contains(&reading.wall_us);
    let now_us = if is_believed { reading.wall_us } else { previous.latest_us };
    EngineTime { now_us, continuity: ClockContinuity::Unknown }
}

/// Returns the time that follows from the anchor; none if the anchor is of another boot, or contradicts the records.
fn continued_from_anchor(previous: &Previous, reading: ClockReading) -> Option<u64> {
    let anchor = previous.anchor.filter(|anchor| Some(anchor.boot) == reading.boot)?;
    let elapsed_us = reading.monotonic_us.checked_sub(anchor.monotonic_us)?;
    let now_us = anchor.engine_us.saturating_add(elapsed_us);
    let contradicts = previous.latest_us > now_us.saturating_add(RECORD_TOLERANCE_US);
    (!contradicts).then_some(now_us)
}

#[cfg(test)]
mod tests;
