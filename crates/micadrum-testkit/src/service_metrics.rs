//! Processes the observations of a run: checks the invariants, and measures the service that clients
//! received.
use crate::history::History;
use crate::invariants::{InvariantChecker, Verdict, check_membership_views};
use crate::observation::{AttemptResult, Micros, Observation, SubmissionAnswer};
use crate::plan::{Arrival, Class, DEADLINE_WORTH_SHARE, LATENCY_OBJECTIVE, PlannedFault, TENANTS};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Length of the windows for which service is reported, in microseconds.
pub const WINDOW_MICROS: Micros = 10_000_000;
/// Maximum latency that is recorded, in microseconds; longer ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Number of seconds from the start of the run for which service by second is recorded.
const MAX_RECORDED_SECONDS: usize = 3600;
/// Minimum share of the worth that is delivered in a second of recovered service.
const RECOVERED_SHARE: f64 = 0.9;
/// Number of consecutive seconds with [`RECOVERED_SHARE`] after which service counts as recovered.
const RECOVERED_SECONDS: usize = 2;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// The number of submitted operations and the worth that was delivered of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Number of operations.
    pub operations: u64,
    /// Worth that was delivered; an operation within the latency objective is worth 1.
    pub delivered_worth: f64,
}

impl Service {
    /// Returns the share of the worth that was delivered; 1 if there were no operations.
    pub fn share(&self) -> f64 {
        if self.operations == 0 { 1.0 } else { self.delivered_worth / self.operations as f64 }
    }

    fn has_recovered(&self) -> bool {
        self.operations > 0 && self.share() >= RECOVERED_SHARE
    }
}

/// An operation that has not ended.
struct Operation {
    class: Class,
    tenant: usize,
    first_submitted: Micros,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Submissions of messages.
    pub submitted: u64,
    /// Submissions that were rejected.
    pub rejected: u64,
    /// Submissions that were not answered within the client's timeout.
    pub unanswered: u64,
    /// Calls to endpoints.
    pub calls: u64,
    /// Calls that were rejected as over capacity.
    pub calls_rejected: u64,
    /// Calls that failed, or whose answer was corrupted.
    pub calls_failed: u64,
    /// Calls that the sender abandoned.
    pub calls_abandoned: u64,
    /// Calls that delivered a message.
    pub calls_delivered: u64,
    /// Notifications that a message failed.
    pub notified_failed: u64,
    /// Notifications that a message was returned.
    pub notified_returned: u64,
    /// Exits of senders' processes.
    pub exits: u64,
}

/// Processes the observations of one run.
#[derive(Default)]
pub struct Recorder {
    checker: InvariantChecker,
    operations: BTreeMap<u64, Operation>,
    /// The operation of each message that has not ended.
    operation_of_message: BTreeMap<String, u64>,
    operation_count: usize,
    /// When the run began.
    started_at: Option<Micros>,
    /// Service of the whole run.
    pub total: Service,
    /// Service by message class.
    pub classes: BTreeMap<Class, Service>,
    /// Service by tenant.
    pub tenants: [Service; TENANTS.len()],
    /// Service by window of the run; an operation counts in the window of its first submission.
    pub windows: Vec<Service>,
    /// Service by second of the first hour; an operation counts in the second of its first submission.
    pub seconds: Vec<Service>,
    /// Time from first submission to delivery, in microseconds.
    pub latency: BTreeMap<Class, Histogram<u32>>,
    /// Counts of submissions, calls, notifications and exits.
    pub counts: Counts,
    /// Descriptions of the faults that this kind of run cannot inject.
    pub not_played: Vec<String>,
    /// The senders' membership and recovery events.
    pub history: History,
}

impl Recorder {
    /// Creates a recorder that adds to `history`.
    #[must_use]
    pub fn with_history(history: History) -> Self {
        Self { history, ..Self::default() }
    }

    /// Records the first submission of an operation's message.
    pub fn operation_submitted(&mut self, arrival: &Arrival, at: Micros) {
        self.operation_count += 1;
        self.started_at.get_or_insert(at.saturating_sub(arrival.at.0));
        let Arrival { class, tenant, number, .. } = *arrival;
        let operation = Operation { class, tenant, first_submitted: at };
        self.grow_windows(at);
        self.for_each_service(&operation, |service| service.operations += 1);
        self.operations.insert(number, operation);
    }

    /// Extends the windows and the seconds to include `at`.
    fn grow_windows(&mut self, at: Micros) {
        let windows = self.index(at, WINDOW_MICROS) + 1;
        if self.windows.len() < windows {
            self.windows.resize(windows, Service::default());
        }
        let seconds = self.index(at, MICROS_PER_SECOND) + 1;
        if (self.seconds.len() + 1..=MAX_RECORDED_SECONDS).contains(&seconds) {
            self.seconds.resize(seconds, Service::default());
        }
    }

    /// Returns the index of the period of the run that contains `at`.
    fn index(&self, at: Micros, period: Micros) -> usize {
        ((at - self.started_at.unwrap_or(0)) / period) as usize
    }

    /// Updates each measure of service in which an operation counts.
    fn for_each_service(&mut self, operation: &Operation, update: impl Fn(&mut Service)) {
        let window = self.index(operation.first_submitted, WINDOW_MICROS);
        let second = self.index(operation.first_submitted, MICROS_PER_SECOND);
        update(&mut self.total);
        update(self.classes.entry(operation.class).or_default());
        update(&mut self.tenants[operation.tenant]);
        update(&mut self.windows[window]);
        if let Some(service) = self.seconds.get_mut(second) {
            update(service);
        }
    }

    /// Returns the number of seconds from `at` until service recovered, or `None` if it did not. Service has
    /// recovered when nine tenths of the worth first submitted in each of two consecutive seconds was
    /// delivered.
    pub fn recovery_seconds(&self, at: Micros) -> Option<u64> {
        let first_second = at.div_ceil(MICROS_PER_SECOND) as usize;
        let seconds = self.seconds.get(first_second..)?;
        let delay = seconds.windows(RECOVERED_SECONDS).position(|row| row.iter().all(Service::has_recovered));
        delay.map(|delay| delay as u64)
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> usize {
        self.operation_count
    }

    /// Records a fault that this kind of run cannot inject.
    pub fn not_played(&mut self, fault: &PlannedFault) {
        self.not_played.push(fault.describe());
    }

    /// Processes one observation.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.checker.observe(at, observation);
        match observation {
            Observation::Submitted { id, operation, .. } => {
                self.counts.submitted += 1;
                self.operation_of_message.insert(id.clone(), *operation);
            }
            Observation::Answered { id, answer } => self.answered(id, *answer),
            Observation::CallBegan { .. } => self.counts.calls += 1,
            Observation::CallClosed { .. } => self.counts.calls_abandoned += 1,
            Observation::CallAnswered { ends, .. } => self.replied(at, ends),
            Observation::Notified { id, returned } => self.notified(id, *returned),
            Observation::Exited { .. } => self.counts.exits += 1,
            _ => {}
        }
    }

    fn answered(&mut self, id: &str, answer: SubmissionAnswer) {
        match answer {
            SubmissionAnswer::Accepted => return,
            SubmissionAnswer::Rejected | SubmissionAnswer::Failed => self.counts.rejected += 1,
            SubmissionAnswer::TimedOut | SubmissionAnswer::ConnectionClosed => self.counts.unanswered += 1,
        }
        self.operation_of_message.remove(id);
    }

    fn replied(&mut self, at: Micros, ends: &[(String, AttemptResult)]) {
        let has = |wanted: AttemptResult| ends.iter().any(|(_, end)| *end == wanted);
        if has(AttemptResult::Delivered) {
            self.counts.calls_delivered += 1;
        } else if has(AttemptResult::Overloaded) {
            self.counts.calls_rejected += 1;
        } else {
            self.counts.calls_failed += 1;
        }
        for (id, _) in ends.iter().filter(|(_, end)| *end == AttemptResult::Delivered) {
            self.delivered(at, id);
        }
    }

    fn notified(&mut self, id: &str, is_returned: bool) {
        if is_returned {
            self.counts.notified_returned += 1;
        } else {
            self.counts.notified_failed += 1;
        }
        self.operation_of_message.remove(id);
    }

    fn delivered(&mut self, at: Micros, id: &str) {
        let Some(number) = self.operation_of_message.remove(id) else { return };
        let Some(operation) = self.operations.remove(&number) else { return };
        let latency = at.saturating_sub(operation.first_submitted);
        let worth = worth(operation.class, latency);
        self.for_each_service(&operation, |service| service.delivered_worth += worth);
        let histogram = self.latency.entry(operation.class).or_insert_with(|| {
            // The bounds are constants that are always valid.
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS).expect("valid bounds")
        });
        histogram.saturating_record(latency.max(1));
    }

    /// Returns the verdict at the end of the run, including the checks of membership views if `has_peers`.
    pub fn verdict(&mut self, at: Micros, has_peers: bool) -> Verdict {
        let mut verdict = std::mem::take(&mut self.checker).verdict(at);
        if has_peers {
            check_membership_views(&self.history, at, &mut verdict);
        }
        verdict
    }
}

/// Returns the worth of a delivery: 1 up to the latency objective, then falling linearly to `LATE_WORTH` at
/// the deadline.
fn worth(class: Class, latency: Micros) -> f64 {
    let late = latency.saturating_sub(LATENCY_OBJECTIVE.0) as f64
        / (class.deadline().0 - LATENCY_OBJECTIVE.0) as f64;
    1.0 - (1.0 - DEADLINE_WORTH_SHARE) * late.min(1.0)
}
