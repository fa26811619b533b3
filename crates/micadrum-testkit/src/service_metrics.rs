//! Goes through what was seen as it comes: the judge's rules, and the figures of service.
use crate::history::History;
use crate::invariants::{InvariantChecker, Verdict, look_at_views};
use crate::observation::{At, MessageEnd, Seen, Told};
use crate::plan::{AIM, Arrival, Class, LATE_WORTH, PlannedFault, TENANTS};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Service is counted in spans of so long, in microseconds.
pub const WINDOW: At = 10_000_000;
/// Longest latency that is told apart, in microseconds.
const MOST_LATENCY: u64 = 60_000_000;

/// Worth asked for and delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Operations.
    pub asked: u64,
    /// Worth delivered, an operation in time counting 1.
    pub earned: f64,
}

impl Service {
    /// The share that was delivered; 1 where nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.earned / self.asked as f64 }
    }
}

struct Operation {
    class: Class,
    tenant: usize,
    first: At,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times that a message was handed in.
    pub handed_in: u64,
    /// Of these, turned away.
    pub refused: u64,
    /// Not answered in the client's time.
    pub unanswered: u64,
    /// Calls to endpoints.
    pub calls: u64,
    /// Calls that were turned away.
    pub full: u64,
    /// Calls that failed or were spoilt.
    pub failed: u64,
    /// Calls that the sender gave up.
    pub given_up: u64,
    /// Calls that delivered something.
    pub useful: u64,
    /// Notices that a message failed.
    pub noticed_failed: u64,
    /// Notices that a message is returned.
    pub noticed_returned: u64,
    /// Restarts and ends of senders.
    pub ends: u64,
}

/// Seconds that are told apart.
const MOST_SECONDS: usize = 3600;

/// Takes in observations; one for each run.
pub struct Recorder {
    judge: InvariantChecker,
    operations: BTreeMap<u64, Operation>,
    /// The operation of each message, for those under way.
    of: BTreeMap<String, u64>,
    offered: usize,
    /// The whole day.
    pub whole: Service,
    /// By class.
    pub classes: BTreeMap<Class, Service>,
    /// By department.
    pub tenants: Vec<Service>,
    /// By span of the day, by when an operation was first handed in.
    pub windows: Vec<Service>,
    /// The same by second, of the first hour.
    pub seconds: Vec<Service>,
    /// From first hand-in to delivery, in microseconds.
    pub latency: BTreeMap<Class, Histogram<u32>>,
    /// Counts.
    pub counts: Counts,
    /// Faults that this world cannot play.
    pub not_played: Vec<String>,
    /// What the processes said of themselves.
    pub history: History,
    begun: Option<At>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            judge: InvariantChecker::default(),
            operations: BTreeMap::new(),
            of: BTreeMap::new(),
            offered: 0,
            whole: Service::default(),
            classes: BTreeMap::new(),
            tenants: vec![Service::default(); TENANTS.len()],
            windows: Vec::new(),
            seconds: Vec::new(),
            latency: BTreeMap::new(),
            counts: Counts::default(),
            not_played: Vec::new(),
            history: History::default(),
            begun: None,
        }
    }
}

impl Recorder {
    /// One that keeps this history.
    #[must_use]
    pub fn with(history: History) -> Self {
        Self { history, ..Self::default() }
    }

    /// An operation is handed in for the first time.
    pub fn offered(&mut self, arrival: &Arrival, at: At) {
        self.offered += 1;
        let begun = *self.begun.get_or_insert(at.saturating_sub(arrival.at.0));
        let operation = Operation { class: arrival.class, tenant: arrival.tenant, first: at };
        let window = ((at - begun) / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Service::default());
        }
        self.whole.asked += 1;
        self.classes.entry(arrival.class).or_default().asked += 1;
        self.tenants[arrival.tenant].asked += 1;
        self.windows[window].asked += 1;
        let second = ((at - begun) / 1_000_000) as usize;
        if second < MOST_SECONDS {
            self.seconds.resize(self.seconds.len().max(second + 1), Service::default());
            self.seconds[second].asked += 1;
        }
        self.operations.insert(arrival.number, operation);
    }

    /// How long after a moment of the day messages that were first handed in fared well again, for two seconds on end: each
    /// got nine tenths of its worth on the mean. In seconds; none where they did not.
    pub fn well_after(&self, at: At) -> Option<u64> {
        let from = at.div_ceil(1_000_000);
        let well = |second: &Service| second.asked > 0 && second.share() >= 0.9;
        let rest = self.seconds.get(from as usize..)?;
        rest.windows(2).position(|pair| pair.iter().all(well)).map(|place| place as u64)
    }

    /// Operations so far.
    pub fn operations(&self) -> usize {
        self.offered
    }

    /// A fault that this world cannot play.
    pub fn not_played(&mut self, fault: &PlannedFault) {
        self.not_played.push(fault.line());
    }

    /// Takes in one observation.
    pub fn see(&mut self, at: At, seen: &Seen) {
        self.judge.see(at, seen);
        let counts = &mut self.counts;
        match seen {
            Seen::HandedIn { id, operation, .. } => {
                counts.handed_in += 1;
                self.of.insert(id.clone(), *operation);
            }
            Seen::Answered { id, told } => {
                match told {
                    Told::TakenOn => {}
                    Told::Refused | Told::Failed => counts.refused += 1,
                    Told::Nothing | Told::Cut => counts.unanswered += 1,
                }
                if *told != Told::TakenOn {
                    self.of.remove(id);
                }
            }
            Seen::Began { .. } => counts.calls += 1,
            Seen::Closed { .. } => counts.given_up += 1,
            Seen::Replied { ends, .. } => {
                let any = |end: MessageEnd| ends.iter().any(|(_, e)| *e == end);
                if any(MessageEnd::Ok) {
                    counts.useful += 1;
                } else if any(MessageEnd::Full) {
                    counts.full += 1;
                } else {
                    counts.failed += 1;
                }
                for (id, end) in ends {
                    if *end == MessageEnd::Ok {
                        self.delivered(at, id);
                    }
                }
            }
            Seen::Noticed { id, returned } => {
                if *returned {
                    counts.noticed_returned += 1;
                } else {
                    counts.noticed_failed += 1;
                }
                self.of.remove(id);
            }
            Seen::Exited { .. } => counts.ends += 1,
            _ => {}
        }
    }

    fn delivered(&mut self, at: At, id: &str) {
        let Some(operation) = self.of.remove(id).and_then(|number| self.operations.remove(&number)) else {
            return;
        };
        let took = at.saturating_sub(operation.first);
        let late = took.saturating_sub(AIM.0) as f64 / (operation.class.deadline().0 - AIM.0) as f64;
        let worth = 1.0 - (1.0 - LATE_WORTH) * late.min(1.0);
        let window = ((operation.first - self.begun.unwrap_or(0)) / WINDOW) as usize;
        self.whole.earned += worth;
        self.classes.entry(operation.class).or_default().earned += worth;
        self.tenants[operation.tenant].earned += worth;
        self.windows[window].earned += worth;
        let second = ((operation.first - self.begun.unwrap_or(0)) / 1_000_000) as usize;
        if let Some(second) = self.seconds.get_mut(second) {
            second.earned += worth;
        }
        let latency = self.latency.entry(operation.class).or_insert_with(|| {
            // The bounds are constants that it accepts.
            Histogram::new_with_bounds(1, MOST_LATENCY, 3).expect("valid bounds")
        });
        latency.saturating_record(took.max(1));
    }

    /// The judge's verdict, once the run is over; `peers` where senders know each other.
    pub fn verdict(&mut self, at: At, peers: bool) -> Verdict {
        let mut verdict = std::mem::take(&mut self.judge).verdict(at);
        if peers {
            look_at_views(&self.history, at, &mut verdict);
        }
        verdict
    }
}
