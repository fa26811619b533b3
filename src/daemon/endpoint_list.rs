//! The list of endpoints in discovery's form.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A version of the list, or the changes that led to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Whose list it is: versions are counted by an agent.
    #[serde(skip)]
    pub agent: Option<SocketAddr>,
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<ListedEndpoint>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The same at every sender.
    pub id: String,
    /// Where this sender reaches it.
    pub host_port: SocketAddr,
    /// Its zone.
    pub locality: String,
    /// Its destination's kind.
    pub flavor: String,
    /// Its destination.
    pub cell: u64,
    /// Its state.
    pub phase: Phase,
    /// Capacity hint.
    #[serde(default)]
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// In service.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Deleted,
}
