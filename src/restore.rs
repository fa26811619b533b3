//! What an earlier process learned of a line, and what of it is still worth something. Free of I/O and clocks.
//!
//! Two kinds of thing are remembered. What a rule follows from binds as long as it would have bound that process: a told
//! wait, an outage that was seen, where the ramp of a return stands. Estimates are of the moment: what was left of a limit
//! is worth nothing after a `fall`, limits, paces and answer times nothing after a `ramp`.
use crate::interface::since;
use crate::observe::RouteSnapshot;
use crate::pacing::Health;
use crate::{DeliveryEngine, EndpointId, Settings, TimeDelta, Timestamp};
use micadrum_recovery::peer_report::ReportedHealth as Spoken;

impl RouteSnapshot {
    /// What it is worth `now`, to a process that starts now, if it was written down `written`. `chance`, from 0 to 1, sets
    /// senders apart that start together: none has a turn saved up.
    pub fn recalled(mut self, written: Timestamp, now: Timestamp, chance: f64, s: &Settings) -> Self {
        // A clock that was set back, or a file from the future: as if it had been written just now.
        self.earlier(TimeDelta(since(written, now)));
        let age = since(now, written);
        let line = &mut self.0;
        line.pacer = line.pacer_at(now, s);
        line.pacer.health = match line.pacer.health {
            // Trials that came due while nobody was there would all be made at once by those who start together: the time
            // since is waited once more, so that they come as far apart as they were due.
            Health::Ejected(due) => {
                Health::Ejected(Timestamp(now.0 + since(now, due).min(s.rules.slow_start_duration.0)))
            }
            other => other,
        };
        if age >= s.rules.slow_start_duration.0 {
            line.forget_estimates();
        }
        line.remaining_share *= 1.0 - (age as f64 / s.rules.overload_window.0.max(1) as f64).min(1.0);
        line.pacer.tokens = line.pacer.tokens.min(chance.clamp(0.0, 1.0));
        self
    }

    /// The same where nobody can tell how long ago it was written: what binds does so for all of its time from `now` on,
    /// and estimates are worth nothing.
    pub fn recalled_unclocked(
        mut self,
        written: Timestamp,
        now: Timestamp,
        chance: f64,
        s: &Settings,
    ) -> Self {
        let by = since(now, written);
        let line = &mut self.0;
        let told = line.retry_after_until > written;
        let moved = |time: &mut Timestamp| time.0 = time.0.saturating_add(by);
        if told {
            moved(&mut line.retry_after_until);
        }
        if let Health::Ejected(at) | Health::SlowStart(at) = &mut line.pacer.health {
            moved(at);
        }
        moved(&mut line.pacer.updated_at);
        line.forget_estimates();
        line.remaining_share = 0.0;
        self.recalled(now.max(written), now, chance, s)
    }

    /// What another sender is told of it: how long a told wait goes on, and whether it answers.
    pub fn word(&self, now: Timestamp) -> (TimeDelta, Spoken) {
        let spoken = match self.0.pacer.health {
            Health::Healthy => Spoken::Healthy,
            Health::Ejected(_) => Spoken::Ejected,
            Health::SlowStart(at) => Spoken::SlowStart(since(now, at)),
        };
        (TimeDelta(since(self.0.retry_after_until, now)), spoken)
    }

    /// All of its moments, so much earlier.
    fn earlier(&mut self, by: TimeDelta) {
        if by.0 == 0 {
            return;
        }
        let line = &mut self.0;
        let back = |time: &mut Timestamp| time.0 = time.0.saturating_sub(by.0);
        let moments = [
            &mut line.retry_after_until,
            &mut line.backoff_until,
            &mut line.last_answer,
            &mut line.last_success,
            &mut line.last_rejection,
            &mut line.pacer.updated_at,
        ];
        moments.into_iter().for_each(back);
        line.last_repeated_failure.as_mut().map(back);
        if let Health::Ejected(at) | Health::SlowStart(at) = &mut line.pacer.health {
            back(at);
        }
    }
}

impl DeliveryEngine {
    /// Another sender's word on whether an endpoint answers: it may add caution, and takes none away.
    pub fn warned(&mut self, now: Timestamp, endpoint: EndpointId, word: Spoken) {
        let place = self.directory.endpoint(endpoint).and_then(|at| self.directory.route_slots(at)[0]);
        let Some(place) = place else { return };
        let flow = self.directory.route(place).pacer_at(now, &self.settings);
        let health = match (flow.health, word) {
            // A trial as soon as there is something to try it with.
            (Health::Healthy | Health::SlowStart(_), Spoken::Ejected) => Health::Ejected(now),
            (Health::Healthy, Spoken::SlowStart(since)) => {
                Health::SlowStart(Timestamp(now.0.saturating_sub(since)))
            }
            (Health::SlowStart(own), Spoken::SlowStart(since)) => {
                Health::SlowStart(own.max(Timestamp(now.0.saturating_sub(since))))
            }
            (own, _) => own,
        };
        let line = self.directory.route_mut(place);
        line.pacer = flow;
        line.pacer.health = health;
        line.pacer.tokens = if health == Health::Healthy { flow.tokens } else { flow.tokens.min(1.0) };
    }
}

#[cfg(test)]
mod tests;
