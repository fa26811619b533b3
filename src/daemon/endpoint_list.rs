//! The endpoint list as the discovery agent sends it. Where a field has another name on the wire, an
//! attribute states it.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A revision of the endpoint list: the complete list, or the changes that led to this revision.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The discovery agent that sent the list, as revisions of different agents are unrelated; `None` for the
    /// list in the configuration.
    #[serde(skip)]
    pub agent: Option<SocketAddr>,
    /// The revision number of the list.
    pub revision: u64,
    /// Whether `endpoints` is the complete list, and not only the changes.
    pub complete: bool,
    /// All endpoints, or the changed ones.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The ID of the endpoint, which is the same for all senders.
    pub id: String,
    /// The address of the endpoint as seen from this sender.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The name of the endpoint's zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The name of the destination's kind.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The number of the destination to which the endpoint belongs.
    #[serde(rename = "cell")]
    pub destination: u64,
    /// The lifecycle phase of the endpoint.
    pub phase: Phase,
    /// The capacity hint of the endpoint; see [`CapacityHints`](crate::CapacityHints).
    #[serde(rename = "size", default)]
    pub capacity_hint: f64,
    /// The time of the endpoint's last start, in milliseconds since the Unix epoch; 0 if it started long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: u64,
}

/// The lifecycle phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// The endpoint is in service.
    Serving,
    /// The endpoint completes the requests in progress, and accepts no new ones.
    Draining,
    /// The endpoint has been removed.
    Deleted,
}
