//! The schedule for polling a service that a whole fleet polls, such as the endpoint list of discovery. No
//! I/O and no clock.
//!
//! # Problem
//! The discovery mode determines the cost of a call, and the time from which a sender counts as notified of a
//! change, and so has to comply with it whether or not it has received it.
//!
//! - [`DiscoveryMode::Watch`]: the list is pushed to the agent on the sender's machine, so that calls are
//!   cheap. The sender counts as notified of a change as soon as its agent has it, and has to stop sending to
//!   a draining endpoint within the grace period.
//! - [`DiscoveryMode::Poll`]: each call is work for the discovery service. A sender counts as notified of all
//!   changes if it has not polled for the staleness limit, or four times that after a failed call. A call
//!   that arrives while too many are queued fails after the service has done the work for it: a fleet that
//!   retries immediately keeps the queue long, and receives no responses.
//!
//! # Mechanism
//! In watch mode the first call is made at once, and no delay is longer than the grace period. In poll mode
//! delays are proportional to the size of the fleet, because all senders may fail at the same time, and
//! limited by the staleness limit. Delays double with each failure up to a maximum, and are randomized, so
//! that senders that fail together do not retry together. A call that has failed because the agent was
//! unreachable stays open beside the next ones, because the agent may be slow.
use crate::DiscoveryMode;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// The time for which the agent may hold a call until there is a change. If a watch falls silent, the sender
/// counts as notified of the missed changes 6 s later, or 2 s after the end of the hold if that is later,
/// which is at least 7 s after the start of the call. The call times out after 6 s. The next one follows
/// within 75 ms, and the rest of the 7 s is for its response.
const HOLD: Duration = Duration::from_secs(5);
/// The time that a response may take in addition to the hold.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout in poll mode for a call without a hold, which may be queued behind calls of other senders. The
/// changes that such a call misses count as notified after 6 s.
const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout in watch mode for a call to an unreachable agent, as a share of the grace period. A sender
/// counts as notified as soon as the agent is reachable again, so that a call and the following delay have to
/// stay within the grace period.
const CALL_GRACE_SHARE: f64 = 0.3;
/// The minimum timeout of a call, within which a reachable agent responds.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// The number of consecutive failures after which calls have a longer timeout, because the agent may be
/// reachable but slow.
const SLOW_AGENT_FAILURES: u32 = 64;
/// The minimum delay, and the delay after a first failure. A watch that is resumed within 200 ms counts as
/// uninterrupted.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// The delay in poll mode before it is doubled, per sender of the fleet.
const DELAY_PER_SENDER: Duration = Duration::from_millis(25);
/// The time over which the first calls of a fleet in poll mode are spread, per sender of the fleet.
const INITIAL_SPREAD_PER_SENDER: Duration = Duration::from_millis(50);
/// The maximum delay in poll mode, per sender of the fleet: at this delay the fleet makes about ten calls per
/// second.
const MAX_DELAY_PER_SENDER: Duration = Duration::from_millis(100);
/// The size of the fleet beyond which delays do not grow, so that changes arrive within seconds for any
/// settings.
const MAX_FLEET_SIZE: usize = 200;
/// The maximum initial delay, as a share of the staleness limit. The rest is for the response.
const INITIAL_DELAY_STALENESS_SHARE: f64 = 0.8;
/// The maximum delay, as a share of the staleness limit after a failure. Randomization adds up to half of the
/// delay.
const MAX_DELAY_STALENESS_SHARE: f64 = 0.5;
/// The maximum delay in watch mode, as a share of the grace period. After a call and a delay, a third of the
/// grace period is left for the response.
const MAX_DELAY_GRACE_SHARE: f64 = 0.25;
/// The factor by which a failed call extends the staleness limit in poll mode.
const STALENESS_FACTOR_AFTER_FAILURE: u32 = 4;
/// The maximum number of times that a delay is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// While the agent does not respond, the hold of a call is the response timeout divided by this: a reachable
/// agent then responds in time even if there is no change.
const UNREACHABLE_HOLD_DIVISOR: u32 = 4;

/// The settings that determine how the list is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollConfig {
    /// The number of senders that poll the same service.
    pub fleet_size: usize,
    /// How the list is distributed.
    pub discovery: DiscoveryMode,
    /// The time for which a sender may continue to send to an endpoint after being notified that it is
    /// draining.
    pub drain_grace: Duration,
    /// The time without a poll after which a sender counts as notified of all changes; zero for no limit.
    pub staleness_limit: Duration,
}

/// The content that a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollScope {
    /// The changes since a revision. The agent can hold the call until there are some.
    Changes,
    /// The complete list. The agent responds at once.
    CompleteList,
}

/// The hold and the timeouts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The time for which the agent may hold the call until there is a change.
    pub hold: Duration,
    /// The time after its start at which the call has failed unless a response has started.
    pub response_timeout: Duration,
    /// The time after its start at which the call has failed unless the response is complete.
    pub total_timeout: Duration,
}

/// Determines the delay before each call, and its timeouts.
pub struct PollSchedule {
    intervals: PollIntervals,
    consecutive_failures: u32,
    random: ChaCha8Rng,
}

/// The intervals derived from a [`PollConfig`].
struct PollIntervals {
    mode: DiscoveryMode,
    /// The maximum delay before the first call.
    max_initial_delay: Duration,
    /// The delay before it is doubled.
    base_delay: Duration,
    max_delay: Duration,
    /// The response timeout of a call that the agent has to answer without a full hold.
    immediate_timeout: Duration,
}

impl PollIntervals {
    fn new(config: PollConfig) -> Self {
        match config.discovery {
            DiscoveryMode::Watch => Self {
                mode: config.discovery,
                max_initial_delay: Duration::ZERO,
                base_delay: MIN_DELAY,
                max_delay: config.drain_grace.mul_f64(MAX_DELAY_GRACE_SHARE),
                immediate_timeout: config
                    .drain_grace
                    .mul_f64(CALL_GRACE_SHARE)
                    .clamp(MIN_CALL_TIMEOUT, RESPONSE_TIMEOUT),
            },
            DiscoveryMode::Poll => {
                let senders = u32::try_from(config.fleet_size.clamp(1, MAX_FLEET_SIZE)).unwrap_or(1);
                let limit = config.staleness_limit;
                let limit_after_failure = limit * STALENESS_FACTOR_AFTER_FAILURE;
                let spread = INITIAL_SPREAD_PER_SENDER * senders;
                let max_delay = MAX_DELAY_PER_SENDER * senders;
                Self {
                    mode: config.discovery,
                    max_initial_delay: capped_at_share(spread, limit, INITIAL_DELAY_STALENESS_SHARE),
                    base_delay: DELAY_PER_SENDER * senders,
                    max_delay: capped_at_share(max_delay, limit_after_failure, MAX_DELAY_STALENESS_SHARE),
                    immediate_timeout: QUEUED_RESPONSE_TIMEOUT,
                }
            }
        }
    }
}

/// Returns `delay`, or `share` of `limit` if that is shorter. A limit of zero means no limit.
fn capped_at_share(delay: Duration, limit: Duration, share: f64) -> Duration {
    if limit.is_zero() { delay } else { delay.min(limit.mul_f64(share)) }
}

impl PollSchedule {
    /// Creates the schedule of a sender that has made no call yet.
    pub fn new(config: PollConfig, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { intervals: PollIntervals::new(config), consecutive_failures: 1, random }
    }

    /// Sets the configuration for all later calls.
    pub fn set_config(&mut self, config: PollConfig) {
        self.intervals = PollIntervals::new(config);
    }

    /// Returns whether the last call succeeded.
    pub fn is_reachable(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Returns the hold and the timeouts of the next call.
    pub fn next_poll(&self, scope: PollScope) -> Poll {
        let PollIntervals { mode, immediate_timeout, .. } = self.intervals;
        if scope == PollScope::Changes && (self.is_reachable() || mode == DiscoveryMode::Poll) {
            let timeout = HOLD + RESPONSE_TIMEOUT;
            return Poll { hold: HOLD, response_timeout: timeout, total_timeout: timeout };
        }
        let (response_timeout, total_timeout) = if self.consecutive_failures >= SLOW_AGENT_FAILURES {
            (immediate_timeout.max(RESPONSE_TIMEOUT), HOLD + RESPONSE_TIMEOUT)
        } else {
            (immediate_timeout, immediate_timeout.max(RESPONSE_TIMEOUT))
        };
        Poll { hold: response_timeout / UNREACHABLE_HOLD_DIVISOR, response_timeout, total_timeout }
    }

    /// Returns the delay before the first call of a sender that already has a list.
    pub fn initial_delay(&mut self) -> Duration {
        self.intervals.max_initial_delay.mul_f64(self.random_share())
    }

    /// Records that the last call succeeded.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that the last call failed, and returns the delay before the next one.
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
