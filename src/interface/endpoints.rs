//! Endpoints as listed by discovery, and the load reports in their answers.
use super::{DestinationId, EndpointId, KindId, ZoneId};

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new calls.
    Active,
    /// The endpoint accepts no new calls; calls in flight may complete.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An endpoint as listed by discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The number that the host assigned to the endpoint.
    pub endpoint: EndpointId,
    /// The destination to which the endpoint belongs.
    pub destination: DestinationId,
    /// The kind of the destination.
    pub kind: KindId,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Whether the endpoint accepts calls.
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
