use super::*;

fn entry(endpoint: u32, destination: u64, listing: EndpointState) -> EndpointEntry {
    let (endpoint, destination) = (EndpointId(endpoint), DestinationId(destination));
    EndpointEntry {
        endpoint,
        destination,
        kind: KindId(0),
        zone: ZoneId(0),
        state: listing,
        capacity_hint: 0.0,
    }
}

fn list(
    known: &mut Directory<Line>,
    entries: &[EndpointEntry],
    whole: bool,
    now: u64,
) -> Vec<(u32, Option<u64>)> {
    let line = |entry: &EndpointEntry, own| (entry.destination, own);
    let changes = known.apply(entries, whole, Timestamp(now), |_| true, line);
    changes.into_iter().map(|change| (change.endpoint.0, change.removed_at.map(|at| at.0))).collect()
}

/// Whether an endpoint was forgotten, and until when it or its destination is needed.
fn outcome(retired: Retirement) -> (bool, Option<Timestamp>) {
    (retired.is_forgotten, retired.needed_until)
}

type Line = (DestinationId, Option<EndpointId>);

/// Guards against lines that add up as endpoints come and go, and against two endpoints on one line.
#[test]
fn lines_are_used_again_and_never_shared_by_mistake() {
    let mut known = Directory::new();
    for round in 0..50_u32 {
        let ids: Vec<u32> = (round * 4..round * 4 + 4).collect();
        let entries: Vec<_> =
            ids.iter().map(|id| entry(*id, u64::from(id % 4 / 2), EndpointState::Active)).collect();
        list(&mut known, &entries, true, 1);
        let mut places = BTreeSet::new();
        for (id, at) in (0..2).flat_map(|id| known.endpoints_of(DestinationId(id))) {
            let lines: Vec<_> = known.routes(at).copied().collect();
            assert_eq!(lines, [(at.destination, Some(id)), (at.destination, None)]);
            places.extend(known.route_slots(at).into_iter().flatten());
        }
        assert_eq!((places.len(), known.routes.len()), (6, 6), "round {round}");
        list(&mut known, &[], true, 2);
        for entry in &entries {
            assert_eq!(
                outcome(known.retire(entry.endpoint, entry.destination, Timestamp(2), |_| None)),
                (true, None)
            );
        }
    }
}

/// Guards against forgetting what is still of use: in service, gone a short while ago, or told to wait.
#[test]
fn what_is_still_wanted_stays() {
    let mut known = Directory::new();
    list(&mut known, &[entry(1, 7, EndpointState::Active)], false, 1);
    let retire = |known: &mut Directory<Line>, before, own, shared| {
        let wanted = |line: &Line| if line.1.is_some() { own } else { shared };
        outcome(known.retire(EndpointId(1), DestinationId(7), Timestamp(before), wanted))
    };
    assert_eq!(retire(&mut known, 9, None, None), (false, None), "in service");
    list(&mut known, &[], true, 5);
    assert_eq!(retire(&mut known, 4, None, None), (false, None), "gone since");
    assert_eq!(retire(&mut known, 5, Some(Timestamp(8)), None), (false, Some(Timestamp(8))));
    assert_eq!(retire(&mut known, 5, None, Some(Timestamp(9))), (true, Some(Timestamp(9))));
    assert!(known.destination(DestinationId(7)).is_some());
    assert_eq!(retire(&mut known, 5, None, None), (false, None));
    assert!(known.destination(DestinationId(7)).is_none());
}

/// Guards against an endpoint whose time of leaving moves, and against a whole list that leaves it listed.
#[test]
fn an_endpoint_is_gone_since_it_was_last_listed() {
    let mut known = Directory::new();
    let gone = [entry(1, 1, EndpointState::Removed)];
    let first = [entry(1, 1, EndpointState::Active), entry(2, 1, EndpointState::Removed)];
    assert_eq!(list(&mut known, &first, false, 1), [(1, None), (2, Some(1))]);
    assert_eq!(list(&mut known, &[entry(3, 1, EndpointState::Active)], true, 5), [(1, Some(5)), (3, None)]);
    assert_eq!(list(&mut known, &gone, false, 9), [(1, Some(5))]);
    assert_eq!(list(&mut known, &[entry(1, 1, EndpointState::Draining)], false, 11), [(1, None)]);
    assert_eq!(list(&mut known, &gone, false, 12), [(1, Some(12))]);
}
