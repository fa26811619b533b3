//! Converts between the timestamps of the decision engine and the clocks of the machine.
use crate::Timestamp;
use crate::daemon::ports::WallClock;
use std::time::Duration;
use tokio::time::Instant;

/// The engine's clock: the wall time at the start of the process, so that deadlines hold across processes,
/// advanced by the monotonic clock, so that nothing within one process jumps.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started_at: Instant,
    /// The wall time at `started_at`, in microseconds since the Unix epoch.
    wall_at_start: u64,
}

impl Clock {
    /// Starts the clock at the present wall time.
    pub(super) fn new(wall: &dyn WallClock) -> Self {
        Self { started_at: Instant::now(), wall_at_start: micros(wall.now()) }
    }

    /// Returns the present timestamp.
    pub(super) fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts a monotonic instant into the engine's timestamp.
    pub(super) fn timestamp(&self, instant: Instant) -> Timestamp {
        Timestamp(self.wall_at_start + micros(instant.saturating_duration_since(self.started_at)))
    }

    /// Converts the engine's timestamp into a monotonic instant; timestamps before the start give the start.
    pub(super) fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started_at + Duration::from_micros(timestamp.0.saturating_sub(self.wall_at_start))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
