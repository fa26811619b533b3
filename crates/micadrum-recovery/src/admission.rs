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
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Guards against a rush of all clients at once on a sender that has just come back, and against a door that never
    /// opens whole.
    #[test]
    fn newcomers_are_let_in_at_a_rate_that_grows() {
        let mut admission = Admission::new(20.0, ms(5000), ms(0));
        let mut seconds = [0; 6];
        for n in 0..60_000u64 {
            let now = ms(n / 10);
            if admission.admit(now).is_ok() {
                seconds[(n / 10_000) as usize] += 1;
            }
        }
        for (second, let_in) in seconds[..5].iter().enumerate() {
            let [least, most] = [second, second + 1].map(|n| 20.0 * 2f64.powi(n as i32));
            assert!(
                *let_in as f64 >= least * 0.95 && *let_in as f64 <= most * 1.05 + 2.0,
                "{second}: {let_in}"
            );
        }
        assert_eq!(seconds[5], 10_000);
        assert!(admission.is_over(ms(5000)) && !admission.is_over(ms(4999)));
    }

    /// Guards against telling all of them the same moment, and against waits without end.
    #[test]
    fn who_is_turned_away_is_told_a_moment_of_its_own() {
        let mut admission = Admission::new(10.0, ms(5000), ms(0));
        let mut waits: Vec<Duration> = (0..2000).filter_map(|_| admission.admit(ms(1)).err()).collect();
        assert!(waits.len() > 1990 && waits.iter().all(|wait| *wait <= LATEST));
        waits.truncate(50);
        assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    }
}
