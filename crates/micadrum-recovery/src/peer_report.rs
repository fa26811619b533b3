//! The reports that other senders give to a recovering sender: Retry-After waits, endpoints that are
//! draining, deleted or in slow start, and endpoint outages.
//!
//! A report can only restrict traffic, and the effect of a false one is limited: a wait is capped at
//! [`MAX_REPORTED_WAIT`], an outage ends with the first successful health check, and the sender's own
//! endpoint list takes precedence.
use crate::peer_query::AgedReport;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The upper bound on a Retry-After wait reported by a peer.
pub const MAX_REPORTED_WAIT: Duration = Duration::from_secs(60);
/// The maximum number of endpoints in a report.
pub const MAX_ENDPOINTS: usize = 4096;
/// The maximum length of an endpoint id in a report.
const MAX_ENDPOINT_ID_BYTES: usize = 1024;

/// The report of one sender. Durations are relative to the time of the report, so the clocks of the senders
/// may differ. The JSON names are part of the protocol between members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The time since the sender reached full service, in microseconds; `None` while it is recovering.
    #[serde(rename = "steady_for")]
    pub at_full_service_us: Option<u64>,
    /// The wall time of the sender, in microseconds.
    #[serde(rename = "wall")]
    pub wall_us: u64,
    /// The reports on endpoints, by endpoint id.
    pub endpoints: BTreeMap<String, EndpointReport>,
}

/// The report of one sender on one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Whether the sender's endpoint list has the endpoint as draining or deleted.
    #[serde(rename = "out")]
    pub is_withdrawn: bool,
    /// The remaining Retry-After wait, in microseconds; 0 if there is none.
    #[serde(rename = "told")]
    pub retry_after_us: u64,
    /// The health of the endpoint.
    pub health: ReportedHealth,
}

/// The health of an endpoint, as a sender reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedHealth {
    /// The endpoint is healthy, or its health is unknown.
    #[default]
    #[serde(rename = "Up")]
    Healthy,
    /// The endpoint is ejected because it does not answer.
    #[serde(rename = "Down")]
    Ejected,
    /// The endpoint is in slow start. Holds the time since it answered again, in microseconds.
    #[serde(rename = "Returning")]
    SlowStart(u64),
}

impl EndpointReport {
    /// Returns whether the report contains no restriction.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the remaining Retry-After wait `age_us` after the report, in microseconds.
    fn remaining_wait_us(&self, age_us: u64) -> u64 {
        self.retry_after_us.min(MAX_REPORTED_WAIT.as_micros() as u64).saturating_sub(age_us)
    }
}

impl PeerReport {
    /// Returns whether the reporting sender is at full service.
    #[must_use]
    pub fn is_at_full_service(&self) -> bool {
        self.at_full_service_us.is_some()
    }

    /// Removes entries that are empty, have too long an id, or exceed [`MAX_ENDPOINTS`].
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

/// The report of one sender on one endpoint, and its age.
#[derive(Clone, Copy)]
struct AgedEndpointReport {
    endpoint: EndpointReport,
    age_us: u64,
}

/// Combines the reports of senders at full service.
///
/// A withdrawal or a wait takes effect if a single sender reports it. An outage may be caused by the network
/// of the reporting sender, so it takes effect only if half of the senders (rounded down) report it, and at
/// least two if there are several reports.
#[must_use]
pub fn combine(reports: &[AgedReport]) -> EndpointRestrictions {
    let reports: Vec<_> = reports.iter().filter(|aged| aged.report.is_at_full_service()).collect();
    let ids: BTreeSet<&String> = reports.iter().flat_map(|aged| aged.report.endpoints.keys()).collect();
    let mut restrictions = EndpointRestrictions::default();
    for id in ids {
        let endpoint_report = |aged: &&AgedReport| AgedEndpointReport {
            endpoint: aged.report.endpoints.get(id).copied().unwrap_or_default(),
            age_us: aged.age.as_micros() as u64,
        };
        let combined = combine_endpoint(&reports.iter().map(endpoint_report).collect::<Vec<_>>());
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
    let min_reports = if reports.len() > 1 { (reports.len() / 2).max(2) } else { 1 };
    if ejected >= min_reports {
        ReportedHealth::Ejected
    } else if ejected + slow_starts.len() >= min_reports {
        // While some senders still report the endpoint as ejected, its slow start begins now.
        let shortest = slow_starts.iter().copied().min().unwrap_or(0);
        ReportedHealth::SlowStart(if ejected > 0 { 0 } else { shortest })
    } else {
        ReportedHealth::Healthy
    }
}

/// The wall times of a peer and of this sender at the same moment, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockPair {
    /// The wall time of the peer.
    pub peer_us: u64,
    /// The wall time of this sender.
    pub own_us: u64,
}

impl ClockPair {
    /// Returns the number of microseconds that this sender's clock is ahead of the peer's; negative if it is
    /// behind.
    #[must_use]
    pub fn offset_us(self) -> i64 {
        self.own_us.wrapping_sub(self.peer_us) as i64
    }
}

#[cfg(test)]
mod tests;
