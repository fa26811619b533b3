use super::*;
use crate::daemon::checkpoint::DiscoveryVersion;
use std::net::SocketAddr;

const NOW: Timestamp = Timestamp(1_700_000_000_000_000);

fn agent(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(id: &str, phase: Phase, up_since_ms: u64) -> ListedEndpoint {
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

fn memory(revision: u64, whole: bool, of: &[(&str, Phase)]) -> Checkpoint {
    let known = |(id, phase): &(&str, Phase)| {
        let (member, heard) = (member(id, *phase, 0), Timestamp(NOW.0 - 5_000_000));
        ((*id).to_owned(), EndpointCheckpoint { member, heard, learned: [None, None], written: heard })
    };
    let version = Some(DiscoveryVersion { agent: agent(1), revision });
    Checkpoint { version, whole, endpoints: of.iter().map(known).collect() }
}

fn known(of: u16, revision: u64, members: Vec<ListedEndpoint>) -> EndpointList {
    EndpointList { agent: Some(agent(of)), revision, complete: true, endpoints: members }
}

fn phases(recalled: &RestoredCheckpoint) -> Vec<(&str, Phase)> {
    recalled.members.iter().map(|(member, _)| (member.id.as_str(), member.phase)).collect()
}

use Phase::{Deleted, Draining, Serving};

/// Guards against going by the configuration's list where the sender itself heard a newer one.
#[test]
fn a_drain_that_was_heard_stands_against_an_older_list() {
    let memory = || memory(7, true, &[("a", Draining), ("c", Serving)]);
    let list = vec![member("a", Serving, 0), member("b", Serving, 0)];
    let newer = restore(memory(), &known(1, 6, list.clone()), false, NOW);
    assert_eq!(phases(&newer), [("a", Draining), ("b", Deleted), ("c", Serving)]);
    assert_eq!((newer.from, newer.held_out), (Some(7), 2));
    // Not written down whole, what is missing may be in service.
    let part = Checkpoint { whole: false, ..memory() };
    assert_eq!(phases(&restore(part, &known(1, 6, list.clone()), false, NOW))[1], ("b", Serving));
    // The platform's list is as new, or newer: it knows better, and what it does not name is gone.
    for revision in [7, 8] {
        let older = restore(memory(), &known(1, revision, list.clone()), false, NOW);
        assert_eq!(phases(&older), [("a", Serving), ("b", Serving)]);
        assert_eq!((older.from, older.held_out), (Some(revision), 0));
    }
}

/// Guards against forgetting a drain because the agent is another and counts by itself; and against leaving an
/// endpoint out that has started again since under its id.
#[test]
fn versions_of_two_agents_are_not_compared() {
    let heard = NOW.0 / 1_000 - 5_000;
    for (up_since, phase) in [(0, Draining), (heard - 1, Draining), (heard + 1, Serving)] {
        for revision in [1, 7, 100] {
            let list = vec![member("a", Serving, up_since), member("b", Serving, 0)];
            let recalled =
                restore(memory(7, true, &[("a", Draining)]), &known(2, revision, list), false, NOW);
            assert_eq!(phases(&recalled), [("a", phase), ("b", Serving)], "{up_since} {revision}");
            assert_eq!(recalled.from, None, "only the whole list can be compared with nothing");
        }
    }
    let list = vec![member("a", Draining, 0)];
    let recalled = restore(memory(7, true, &[("a", Serving)]), &known(2, 1, list), false, NOW);
    assert_eq!(phases(&recalled), [("a", Draining)], "either may know of a drain");
}

/// Guards against forgetting what was heard of an agent that has begun to count anew under its address.
#[test]
fn versions_that_were_counted_anew_are_not_compared() {
    let anew = || Checkpoint { version: None, ..memory(3, true, &[("a", Draining), ("c", Serving)]) };
    let list = known(1, 41, vec![member("a", Serving, 0), member("b", Serving, 0)]);
    let restarted = restore(anew(), &list, false, NOW);
    assert_eq!((phases(&restarted), restarted.from), (vec![("a", Draining), ("b", Serving)], None));
    // The process before was at work just now: it knew all there was.
    let handed_over = restore(anew(), &list, true, NOW);
    let all = vec![("a", Draining), ("b", Deleted), ("c", Serving)];
    assert_eq!((phases(&handed_over), handed_over.from), (all, None));
    let of = |agent_of, revision| DiscoveryVersion { agent: agent(agent_of), revision };
    assert!(of(1, 3).anew_since(of(1, 41)) && !of(2, 3).anew_since(of(1, 41)));
    assert!(!of(1, 41).anew_since(of(1, 41)));
}

/// Guards against a memory that is none: all is as the configuration has it.
#[test]
fn nothing_remembered_changes_nothing() {
    let list = vec![member("a", Serving, 0), member("b", Draining, 0)];
    let recalled = restore(Checkpoint::default(), &known(1, 3, list), false, NOW);
    assert_eq!(phases(&recalled), [("a", Serving), ("b", Draining)]);
    assert_eq!((recalled.from, recalled.held_out, recalled.learned.len()), (Some(3), 0, 0));
}

/// Guards against moments to come, of a clock that was set back.
#[test]
fn nothing_was_heard_in_the_future() {
    let mut memory = memory(7, true, &[("a", Draining)]);
    memory.endpoints.get_mut("a").unwrap().heard = Timestamp(NOW.0 + 9);
    let recalled = restore(memory, &known(1, 6, vec![member("a", Serving, 0)]), false, NOW);
    assert_eq!(recalled.members[0].1, NOW);
}
