//! What an earlier process learned of a line, and what of it is still worth something. Free of I/O and clocks.
//!
//! Two kinds of thing are remembered. What a rule follows from binds as long as it would have bound that process: a told
//! wait, an outage that was seen, where the ramp of a return stands. Estimates are of the moment: what was left of a limit
//! is worth nothing after a `fall`, limits, paces and answer times nothing after a `ramp`.
use crate::decision::line::Line;
use crate::interface::since;
use crate::observe::Learned;
use crate::pacing::Health;
use crate::{EndpointId, Sender, Settings, Span, Time};
use micadrum_recovery::words::Health as Spoken;

impl Learned {
    /// What it is worth `now`, to a process that starts now, if it was written down `written`. `chance`, from 0 to 1, sets
    /// senders apart that start together: none has a turn saved up.
    pub fn recalled(mut self, written: Time, now: Time, chance: f64, s: &Settings) -> Self {
        // A clock that was set back, or a file from the future: as if it had been written just now.
        self.earlier(Span(since(written, now)));
        let age = since(now, written);
        let line = &mut self.0;
        line.flow = line.flow(now, s);
        line.flow.health = match line.flow.health {
            // Trials that came due while nobody was there would all be made at once by those who start together: the time
            // since is waited once more, so that they come as far apart as they were due.
            Health::Down(due) => Health::Down(Time(now.0 + since(now, due).min(s.rules.ramp.0))),
            other => other,
        };
        if age >= s.rules.ramp.0 {
            line.forget_estimates();
        }
        line.left *= 1.0 - (age as f64 / s.rules.fall.0.max(1) as f64).min(1.0);
        line.flow.tokens = line.flow.tokens.min(chance.clamp(0.0, 1.0));
        self
    }

    /// The same where nobody can tell how long ago it was written: what binds does so for all of its time from `now` on,
    /// and estimates are worth nothing.
    pub fn recalled_unclocked(mut self, written: Time, now: Time, chance: f64, s: &Settings) -> Self {
        let by = since(now, written);
        let line = &mut self.0;
        let told = line.told_until > written;
        let moved = |time: &mut Time| time.0 = time.0.saturating_add(by);
        if told {
            moved(&mut line.told_until);
        }
        if let Health::Down(at) | Health::Returning(at) = &mut line.flow.health {
            moved(at);
        }
        moved(&mut line.flow.at);
        line.forget_estimates();
        line.left = 0.0;
        self.recalled(now.max(written), now, chance, s)
    }

    /// What another sender is told of it: how long a told wait goes on, and whether it answers.
    pub fn word(&self, now: Time) -> (Span, Spoken) {
        let spoken = match self.0.flow.health {
            Health::Up => Spoken::Up,
            Health::Down(_) => Spoken::Down,
            Health::Returning(at) => Spoken::Returning(since(now, at)),
        };
        (Span(since(self.0.told_until, now)), spoken)
    }

    /// All of its moments, so much earlier.
    fn earlier(&mut self, by: Span) {
        if by.0 == 0 {
            return;
        }
        let line = &mut self.0;
        let back = |time: &mut Time| time.0 = time.0.saturating_sub(by.0);
        let moments = [
            &mut line.told_until,
            &mut line.hold_until,
            &mut line.last_answer,
            &mut line.last_success,
            &mut line.last_refusal,
            &mut line.flow.at,
        ];
        moments.into_iter().for_each(back);
        line.doubted.as_mut().map(back);
        if let Health::Down(at) | Health::Returning(at) = &mut line.flow.health {
            back(at);
        }
    }
}

impl Sender {
    /// Another sender's word on whether an endpoint answers: it may add caution, and takes none away.
    pub fn warned(&mut self, now: Time, endpoint: EndpointId, word: Spoken) {
        let place = self.directory.endpoint(endpoint).and_then(|at| self.directory.places(at)[0]);
        let Some(place) = place else { return };
        let flow = self.directory.line(place).flow(now, &self.settings);
        let health = match (flow.health, word) {
            // A trial as soon as there is something to try it with.
            (Health::Up | Health::Returning(_), Spoken::Down) => Health::Down(now),
            (Health::Up, Spoken::Returning(since)) => Health::Returning(Time(now.0.saturating_sub(since))),
            (Health::Returning(own), Spoken::Returning(since)) => {
                Health::Returning(own.max(Time(now.0.saturating_sub(since))))
            }
            (own, _) => own,
        };
        let line = self.directory.line_mut(place);
        line.flow = flow;
        line.flow.health = health;
        line.flow.tokens = if health == Health::Up { flow.tokens } else { flow.tokens.min(1.0) };
    }
}

impl Line {
    fn forget_estimates(&mut self) {
        (self.latency, self.deviation, self.limit) = (0.0, 0.0, 0.0);
        (self.streak, self.fulls, self.doubted) = (0, 0, None);
        (self.flow.rate, self.flow.pace) = (0.0, f64::INFINITY);
    }

    /// Whether a rule follows from it at `now`, so that it is kept before mere estimates.
    pub(crate) fn binds(&self, now: Time) -> bool {
        self.told_until > now || self.flow.health != Health::Up
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::decision::slow;
    use crate::{DestinationId, EndpointId, Rules};

    const S: u64 = 1_000_000;
    const NOW: Time = Time(100_000 * S);

    fn settings() -> Settings {
        let drawn = slow::settings(&mut slow::Draw::new(1));
        let rules = Rules { ramp: Span(11 * S), fall: Span(1_500_000), ..drawn.rules };
        Settings { senders: 300, rules, ..drawn }
    }

    fn line() -> Line {
        let mut line = Line::default();
        (line.destination, line.endpoint) = (DestinationId(1), Some(EndpointId(1)));
        (line.latency, line.limit, line.left) = (80_000.0, 120.0, 1.0);
        (line.flow.at, line.flow.rate, line.flow.pace, line.flow.tokens) = (NOW, 3.0, 2.0, 1.0);
        line
    }

    fn recalled(line: Line, age: u64) -> Line {
        Learned(line).recalled(NOW, Time(NOW.0 + age), 0.25, &settings()).0
    }

    /// Guards against a process that sends during a wait that its predecessor was told, or forgets an outage or where a
    /// ramp stands, however long it was away.
    #[test]
    fn what_binds_does_not_fade() {
        let wait = Time(NOW.0 + 90 * S);
        for age in [0, S / 2, 5 * S, 60 * S] {
            let mut told = line();
            (told.told_until, told.flow.health) = (wait, Health::Down(Time(NOW.0 + 2 * S)));
            let told = recalled(told, age);
            assert_eq!(told.told_until, wait);
            let Health::Down(trial) = told.flow.health else { panic!("{age}: the outage is forgotten") };
            assert!(trial.0 >= NOW.0 + age, "no trial was due before there was a process");
            assert!(told.binds(Time(NOW.0 + age)));
        }
        let ramp = settings().rules.ramp.0;
        for (age, back) in [(0, false), (ramp / 2, false), (ramp, true)] {
            let mut returning = line();
            returning.flow.health = Health::Returning(NOW);
            let health = recalled(returning, age).flow.health;
            assert_eq!(health, if back { Health::Up } else { Health::Returning(NOW) }, "{age}");
        }
    }

    /// Guards against acting on what was true of a moment long past.
    #[test]
    fn estimates_fade_with_age() {
        let rules = settings().rules;
        let fresh = recalled(line(), 0);
        assert_eq!((fresh.limit, fresh.left, fresh.flow.tokens), (120.0, 1.0, 0.25));
        let later = recalled(line(), rules.fall.0 / 2);
        assert!((later.left - 0.5).abs() < 1e-9 && later.limit == 120.0);
        assert_eq!(recalled(line(), rules.fall.0).left, 0.0);
        let old = recalled(line(), rules.ramp.0);
        assert_eq!((old.limit, old.latency, old.flow.rate), (0.0, 0.0, 0.0));
        assert!(old.flow.pace.is_infinite() && !old.binds(Time(NOW.0 + rules.ramp.0)));
    }

    /// Guards against a fleet whose trials of what is down, due while it was away, all come in the moment it is back.
    #[test]
    fn trials_that_came_due_meanwhile_stay_apart() {
        let away = 3 * S;
        let trials: Vec<u64> = (0..30)
            .map(|n| {
                let mut down = line();
                down.flow.health = Health::Down(Time(NOW.0 + n * S / 10));
                let Health::Down(at) = recalled(down, away).flow.health else { panic!("forgotten") };
                at.0 - NOW.0 - away
            })
            .collect();
        let mut sorted = trials.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), trials.len(), "{trials:?}");
        assert!(sorted[29] - sorted[0] >= 2 * S, "{sorted:?}");
    }

    /// Guards against a wait or a trial that binds for hours, because the clock was set back between two processes.
    #[test]
    fn a_clock_that_was_set_back_lengthens_nothing() {
        let mut told = line();
        (told.told_until, told.flow.health) = (Time(NOW.0 + 2 * S), Health::Down(Time(NOW.0 + S)));
        let now = Time(NOW.0 - 3_600 * S);
        let told = Learned(told).recalled(NOW, now, 0.25, &settings()).0;
        assert_eq!(told.told_until, Time(now.0 + 2 * S));
        assert!(matches!(told.flow.health, Health::Down(at) if at.0 <= now.0 + S), "{:?}", told.flow.health);
        assert_eq!(told.flow.at, now);
    }

    /// Guards against a wait that counts as over, or a trial as due, as the clock has jumped on over a loss of power; and
    /// against one that is over already binding once more.
    #[test]
    fn without_a_clock_what_binds_does_so_for_all_of_its_time() {
        let (wait, age) = (Time(NOW.0 + 2 * S), 3_600 * S);
        let now = Time(NOW.0 + age);
        let mut told = line();
        (told.told_until, told.flow.health) = (wait, Health::Down(Time(NOW.0 + S)));
        let told = Learned(told).recalled_unclocked(NOW, now, 0.25, &settings());
        assert_eq!(told.0.told_until, Time(now.0 + 2 * S));
        assert!(matches!(told.0.flow.health, Health::Down(at) if at >= now), "{:?}", told.0.flow.health);
        assert_eq!((told.0.limit, told.0.latency, told.0.left), (0.0, 0.0, 0.0));
        assert_eq!(told.word(now), (Span(2 * S), Spoken::Down));
        let mut over = line();
        (over.told_until, over.flow.health) = (Time(NOW.0 - S), Health::Returning(NOW));
        let over = Learned(over).recalled_unclocked(NOW, now, 0.25, &settings());
        assert!(over.0.told_until <= now);
        assert_eq!(over.word(Time(now.0 + S)), (Span(0), Spoken::Returning(S)));
        // Set back instead: the same as ever.
        let mut back = line();
        back.told_until = wait;
        let now = Time(NOW.0 - age);
        assert_eq!(
            Learned(back).recalled_unclocked(NOW, now, 0.25, &settings()).0.told_until,
            Time(now.0 + 2 * S)
        );
    }
}
