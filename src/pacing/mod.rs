//! How much may be sent along a line as time passes: plain arithmetic of tokens, free of I/O and clocks.
//!
//! A line's limit is everybody's. Senders cannot ask each other, so each counts on an equal part of it, and on more where
//! the last report told of room. What a fleet sends is the sum of this: no part may be worked out in a way that is
//! harmless from one sender and too much from a hundred.
pub(crate) mod pacer;
pub(crate) mod route;

pub(crate) use pacer::{Health, Pacer};
pub(crate) use route::Route;

use crate::Settings;
use crate::interface::seconds;

/// Part of the equal share of a limit that is sent when nothing of it is known to be left: limits are told with noise.
const SAFE_SHARE: f64 = 0.85;
/// The same right after a refusal. Refused calls use a limit up too: senders that together go on at its rate are refused
/// every time and never let it recover.
const REJECTED_SHARE: f64 = 0.5;
/// What is added to that where all of the limit is left, in equal shares. It grows with the cube of what is left: many
/// read the same report, and all that act on it come together.
const SPARE_CAPACITY_FACTOR: f64 = 8.0;
/// A returning line is sent at most this share of what the recovery rule allows (others return too).
const SLOW_START_SAFETY: f64 = 0.9;
/// Part of the equal share that is taken for what a line took before, where this sender saw less of it.
const EXPECTED_SHARE: f64 = 0.8;
/// What a fleet that is large without bound adds to that.
const EXPECTED_SHARE_LARGE_FLEET: f64 = 0.4;
/// Up to so many senders count as few: what one does is not averaged out by the others.
const SMALL_FLEET: f64 = 20.0;

/// What bounds the sending along a line besides what was learned of it.
#[derive(Clone, Copy, Default)]
pub(crate) struct PaceBounds {
    /// An equal part of the limit in calls a second, 0 where none is known.
    pub(crate) equal_share: f64,
    /// Whether the limit is this line's own: then the pace keeps to it.
    pub(crate) enforces_limit: bool,
    /// The share of the limit that was left when it was last told.
    pub(crate) remaining_share: f64,
}

impl PaceBounds {
    /// The equal part among the settings' senders of a `limit` shared out over so many lines.
    pub(crate) fn new(limit: f64, lines: usize, gate: bool, left: f64, s: &Settings) -> Self {
        let part = limit / s.fleet_size.max(1) as f64 / lines.max(1) as f64;
        Self {
            equal_share: if part.is_finite() { part.max(0.0) } else { 0.0 },
            enforces_limit: gate,
            remaining_share: left,
        }
    }

    /// Whether a limit is known that the pace keeps to.
    pub(crate) fn is_limited(&self) -> bool {
        self.enforces_limit && self.equal_share > 0.0
    }

    /// Calls a second that may be sent by what was last told.
    pub(crate) fn max_rate(&self) -> f64 {
        if !self.is_limited() {
            return f64::INFINITY;
        }
        self.equal_share * (SAFE_SHARE + SPARE_CAPACITY_FACTOR * self.remaining_share.clamp(0.0, 1.0).powi(3))
    }

    /// Calls a second that no report has to allow.
    pub(crate) fn equal_rate(&self) -> f64 {
        self.equal_share * SAFE_SHARE
    }

    /// Calls a second to go on with after a refusal.
    pub(crate) fn rate_after_rejection(&self) -> f64 {
        self.equal_share * REJECTED_SHARE
    }

    /// Calls a second that a line takes from this sender when it is warm, if it took `rate` before.
    pub(crate) fn expected_rate(&self, rate: f64, s: &Settings) -> f64 {
        rate.max(self.equal_share * expected_share(s.fleet_size))
            .max(1.0 / seconds(s.rules.slow_start_duration.0).max(0.1))
    }
}

/// Calls a second that are safe towards anything: one a `fall` from all senders together, or the cold share
/// of one message a ramp, as among many only those with a message waiting call.
pub(crate) fn min_trial_rate(s: &Settings) -> f64 {
    let equal = 1.0 / (s.fleet_size as f64 * seconds(s.rules.overload_window.0).max(0.1));
    equal.max(initial_slow_start_share(s) / seconds(s.rules.slow_start_duration.0).max(0.1))
}

/// Which part of its equal share a sender counts on while a line comes back. Of a large fleet most have nothing to send
/// along it at any one moment: the sum of what is used stays well under the sum of the shares.
fn expected_share(senders: usize) -> f64 {
    EXPECTED_SHARE + EXPECTED_SHARE_LARGE_FLEET * (1.0 - SMALL_FLEET / senders.max(1) as f64).max(0.0)
}

/// Which part of the time between two trials, the first in vain, a line counts as back since. On the mean over a large
/// fleet it is half; a few senders may be wrong together, and count on none.
pub(crate) fn mean_trial_offset(senders: usize) -> f64 {
    (1.0 - SMALL_FLEET / senders.max(1) as f64).max(0.0) / 2.0
}

/// What the recovery rule allows towards a line that has just come back, as a share of what it takes when warm.
pub(crate) fn initial_slow_start_share(s: &Settings) -> f64 {
    s.rules.slow_start_share * s.rules.overload_factor * SLOW_START_SAFETY
}
