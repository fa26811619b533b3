//! The limit of calls to a route that may have had an outage: from a failed call on until another one succeeds,
//! and for the duration of a slow start after that. Performs no I/O and reads no clock.
//!
//! A few failures do not show an outage, so they do not eject the route. But if there is one, it may end at any
//! time, and the destination is then cold. A sender therefore makes no more calls within an overload window
//! than its share of what a cold destination accepts.
use crate::interface::{after, seconds, since};
use crate::{Settings, Timestamp};
use std::collections::VecDeque;

/// Number of expected calls from which their random variation has a lower weight.
const LARGE_CALL_COUNT: f64 = 30.0;
/// Weight of the variation of a small number of calls, and the number of calls that any destination accepts.
const SMALL_COUNT_MARGIN: f64 = 3.0;
/// The same for a large number of calls.
const LARGE_COUNT_MARGIN: f64 = 2.0;

/// An outage lasts longer than this many overload windows. A shorter Retry-After indicates an exceeded limit.
pub(crate) const MIN_OUTAGE_WINDOWS: f64 = 2.0;

/// The caution on one route.
#[derive(Clone, Default)]
pub(crate) struct Caution {
    /// When a call succeeded after a time in which there may have been an outage.
    recovered_at: Option<Timestamp>,
    /// The start times of the calls under caution, within the last overload window.
    recent_calls: VecDeque<Timestamp>,
}

impl Caution {
    /// Begins the limit that lasts for the duration of a slow start.
    pub(crate) fn begin_slow_start(&mut self, now: Timestamp) {
        self.recovered_at = Some(now);
    }

    /// Returns the start of the slow start that is not over at `now`.
    pub(crate) fn slow_start(&self, now: Timestamp, settings: &Settings) -> Option<Timestamp> {
        self.recovered_at.filter(|from| since(now, *from) < settings.rules.slow_start_duration.0)
    }

    /// Ends the limit, because there was no outage.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records the start of a call under caution.
    pub(crate) fn record_call(&mut self, now: Timestamp, settings: &Settings) {
        let window = settings.rules.overload_window.0;
        while self.recent_calls.front().is_some_and(|start| since(now, *start) >= window) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back(now);
    }

    /// Returns whether another call at `now` keeps the limit, if the warm destination accepts `expected_rate`
    /// calls per second from this sender.
    pub(crate) fn permits_call(&self, now: Timestamp, expected_rate: f64, settings: &Settings) -> bool {
        self.next_call_at(now, now, expected_rate, settings) <= now
    }

    /// Returns a lower bound of the time at which the limit permits another call if no event occurs; later than
    /// `now` if it does not at `now`.
    pub(crate) fn opens_at(&self, now: Timestamp, expected_rate: f64, settings: &Settings) -> Timestamp {
        let latest = self.next_call_at(now, now, expected_rate, settings);
        if latest <= now {
            return now;
        }
        // The limit only grows, and ends with the slow start. The limit at the latest time gives a lower bound.
        let next = self.next_call_at(now, latest, expected_rate, settings);
        let end = self.slow_start(now, settings).map(|from| from.0 + settings.rules.slow_start_duration.0);
        Timestamp(next.0.min(end.unwrap_or(u64::MAX)).max(now.0 + 1))
    }

    /// Returns from when on another call keeps the limit that applies at `at`.
    fn next_call_at(
        &self,
        now: Timestamp,
        at: Timestamp,
        expected_rate: f64,
        settings: &Settings,
    ) -> Timestamp {
        let duration = settings.rules.slow_start_duration.0.max(1) as f64;
        let progress = self.slow_start(now, settings).map_or(0.0, |from| since(at, from) as f64 / duration);
        let max_calls = max_calls_in_window(expected_rate, progress.min(1.0), settings);
        let blocking = self.recent_calls.len().checked_sub(max_calls);
        let blocking = blocking.and_then(|index| self.recent_calls.get(index));
        blocking.map_or(now, |start| after(*start, settings.rules.overload_window.0 as f64))
    }
}

/// Returns how many calls this sender may make within an overload window to a destination whose slow start has
/// come to `progress`, from 0 to 1.
///
/// In a large fleet, most senders have nothing to send at any one time. If a sender's share is less than one
/// call, it may make as many as any destination accepts.
fn max_calls_in_window(expected_rate: f64, progress: f64, settings: &Settings) -> usize {
    let rules = &settings.rules;
    let senders = settings.fleet_size.max(1) as f64;
    let share = rules.slow_start_share + (1.0 - rules.slow_start_share) * progress;
    let allowed_rate = expected_rate * senders * share * rules.overload_factor;
    let calls = allowed_rate * seconds(rules.overload_window.0);
    let margin = if calls < LARGE_CALL_COUNT { SMALL_COUNT_MARGIN } else { LARGE_COUNT_MARGIN };
    let share = (calls + margin * calls.sqrt()) / senders;
    // What any destination accepts is added only to the smallest shares.
    let small_share = (share + SMALL_COUNT_MARGIN / senders).ceil().min(SMALL_COUNT_MARGIN);
    let is_large_fleet = share + SMALL_COUNT_MARGIN / senders < 1.0;
    if is_large_fleet { SMALL_COUNT_MARGIN as usize } else { share.floor().max(small_share) as usize }
}
