//! When to poll a service that a whole fleet polls, such as the endpoint list of discovery. No I/O and no clock.
//!
//! # Problem
//! The discovery mode decides what a call costs, and by when a sender has to know of a change.
//!
//! - [`DiscoveryMode::Watch`]: the list is pushed to the agent on the sender's own machine, which answers at no cost. The
//!   sender counts as notified of what its agent has, asked for or not, and has to stop sending to a draining endpoint
//!   within the grace period.
//! - [`DiscoveryMode::Poll`]: each call costs the discovery service, and a sender counts as notified once it has not asked for
//!   the staleness limit, or four times that after a failed call. A call that arrives while too many are queued fails after
//!   the work for it was done: a fleet that retries at once keeps the queue long, and gets no answers.
//!
//! # Mechanism
//! In watch mode the agent is asked at once, and no pause is longer than the grace period. In poll mode delays grow with the
//! size of the fleet, as if all senders had failed at once, up to the staleness limit. Delays double with each
//! failure up to a bound, and are randomized, so that senders that fail together do not return together.
use crate::DiscoveryMode;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// How long the agent may hold a call until there is a change. A sender counts as notified of what a silent watch missed 6 s
/// after the watch fell silent, or 2 s after the end of the hold if that is later: no sooner than 7 s after the call started.
/// The call is given up after 6 s, and repeated within 75 ms; the rest is for the answer.
const HOLD: Duration = Duration::from_secs(5);
/// How much longer than the hold an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call in poll mode may take that is to be answered at once: others are queued too. What a silent call missed
/// counts as notified 6 s later.
const QUEUED_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// In watch mode a sender counts as notified the moment that an unreachable agent is back. Until the agent answers, a call
/// for what is there now may take this share of the grace period, so that call and delay stay within it ...
const CALL_GRACE_SHARE: f64 = 0.3;
/// ... but no less than an agent that is reachable may need.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Consecutive failures after which each call may take long: the agent may just be slow.
const SLOW_AGENT_FAILURES: u32 = 64;
/// The shortest delay, and the delay after a first failure: well inside the 200 ms within which a watch continues.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// In poll mode, for each sender of the fleet: the first delay, before it is doubled.
const DELAY_PER_SENDER: Duration = Duration::from_millis(25);
/// For each sender: the time over which the first calls after a start are spread.
const INITIAL_SPREAD_PER_SENDER: Duration = Duration::from_millis(50);
/// For each sender: the longest delay. All of the fleet together then makes some ten calls a second.
const MAX_DELAY_PER_SENDER: Duration = Duration::from_millis(100);
/// The size of the fleet beyond which delays do not grow: changes are due within seconds, whatever the settings say.
const MAX_FLEET_SIZE: usize = 200;
/// The longest initial delay, as a share of the staleness limit: the rest is for the answer.
const INITIAL_DELAY_STALENESS_SHARE: f64 = 0.8;
/// The longest delay, as a share of the staleness limit after a failure: randomization adds half.
const MAX_DELAY_STALENESS_SHARE: f64 = 0.5;
/// In watch mode, the longest delay as a share of the grace period: call and delay stay within it, and leave a third of it
/// for the answer.
const MAX_DELAY_GRACE_SHARE: f64 = 0.25;
/// In poll mode the staleness limit is multiplied by this after a failed call.
const STALENESS_FACTOR_AFTER_FAILURE: u32 = 4;
/// A delay is doubled at most this often.
const MAX_DOUBLINGS: u32 = 8;
/// While the agent does not answer, it may hold a call for this part of the response timeout: a reachable agent then answers
/// in time even if there is no change.
const UNREACHABLE_HOLD_DIVISOR: u32 = 4;

/// The settings that decide how the list is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollConfig {
    /// Senders that poll the same service.
    pub fleet_size: usize,
    /// How the list is distributed.
    pub discovery: DiscoveryMode,
    /// How long after it was notified of a draining endpoint a sender may still send to it.
    pub drain_grace: Duration,
    /// A sender that has not asked for this long counts as notified; zero if there is no such limit.
    pub staleness_limit: Duration,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollScope {
    /// The changes since a revision: the call can be held until there are some.
    Changes,
    /// The complete list, which is answered at once.
    CompleteList,
}

/// How one call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// How long the agent may hold the call until there is a change.
    pub hold: Duration,
    /// How long after its start the call is given up if no answer has started.
    pub response_timeout: Duration,
    /// How long after its start the call is given up if the answer is not complete.
    pub total_timeout: Duration,
}

/// Decides how long to wait before a call, and how long for its answer.
pub struct PollSchedule {
    intervals: PollIntervals,
    consecutive_failures: u32,
    random: ChaCha8Rng,
}

/// What follows from the terms.
struct PollIntervals {
    mode: DiscoveryMode,
    /// The longest delay before the first call.
    max_initial_delay: Duration,
    /// The delay that is doubled with each failure.
    base_delay: Duration,
    max_delay: Duration,
    /// How long a call may take that is to be answered at once.
    immediate_timeout: Duration,
}

impl PollIntervals {
    fn new(terms: PollConfig) -> Self {
        match terms.discovery {
            DiscoveryMode::Watch => Self {
                mode: terms.discovery,
                max_initial_delay: Duration::ZERO,
                base_delay: MIN_DELAY,
                max_delay: terms.drain_grace.mul_f64(MAX_DELAY_GRACE_SHARE),
                immediate_timeout: terms
                    .drain_grace
                    .mul_f64(CALL_GRACE_SHARE)
                    .clamp(MIN_CALL_TIMEOUT, ANSWER_TIMEOUT),
            },
            DiscoveryMode::Poll => {
                let senders = u32::try_from(terms.fleet_size.clamp(1, MAX_FLEET_SIZE)).unwrap_or(1);
                let limit = terms.staleness_limit;
                let limit_after_failure = limit * STALENESS_FACTOR_AFTER_FAILURE;
                let spread = INITIAL_SPREAD_PER_SENDER * senders;
                let max_delay = MAX_DELAY_PER_SENDER * senders;
                Self {
                    mode: terms.discovery,
                    max_initial_delay: capped_at_share(spread, limit, INITIAL_DELAY_STALENESS_SHARE),
                    base_delay: DELAY_PER_SENDER * senders,
                    max_delay: capped_at_share(max_delay, limit_after_failure, MAX_DELAY_STALENESS_SHARE),
                    immediate_timeout: QUEUED_ANSWER_TIMEOUT,
                }
            }
        }
    }
}

/// Returns `delay`, or the share of `limit` if that is shorter; a limit of zero is none.
fn capped_at_share(delay: Duration, limit: Duration, share: f64) -> Duration {
    if limit.is_zero() { delay } else { delay.min(limit.mul_f64(share)) }
}

impl PollSchedule {
    /// Creates the schedule of a sender that has made no call yet.
    pub fn new(terms: PollConfig, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { intervals: PollIntervals::new(terms), consecutive_failures: 1, random }
    }

    /// Sets the terms from the next call on.
    pub fn set_config(&mut self, terms: PollConfig) {
        self.intervals = PollIntervals::new(terms);
    }

    /// Returns how the next call is made.
    pub fn next_poll(&self, scope: PollScope) -> Poll {
        let PollIntervals { mode, immediate_timeout, .. } = self.intervals;
        let is_reachable = self.consecutive_failures == 0;
        if scope == PollScope::Changes && (is_reachable || mode == DiscoveryMode::Poll) {
            let timeout = HOLD + ANSWER_TIMEOUT;
            return Poll { hold: HOLD, response_timeout: timeout, total_timeout: timeout };
        }
        let (response_timeout, total_timeout) = if self.consecutive_failures >= SLOW_AGENT_FAILURES {
            (immediate_timeout.max(ANSWER_TIMEOUT), HOLD + ANSWER_TIMEOUT)
        } else {
            (immediate_timeout, immediate_timeout.max(ANSWER_TIMEOUT))
        };
        Poll { hold: response_timeout / UNREACHABLE_HOLD_DIVISOR, response_timeout, total_timeout }
    }

    /// Returns how long to wait before the first call, if a list is known that can be used until then.
    pub fn initial_delay(&mut self) -> Duration {
        self.intervals.max_initial_delay.mul_f64(self.random_share())
    }

    /// Notes that the last call was answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Notes that the last call failed, and returns how long to wait before the next one.
    pub fn record_failure(&mut self) -> Duration {
        let delay = match self.consecutive_failures {
            0 => MIN_DELAY,
            failures => {
                let doubled = self.intervals.base_delay * (1 << (failures - 1).min(MAX_DOUBLINGS));
                doubled.min(self.intervals.max_delay).max(MIN_DELAY)
            }
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        delay.mul_f64(0.5 + self.random_share())
    }

    /// Returns a random number from 0 to 1.
    fn random_share(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
