//! What another sender reports to a recovering one: Retry-After waits, draining or deleted endpoints, outages, and
//! endpoints in slow start.
//!
//! A report can only add caution, and a dishonest one does little harm: a wait is limited to [`MAX_REPORTED_WAIT`], an
//! outage ends with the first successful health check, and the sender's own endpoint list takes precedence.
use crate::peer_query::AgedReport;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Upper bound on a Retry-After wait reported by a peer.
pub const MAX_REPORTED_WAIT: Duration = Duration::from_secs(60);
/// Upper bound on endpoints in one report.
pub const MAX_ENDPOINTS: usize = 4096;
/// Upper bound on the length of an endpoint id.
const MAX_ENDPOINT_ID_BYTES: usize = 1024;

/// The report of one sender. Durations refer to the moment of the report, so clocks need not agree. JSON names are part of
/// the protocol between members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// How long the sender has been at full service, in microseconds; `None` while it recovers itself.
    #[serde(rename = "steady_for")]
    pub at_full_service_us: Option<u64>,
    /// The sender's wall clock, in microseconds.
    #[serde(rename = "wall")]
    pub wall_us: u64,
    /// What the sender reports, by endpoint id.
    pub endpoints: BTreeMap<String, EndpointReport>,
}

/// What a sender reports of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint list has the endpoint as draining or deleted.
    #[serde(rename = "out")]
    pub is_withdrawn: bool,
    /// The remainder of a Retry-After wait, in microseconds.
    #[serde(rename = "told")]
    pub retry_after_us: u64,
    /// Whether the endpoint answers.
    pub health: ReportedHealth,
}

/// Whether an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedHealth {
    /// The endpoint answers, as far as is known.
    #[default]
    #[serde(rename = "Up")]
    Healthy,
    /// The endpoint does not answer.
    #[serde(rename = "Down")]
    Ejected,
    /// The endpoint has been answering again for this many microseconds.
    #[serde(rename = "Returning")]
    SlowStart(u64),
}

impl EndpointReport {
    /// Whether the report restricts nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the remainder of the Retry-After wait after a report has aged, in microseconds.
    fn remaining_wait_us(&self, age_us: u64) -> u64 {
        self.retry_after_us.min(MAX_REPORTED_WAIT.as_micros() as u64).saturating_sub(age_us)
    }
}

impl PeerReport {
    /// Whether the reporting sender is at full service.
    #[must_use]
    pub fn is_at_full_service(&self) -> bool {
        self.at_full_service_us.is_some()
    }

    /// Removes empty entries and what exceeds the bounds.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        self.endpoints.retain(|id, endpoint| id.len() <= MAX_ENDPOINT_ID_BYTES && !endpoint.is_empty());
        while self.endpoints.len() > MAX_ENDPOINTS {
            self.endpoints.pop_last();
        }
        self
    }
}

/// The combined reports of several senders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointRestrictions {
    /// The restrictions by endpoint id.
    pub endpoints: BTreeMap<String, EndpointReport>,
}

/// What one sender reports of one endpoint, and the age of the report.
#[derive(Clone, Copy)]
struct AgedEndpointReport {
    endpoint: EndpointReport,
    age_us: u64,
}

/// Combines the reports of senders at full service.
///
/// A withdrawal or a wait takes effect if one sender reports it. An outage is the impression of one sender and may be due
/// to that sender's own links: it has to be reported by half of the senders, and by at least two if several reported.
#[must_use]
pub fn combine(reports: &[AgedReport]) -> EndpointRestrictions {
    let reports: Vec<_> = reports.iter().filter(|aged| aged.report.is_at_full_service()).collect();
    let ids: BTreeSet<&String> = reports.iter().flat_map(|aged| aged.report.endpoints.keys()).collect();
    let mut restrictions = EndpointRestrictions::default();
    for id in ids {
        let of_endpoint = |aged: &&AgedReport| AgedEndpointReport {
            endpoint: aged.report.endpoints.get(id).copied().unwrap_or_default(),
            age_us: aged.age.as_micros() as u64,
        };
        let combined = combine_endpoint(&reports.iter().map(of_endpoint).collect::<Vec<_>>());
        if !combined.is_empty() {
            restrictions.endpoints.insert(id.clone(), combined);
        }
    }
    restrictions
}

fn combine_endpoint(reports: &[AgedEndpointReport]) -> EndpointReport {
    let waits = reports.iter().map(|aged| aged.endpoint.remaining_wait_us(aged.age_us));
    EndpointReport {
        is_withdrawn: reports.iter().any(|aged| aged.endpoint.is_withdrawn),
        retry_after_us: waits.max().unwrap_or(0),
        health: combine_health(reports),
    }
}

fn combine_health(reports: &[AgedEndpointReport]) -> ReportedHealth {
    let ejected = reports.iter().filter(|aged| aged.endpoint.health == ReportedHealth::Ejected).count();
    let slow_start = |aged: &AgedEndpointReport| match aged.endpoint.health {
        ReportedHealth::SlowStart(since_us) => Some(since_us.saturating_add(aged.age_us)),
        ReportedHealth::Healthy | ReportedHealth::Ejected => None,
    };
    let slow_starts: Vec<u64> = reports.iter().filter_map(slow_start).collect();
    let min_agreeing = if reports.len() > 1 { (reports.len() / 2).max(2) } else { 1 };
    if ejected >= min_agreeing {
        ReportedHealth::Ejected
    } else if ejected + slow_starts.len() >= min_agreeing {
        // An endpoint that some senders still see as ejected has only just started to answer.
        let shortest = slow_starts.iter().copied().min().unwrap_or(0);
        ReportedHealth::SlowStart(if ejected > 0 { 0 } else { shortest })
    } else {
        ReportedHealth::Healthy
    }
}

/// The wall clocks of a peer and of this sender at one moment, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockPair {
    /// The peer's wall clock.
    pub peer_us: u64,
    /// This sender's wall clock.
    pub own_us: u64,
}

impl ClockPair {
    /// Returns how far this sender's clock is ahead of the peer's, in microseconds.
    #[must_use]
    pub fn offset_us(self) -> i64 {
        self.own_us.wrapping_sub(self.peer_us) as i64
    }
}

#[cfg(test)]
mod tests;
