//! The module's clock, on the clocks of the machine.
use crate::Timestamp;
use crate::daemon::ports::WallClock;
use std::time::Duration;
use tokio::time::Instant;

/// The module's clock: wall time at the start, so that deadlines hold across processes, carried on by the
/// monotonic clock, so that nothing within one process jumps.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    wall: u64,
}

impl Clock {
    pub(super) fn new(wall: &dyn WallClock) -> Self {
        Self { start: Instant::now(), wall: micros(wall.now()) }
    }

    pub(super) fn at(&self, instant: Instant) -> Timestamp {
        Timestamp(self.wall + micros(instant.saturating_duration_since(self.start)))
    }

    pub(super) fn instant(&self, time: Timestamp) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.wall))
    }
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
