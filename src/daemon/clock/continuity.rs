//! Continues engine time from one process to the next. No I/O and no clock: the readings are arguments.
use micadrum_recovery::BootId;
use serde::{Deserialize, Serialize};

/// The longest downtime, in microseconds, that is assumed after a process whose time cannot be continued.
const MAX_ASSUMED_DOWNTIME_US: u64 = 30_000_000;
/// How far the time in a record may be ahead of the continued time, in microseconds; allows for rounding.
const RECORD_TOLERANCE_US: u64 = 100_000;

/// Engine time and the monotonic clock at the same instant. Stored by position: fields must not be reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The boot of the machine from which the monotonic clock counts.
    pub boot: BootId,
    /// The monotonic clock, in microseconds.
    pub monotonic_us: u64,
    /// Engine time, in microseconds.
    pub engine_us: u64,
}

/// The clocks of the machine at the start of a process.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The current boot of the machine; `None` if the system does not identify it.
    pub boot: Option<BootId>,
    /// The monotonic clock, in microseconds.
    pub monotonic_us: u64,
    /// The wall clock, in microseconds since the Unix epoch.
    pub wall_us: u64,
}

impl ClockReading {
    /// Returns an anchor with the engine time `engine_us` at this reading, or `None` if the boot is unknown.
    pub fn anchor_at(self, engine_us: u64) -> Option<ClockAnchor> {
        let Self { boot, monotonic_us, .. } = self;
        Some(ClockAnchor { boot: boot?, monotonic_us, engine_us })
    }
}

/// What the journal shows of the previous process's engine time.
#[derive(Clone, Copy, Debug)]
pub struct PreviousProcess {
    /// The last anchor in the journal.
    pub anchor: Option<ClockAnchor>,
    /// The latest time in a record, in microseconds; 0 if there is none.
    pub latest_us: u64,
    /// Whether the journal is empty.
    pub is_empty: bool,
    /// Whether the previous process is handing over to this one.
    pub hands_over: bool,
}

/// Whether durations between times of earlier processes and of this one are meaningful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockContinuity {
    /// This process continues the time of the earlier ones, or is the first one.
    Continued,
    /// The time since the previous process ended is unknown.
    Unknown,
}

/// Engine time at the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTime {
    /// Engine time, in microseconds.
    pub now_us: u64,
    /// Whether times of earlier processes are comparable with `now_us`.
    pub continuity: ClockContinuity,
}

/// Returns engine time at the start of a process.
///
/// Without an anchor of this boot, the wall clock is used only if it is plausible, that is neither before the
/// latest record nor long after it. Otherwise engine time starts at the latest record, so that a wrong wall
/// clock moves no deadline by hours.
pub fn continue_time(previous: &PreviousProcess, reading: ClockReading) -> EngineTime {
    if let Some(now_us) = continued_from_anchor(previous, reading) {
        return EngineTime { now_us, continuity: ClockContinuity::Continued };
    }
    if previous.is_empty || (previous.hands_over && previous.anchor.is_none()) {
        return EngineTime { now_us: reading.wall_us, continuity: ClockContinuity::Continued };
    }
    let plausible_times = previous.latest_us..=previous.latest_us.saturating_add(MAX_ASSUMED_DOWNTIME_US);
    let is_plausible = previous.latest_us == 0 || plausible_times.contains(&reading.wall_us);
    let now_us = if is_plausible { reading.wall_us } else { previous.latest_us };
    EngineTime { now_us, continuity: ClockContinuity::Unknown }
}

/// Returns engine time as continued from the anchor, or `None` if there is no anchor of this boot or if it
/// contradicts the records.
fn continued_from_anchor(previous: &PreviousProcess, reading: ClockReading) -> Option<u64> {
    let anchor = previous.anchor.filter(|anchor| Some(anchor.boot) == reading.boot)?;
    let elapsed_us = reading.monotonic_us.checked_sub(anchor.monotonic_us)?;
    let now_us = anchor.engine_us.saturating_add(elapsed_us);
    let contradicts_records = previous.latest_us > now_us.saturating_add(RECORD_TOLERANCE_US);
    (!contradicts_records).then_some(now_us)
}

#[cfg(test)]
mod tests;
