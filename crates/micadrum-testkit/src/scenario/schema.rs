//! The schema of scenario files, with the default values.
use super::fault::Fault;
use crate::units::{Percent, Rate, Span};
use serde::Deserialize;
use toml::Spanned;

/// The contents of a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A description of the scenario, which reports begin with.
    pub title: String,
    /// Length of the period during which clients submit messages.
    pub length: Spanned<Span>,
    /// Number of senders; clients distribute their messages over them.
    pub senders: Spanned<u32>,
    /// Number of destinations, each of which has one to four endpoints.
    #[serde(rename = "partners", default = "default_destinations")]
    pub destinations: Spanned<u32>,
    /// Rate at which clients submit messages, over all senders.
    pub traffic: Rate,
    /// The traffic as a share of the destinations' capacity.
    #[serde(default = "default_load")]
    pub load: Spanned<Percent>,
    /// Share of the messages that arrive in bursts, each of which goes to one destination.
    #[serde(rename = "clumps", default)]
    pub burst_share: Percent,
    /// Number of distinct vehicles, whose trip records are delivered in order.
    #[serde(default = "default_vehicles")]
    pub vehicles: u32,
    /// Names of the zones.
    #[serde(default = "default_zones")]
    pub buildings: Spanned<Vec<String>>,
    /// One-way latency between two zones.
    #[serde(rename = "crossing", default = "default_zone_delay")]
    pub zone_delay: Span,
    /// Size of each sender's state folder, in megabytes.
    #[serde(default = "default_disk")]
    pub disk_mb: f64,
    /// How the endpoint list reaches the senders.
    #[serde(default)]
    pub discovery: Discovery,
    /// Capacity of discovery for polls; unlimited if not given.
    #[serde(rename = "discovery_bears")]
    pub discovery_capacity: Option<Rate>,
    /// Maximum delay of updates of the endpoint list.
    #[serde(default = "default_list_delay")]
    pub list_delay: Span,
    /// How long the load balancer keeps assigning connections to a sender after its process has ended.
    #[serde(rename = "front_notice", default = "default_balancer_failover_delay")]
    pub balancer_failover_delay: Span,
    /// The operator's file of every sender, without the members and their keys, which the test kit adds.
    pub operator: Option<Spanned<toml::Table>>,
    /// How long the run continues after clients stop submitting messages. If not given, until after the
    /// latest deadline of a message.
    pub tail: Option<Span>,
    /// Periods of more or less traffic.
    #[serde(default)]
    pub peak: Vec<Peak>,
    /// Requests for senders' views of the membership, which only live runs make.
    #[serde(rename = "look", default)]
    pub admin_snapshots: Vec<AdminSnapshotPlan>,
    /// The faults of the run, from the `[[fault]]` tables.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
}

/// How the endpoint list reaches the senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discovery {
    /// Pushed to the agent on each sender's machine.
    #[default]
    Pushed,
    /// Polled by the senders; the polls count against the capacity of discovery.
    OnRequest,
}

/// A period of more or less traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peak {
    /// When the period begins.
    pub at: Spanned<Span>,
    /// How long the period lasts.
    #[serde(rename = "for")]
    pub duration: Span,
    /// The traffic as a multiple of the scenario's `traffic`.
    #[serde(rename = "times")]
    pub traffic_factor: f64,
}

/// A request for a sender's view of the membership.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSnapshotPlan {
    /// When the request is made.
    pub at: Spanned<Span>,
    /// Number of the sender whose admin endpoint is asked, from 0.
    pub sender: u32,
}

fn default_value<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn default_destinations() -> Spanned<u32> {
    default_value(9)
}

fn default_load() -> Spanned<Percent> {
    default_value(Percent(60.0))
}

fn default_vehicles() -> u32 {
    2000
}

fn default_zones() -> Spanned<Vec<String>> {
    default_value(vec!["building-a".to_owned(), "building-b".to_owned()])
}

fn default_zone_delay() -> Span {
    Span::millis(110)
}

fn default_disk() -> f64 {
    3.0
}

fn default_list_delay() -> Span {
    Span::millis(1500)
}

fn default_balancer_failover_delay() -> Span {
    Span::millis(2500)
}
