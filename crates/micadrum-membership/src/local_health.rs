//! The local health multiplier of Lifeguard (Dadgar et al., 2018): a member that is slow or cut off itself grants others
//! more time before it suspects them.
use std::time::Duration;

/// The worst score.
const MAX_SCORE: u32 = 8;
/// A wake-up this late means that the process was stopped.
const STALL_DELAY: Duration = Duration::from_millis(500);
/// A wake-up this late means that the process is starved of CPU time.
const STARVATION_DELAY: Duration = Duration::from_millis(100);
/// Score added by one stall.
const STALL_PENALTY: u32 = 2;

/// The health score of this member: rises with signs that it is slow or cut off, falls with acks.
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
    last_stall_end: Option<Duration>,
}

impl LocalHealth {
    /// Records that the driver returned at `now` for an event due at `due`, and returns whether the process had stalled.
    pub fn record_wakeup(&mut self, due: Option<Duration>, now: Duration) -> bool {
        let delay = due.map_or(Duration::ZERO, |due| now.saturating_sub(due));
        if delay >= STALL_DELAY {
            self.score = (self.score + STALL_PENALTY).min(MAX_SCORE);
            self.last_stall_end = Some(now);
            return true;
        }
        if delay >= STARVATION_DELAY {
            self.degrade();
        }
        false
    }

    /// Raises the score: no member answers, or another member suspects this one.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Lowers the score: a member answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Extends a timeout by the score, to 1 to 3 times its length.
    pub fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    /// Returns when the process last resumed after a stall.
    pub fn last_stall_end(&self) -> Option<Duration> {
        self.last_stall_end
    }

    /// Returns the score, from 0 (healthy) to 8.
    pub fn score(&self) -> u32 {
        self.score
    }
}
