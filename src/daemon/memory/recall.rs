//! What a new process goes by until its agent answers: the configuration's list, and what an earlier process heard. Free of
//! I/O and clocks.
//!
//! The configuration's list is the platform's view of what this sender last had; it may be older than what the sender
//! heard itself. Versions of one agent tell which is newer. Where they cannot be compared (the agent has moved, or has begun
//! to count anew), whatever was heard to drain or to be gone stays out until the agent says otherwise, unless the endpoint has started again since.
use super::{Known, Memory};
use crate::daemon::targets::{Member, Phase, Targets};
use crate::{Learned, Time};

/// What a process starts from.
pub struct Recalled {
    /// The endpoints, with when their state was heard.
    pub members: Vec<(Member, Time)>,
    /// The version from which the agent is asked to go on; none asks it for the whole list.
    pub from: Option<u64>,
    /// By id: what was learned of an endpoint, and when that was so.
    pub learned: Vec<(String, [Option<Learned>; 2], Time)>,
    /// Endpoints that the configuration's list has in service, and that are left out.
    pub held_out: usize,
}

/// Puts together what is `known` by the configuration and what was remembered. `live`: the process before was at work until
/// just now, so nobody has heard anything newer.
pub fn recall(memory: Memory, known: &Targets, live: bool, now: Time) -> Recalled {
    let Memory { version, whole, mut endpoints } = memory;
    let same_agent = version.filter(|version| Some(version.agent) == known.agent);
    let nothing = endpoints.is_empty();
    let newer =
        if live { !nothing } else { same_agent.is_some_and(|version| version.revision > known.revision) };
    let mut members = Vec::with_capacity(known.members.len());
    let (mut learned, mut held_out) = (Vec::new(), 0);
    for listed in &known.members {
        let Some(remembered) = endpoints.remove(&listed.id) else {
            // A newer list that was written down whole does not name it any more.
            let phase = if newer && whole { Phase::Deleted } else { listed.phase };
            held_out += usize::from(phase != listed.phase);
            members.push((Member { phase, ..listed.clone() }, now));
            continue;
        };
        let Known { member: before, heard, learned: lines, written } = remembered;
        let member = if newer {
            before
        } else {
            let phase =
                if same_agent.is_some() { listed.phase } else { stricter(listed, before.phase, heard) };
            Member { phase, ..listed.clone() }
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
    Recalled { members, from, learned, held_out }
}

/// The state of an endpoint by two lists of which nobody knows which is newer.
fn stricter(member: &Member, before: Phase, heard: Time) -> Phase {
    let started_since = member.up_since_ms.saturating_mul(1_000) > heard.0;
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
mod tests {
    use super::*;
    use crate::daemon::memory::Version;
    use std::net::SocketAddr;

    const NOW: Time = Time(1_700_000_000_000_000);

    fn agent(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn member(id: &str, phase: Phase, up_since_ms: u64) -> Member {
        Member {
            id: id.to_owned(),
            host_port: agent(9),
            locality: "a".to_owned(),
            flavor: "bank".to_owned(),
            cell: 1,
            phase,
            size: 1.0,
            up_since_ms,
        }
    }

    fn memory(revision: u64, whole: bool, of: &[(&str, Phase)]) -> Memory {
        let known = |(id, phase): &(&str, Phase)| {
            let (member, heard) = (member(id, *phase, 0), Time(NOW.0 - 5_000_000));
            ((*id).to_owned(), Known { member, heard, learned: [None, None], written: heard })
        };
        let version = Some(Version { agent: agent(1), revision });
        Memory { version, whole, endpoints: of.iter().map(known).collect() }
    }

    fn known(of: u16, revision: u64, members: Vec<Member>) -> Targets {
        Targets { agent: Some(agent(of)), revision, complete: true, members }
    }

    fn phases(recalled: &Recalled) -> Vec<(&str, Phase)> {
        recalled.members.iter().map(|(member, _)| (member.id.as_str(), member.phase)).collect()
    }

    use Phase::{Deleted, Draining, Serving};

    /// Guards against going by the configuration's list where the sender itself heard a newer one.
    #[test]
    fn a_drain_that_was_heard_stands_against_an_older_list() {
        let memory = || memory(7, true, &[("a", Draining), ("c", Serving)]);
        let list = vec![member("a", Serving, 0), member("b", Serving, 0)];
        let newer = recall(memory(), &known(1, 6, list.clone()), false, NOW);
        assert_eq!(phases(&newer), [("a", Draining), ("b", Deleted), ("c", Serving)]);
        assert_eq!((newer.from, newer.held_out), (Some(7), 2));
        // Not written down whole, what is missing may be in service.
        let part = Memory { whole: false, ..memory() };
        assert_eq!(phases(&recall(part, &known(1, 6, list.clone()), false, NOW))[1], ("b", Serving));
        // The platform's list is as new, or newer: it knows better, and what it does not name is gone.
        for revision in [7, 8] {
            let older = recall(memory(), &known(1, revision, list.clone()), false, NOW);
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
                    recall(memory(7, true, &[("a", Draining)]), &known(2, revision, list), false, NOW);
                assert_eq!(phases(&recalled), [("a", phase), ("b", Serving)], "{up_since} {revision}");
                assert_eq!(recalled.from, None, "only the whole list can be compared with nothing");
            }
        }
        let list = vec![member("a", Draining, 0)];
        let recalled = recall(memory(7, true, &[("a", Serving)]), &known(2, 1, list), false, NOW);
        assert_eq!(phases(&recalled), [("a", Draining)], "either may know of a drain");
    }

    /// Guards against forgetting what was heard of an agent that has begun to count anew under its address.
    #[test]
    fn versions_that_were_counted_anew_are_not_compared() {
        let anew = || Memory { version: None, ..memory(3, true, &[("a", Draining), ("c", Serving)]) };
        let list = known(1, 41, vec![member("a", Serving, 0), member("b", Serving, 0)]);
        let restarted = recall(anew(), &list, false, NOW);
        assert_eq!((phases(&restarted), restarted.from), (vec![("a", Draining), ("b", Serving)], None));
        // The process before was at work just now: it knew all there was.
        let handed_over = recall(anew(), &list, true, NOW);
        let all = vec![("a", Draining), ("b", Deleted), ("c", Serving)];
        assert_eq!((phases(&handed_over), handed_over.from), (all, None));
        let of = |agent_of, revision| Version { agent: agent(agent_of), revision };
        assert!(of(1, 3).anew_since(of(1, 41)) && !of(2, 3).anew_since(of(1, 41)));
        assert!(!of(1, 41).anew_since(of(1, 41)));
    }

    /// Guards against a memory that is none: all is as the configuration has it.
    #[test]
    fn nothing_remembered_changes_nothing() {
        let list = vec![member("a", Serving, 0), member("b", Draining, 0)];
        let recalled = recall(Memory::default(), &known(1, 3, list), false, NOW);
        assert_eq!(phases(&recalled), [("a", Serving), ("b", Draining)]);
        assert_eq!((recalled.from, recalled.held_out, recalled.learned.len()), (Some(3), 0, 0));
    }

    /// Guards against moments to come, of a clock that was set back.
    #[test]
    fn nothing_was_heard_in_the_future() {
        let mut memory = memory(7, true, &[("a", Draining)]);
        memory.endpoints.get_mut("a").unwrap().heard = Time(NOW.0 + 9);
        let recalled = recall(memory, &known(1, 6, vec![member("a", Serving, 0)]), false, NOW);
        assert_eq!(recalled.members[0].1, NOW);
    }
}
