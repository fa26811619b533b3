//! What one process of a sender leaves to the next, beside the journal: what it heard of endpoints, and what it learned.
//!
//! [`Memory`] is the form of both a restart and a handover. [`recall`] decides what it says beside the configuration's own
//! list, [`slices`] what is written down when; [`notebook`] is the file.
pub mod file;
pub mod restore;
pub mod schedule;

use super::endpoint_list::ListedEndpoint;
use crate::{RouteSnapshot, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What was heard and learned of one endpoint.
#[derive(Clone, Serialize, Deserialize)]
pub struct EndpointCheckpoint {
    /// As the list last told of it.
    pub member: ListedEndpoint,
    /// When its state was heard, wall clock.
    pub heard: Timestamp,
    /// What the module learned of its own line, and of the one that it shares.
    pub learned: [Option<RouteSnapshot>; 2],
    /// When that was so.
    pub written: Timestamp,
}

/// Which list it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryVersion {
    /// The agent whose list it was: another counts its versions by itself.
    pub agent: SocketAddr,
    /// Its version.
    pub revision: u64,
}

impl DiscoveryVersion {
    /// Whether the agent has begun to count anew since `before`: from then on its versions tell nothing beside those that
    /// others have of it.
    pub fn anew_since(self, before: Self) -> bool {
        self.agent == before.agent && self.revision < before.revision
    }
}

/// All of it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The list that was heard last, where its version can be compared.
    pub version: Option<DiscoveryVersion>,
    /// Whether all endpoints of that list are among these: there may have been no room.
    pub whole: bool,
    /// By id.
    pub endpoints: BTreeMap<String, EndpointCheckpoint>,
}
