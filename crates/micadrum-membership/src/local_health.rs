//! The local health multiplier of Lifeguard (Dadgar et al., 2018): a member that is slow or cut off itself
//! waits longer before it suspects others.
use std::time::Duration;

/// The upper bound of the score.
const MAX_SCORE: u32 = 8;
/// A wake-up delayed by at least this much indicates that the process was suspended.
const STALL_DELAY: Duration = Duration::from_millis(500);
/// A wake-up delayed by at least this much indicates that the process is starved of CPU time.
const STARVATION_DELAY: Duration = Duration::from_millis(100);
/// The score added for one stall.
const STALL_PENALTY: u32 = 2;

/// The health score of this member, which rises when it appears to be slow or cut off, and falls with each
/// ack.
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
    last_stall_end: Option<Duration>,
}

impl LocalHealth {
    /// Records a call of the driver at `now` that was due at `due`, and returns whether the process had
    /// stalled.
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

    /// Raises the score by one, as no member answers or another member suspects this one.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Lowers the score by one, as a member answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns a timeout scaled by the score, to between 1 and 3 times its length.
    pub fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    /// Returns when the process last resumed after a stall, or `None` if it has not stalled.
    pub fn last_stall_end(&self) -> Option<Duration> {
        self.last_stall_end
    }

    /// Returns the score, from 0 (healthy) to 8.
    pub fn score(&self) -> u32 {
        self.score
    }
}
