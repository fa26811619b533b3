//! What a process leaves to the next one beside the journal: what discovery reported of endpoints, and what the decision core
//! learned of them.
//!
//! # Problem
//! After a restart a sender would otherwise send to endpoints that it had heard were draining, and at rates that it had
//! learned were too high, until discovery answers and enough calls have failed.
//!
//! # Guarantees
//! A checkpoint is a hint. Its loss costs caution and never correctness; it never delays a start, and gives its space up to the
//! journal. A checkpoint claims a version of the endpoint list only if it holds everything that led to that version.
//!
//! # Mechanism
//! [`Checkpoint`] is the form for both a restart and a handover. [`schedule`] decides what is written when, [`file`] reads and
//! writes the file, and [`restore`] merges a checkpoint with the endpoint list in the configuration.
pub mod file;
pub mod restore;
pub mod schedule;

use super::endpoint_list::ListedEndpoint;
use crate::{RouteSnapshot, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the decision core learned of an endpoint's own route, and of the route that the endpoint shares with others.
pub type EndpointRoutes = [Option<RouteSnapshot>; 2];

/// What is known of one endpoint. Stored by position: fields must not be reordered.
#[derive(Clone, Serialize, Deserialize)]
pub struct EndpointCheckpoint {
    /// The endpoint as discovery last listed it.
    pub endpoint: ListedEndpoint,
    /// When its state was received: wall clock.
    pub observed_at: Timestamp,
    /// What was learned of its routes.
    pub routes: EndpointRoutes,
    /// When `routes` was captured: wall clock.
    pub captured_at: Timestamp,
}

/// A version of the endpoint list. Stored by position: fields must not be reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryVersion {
    /// The agent that served the list: each agent counts its revisions independently.
    pub agent: SocketAddr,
    /// The agent's revision of the list.
    pub revision: u64,
}

impl DiscoveryVersion {
    /// Whether the agent has started to count from the beginning since `previous`: its revisions can then not be compared
    /// with those that others have of it.
    pub fn is_reset_since(self, previous: Self) -> bool {
        self.agent == previous.agent && self.revision < previous.revision
    }
}

/// How many of the list's endpoints a checkpoint has; there may not have been space for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    Complete,
    Partial,
}

/// What is known of all endpoints. Stored by position: fields must not be reordered.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The version of the last list that was received, if it can be compared.
    pub version: Option<DiscoveryVersion>,
    /// Whether `endpoints` has all endpoints of that list.
    pub is_complete: bool,
    /// By id.
    pub endpoints: BTreeMap<String, EndpointCheckpoint>,
}
