//! Endpoints as listed by discovery, and the load reports in their answers.
use super::{DestinationId, EndpointId, KindId, ZoneId};

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Active,
    /// Accepts no new calls; calls in flight may complete.
    Draining,
    /// No longer listed.
    Removed,
}

/// An endpoint as listed by discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The number that the host assigned to the endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// The kind of its destination.
    pub kind: KindId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Whether it accepts calls.
    pub state: EndpointState,
    /// The capacity hint, with the meaning that [`CapacityHints`](super::CapacityHints) defines.
    pub capacity_hint: f64,
}

/// The load report in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The unused fraction of the limit, from 0 to 1.
    pub remaining_share: f64,
    /// The limit for all senders together, in calls per second; 0 if there is none.
    pub limit_per_second: f64,
}
