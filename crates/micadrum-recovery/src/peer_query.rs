//! Which peers a recovering sender queries, and when it has queried enough.
//!
//! A few peers are queried at a time, alternating between other zones and the own one, as a power loss mostly affects one
//! zone. The query ends when enough peers at full service have answered, when no peer is left to query, or when its time
//! is over; it then makes do with the reports received.
use crate::peer_report::PeerReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Peers queried at once.
pub const MAX_CONCURRENT_QUERIES: usize = 4;
/// Reports of peers at full service that suffice.
pub const SUFFICIENT_REPORTS: usize = 3;
/// Upper bound on peers queried: it limits the load while a whole fleet recovers.
pub const MAX_QUERIES: usize = 12;

/// A peer that may be queried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The peer's name.
    pub name: String,
    /// The peer's zone.
    pub zone: String,
}

/// Why a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// Enough peers at full service have answered.
    Sufficient,
    /// All peers that could be queried have answered or failed to.
    Exhausted,
    /// The time was over.
    TimedOut,
}

/// A report and when it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReceivedReport {
    report: PeerReport,
    received_at: Duration,
}

/// A report and its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedReport {
    /// What the peer reported.
    pub report: PeerReport,
    /// How long ago the report was received.
    pub age: Duration,
}

/// How many peers answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryCounts {
    /// Peers that answered.
    pub answered: usize,
    /// Peers among them at full service.
    pub at_full_service: usize,
    /// Peers that were queried and did not answer.
    pub unanswered: usize,
}

/// The query of peers by one recovering process.
pub struct PeerQuery {
    candidates: VecDeque<String>,
    in_flight: BTreeSet<String>,
    reports: BTreeMap<String, ReceivedReport>,
    failed: usize,
    remaining_queries: usize,
    deadline: Duration,
}

impl PeerQuery {
    /// Creates a query that ends at `deadline` at the latest. Candidates are queried in their order, alternating between
    /// zones other than `own_zone` and that zone.
    #[must_use]
    pub fn new(candidates: impl IntoIterator<Item = Candidate>, own_zone: &str, deadline: Duration) -> Self {
        let (mut near, mut far): (VecDeque<_>, VecDeque<_>) =
            candidates.into_iter().partition(|candidate| candidate.zone == own_zone);
        let mut alternating = VecDeque::new();
        while !near.is_empty() || !far.is_empty() {
            let next = far.pop_front().into_iter().chain(near.pop_front());
            alternating.extend(next.map(|candidate| candidate.name));
        }
        Self {
            candidates: alternating,
            in_flight: BTreeSet::new(),
            reports: BTreeMap::new(),
            failed: 0,
            remaining_queries: MAX_QUERIES,
            deadline,
        }
    }

    /// Returns the next peer to query now, if any.
    pub fn next_to_query(&mut self, now: Duration) -> Option<String> {
        let is_at_limit = self.remaining_queries == 0 || self.in_flight.len() >= MAX_CONCURRENT_QUERIES;
        if is_at_limit || self.end(now).is_some() {
            return None;
        }
        let name = self.candidates.pop_front()?;
        self.remaining_queries -= 1;
        self.in_flight.insert(name.clone());
        Some(name)
    }

    /// Handles the answer of a peer; `None` means that the peer failed to answer.
    pub fn handle_answer(&mut self, name: &str, report: Option<PeerReport>, now: Duration) {
        if !self.in_flight.remove(name) {
            return;
        }
        match report {
            Some(report) => {
                let received = ReceivedReport { report: report.bounded(), received_at: now };
                self.reports.insert(name.to_owned(), received);
            }
            None => self.failed += 1,
        }
    }

    fn reports_at_full_service(&self) -> usize {
        self.reports.values().filter(|received| received.report.is_at_full_service()).count()
    }

    /// Returns why the query has ended, or `None` if it goes on.
    #[must_use]
    pub fn end(&self, now: Duration) -> Option<QueryEnd> {
        let is_exhausted = self.candidates.is_empty() || self.remaining_queries == 0;
        if self.reports_at_full_service() >= SUFFICIENT_REPORTS {
            Some(QueryEnd::Sufficient)
        } else if self.in_flight.is_empty() && is_exhausted {
            Some(QueryEnd::Exhausted)
        } else {
            (now >= self.deadline).then_some(QueryEnd::TimedOut)
        }
    }

    /// Returns when the query ends at the latest.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Returns the reports received so far.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<AgedReport> {
        let aged = |received: &ReceivedReport| AgedReport {
            report: received.report.clone(),
            age: now.saturating_sub(received.received_at),
        };
        self.reports.values().map(aged).collect()
    }

    /// Returns how many peers answered.
    #[must_use]
    pub fn counts(&self) -> QueryCounts {
        QueryCounts {
            answered: self.reports.len(),
            at_full_service: self.reports_at_full_service(),
            unanswered: self.failed + self.in_flight.len(),
        }
    }
}

#[cfg(test)]
mod tests;
