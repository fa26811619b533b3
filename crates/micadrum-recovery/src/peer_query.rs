//! The selection of the peers that a recovering sender queries, and the conditions that end the query.
//!
//! A few peers are queried concurrently. Peers in other zones and in the own zone alternate, as a power loss
//! usually affects a single zone. The query ends when enough peers at full service have answered, when no
//! peer is left to query, or at its deadline. Recovery then continues with the reports received so
//! far.
use crate::peer_report::PeerReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The maximum number of concurrent queries.
pub const MAX_CONCURRENT_QUERIES: usize = 4;
/// The number of reports from peers at full service after which the query ends.
pub const SUFFICIENT_REPORTS: usize = 3;
/// The maximum number of peers queried; limits the load while a whole fleet recovers.
pub const MAX_QUERIES: usize = 12;

/// A peer that may be queried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The peer's name.
    pub name: String,
    /// The peer's zone.
    pub zone: String,
}

/// The reason why a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// Enough peers at full service have answered.
    Sufficient,
    /// No peer is left to query, and none of the queries is in flight.
    Exhausted,
    /// The deadline passed.
    TimedOut,
}

/// A report and the time at which it was received.
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
    /// The time since the report was received.
    pub age: Duration,
}

/// The numbers of peers by result of the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryCounts {
    /// The number of peers that answered.
    pub answered: usize,
    /// The number of peers that answered and are at full service.
    pub at_full_service: usize,
    /// The number of peers that were queried but have not answered.
    pub unanswered: usize,
}

/// The state of the query of peers by a recovering process.
pub struct PeerQuery {
    candidates: VecDeque<String>,
    in_flight: BTreeSet<String>,
    reports: BTreeMap<String, ReceivedReport>,
    failed: usize,
    remaining_queries: usize,
    deadline: Duration,
}

impl PeerQuery {
    /// Creates a query that ends at `deadline` at the latest. Candidates are queried in order, alternating
    /// between other zones and `own_zone`.
    #[must_use]
    pub fn new(candidates: impl IntoIterator<Item = Candidate>, own_zone: &str, deadline: Duration) -> Self {
        let (mut own_zone_peers, mut other_zone_peers): (VecDeque<_>, VecDeque<_>) =
            candidates.into_iter().partition(|candidate| candidate.zone == own_zone);
        let mut alternating = VecDeque::new();
        while !own_zone_peers.is_empty() || !other_zone_peers.is_empty() {
            let next = other_zone_peers.pop_front().into_iter().chain(own_zone_peers.pop_front());
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

    /// Returns the name of the next peer to query, or `None` if no further query may start now.
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

    /// Handles the answer of a peer; `None` means that the query of this peer failed. Ignores peers without a
    /// query in flight.
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

    /// Returns why the query has ended, or `None` if it is still running.
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

    /// Returns the time at which the query ends at the latest.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Returns the reports received so far, with their ages at `now`.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<AgedReport> {
        let aged = |received: &ReceivedReport| AgedReport {
            report: received.report.clone(),
            age: now.saturating_sub(received.received_at),
        };
        self.reports.values().map(aged).collect()
    }

    /// Returns the numbers of peers by result so far.
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
