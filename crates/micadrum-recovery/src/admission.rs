//! Admission of new messages while a sender recovers: the rate grows exponentially, and each rejected client is given a
//! moment of its own to retry at.
use std::time::Duration;

/// Upper bound on the wait given to a rejected client.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// How often the rate doubles until the limit is lifted.
const DOUBLINGS: f64 = 5.0;
/// The burst admitted at one moment, as a fraction of the rate per second.
const BURSTS_PER_SECOND: f64 = 10.0;
const MIN_RATE_PER_SECOND: f64 = 1.0;

/// A token bucket whose rate grows.
#[derive(Clone, Debug)]
pub struct Admission {
    started_at: Duration,
    initial_rate: f64,
    ramp: Duration,
    tokens: f64,
    refilled_at: Duration,
    /// The latest moment given to a rejected client.
    last_retry_at: Duration,
}

impl Admission {
    /// Starts with `initial_rate` messages per second. The rate doubles with each fifth of `ramp` that passes, and is
    /// unlimited after it.
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

    /// Whether the rate is unlimited.
    #[must_use]
    pub fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= self.ramp
    }

    fn rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.started_at).as_secs_f64();
        let progress = elapsed / self.ramp.as_secs_f64().max(1e-6);
        self.initial_rate * (DOUBLINGS * progress.min(1.0)).exp2()
    }

    /// Admits a new message.
    ///
    /// # Errors
    /// Returns how long the client has to wait before it retries.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        if self.is_over(now) {
            return Ok(());
        }
        let rate = self.rate(now);
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.refilled_at, now)).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min((rate / BURSTS_PER_SECOND).max(1.0));
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
