//! Checkpoints: the endpoint states that discovery reported and the route state that the decision core
//! learned, saved for the next process.
//!
//! # Problem
//! Without a checkpoint, a restarted sender would send to endpoints that were already reported as draining,
//! and at rates already known to be too high, until discovery answers and enough calls have failed.
//!
//! # Guarantees
//! A checkpoint is a hint. A process that loses it acts less cautiously, but never incorrectly. A checkpoint
//! never delays a start, and its files are removed when the journal needs their space. A checkpoint contains
//! a version of the endpoint list only if it holds every change up to that version.
//!
//! # Mechanism
//! [`Checkpoint`] is the data of both a restart and a handover. [`schedule`] decides what to write and when,
//! [`file`] reads and writes the file, and [`restore`] merges a checkpoint with the endpoint list in the
//! configuration.
pub mod file;
pub mod restore;
pub mod schedule;

use super::endpoint_list::ListedEndpoint;
use crate::{RouteSnapshot, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Snapshots of an endpoint's own route and of the route that it shares with other endpoints, in this order.
pub type EndpointRoutes = [Option<RouteSnapshot>; 2];

/// The saved state of one endpoint. Stored by position: fields must not be reordered.
#[derive(Clone, Serialize, Deserialize)]
pub struct EndpointCheckpoint {
    /// The endpoint as discovery last listed it.
    pub endpoint: ListedEndpoint,
    /// When its phase was first reported, in engine time.
    pub observed_at: Timestamp,
    /// The state of its routes.
    pub routes: EndpointRoutes,
    /// When `routes` was captured, in engine time.
    pub captured_at: Timestamp,
}

/// A version of the endpoint list. Stored by position: fields must not be reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryVersion {
    /// The agent that served the list. Revisions of different agents are not comparable.
    pub agent: SocketAddr,
    /// The agent's revision of the list.
    pub revision: u64,
}

impl DiscoveryVersion {
    /// Returns whether the agent has restarted its revision count since `previous`. Its revisions are then
    /// not comparable with those that other processes have recorded.
    pub fn is_reset_since(self, previous: Self) -> bool {
        self.agent == previous.agent && self.revision < previous.revision
    }
}

/// Whether a checkpoint file holds every endpoint of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    Complete,
    /// Some endpoints did not fit into the file.
    Partial,
}

/// The saved state of all endpoints. Stored by position: fields must not be reordered.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The version of the last list that was received; `None` if other processes cannot compare it.
    pub version: Option<DiscoveryVersion>,
    /// Whether `endpoints` holds every endpoint of that list.
    pub is_complete: bool,
    /// Endpoint states by endpoint ID.
    pub endpoints: BTreeMap<String, EndpointCheckpoint>,
}
