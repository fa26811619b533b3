//! The six rules as guards, what follows a failed attempt, and how a message ends undelivered.

use super::*;

/// First retry wait as a share of the class's aim: several tries fit before lateness costs much.
const BACKOFF_OF_AIM: f64 = 0.125;
/// Cap of the doubling, in first waits (the write-up's 10 s over 1 s).
const BACKOFF_CAP: f64 = 10.0;
/// Most that chance adds, in first waits (the write-up's 500 ms over 1 s).
const BACKOFF_JITTER: f64 = 0.5;

/// Part of the room for messages that is kept free for newcomers by shedding what is worth least.
const SPARE_ROOM: usize = 16;

/// The doubling, capped wait after so many attempts, in microseconds; `jitter` is chance's part, from 0 to 1.
pub(super) fn backoff(class: &Class, attempts: u32, jitter: f64) -> f64 {
    let base = class.aim.0 as f64 * BACKOFF_OF_AIM;
    let doubled = base * f64::from(1u32 << attempts.saturating_sub(1).min(8)).min(BACKOFF_CAP);
    doubled + jitter * base * BACKOFF_JITTER
}

impl Sender {
    // ---- rule guards: one for each rule, all asked in `may_send` --------------------------------------

    /// Every forward passes here. `joins`: it shares a call that was already let through in this step.
    pub(super) fn may_send(&self, id: MessageId, endpoint: EndpointId, joins: bool) -> bool {
        let (Some(held), Some(at)) = (self.held.get(&id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        at.destination == held.message.destination
            && held.attempts < self.settings.max_attempts
            && self.rule_lost(held)
            && self.rule_effect(held, at)
            && self.rule_order(held)
            && self.lets_through(at, joins)
    }

    /// Whether an endpoint may be sent to, whatever the message.
    pub(super) fn lets_through(&self, at: &Endpoint, joins: bool) -> bool {
        let goes = |line| self.rule_wait(line) && (joins || (self.rule_return(line) && self.paced(line)));
        (joins || self.slots_left(at.destination))
            && self.ends_before_process(self.directory.line(at.line))
            && self.rule_drain(at)
            && self.directory.lines(at).all(goes)
    }

    /// Whether a call that connecting has held up may still go out: a wait, a drain, a window's end may come.
    pub fn may_begin(&self, now: Time, id: MessageId, endpoint: EndpointId) -> bool {
        let (Some(held), Some(at)) = (self.held.get(&id), self.directory.endpoint(endpoint)) else {
            return false;
        };
        let [own, shared] = self.directory.places(at);
        self.rule_drain(at)
            && self.repeatable(held, now)
            && shared.or(own).is_none_or(|line| now >= self.directory.line(line).told_until)
    }

    /// Rule 1: only a message that has not ended and has time left.
    fn rule_lost(&self, held: &Held) -> bool {
        matches!(held.stage, Stage::Waiting(_)) && self.now < self.last_moment(held.deadline)
    }

    /// Rule 2: what may have run is repeated as its kind permits, in the window of the first such try.
    fn rule_effect(&self, held: &Held, at: &Endpoint) -> bool {
        let repeat = self.settings.classes[held.message.class.0].repeat;
        let here = matches!(repeat, Repeat::Keyed { group: Group::Zone, .. });
        self.repeatable(held, self.now) && held.ran.is_none_or(|ran| !here || at.zone == ran.zone)
    }

    /// Rule 3: nothing new to what drains or is gone, from the moment it is known: stricter than the grace.
    fn rule_drain(&self, at: &Endpoint) -> bool {
        at.listing == Listing::Active
    }

    /// Rule 4: one call at a time into an outage; afterwards the ramp, by tokens.
    fn rule_return(&self, line: &Line) -> bool {
        let flow = self.flow(line);
        match flow.health {
            Health::Up => true,
            Health::Down(next) => self.now >= next && line.out.is_empty(),
            Health::Returning(_) => flow.tokens >= 1.0,
        }
    }

    /// Rule 5: a told wait is kept.
    fn rule_wait(&self, line: &Line) -> bool {
        self.now >= line.told_until
    }

    /// Rule 6: only the first of its key, and after the rest that the one before left behind.
    pub(super) fn rule_order(&self, held: &Held) -> bool {
        match held.message.key.and_then(|key| self.keys.first(key)) {
            Some((first, rest)) if first == Some(held.message.id) => held.attempts > 0 || self.now >= rest,
            Some(_) => !self.settings.classes[held.message.class.0].ordered,
            None => true,
        }
    }

    /// After an outcome that did not end the message: another try later, or the end.
    pub(super) fn retry(&mut self, id: MessageId, outcome: Outcome, actions: &mut Vec<Action>) {
        let jitter = self.chance();
        let Some(held) = self.held.get_mut(&id) else { return };
        let class = &self.settings.classes[held.message.class.0];
        let wait = match outcome {
            // All who were told to wait come back at its end: each by chance its backoff or the wait later.
            Outcome::Full(Some(Span(told))) => {
                told as f64 + jitter * backoff(class, held.attempts, 0.0).max(told as f64)
            }
            _ => backoff(class, held.attempts, jitter),
        };
        let at = after(self.now, wait);
        held.stage = Stage::Waiting(at);
        let held = &self.held[&id];
        let over = held.attempts >= self.settings.max_attempts || at >= self.last_moment(held.deadline);
        if over || !self.repeatable(held, at) {
            self.end(id, actions);
        } else {
            self.file(id);
        }
    }

    /// Whether some endpoint could still be sent the message at `at` by the effect rule.
    fn repeatable(&self, held: &Held, at: Time) -> bool {
        let Some(ran) = held.ran else { return true };
        match self.settings.classes[held.message.class.0].repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { window, .. } => since(at, ran.sent) + self.settings.period.0 < window.0,
        }
    }

    /// The one place that chooses between refusing and failing: refused, coming again is harmless.
    pub(super) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let harmless = match self.settings.classes[held.message.class.0].repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            Repeat::Keyed { .. } | Repeat::Unsafe => held.ran.is_none(),
        };
        let after = self.come_again(held);
        actions.push(if harmless { Action::Refuse { message: id, after } } else { Action::Fail(id) });
        self.leave(id);
    }

    /// When a refused message may come again: once something of its destination may be called, in its time.
    fn come_again(&self, held: &Held) -> Option<Span> {
        let opens = |line: &Line| {
            let health = match line.flow.health {
                Health::Down(at) | Health::Returning(at) => at,
                Health::Up => Time(0),
            };
            line.told_until.max(line.hold_until).max(health)
        };
        let endpoints = self.directory.endpoints_of(held.message.destination);
        let active = endpoints.filter(|(_, at)| at.listing == Listing::Active);
        let at = active.filter_map(|(_, at)| self.directory.lines(at).map(opens).max()).min()?;
        (self.now < at && at < held.deadline).then(|| Span(at.0 - self.now.0))
    }

    /// A waiting message must be ended by then: the next heartbeat would come too late.
    pub(super) fn last_moment(&self, deadline: Time) -> Time {
        Time(deadline.0.saturating_sub(self.margin()))
    }

    pub(super) fn margin(&self) -> u64 {
        2 * HEARTBEAT * self.settings.period.0
    }

    /// Whether a message that waits can no longer be delivered, by time, attempts or the effect rule.
    pub(super) fn is_due(&self, held: &Held) -> bool {
        matches!(held.stage, Stage::Waiting(at)
            if self.now >= self.last_moment(held.deadline) || held.attempts >= self.settings.max_attempts
                || !self.repeatable(held, self.now.max(at)))
    }

    /// Ends those whose time is up, or the window of whose key has closed.
    pub(super) fn end_in_time(&mut self, actions: &mut Vec<Action>) {
        let mut late = std::mem::take(&mut self.closed);
        late.extend(self.waiting.dead(MOST_IN_STEP + 1));
        late.sort_unstable();
        late.dedup();
        self.unfinished |= late.len() > MOST_IN_STEP;
        for id in late.drain(..late.len().min(MOST_IN_STEP)) {
            if self.held.get(&id).is_some_and(|held| self.is_due(held)) {
                self.end(id, actions);
            }
        }
        self.closed = late;
    }

    /// What delivering a message of that deadline after `delay` more would earn.
    pub(super) fn worth(&self, class: ClassId, deadline: Time, delay: f64) -> f64 {
        worth(&self.settings.classes[class.0], self.settings.decay, self.now, deadline, delay)
    }

    /// With the room almost full, the message worth least is refused for newcomers, of equals the first due.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while self.held.len() > self.room() {
            let never_ran = self
                .waiting
                .never_ran()
                .map(|(class, deadline, id)| (self.worth(class, deadline, 0.0), deadline, id));
            let least = never_ran.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, id)) = least else { return };
            self.end(id, actions);
        }
    }

    pub(super) fn room(&self) -> usize {
        (self.settings.most_held - (self.settings.most_held / SPARE_ROOM).max(1)).max(1)
    }
}
