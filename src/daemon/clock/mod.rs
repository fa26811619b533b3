//! Converts between engine time and the clocks of the machine.
//!
//! # Problem
//! The deadlines, deduplication windows and retention times in the journal apply across processes, but the
//! wall clock may be stepped between two processes. A step of an hour forward would expire every message; a
//! step of an hour back would repeat messages after their destinations have forgotten the idempotency keys.
//!
//! # Mechanism
//! Engine time starts at the wall time of the first process and then advances with the monotonic clock, which
//! all processes of one boot share. The journal holds an anchor ([`continuity::ClockAnchor`]) from which a
//! later process continues engine time. If that is impossible, [`continuity`] decides which time to assume.
pub mod continuity;

use super::journal::Journal;
use super::ports::{Log, Ports, WallClock};
use crate::Timestamp;
pub use continuity::{ClockAnchor, ClockContinuity};
use continuity::{ClockReading, EngineTime, PreviousProcess, continue_time};
use std::time::Duration;
use tokio::time::Instant;

/// A difference between engine time and the wall clock is logged if it exceeds this, in microseconds.
const MIN_LOGGED_STEP_US: u64 = 1_000_000;

/// The clock of the engine: maps monotonic instants to engine time.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// Engine time at `started_at`, in microseconds.
    engine_start_us: u64,
    /// Wall clock minus engine time at `started_at`, in microseconds.
    wall_offset_us: i64,
    continuity: ClockContinuity,
    /// The anchor to be written to the journal, if it lacks one.
    new_anchor: Option<ClockAnchor>,
}

/// How the previous process ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// The process ended some time ago, or there was none.
    Ended,
    /// The process is handing over to this one.
    HandsOver,
}

impl Clock {
    /// Continues the engine time of earlier processes from the journal, or starts it if there were none.
    pub fn resume(journal: &Journal, predecessor: Predecessor, ports: &Ports) -> Self {
        let started_at = Instant::now();
        let reading = read_clocks(ports);
        let previous = PreviousProcess {
            anchor: journal.clock_anchor().copied(),
            latest_us: journal.latest_time(),
            is_empty: journal.is_empty(),
            hands_over: predecessor == Predecessor::HandsOver,
        };
        let EngineTime { now_us, continuity } = continue_time(&previous, reading);
        let wall_offset_us = reading.wall_us as i64 - now_us as i64;
        let is_anchored = continuity == ClockContinuity::Continued && previous.anchor.is_some();
        let new_anchor = if is_anchored { None } else { reading.anchor_at(now_us) };
        let clock = Self { started_at, engine_start_us: now_us, wall_offset_us, continuity, new_anchor };
        clock.log(&*ports.log);
        clock
    }

    /// Returns a clock whose engine time starts at the machine's wall time. The caller has to decide by other
    /// means which times in the journal are still valid.
    #[must_use]
    pub fn restarted_at_wall_time(self, ports: &Ports) -> Self {
        let (started_at, reading) = (Instant::now(), read_clocks(ports));
        let new_anchor = reading.anchor_at(reading.wall_us);
        Self { started_at, engine_start_us: reading.wall_us, wall_offset_us: 0, new_anchor, ..self }
    }

    /// Returns the current engine time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts a monotonic instant to engine time; instants before the clock's start give its start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        Timestamp(self.engine_start_us + micros(instant.saturating_duration_since(self.started_at)))
    }

    /// Converts engine time to a monotonic instant; timestamps before the clock's start give its start.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started_at + Duration::from_micros(timestamp.0.saturating_sub(self.engine_start_us))
    }

    /// Returns whether durations since times of earlier processes are meaningful.
    pub fn continuity(&self) -> ClockContinuity {
        self.continuity
    }

    /// Returns how far the wall clock was ahead of engine time when this clock started, in microseconds; 0 if
    /// it was behind.
    pub fn wall_lead(&self) -> u64 {
        u64::try_from(self.wall_offset_us).unwrap_or(0)
    }

    /// Returns the anchor to be written to the journal for later processes, or `None` if the journal has a
    /// valid one or the boot is unknown.
    pub fn new_anchor(&self) -> Option<ClockAnchor> {
        self.new_anchor
    }

    fn log(&self, log: &dyn Log) {
        if self.continuity == ClockContinuity::Unknown {
            log.line("clock: downtime unknown deduplication_windows=expired endpoint_waits=restarted");
        } else if self.wall_offset_us.unsigned_abs() > MIN_LOGGED_STEP_US {
            log.line(&format!("clock: wall clock stepped offset_us={}", self.wall_offset_us));
        }
    }
}

fn read_clocks(ports: &Ports) -> ClockReading {
    let wall: &dyn WallClock = &*ports.wall;
    ClockReading { boot: ports.boot, monotonic_us: micros(wall.monotonic()), wall_us: micros(wall.now()) }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
