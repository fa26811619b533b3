//! Newcomers while a sender comes back: admitted at a rate that grows, the rest told when to come again, each a moment of
//! its own, rather than left to time out.
use std::time::Duration;

/// Nobody is told to come again later than this.
const LATEST: Duration = Duration::from_secs(10);

/// Who is let in.
#[derive(Clone, Debug)]
pub struct Admission {
    begun: Duration,
    first: f64,
    over: Duration,
    tokens: f64,
    at: Duration,
    /// The place in time that was last given away.
    next: Duration,
}

impl Admission {
    /// From now on `first` newcomers a second, twice as many for each fifth of `over` that passes, and without a limit
    /// after it.
    #[must_use]
    pub fn new(first: f64, over: Duration, now: Duration) -> Self {
        Self { begun: now, first: first.max(1.0), over, tokens: 1.0, at: now, next: now }
    }

    /// Whether there is no limit any more.
    #[must_use]
    pub fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.begun) >= self.over
    }

    fn rate(&self, now: Duration) -> f64 {
        let part = now.saturating_sub(self.begun).as_secs_f64() / self.over.as_secs_f64().max(1e-6);
        self.first * (5.0 * part.min(1.0)).exp2()
    }

    /// Lets a newcomer in, or says when to come again.
    ///
    /// # Errors
    /// How long to wait.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        if self.is_over(now) {
            return Ok(());
        }
        let rate = self.rate(now);
        let since = now.saturating_sub(std::mem::replace(&mut self.at, now)).as_secs_f64();
        // A tenth of a second's worth may come at once.
        self.tokens = (self.tokens + rate * since).min((rate / 10.0).max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let place = Duration::from_secs_f64(1.0 / rate);
        self.next = (self.next.max(now) + place).min(now + LATEST);
        Err(self.next - now)
    }
}

#[cfg(test)]
mod tests;
