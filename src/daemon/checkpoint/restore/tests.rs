use super::*;
use crate::daemon::checkpoint::DiscoveryVersion;
use std::net::SocketAddr;

const NOW: Timestamp = Timestamp(1_700_000_000_000_000);
const TIMES: ObservationTimes = ObservationTimes { now: NOW, wall_lead: TimeDelta(0), is_comparable: true };

fn agent(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(id: &str, phase: Phase, up_since_ms: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id.to_owned(),
        address: agent(9),
        zone: "a".to_owned(),
        kind: "bank".to_owned(),
        destination: 1,
        phase,
        capacity_hint: 1.0,
        started_at_ms: up_since_ms,
    }
}

fn checkpoint(revision: u64, is_complete: bool, phases: &[(&str, Phase)]) -> Checkpoint {
    let state = |(id, phase): &(&str, Phase)| {
        let observed_at = Timestamp(NOW.0 - 5_000_000);
        let endpoint = endpoint(id, *phase, 0);
        let routes = [None, None];
        let captured_at = observed_at;
        ((*id).to_owned(), EndpointCheckpoint { endpoint, observed_at, routes, captured_at })
    };
    let version = Some(DiscoveryVersion { agent: agent(1), revision });
    Checkpoint { version, is_complete, endpoints: phases.iter().map(state).collect() }
}

fn configured(agent_port: u16, revision: u64, members: Vec<ListedEndpoint>) -> EndpointList {
    EndpointList { agent: Some(agent(agent_port)), revision, complete: true, endpoints: members }
}

fn phases(restored: &RestoredCheckpoint) -> Vec<(&str, Phase)> {
    restored
        .endpoints
        .iter()
        .map(|observed| (observed.endpoint.id.as_str(), observed.endpoint.phase))
        .collect()
}

use Phase::{Deleted, Draining, Serving};

/// Guards against using the configuration's list if the sender itself received a newer one.
#[test]
fn newer_checkpoint_overrides_the_configured_list() {
    let newer_checkpoint = || checkpoint(7, true, &[("a", Draining), ("c", Serving)]);
    let list = vec![endpoint("a", Serving, 0), endpoint("b", Serving, 0)];
    let newer = restore(newer_checkpoint(), &configured(1, 6, list.clone()), StartKind::Restart, TIMES);
    assert_eq!(phases(&newer), [("a", Draining), ("b", Deleted), ("c", Serving)]);
    assert_eq!((newer.resume_revision, newer.excluded), (Some(7), 2));
    // An endpoint that is missing from a partial checkpoint may be in service.
    let partial = Checkpoint { is_complete: false, ..newer_checkpoint() };
    assert_eq!(
        phases(&restore(partial, &configured(1, 6, list.clone()), StartKind::Restart, TIMES))[1],
        ("b", Serving)
    );
    // A configured list of the same or a newer revision decides, and endpoints that it does not list are
    // dropped.
    for revision in [7, 8] {
        let not_newer =
            restore(newer_checkpoint(), &configured(1, revision, list.clone()), StartKind::Restart, TIMES);
        assert_eq!(phases(&not_newer), [("a", Serving), ("b", Serving)]);
        assert_eq!((not_newer.resume_revision, not_newer.excluded), (Some(revision), 0));
    }
}

/// Guards against losing a drain because revisions of different agents were compared, and against excluding
/// an endpoint that has restarted since under the same ID.
#[test]
fn revisions_of_two_agents_are_not_compared() {
    let observed_at_ms = NOW.0 / 1_000 - 5_000;
    for (up_since, phase) in [(0, Draining), (observed_at_ms - 1, Draining), (observed_at_ms + 1, Serving)] {
        for revision in [1, 7, 100] {
            let list = vec![endpoint("a", Serving, up_since), endpoint("b", Serving, 0)];
            let restored = restore(
                checkpoint(7, true, &[("a", Draining)]),
                &configured(2, revision, list),
                StartKind::Restart,
                TIMES,
            );
            assert_eq!(phases(&restored), [("a", phase), ("b", Serving)], "{up_since} {revision}");
            assert_eq!(restored.resume_revision, None, "the complete list is requested");
        }
    }
    let list = vec![endpoint("a", Draining, 0)];
    let restored =
        restore(checkpoint(7, true, &[("a", Serving)]), &configured(2, 1, list), StartKind::Restart, TIMES);
    assert_eq!(phases(&restored), [("a", Draining)], "a drain in either list is kept");
}

/// Guards against losing a drain reported by an agent that has restarted its revision count at the same
/// address.
#[test]
fn revisions_of_a_reset_agent_are_not_compared() {
    let reset = || Checkpoint { version: None, ..checkpoint(3, true, &[("a", Draining), ("c", Serving)]) };
    let list = configured(1, 41, vec![endpoint("a", Serving, 0), endpoint("b", Serving, 0)]);
    let restarted = restore(reset(), &list, StartKind::Restart, TIMES);
    assert_eq!(
        (phases(&restarted), restarted.resume_revision),
        (vec![("a", Draining), ("b", Serving)], None)
    );
    // After a handover, the checkpoint is the newest state.
    let handed_over = restore(reset(), &list, StartKind::Handover, TIMES);
    let all = vec![("a", Draining), ("b", Deleted), ("c", Serving)];
    assert_eq!((phases(&handed_over), handed_over.resume_revision), (all, None));
    let version = |agent_port, revision| DiscoveryVersion { agent: agent(agent_port), revision };
    assert!(version(1, 3).is_reset_since(version(1, 41)) && !version(2, 3).is_reset_since(version(1, 41)));
    assert!(!version(1, 41).is_reset_since(version(1, 41)));
}

/// Guards against deleting configured endpoints because the checkpoint is empty.
#[test]
fn empty_checkpoint_leaves_the_configured_list_unchanged() {
    let list = vec![endpoint("a", Serving, 0), endpoint("b", Draining, 0)];
    let restored = restore(Checkpoint::default(), &configured(1, 3, list), StartKind::Restart, TIMES);
    assert_eq!(phases(&restored), [("a", Serving), ("b", Draining)]);
    assert_eq!((restored.resume_revision, restored.excluded, restored.routes.len()), (Some(3), 0, 0));
}

/// Guards against observation times in the future after the clock was stepped back.
#[test]
fn observation_in_the_future_counts_as_now() {
    let mut checkpoint = checkpoint(7, true, &[("a", Draining)]);
    checkpoint.endpoints.get_mut("a").unwrap().observed_at = Timestamp(NOW.0 + 9);
    let restored =
        restore(checkpoint, &configured(1, 6, vec![endpoint("a", Serving, 0)]), StartKind::Restart, TIMES);
    assert_eq!(restored.endpoints[0].observed_at, NOW);
}
