//! Converts between the timestamps of the decision engine and the clocks of the machine.
//!
//! # Problem
//! Deadlines, deduplication windows and the retention of completed IDs stand in the journal, and hold across processes. The
//! wall clock may be stepped between two processes; an hour forward would end every message, and an hour back would have a
//! message repeated that its destination no longer remembers.
//!
//! # Mechanism
//! The engine's time starts at the wall time of the first process, and from then on advances by the monotonic clock, which
//! all processes of one boot share. The journal holds an anchor ([`continuity::ClockAnchor`]) from which a later process
//! continues it. Where that is impossible, [`continuity`] decides what is assumed.
pub mod continuity;

use super::journal::Journal;
use super::ports::{Log, Ports, WallClock};
use crate::Timestamp;
pub use continuity::{ClockAnchor, ClockContinuity};
use continuity::{ClockReading, EngineTime, Previous, continue_time};
use std::time::Duration;
use tokio::time::Instant;

/// A difference between the engine's time and the wall clock is logged if it is larger.
const MIN_LOGGED_STEP_US: u64 = 1_000_000;

/// The engine's clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// The engine's time at `started_at`, in microseconds.
    engine_at_start: u64,
    /// How far the wall clock was ahead of the engine's time at `started_at`, in microseconds.
    wall_offset: i64,
    continuity: ClockContinuity,
    /// The anchor that the journal does not have yet.
    new_anchor: Option<ClockAnchor>,
}

/// Whether an earlier process stood by for this one until now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// The earlier process ended some time ago, if there was one.
    Ended,
    /// The earlier process hands over just now.
    HandsOver,
}

impl Clock {
    /// Continues the time of the journal's earlier processes, or starts one.
    pub fn resume(journal: &Journal, predecessor: Predecessor, ports: &Ports) -> Self {
        let started_at = Instant::now();
        let reading = read_clocks(ports);
        let previous = Previous {
            anchor: journal.clock_anchor().copied(),
            latest_us: journal.latest_time(),
            is_empty: journal.is_empty(),
            hands_over: predecessor == Predecessor::HandsOver,
        };
        let EngineTime { now_us, continuity } = continue_time(&previous, reading);
        let wall_offset = reading.wall_us as i64 - now_us as i64;
        let is_anchored = continuity == ClockContinuity::Continued && previous.anchor.is_some();
        let new_anchor = if is_anchored { None } else { reading.anchor_at(now_us) };
        let clock = Self { started_at, engine_at_start: now_us, wall_offset, continuity, new_anchor };
        clock.log(&*ports.log);
        clock
    }

    /// Starts at the wall time of the machine: whoever calls this judges by other means what the journal's times are worth.
    #[must_use]
    pub fn restarted_at_wall_time(self, ports: &Ports) -> Self {
        let (started_at, reading) = (Instant::now(), read_clocks(ports));
        let new_anchor = reading.anchor_at(reading.wall_us);
        Self { started_at, engine_at_start: reading.wall_us, wall_offset: 0, new_anchor, ..self }
    }

    /// Returns the present timestamp.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts a monotonic instant into the engine's timestamp.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        Timestamp(self.engine_at_start + micros(instant.saturating_duration_since(self.started_at)))
    }

    /// Converts the engine's timestamp into a monotonic instant; timestamps before the start give the start.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started_at + Duration::from_micros(timestamp.0.saturating_sub(self.engine_at_start))
    }

    /// Whether durations since times of earlier processes are meaningful.
    pub fn continuity(&self) -> ClockContinuity {
        self.continuity
    }

    /// Returns how far the wall clock may be ahead of the engine's time, in microseconds.
    pub fn wall_lead(&self) -> u64 {
        u64::try_from(self.wall_offset).unwrap_or(0)
    }

    /// Returns the anchor that the journal needs for later processes, and does not have.
    pub fn new_anchor(&self) -> Option<ClockAnchor> {
        self.new_anchor
    }

    fn log(&self, log: &dyn Log) {
        if self.continuity == ClockContinuity::Unknown {
            log.line(
                "clock: unknown how long ago the last process ended, windows count as over and waits as still binding",
            );
        } else if self.wall_offset.unsigned_abs() > MIN_LOGGED_STEP_US {
            log.line(&format!("clock: the wall clock was stepped offset_us={}", self.wall_offset));
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
