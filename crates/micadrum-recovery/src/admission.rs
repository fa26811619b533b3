//! Admission of new messages during recovery. The admitted rate grows exponentially, and rejected clients
//! receive staggered retry times.
use std::time::Duration;

/// The upper bound on the retry delay of a rejected client.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The number of times that the rate doubles before the limit is removed.
const DOUBLINGS: f64 = 5.0;
/// The burst size is the rate per second divided by this number.
const RATE_TO_BURST_RATIO: f64 = 10.0;
const MIN_RATE_PER_SECOND: f64 = 1.0;

/// A token bucket whose refill rate grows exponentially until it is unlimited.
#[derive(Clone, Debug)]
pub struct Admission {
    started_at: Duration,
    initial_rate: f64,
    ramp: Duration,
    tokens: f64,
    refilled_at: Duration,
    /// The latest retry time returned to a rejected client.
    last_retry_at: Duration,
}

impl Admission {
    /// Creates a limiter that starts at `initial_rate` messages per second, but at least one. The rate
    /// doubles after each fifth of `ramp` and is unlimited after `ramp`.
    #[must_use]
    pub fn new(initial_rate: f64, ramp: Duration, now: Duration) -> Self {
        Self {
            started_at: now,
            initial_rate: initial_rate.max(MIN_RATE_PER_SECOND),
            ramp,
            tokens: 1.0,
            refilled_at: now,
            last_retry_at: now,
        }
    }

    /// Returns whether the ramp has ended, so that the rate is unlimited.
    #[must_use]
    pub fn has_ended(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= self.ramp
    }

    fn rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.started_at).as_secs_f64();
        let progress = elapsed / self.ramp.as_secs_f64().max(1e-6);
        self.initial_rate * (DOUBLINGS * progress.min(1.0)).exp2()
    }

    /// Admits a new message if the rate allows it.
    ///
    /// # Errors
    /// Returns the time after which the client may retry. Consecutive rejections return increasing times, up
    /// to an upper bound.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        if self.has_ended(now) {
            return Ok(());
        }
        let rate = self.rate(now);
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.refilled_at, now)).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min((rate / RATE_TO_BURST_RATIO).max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        self.last_retry_at = (self.last_retry_at.max(now) + interval).min(now + MAX_RETRY_AFTER);
        Err(self.last_retry_at - now)
    }
}

#[cfg(test)]
mod tests;
