//! The endpoint list as the discovery agent sends it. Fields whose name on the wire is another say so.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A version of the endpoint list, or the changes that led to a version.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The discovery agent that sent the list: each agent counts revisions of its own.
    #[serde(skip)]
    pub agent: Option<SocketAddr>,
    /// The version of the list.
    pub revision: u64,
    /// Whether this is the whole list, and not only changes.
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The ID of the endpoint, which all senders share.
    pub id: String,
    /// The address at which this sender reaches the endpoint.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The name of the endpoint's zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The name of the destination's kind.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The number of the destination.
    #[serde(rename = "cell")]
    pub destination: u64,
    /// The phase of the endpoint's life.
    pub phase: Phase,
    /// The capacity hint of the endpoint.
    #[serde(rename = "size", default)]
    pub capacity_hint: f64,
    /// When the endpoint last started, in milliseconds of Unix time; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: u64,
}

/// The phase of an endpoint's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// The endpoint is in service.
    Serving,
    /// The endpoint finishes what it has, and takes nothing new.
    Draining,
    /// The endpoint is gone.
    Deleted,
}
