//! What discovery and load reports say of endpoints.
use super::{DestinationId, EndpointId, KindId, ZoneId};

/// The state of an endpoint by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service, as far as discovery knows.
    Active,
    /// Draining: no new calls.
    Draining,
    /// Removed.
    Removed,
}

/// An endpoint as discovery names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: EndpointState,
    /// The capacity hint, see [`CapacityHints`](super::CapacityHints).
    pub capacity_hint: f64,
}

/// The load report that comes with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The share of the limit that is left, from 0 to 1.
    pub remaining_share: f64,
    /// The limit, in calls a second from all senders together; 0 for none.
    pub limit_per_second: f64,
}
