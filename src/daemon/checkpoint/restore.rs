//! What a new process goes by until its agent answers: the configuration's list, and what an earlier process heard. Free of
//! I/O and clocks.
//!
//! The configuration's list is the platform's view of what this sender last had; it may be older than what the sender
//! heard itself. Versions of one agent tell which is newer. Where they cannot be compared (the agent has moved, or has begun
//! to count anew), whatever was heard to drain or to be gone stays out until the agent says otherwise, unless the endpoint has started again since.
use super::{Checkpoint, EndpointCheckpoint};
use crate::daemon::endpoint_list::{EndpointList, ListedEndpoint, Phase};
use crate::{RouteSnapshot, Timestamp};

/// What a process starts from.
pub struct RestoredCheckpoint {
    /// The endpoints, with when their state was heard.
    pub members: Vec<(ListedEndpoint, Timestamp)>,
    /// The version from which the agent is asked to go on; none asks it for the whole list.
    pub from: Option<u64>,
    /// By id: what was learned of an endpoint, and when that was so.
    pub learned: Vec<(String, [Option<RouteSnapshot>; 2], Timestamp)>,
    /// Endpoints that the configuration's list has in service, and that are left out.
    pub held_out: usize,
}

/// Puts together what is `known` by the configuration and what was remembered. `live`: the process before was at work until
/// just now, so nobody has heard anything newer.
pub fn restore(memory: Checkpoint, known: &EndpointList, live: bool, now: Timestamp) -> RestoredCheckpoint {
    let Checkpoint { version, whole, mut endpoints } = memory;
    let same_agent = version.filter(|version| Some(version.agent) == known.agent);
    let nothing = endpoints.is_empty();
    let newer =
        if live { !nothing } else { same_agent.is_some_and(|version| version.revision > known.revision) };
    let mut members = Vec::with_capacity(known.endpoints.len());
    let (mut learned, mut held_out) = (Vec::new(), 0);
    for listed in &known.endpoints {
        let Some(remembered) = endpoints.remove(&listed.id) else {
            // A newer list that was written down whole does not name it any more.
            let phase = if newer && whole { Phase::Deleted } else { listed.phase };
            held_out += usize::from(phase != listed.phase);
            members.push((ListedEndpoint { phase, ..listed.clone() }, now));
            continue;
        };
        let EndpointCheckpoint { member: before, heard, learned: lines, written } = remembered;
        let member = if newer {
            before
        } else {
            let phase =
                if same_agent.is_some() { listed.phase } else { stricter(listed, before.phase, heard) };
            ListedEndpoint { phase, ..listed.clone() }
        };
        held_out += usize::from(listed.phase == Phase::Serving && member.phase != Phase::Serving);
        learned.push((member.id.clone(), lines, written));
        members.push((member, heard.min(now)));
    }
    // What the configuration's list does not name is of use only if that is the older one.
    if newer {
        for (id, of) in endpoints {
            learned.push((id, of.learned, of.written));
            members.push((of.member, of.heard.min(now)));
        }
    }
    // Changes since a version would not tell of an endpoint that was in service before it, and an agent that counts anew
    // may have nothing newer than what is known for long.
    let from = match same_agent {
        Some(version) if newer => Some(version.revision),
        Some(_) => Some(known.revision),
        None => Some(known.revision).filter(|_| nothing),
    };
    RestoredCheckpoint { members, from, learned, held_out }
}

/// The state of an endpoint by two lists of which nobody knows which is newer.
fn stricter(member: &ListedEndpoint, before: Phase, heard: Timestamp) -> Phase {
    let started_since = member.started_at_ms.saturating_mul(1_000) > heard.0;
    match before {
        Phase::Serving => member.phase,
        // Gone under its id, it would not be on the list: it drains as long as nobody says what became of it.
        Phase::Draining | Phase::Deleted if member.phase == Phase::Serving && !started_since => {
            Phase::Draining
        }
        Phase::Draining | Phase::Deleted => member.phase,
    }
}

#[cfg(test)]
mod tests;
