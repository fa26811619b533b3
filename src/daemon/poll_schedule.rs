//! When to ask what a whole fleet asks of one place, such as the list of discovery. Free of I/O and clocks.
//!
//! How the list comes decides. Pushed, it lies with the agent on the sender's own machine, which answers at no cost; what
//! it has counts as told, asked for or not, and sends to what drains have to stop within the grace. So it is asked at
//! once, and no pause is longer than the grace. On request, a call costs discovery, and what was listed counts as told
//! only to those who have not asked for `must_ask_in`, four times that after a call in vain: there a call that comes while
//! too many are in line fails, and its work is lost; a fleet that asks again at once keeps the line long and hears
//! nothing. So pauses grow with the fleet, as if all of its senders were in the same case, up to those bounds.
use crate::DiscoveryMode;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// How long a call of the watch may wait for news, and how much longer its answer may take. What a watch that has fallen
/// silent misses counts as told 6 s after that, or 2 s after the wait that was asked for, if that is later: from the call
/// on, no sooner than 7 s after it. It is given up after 6 s, and asked again within 75 ms: what is left is for the answer.
const HOLD: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(1);
/// The same for a call that is to be answered at once, where the list comes on request: others are in line there too. One
/// that fell silent counts as heard 6 s later.
const PATIENCE_IN_LINE: Duration = Duration::from_secs(3);
/// Pushed, an agent that was away counts as heard the moment it is back. Until it answers it is asked for what is there
/// now, and waited for no longer than this share of the grace, pause and all; but never so briefly that one at work
/// might not make it.
const CALL_OF_GRACE: f64 = 0.3;
const SHORTEST: Duration = Duration::from_millis(60);
/// Calls in vain after which each may take long: the agent may just be slow.
const MANY: u32 = 64;
/// Pause after a first failure that follows an answer: well inside the 200 ms within which a watch goes on.
const AT_ONCE: Duration = Duration::from_millis(50);
/// For each sender of the fleet: what the first pause is long, and over what the first calls after a start are spread.
const FIRST: Duration = Duration::from_millis(25);
const SPREAD: Duration = Duration::from_millis(50);
/// And the longest pause: all of them together then ask some ten times a second.
const LONGEST: Duration = Duration::from_millis(100);
/// Senders beyond which nothing grows any more: news is owed within seconds, whatever the settings say of the fleet.
const MOST_SENDERS: usize = 200;
/// The longest first wait, as a share of the time within which a sender must have asked: the rest is for the answer.
const FIRST_OF_BOUND: f64 = 0.8;
/// The longest pause, as a share of the time within which it must have asked again: chance adds half.
const PAUSE_OF_BOUND: f64 = 0.5;
/// The same where it is pushed: call and pause together stay within the grace, with a third of it for the answer.
const PAUSE_OF_GRACE: f64 = 0.25;
/// Where the list comes on request, a call in vain counts for so many times as long as none.
const AFTER_FAILURE: u32 = 4;

/// What the settings say of how the list is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingTerms {
    /// Senders that ask in the same place.
    pub senders: usize,
    /// How the list comes.
    pub discovery: DiscoveryMode,
    /// Within how long of hearing that an endpoint drains sends to it have to stop.
    pub grace: Duration,
    /// Who has not asked for so long counts as told; zero where nothing is said of it.
    pub must_ask_in: Duration,
}

/// How one call of the watch is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// How long it may wait for news.
    pub hold: Duration,
    /// When it is given up, from its begin, if no answer has begun by then.
    pub patience: Duration,
    /// The same, if the answer has begun and is not there whole.
    pub whole: Duration,
}

/// Pauses that double with each failure up to a bound, drawn by chance: senders that fail together do not come back
/// together.
pub struct PollSchedule {
    spans: PollIntervals,
    failures: u32,
    random: ChaCha8Rng,
}

/// What follows from the terms.
struct PollIntervals {
    /// The agent answers at no cost, and what it has counts as told.
    pushed: bool,
    first: Duration,
    doubled: Duration,
    longest: Duration,
    /// How long a call may take that is to be answered at once.
    at_once: Duration,
}

impl PollIntervals {
    fn on(terms: PollingTerms) -> Self {
        let senders = u32::try_from(terms.senders.clamp(1, MOST_SENDERS)).unwrap_or(1);
        let within = |span: Duration, bound: Duration, share| match bound {
            Duration::ZERO => span,
            bound => span.min(bound.mul_f64(share)),
        };
        let must = terms.must_ask_in;
        match terms.discovery {
            DiscoveryMode::Watch => Self {
                pushed: true,
                first: Duration::ZERO,
                doubled: AT_ONCE,
                longest: terms.grace.mul_f64(PAUSE_OF_GRACE),
                at_once: terms.grace.mul_f64(CALL_OF_GRACE).clamp(SHORTEST, PATIENCE),
            },
            DiscoveryMode::Poll => Self {
                pushed: false,
                first: within(SPREAD * senders, must, FIRST_OF_BOUND),
                doubled: FIRST * senders,
                longest: within(LONGEST * senders, must * AFTER_FAILURE, PAUSE_OF_BOUND),
                at_once: PATIENCE_IN_LINE,
            },
        }
    }
}

impl PollSchedule {
    /// On those terms.
    pub fn new(terms: PollingTerms, seed: u64) -> Self {
        Self { spans: PollIntervals::on(terms), failures: 1, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// On other terms, from the next call on.
    pub fn follow(&mut self, terms: PollingTerms) {
        self.spans = PollIntervals::on(terms);
    }

    /// How the next call is made; one for the whole list, with nothing `known`, is answered at once.
    pub fn call(&self, known: bool) -> Poll {
        let PollIntervals { pushed, at_once, .. } = self.spans;
        if known && (self.failures == 0 || !pushed) {
            return Poll { hold: HOLD, patience: HOLD + PATIENCE, whole: HOLD + PATIENCE };
        }
        let (patience, whole) = match self.failures {
            MANY.. => (at_once.max(PATIENCE), HOLD + PATIENCE),
            _ => (at_once, at_once.max(PATIENCE)),
        };
        // One that waits for news is answered at its end at the latest.
        Poll { hold: patience / 4, patience, whole }
    }

    /// How long to wait before the first call, where a list is known that serves until then.
    pub fn first(&mut self) -> Duration {
        self.spans.first.mul_f64(self.chance())
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It was not: how long to wait before asking again.
    pub fn failed(&mut self) -> Duration {
        let pause = match self.failures {
            0 => AT_ONCE,
            failures => {
                (self.spans.doubled * (1 << (failures - 1).min(8))).min(self.spans.longest).max(AT_ONCE)
            }
        };
        self.failures = self.failures.saturating_add(1);
        pause.mul_f64(0.5 + self.chance())
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
