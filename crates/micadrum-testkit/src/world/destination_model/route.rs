//! A route of a destination, with its rate limit and its reduced capacity during the slow start after an
//! outage.
use crate::observation::Micros;
use crate::plan::{INITIAL_CAPACITY_SHARE, Limit, OVERLOAD_FACTOR, OVERLOAD_WINDOW, SLOW_START_DURATION};
use std::collections::VecDeque;

/// The length of the window in which a window limit counts calls.
pub(super) const LIMIT_WINDOW_US: Micros = 2_000_000;
/// The number of standard deviations by which arrivals may exceed the overload factor before a route in slow
/// start collapses. Sustained overload exceeds this bound; a random burst of independent arrivals does not.
const COLLAPSE_TOLERANCE_SIGMAS: f64 = 3.0;
/// A route enters slow start only after an outage of at least this length.
const MIN_SLOW_START_OUTAGE_US: Micros = 6_000_000;
/// The interval at which a route's load report is refreshed.
const REPORT_INTERVAL_US: Micros = 300_000;
/// The smallest capacity of a rate limit's token bucket.
const MIN_BURST: f64 = 2.0;

/// The overload of a route in slow start, which received more calls than it could sustain.
#[derive(Clone, Debug, PartialEq)]
pub struct Collapse {
    /// The sender of each call in the overload window, with one entry per call.
    pub senders: Vec<u32>,
    /// The number of calls that the route would have sustained.
    pub budget: f64,
}

/// The load of a route, as its answers report it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The share of the limit that is left.
    pub remaining_share: f64,
    /// The limit in calls per second, or 0 if there is no limit.
    pub limit_per_second: f64,
}

struct RecentCall {
    at: Micros,
    sender: u32,
}

/// The number of calls counted in one window of a limit.
#[derive(Default)]
struct WindowCount {
    window: Micros,
    calls: u32,
}

/// The share of the limit that was left when the load report was last refreshed.
struct ReportedShare {
    at: Micros,
    remaining_share: f64,
}

/// The unit to which a limit and an outage apply: one endpoint, or all endpoints of a destination that share
/// a limit.
pub(super) struct Route {
    capacity: f64,
    limit: Limit,
    rejections_consume_rate: bool,
    /// The share of the configured limit that applies at present.
    limit_share: f64,
    tokens: f64,
    tokens_updated_at: Micros,
    window: WindowCount,
    outage_since: Option<Micros>,
    /// The start of the last slow start, if there was one.
    slow_start_since: Option<Micros>,
    collapsed: bool,
    recent_calls: VecDeque<RecentCall>,
    last_report: ReportedShare,
}

impl Route {
    pub(super) fn new(capacity: f64, limit: Limit, rejections_consume_rate: bool) -> Self {
        Self {
            capacity,
            limit,
            rejections_consume_rate,
            limit_share: 1.0,
            tokens: 1.0,
            tokens_updated_at: 0,
            window: WindowCount::default(),
            outage_since: None,
            slow_start_since: None,
            collapsed: false,
            recent_calls: VecDeque::new(),
            last_report: ReportedShare { at: 0, remaining_share: 1.0 },
        }
    }

    pub(super) fn is_collapsed(&self) -> bool {
        self.collapsed
    }

    pub(super) fn set_limit_share(&mut self, share: f64) {
        self.limit_share = share;
    }

    /// Starts or ends an outage. Returns whether this changed the route's state.
    pub(super) fn set_outage(&mut self, outage: bool, now: Micros) -> bool {
        if outage {
            let began = self.outage_since.is_none();
            self.outage_since.get_or_insert(now);
            return began;
        }
        let Some(since) = self.outage_since.take() else { return false };
        if now >= since + MIN_SLOW_START_OUTAGE_US {
            self.slow_start_since = Some(now);
            self.recent_calls.clear();
        }
        true
    }

    /// Clears the outage and slow start, as all endpoints have been replaced.
    pub(super) fn reset_outage(&mut self) {
        self.outage_since = None;
        self.slow_start_since = None;
    }

    /// Returns the share of the route's full capacity that is available, which is below 1 during slow start.
    pub(super) fn capacity_share(&self, now: Micros) -> f64 {
        let Some(slow_start_since) = self.slow_start_since else { return 1.0 };
        let ramp_share = now.saturating_sub(slow_start_since) as f64 / SLOW_START_DURATION.0 as f64;
        (INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * ramp_share).min(1.0)
    }

    fn current_limit(&self) -> Limit {
        match self.limit {
            Limit::None => Limit::None,
            Limit::Rate(rate) => Limit::Rate(rate * self.limit_share),
            Limit::Window(count) => Limit::Window(((f64::from(count) * self.limit_share) as u32).max(1)),
        }
    }

    /// Counts a call at `now` against the limit. Returns whether the call is within the limit.
    pub(super) fn admits(&mut self, now: Micros) -> bool {
        match self.current_limit() {
            Limit::None => true,
            Limit::Rate(rate) => self.take_token(now, rate),
            Limit::Window(count) => {
                let window = now / LIMIT_WINDOW_US;
                if self.window.window != window {
                    self.window = WindowCount { window, calls: 0 };
                }
                self.window.calls += 1;
                self.window.calls <= count
            }
        }
    }

    fn take_token(&mut self, now: Micros, rate: f64) -> bool {
        let elapsed_seconds = now.saturating_sub(self.tokens_updated_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_seconds * rate).min(rate.max(MIN_BURST));
        self.tokens_updated_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted || self.rejections_consume_rate {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        admitted
    }

    /// Returns the load that an answer written at `now` reports, refreshing it if it is outdated.
    pub(super) fn load_report(&mut self, now: Micros) -> LoadReport {
        let current = self.current_load(now);
        if now >= self.last_report.at + REPORT_INTERVAL_US {
            self.last_report = ReportedShare { at: now, remaining_share: current.remaining_share };
        }
        LoadReport { remaining_share: self.last_report.remaining_share, ..current }
    }

    fn current_load(&self, now: Micros) -> LoadReport {
        match self.current_limit() {
            Limit::None => LoadReport { remaining_share: 1.0, limit_per_second: 0.0 },
            Limit::Rate(rate) => LoadReport {
                remaining_share: (self.tokens / rate.max(MIN_BURST)).clamp(0.0, 1.0),
                limit_per_second: rate,
            },
            Limit::Window(count) => {
                let is_current = self.window.window == now / LIMIT_WINDOW_US;
                let used = if is_current { self.window.calls } else { 0 };
                LoadReport {
                    remaining_share: 1.0 - f64::from(used.min(count)) / f64::from(count.max(1)),
                    limit_per_second: f64::from(count) / 2.0,
                }
            }
        }
    }

    /// Records a call of a sender. Returns the collapse of the route, if this call caused one.
    pub(super) fn record_call(&mut self, now: Micros, sender: u32) -> Option<Collapse> {
        self.recent_calls.push_back(RecentCall { at: now, sender });
        while self.recent_calls.front().is_some_and(|call| call.at + OVERLOAD_WINDOW.0 < now) {
            self.recent_calls.pop_front();
        }
        let slow_start_since = self.slow_start_since?;
        if now >= slow_start_since + SLOW_START_DURATION.0 || self.collapsed || self.outage_since.is_some() {
            return None;
        }
        let from = now.saturating_sub(OVERLOAD_WINDOW.0).max(slow_start_since);
        let mean_capacity_share = (self.capacity_share(from) + self.capacity_share(now)) / 2.0;
        let sustainable =
            OVERLOAD_FACTOR * self.capacity * mean_capacity_share * OVERLOAD_WINDOW.0 as f64 / 1e6;
        let budget = sustainable + COLLAPSE_TOLERANCE_SIGMAS * sustainable.sqrt();
        let in_window = self.recent_calls.iter().filter(|call| call.at >= from);
        let senders: Vec<u32> = in_window.map(|call| call.sender).collect();
        if senders.len() as f64 <= budget {
            return None;
        }
        self.collapsed = true;
        Some(Collapse { senders, budget })
    }
}
