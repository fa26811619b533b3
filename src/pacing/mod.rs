//! How much may be sent on a route as time passes: token arithmetic, free of I/O and clocks.
//!
//! The limit of a route is shared by the whole fleet. Senders cannot ask each other, so each counts on an equal share of
//! it, and on more where the last load report showed spare capacity. What the fleet sends is the sum: no share may be
//! computed in a way that is harmless from one sender and too much from a hundred.
pub(crate) mod pacer;
pub(crate) mod route;

pub(crate) use pacer::{Health, Pacer};
pub(crate) use route::Route;

use crate::Settings;
use crate::interface::seconds;

/// Part of the equal share of a limit that is used when no capacity is known to be left: limits are reported with noise.
const SAFE_SHARE: f64 = 0.85;
/// The same right after a rejection. Rejected calls use a limit up too: senders that together go on at its rate are
/// rejected every time and never let it recover.
const REJECTED_SHARE: f64 = 0.5;
/// What is added where all of the limit is left, in equal shares. It grows with the cube of what is left: many senders
/// read the same report, and all that act on it do so together.
const SPARE_CAPACITY_FACTOR: f64 = 8.0;
/// A route in slow start gets at most this share of what the recovery rule allows, as other senders come back too.
const SLOW_START_SAFETY: f64 = 0.9;
/// Part of the equal share that a route is expected to take, where this sender has seen less of it.
const EXPECTED_SHARE: f64 = 0.8;
/// What is added to that part in a fleet of unbounded size.
const EXPECTED_SHARE_LARGE_FLEET: f64 = 0.4;
/// Up to this many senders count as few: what one does is not averaged out by the others.
const SMALL_FLEET: f64 = 20.0;

/// What bounds the pace of a route beside what was learned of it.
#[derive(Clone, Copy, Default)]
pub(crate) struct PaceBounds {
    /// The equal share of the limit, in calls a second; 0 where no limit is known.
    pub(crate) equal_share: f64,
    /// Whether the limit is this route's own, so that the pace keeps to it.
    pub(crate) enforces_limit: bool,
    /// The share of the limit that was left when it was last reported.
    pub(crate) remaining_share: f64,
}

impl PaceBounds {
    /// Divides a `limit`, in calls a second, equally among the fleet and the `routes` over which it extends.
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

    /// Returns whether a limit is known that the pace keeps to.
    pub(crate) fn is_limited(&self) -> bool {
        self.enforces_limit && self.equal_share > 0.0
    }

    /// Returns the calls a second that the last load report allows.
    pub(crate) fn max_rate(&self) -> f64 {
        if !self.is_limited() {
            return f64::INFINITY;
        }
        self.equal_share * (SAFE_SHARE + SPARE_CAPACITY_FACTOR * self.remaining_share.clamp(0.0, 1.0).powi(3))
    }

    /// Returns the calls a second that no load report has to allow.
    pub(crate) fn equal_rate(&self) -> f64 {
        self.equal_share * SAFE_SHARE
    }

    /// Returns the calls a second to go on with after a rejection.
    pub(crate) fn rate_after_rejection(&self) -> f64 {
        self.equal_share * REJECTED_SHARE
    }

    /// Returns the calls a second that a healthy route takes from this sender, if it took `rate` before.
    pub(crate) fn expected_rate(&self, rate: f64, settings: &Settings) -> f64 {
        let share = self.equal_share * expected_share(settings.fleet_size);
        let least = 1.0 / seconds(settings.rules.slow_start_duration.0).max(0.1);
        rate.max(share).max(least)
    }
}

/// Returns the calls a second that are safe towards anything: one an overload window from the whole fleet, or the
/// initial slow-start share of one message a slow start, as in a large fleet only senders with a pending message call.
pub(crate) fn min_trial_rate(settings: &Settings) -> f64 {
    let equal = 1.0 / (settings.fleet_size as f64 * seconds(settings.rules.overload_window.0).max(0.1));
    equal.max(initial_slow_start_share(settings) / seconds(settings.rules.slow_start_duration.0).max(0.1))
}

/// The part of its equal share that a sender counts on during a slow start. Most senders of a large fleet have nothing
/// to send at any one moment, so what is used stays well under the sum of the shares.
fn expected_share(fleet_size: usize) -> f64 {
    EXPECTED_SHARE + EXPECTED_SHARE_LARGE_FLEET * (1.0 - SMALL_FLEET / fleet_size.max(1) as f64).max(0.0)
}

/// Returns for which part of the time since a failed trial a route counts as recovered, when the next trial succeeds.
/// On the mean over a large fleet it is half; a few senders may be wrong together, and count on none.
pub(crate) fn mean_trial_offset(fleet_size: usize) -> f64 {
    (1.0 - SMALL_FLEET / fleet_size.max(1) as f64).max(0.0) / 2.0
}

/// Returns what the recovery rule allows towards a route that has just recovered, as a share of what it takes when healthy.
pub(crate) fn initial_slow_start_share(settings: &Settings) -> f64 {
    settings.rules.slow_start_share * settings.rules.overload_factor * SLOW_START_SAFETY
}
