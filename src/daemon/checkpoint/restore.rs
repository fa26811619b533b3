//! Computes the endpoint list that a new process starts with until its discovery agent answers: the list in
//! the configuration, merged with the checkpoint of an earlier process. No I/O and no clock.
//!
//! The configuration holds the list that this sender has according to the platform, which may be older than
//! the list that the sender last received. Revisions of the same agent show which of the two is newer. If
//! they are not comparable (the agent's address has changed, or the agent has restarted its revision count),
//! an endpoint that was reported as draining or deleted stays out of service until the agent reports
//! otherwise, unless the endpoint has restarted since.
use super::{Checkpoint, DiscoveryVersion, EndpointCheckpoint, EndpointRoutes};
use crate::daemon::endpoint_list::{EndpointList, ListedEndpoint, Phase};
use crate::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How the previous process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The process ended some time ago; discovery may have reported newer states since.
    Restart,
    /// The process hands over to this one; its checkpoint is the newest state.
    Handover,
}

/// Relates the times in a checkpoint to the present time and to the platform's clock.
#[derive(Clone, Copy)]
pub struct ObservationTimes {
    /// The present time, in engine time.
    pub now: Timestamp,
    /// How far the wall clock may be ahead of engine time.
    pub wall_lead: TimeDelta,
    /// Whether the checkpoint's times can be compared with `now`.
    pub is_comparable: bool,
}

impl ObservationTimes {
    /// Returns the latest time on the platform's clock at which a state received at `observed_at` can have
    /// been observed, or `None` if the checkpoint's times are not comparable.
    fn platform_time(self, observed_at: Timestamp) -> Option<Timestamp> {
        self.is_comparable.then(|| Timestamp(observed_at.0.saturating_add(self.wall_lead.0)))
    }
}

/// An endpoint and the time at which its phase was first reported.
pub struct ObservedEndpoint {
    pub endpoint: ListedEndpoint,
    pub observed_at: Timestamp,
}

/// Route snapshots of an endpoint and the time at which they were captured.
pub struct RestoredRoutes {
    pub endpoint_id: String,
    pub routes: EndpointRoutes,
    pub captured_at: Timestamp,
}

/// The state that a process starts with.
#[derive(Default)]
pub struct RestoredCheckpoint {
    pub endpoints: Vec<ObservedEndpoint>,
    /// The revision from which the agent is asked for changes; `None` requests the complete list.
    pub resume_revision: Option<u64>,
    pub routes: Vec<RestoredRoutes>,
    /// The number of endpoints that are serving by the configuration's list but stay out of service.
    pub excluded: usize,
}

/// Merges the endpoint list in the configuration with a checkpoint.
pub fn restore(
    checkpoint: Checkpoint,
    configured: &EndpointList,
    start_kind: StartKind,
    times: ObservationTimes,
) -> RestoredCheckpoint {
    let Checkpoint { version, is_complete, endpoints } = checkpoint;
    let same_agent = version.filter(|version| Some(version.agent) == configured.agent);
    let is_empty = endpoints.is_empty();
    let is_newer = match start_kind {
        StartKind::Handover => !is_empty,
        StartKind::Restart => same_agent.is_some_and(|version| version.revision > configured.revision),
    };
    let precedence = match (is_newer, same_agent) {
        (true, _) => Precedence::Checkpoint { is_complete },
        (false, Some(_)) => Precedence::Configuration,
        (false, None) => Precedence::Unknown,
    };
    let mut restored = RestoredCheckpoint {
        resume_revision: resume_revision(same_agent, configured, is_newer, is_empty),
        ..RestoredCheckpoint::default()
    };
    restored.endpoints.reserve(configured.endpoints.len());
    restored.add_all(configured, endpoints, precedence, times);
    restored
}

/// Which of the two lists is newer.
#[derive(Clone, Copy)]
enum Precedence {
    Checkpoint { is_complete: bool },
    Configuration,
    Unknown,
}

impl RestoredCheckpoint {
    fn add_all(
        &mut self,
        configured: &EndpointList,
        mut checkpointed: BTreeMap<String, EndpointCheckpoint>,
        precedence: Precedence,
        times: ObservationTimes,
    ) {
        for listed in &configured.endpoints {
            match checkpointed.remove(&listed.id) {
                Some(state) => self.add_checkpointed(listed, state, precedence, times),
                None => self.add_configured(listed, precedence, times),
            }
        }
        // An endpoint that the configuration does not list is restored only if the checkpoint is newer.
        if let Precedence::Checkpoint { .. } = precedence {
            for state in checkpointed.into_values() {
                self.push(state.endpoint.clone(), state, times);
            }
        }
    }

    fn add_checkpointed(
        &mut self,
        listed: &ListedEndpoint,
        state: EndpointCheckpoint,
        precedence: Precedence,
        times: ObservationTimes,
    ) {
        let phase = match precedence {
            Precedence::Checkpoint { .. } => state.endpoint.phase,
            Precedence::Configuration => listed.phase,
            Precedence::Unknown => {
                stricter_phase(listed, state.endpoint.phase, times.platform_time(state.observed_at))
            }
        };
        self.excluded += usize::from(listed.phase == Phase::Serving && phase != Phase::Serving);
        let endpoint = match precedence {
            Precedence::Checkpoint { .. } => state.endpoint.clone(),
            Precedence::Configuration | Precedence::Unknown => ListedEndpoint { phase, ..listed.clone() },
        };
        self.push(endpoint, state, times);
    }

    /// Adds an endpoint that is not in the checkpoint.
    fn add_configured(&mut self, listed: &ListedEndpoint, precedence: Precedence, times: ObservationTimes) {
        let phase = match precedence {
            // The newer list is complete and no longer contains the endpoint.
            Precedence::Checkpoint { is_complete: true } => Phase::Deleted,
            _ => listed.phase,
        };
        self.excluded += usize::from(phase != listed.phase);
        let endpoint = ListedEndpoint { phase, ..listed.clone() };
        self.endpoints.push(ObservedEndpoint { endpoint, observed_at: times.now });
    }

    fn push(&mut self, endpoint: ListedEndpoint, state: EndpointCheckpoint, times: ObservationTimes) {
        let EndpointCheckpoint { observed_at, routes, captured_at, .. } = state;
        self.routes.push(RestoredRoutes { endpoint_id: endpoint.id.clone(), routes, captured_at });
        // The clock may have been stepped back since the observation.
        self.endpoints.push(ObservedEndpoint { endpoint, observed_at: observed_at.min(times.now) });
    }
}

/// Returns the revision from which the agent can be asked for changes, or `None` if the complete list is
/// needed.
fn resume_revision(
    same_agent: Option<DiscoveryVersion>,
    configured: &EndpointList,
    is_newer: bool,
    is_empty: bool,
) -> Option<u64> {
    match same_agent {
        Some(version) if is_newer => Some(version.revision),
        Some(_) => Some(configured.revision),
        // Changes since a revision omit endpoints whose state is older than the revision, and an agent that
        // has restarted its count may not have reached a known revision again.
        None => Some(configured.revision).filter(|_| is_empty),
    }
}

/// Returns the phase of an endpoint if neither list is known to be newer. `observed_at` is the latest time,
/// on the platform's clock, at which the checkpoint's phase can have been observed.
fn stricter_phase(listed: &ListedEndpoint, checkpointed: Phase, observed_at: Option<Timestamp>) -> Phase {
    let started_at = Timestamp(listed.started_at_ms.saturating_mul(1_000));
    let was_started_since = observed_at.is_some_and(|observed_at| started_at > observed_at);
    match checkpointed {
        Phase::Serving => listed.phase,
        // A deleted endpoint would not be listed, so it counts as draining until the agent reports its phase.
        Phase::Draining | Phase::Deleted if listed.phase == Phase::Serving && !was_started_since => {
            Phase::Draining
        }
        Phase::Draining | Phase::Deleted => listed.phase,
    }
}

#[cfg(test)]
mod tests;
