//! Adapts route snapshots of an earlier process to the time since they were written. Performs no I/O and
//! reads no clock.
//!
//! Restrictions that the rules of delivery require (a Retry-After, an outage, the progress of a slow start)
//! stay in force for as long as they would have in the earlier process. Estimates expire: the remaining share
//! of a limit after an overload window; limits, paces and latencies after the duration of a slow start.
use crate::interface::since;
use crate::observe::RouteSnapshot;
use crate::pacing::{Health, Pacer};
use crate::{DeliveryEngine, EndpointId, Settings, TimeDelta, Timestamp};
use micadrum_recovery::peer_report::ReportedHealth;

impl RouteSnapshot {
    /// Returns the state of the route at `now`, for a process that starts then, given that the snapshot was
    /// written at `written_at`.
    ///
    /// `jitter`, from 0 to 1, limits the saved tokens, so that senders that start together don't send at the
    /// same time.
    pub fn aged(mut self, written_at: Timestamp, now: Timestamp, jitter: f64, settings: &Settings) -> Self {
        // If the clock was set back since, treat the snapshot as written now.
        self.shift_back(TimeDelta(since(written_at, now)));
        let age = since(now, written_at);
        let rules = &settings.rules;
        let route = &mut self.0;
        route.pacer = route.pacer_at(now, settings);
        if let Health::Ejected(due) = &mut route.pacer.health {
            // Overdue trials are delayed by the time that they are overdue. Otherwise senders that start
            // together would all make them at once.
            *due = Timestamp(now.0 + since(now, *due).min(rules.slow_start_duration.0));
        }
        if age >= rules.slow_start_duration.0 {
            route.forget_estimates();
        }
        route.remaining_share *= 1.0 - (age as f64 / rules.overload_window.0.max(1) as f64).min(1.0);
        route.pacer.tokens = route.pacer.tokens.min(jitter.clamp(0.0, 1.0));
        self
    }

    /// Returns the state of the route at `now` if it is unknown how long ago the snapshot was written:
    /// restrictions that were active then last for their full remaining time from `now` on, and estimates are
    /// dropped.
    pub fn aged_without_clock(
        mut self,
        written_at: Timestamp,
        now: Timestamp,
        jitter: f64,
        settings: &Settings,
    ) -> Self {
        let age = since(now, written_at);
        let route = &mut self.0;
        let shift = |time: &mut Timestamp| time.0 = time.0.saturating_add(age);
        if route.retry_after_until > written_at {
            shift(&mut route.retry_after_until);
        }
        if let Health::Ejected(at) | Health::SlowStart(at) = &mut route.pacer.health {
            shift(at);
        }
        shift(&mut route.pacer.updated_at);
        route.forget_estimates();
        route.remaining_share = 0.0;
        self.aged(now.max(written_at), now, jitter, settings)
    }

    /// Returns the report on the route for other senders: the remaining time of a Retry-After, and the
    /// health.
    pub fn report(&self, now: Timestamp) -> (TimeDelta, ReportedHealth) {
        let health = match self.0.pacer.health {
            Health::Healthy => ReportedHealth::Healthy,
            Health::Ejected(_) => ReportedHealth::Ejected,
            Health::SlowStart(began_at) => ReportedHealth::SlowStart(since(now, began_at)),
        };
        (TimeDelta(since(self.0.retry_after_until, now)), health)
    }

    /// Moves all times of the snapshot back by `delta`.
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
    /// Applies another sender's report on an endpoint. It may add restrictions, but never removes one.
    pub fn apply_peer_report(&mut self, now: Timestamp, endpoint: EndpointId, reported: ReportedHealth) {
        let endpoint = self.directory.endpoint(endpoint);
        let Some(slot) = endpoint.map(|endpoint| endpoint.route) else { return };
        let pacer = self.directory.route(slot).pacer_at(now, &self.settings);
        let began_at = |age| Timestamp(now.0.saturating_sub(age));
        let health = match (pacer.health, reported) {
            // A trial is due immediately.
            (Health::Healthy | Health::SlowStart(_), ReportedHealth::Ejected) => Health::Ejected(now),
            (Health::Healthy, ReportedHealth::SlowStart(age)) => Health::SlowStart(began_at(age)),
            (Health::SlowStart(own), ReportedHealth::SlowStart(age)) => {
                Health::SlowStart(own.max(began_at(age)))
            }
            (own, _) => own,
        };
        let tokens = if health == Health::Healthy { pacer.tokens } else { pacer.tokens.min(1.0) };
        self.directory.route_mut(slot).pacer = Pacer { health, tokens, ..pacer };
    }
}

#[cfg(test)]
mod tests;
