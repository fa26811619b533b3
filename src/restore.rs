//! What an earlier process learned of a route, and what of it still holds. Free of I/O and clocks.
//!
//! Two kinds of knowledge are restored. What a rule depends on binds as long as it would have bound the earlier process: a
//! Retry-After, an outage that was seen, the progress of a slow start. Estimates age: what was left of a limit is worth
//! nothing after an overload window; limits, paces and latencies nothing after a slow start.
use crate::interface::since;
use crate::observe::RouteSnapshot;
use crate::pacing::{Health, Pacer};
use crate::{DeliveryEngine, EndpointId, Settings, TimeDelta, Timestamp};
use micadrum_recovery::peer_report::ReportedHealth;

impl RouteSnapshot {
    /// Returns what the snapshot is worth at `now`, to a process that starts now, if it was `written` then.
    ///
    /// `jitter`, from 0 to 1, keeps senders apart that start together: none has a token saved up.
    pub fn aged(mut self, written: Timestamp, now: Timestamp, jitter: f64, settings: &Settings) -> Self {
        // The clock was set back, or the file is from the future: as if it had been written just now.
        self.shift_back(TimeDelta(since(written, now)));
        let age = since(now, written);
        let rules = &settings.rules;
        let route = &mut self.0;
        route.pacer = route.pacer_at(now, settings);
        if let Health::Ejected(due) = &mut route.pacer.health {
            // Senders that start together would all make the trials that came due meanwhile at once: the time since is
            // waited once more, so that the trials stay as far apart as they were due.
            *due = Timestamp(now.0 + since(now, *due).min(rules.slow_start_duration.0));
        }
        if age >= rules.slow_start_duration.0 {
            route.forget_estimates();
        }
        route.remaining_share *= 1.0 - (age as f64 / rules.overload_window.0.max(1) as f64).min(1.0);
        route.pacer.tokens = route.pacer.tokens.min(jitter.clamp(0.0, 1.0));
        self
    }

    /// Returns the same where nobody can tell how long ago the snapshot was written: what binds does so for all of its
    /// time from `now` on, and estimates are worth nothing.
    pub fn aged_without_clock(
        mut self,
        written: Timestamp,
        now: Timestamp,
        jitter: f64,
        settings: &Settings,
    ) -> Self {
        let age = since(now, written);
        let route = &mut self.0;
        let shift = |time: &mut Timestamp| time.0 = time.0.saturating_add(age);
        if route.retry_after_until > written {
            shift(&mut route.retry_after_until);
        }
        if let Health::Ejected(at) | Health::SlowStart(at) = &mut route.pacer.health {
            shift(at);
        }
        shift(&mut route.pacer.updated_at);
        route.forget_estimates();
        route.remaining_share = 0.0;
        self.aged(now.max(written), now, jitter, settings)
    }

    /// Returns what other senders are told of the route: how long a Retry-After goes on, and whether it answers.
    pub fn report(&self, now: Timestamp) -> (TimeDelta, ReportedHealth) {
        let health = match self.0.pacer.health {
            Health::Healthy => ReportedHealth::Healthy,
            Health::Ejected(_) => ReportedHealth::Ejected,
            Health::SlowStart(began) => ReportedHealth::SlowStart(since(now, began)),
        };
        (TimeDelta(since(self.0.retry_after_until, now)), health)
    }

    /// Shifts all times of the snapshot back.
    fn shift_back(&mut self, delta: TimeDelta) {
        if delta.0 == 0 {
            return;
        }
        let route = &mut self.0;
        let shift = |time: &mut Timestamp| time.0 = time.0.saturating_sub(delta.0);
        let times = [
            &mut route.retry_after_until,
            &mut route.backoff_until,
            &mut route.last_answer,
            &mut route.last_success,
            &mut route.last_rejection,
            &mut route.pacer.updated_at,
        ];
        times.into_iter().for_each(shift);
        route.last_repeated_failure.as_mut().map(shift);
        if let Health::Ejected(at) | Health::SlowStart(at) = &mut route.pacer.health {
            shift(at);
        }
    }
}

impl DeliveryEngine {
    /// Applies another sender's report on an endpoint: it may add caution, and never takes it away.
    pub fn apply_peer_report(&mut self, now: Timestamp, endpoint: EndpointId, reported: ReportedHealth) {
        let endpoint = self.directory.endpoint(endpoint);
        let Some(slot) = endpoint.map(|endpoint| endpoint.route) else { return };
        let pacer = self.directory.route(slot).pacer_at(now, &self.settings);
        let began = |age| Timestamp(now.0.saturating_sub(age));
        let health = match (pacer.health, reported) {
            // A trial as soon as there is a message for it.
            (Health::Healthy | Health::SlowStart(_), ReportedHealth::Ejected) => Health::Ejected(now),
            (Health::Healthy, ReportedHealth::SlowStart(age)) => Health::SlowStart(began(age)),
            (Health::SlowStart(own), ReportedHealth::SlowStart(age)) => {
                Health::SlowStart(own.max(began(age)))
            }
            (own, _) => own,
        };
        let tokens = if health == Health::Healthy { pacer.tokens } else { pacer.tokens.min(1.0) };
        self.directory.route_mut(slot).pacer = Pacer { health, tokens, ..pacer };
    }
}

#[cfg(test)]
mod tests;
