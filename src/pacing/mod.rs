//! Rate limiting of routes by token buckets. Performs no I/O and reads no clock.
//!
//! All senders of the fleet share the limit of a route without coordinating. Each uses an equal share of it,
//! and more if the last load report showed spare capacity. As the destination gets the sum of what all
//! senders send, shares must be computed so that the sum stays below the limit for any fleet size.
pub(crate) mod caution;
pub(crate) mod pacer;
pub(crate) mod route;

pub(crate) use pacer::{Health, Pacer};
pub(crate) use route::Route;

use crate::Settings;
use crate::interface::seconds;

/// Fraction of the equal share that is used without known spare capacity; reported limits are noisy.
const SAFE_SHARE: f64 = 0.85;
/// Fraction of the equal share that is used after a rejection. It is lower because rejected calls count
/// towards the limit, too, and would otherwise keep it exhausted.
const REJECTED_SHARE: f64 = 0.5;
/// Multiple of the equal share that is added if the whole limit remains. It is scaled by the cube of the
/// remaining share, because many senders see the same report and react to it at the same time.
const SPARE_CAPACITY_FACTOR: f64 = 8.0;
/// Fraction of the rate allowed by the recovery rule that is used, as other senders return at the same time.
const SLOW_START_SAFETY: f64 = 0.9;
/// Minimum fraction of the equal share that a healthy route is assumed to accept, in a small fleet.
const EXPECTED_SHARE: f64 = 0.8;
/// Amount added to `EXPECTED_SHARE` in the limit of a very large fleet; smaller fleets add less.
const EXPECTED_SHARE_LARGE_FLEET: f64 = 0.4;
/// Maximum number of senders in a small fleet, in which the traffic of single senders doesn't average out.
const SMALL_FLEET: f64 = 20.0;

/// Bounds of the pace of a route by its limit and the last load report.
#[derive(Clone, Copy, Default)]
pub(crate) struct PaceBounds {
    /// This sender's equal share of the limit, in calls per second; 0 if no limit is known.
    pub(crate) equal_share: f64,
    /// Whether the limit applies to this route itself, so that the pace must respect it.
    pub(crate) enforces_limit: bool,
    /// The unused fraction of the limit in the last load report.
    pub(crate) remaining_share: f64,
}

impl PaceBounds {
    /// Divides `limit`, in calls per second, equally among the senders of the fleet and the `routes` that
    /// share it.
    pub(crate) fn new(
        limit: f64,
        routes: usize,
        enforces_limit: bool,
        remaining_share: f64,
        settings: &Settings,
    ) -> Self {
        let share = limit / settings.fleet_size.max(1) as f64 / routes.max(1) as f64;
        let equal_share = if share.is_finite() { share.max(0.0) } else { 0.0 };
        Self { equal_share, enforces_limit, remaining_share }
    }

    /// Returns whether a known limit applies to the pace.
    pub(crate) fn is_limited(&self) -> bool {
        self.enforces_limit && self.equal_share > 0.0
    }

    /// Returns the maximum rate by the last load report, in calls per second; infinite without a limit.
    pub(crate) fn max_rate(&self) -> f64 {
        if !self.is_limited() {
            return f64::INFINITY;
        }
        self.equal_share * (SAFE_SHARE + SPARE_CAPACITY_FACTOR * self.remaining_share.clamp(0.0, 1.0).powi(3))
    }

    /// Returns the rate that is allowed without spare capacity, in calls per second.
    pub(crate) fn equal_rate(&self) -> f64 {
        self.equal_share * SAFE_SHARE
    }

    /// Returns the rate after a rejection, in calls per second.
    pub(crate) fn rate_after_rejection(&self) -> f64 {
        self.equal_share * REJECTED_SHARE
    }

    /// Returns the rate that a healthy route is expected to accept from this sender, in calls per second, if
    /// it has accepted `rate` before.
    pub(crate) fn expected_rate(&self, rate: f64, settings: &Settings) -> f64 {
        let share = self.equal_share * expected_share(settings.fleet_size);
        let min_rate = 1.0 / seconds(settings.rules.slow_start_duration.0).max(0.1);
        rate.max(share).max(min_rate)
    }
}

/// Returns a rate that is safe for any destination, in calls per second: one call per overload window from
/// the whole fleet, or the initial slow-start share of one call per slow start if that is more. The latter is
/// safe because in a large fleet only the senders with pending messages make calls.
pub(crate) fn min_trial_rate(settings: &Settings) -> f64 {
    let equal = 1.0 / (settings.fleet_size as f64 * seconds(settings.rules.overload_window.0).max(0.1));
    equal.max(initial_slow_start_share(settings) / seconds(settings.rules.slow_start_duration.0).max(0.1))
}

/// Returns the fraction of its equal share that a sender uses during a slow start. It is higher in a large
/// fleet, where most senders have nothing to send at any one time.
fn expected_share(fleet_size: usize) -> f64 {
    EXPECTED_SHARE + EXPECTED_SHARE_LARGE_FLEET * (1.0 - SMALL_FLEET / fleet_size.max(1) as f64).max(0.0)
}

/// Returns the fraction of the time between a failed and a successful trial during which a route is assumed
/// to have been available again. It approaches the mean, one half, in a large fleet, and is 0 in a small one,
/// where errors don't average out.
pub(crate) fn mean_trial_offset(fleet_size: usize) -> f64 {
    (1.0 - SMALL_FLEET / fleet_size.max(1) as f64).max(0.0) / 2.0
}

/// Returns the rate that the recovery rule allows for a route that has just recovered, as a fraction of its
/// healthy rate.
pub(crate) fn initial_slow_start_share(settings: &Settings) -> f64 {
    settings.rules.slow_start_share * settings.rules.overload_factor * SLOW_START_SAFETY
}
