use super::*;

fn entry(endpoint: u32, destination: u64, state: EndpointState) -> EndpointEntry {
    let (endpoint, destination) = (EndpointId(endpoint), DestinationId(destination));
    EndpointEntry { endpoint, destination, kind: KindId(0), zone: ZoneId(0), state, capacity_hint: 0.0 }
}

fn apply(
    directory: &mut Directory<TestRoute>,
    entries: &[EndpointEntry],
    complete: bool,
    now: u64,
) -> Vec<(u32, Option<u64>)> {
    let new_route = |entry: &EndpointEntry, own| (entry.destination, own);
    let changes = directory.apply(entries, complete, Timestamp(now), |_| true, new_route);
    changes.into_iter().map(|change| (change.endpoint.0, change.removed_at.map(|at| at.0))).collect()
}

/// Returns whether an endpoint was forgotten, and until when it or its destination is needed.
fn outcome(retired: Retirement) -> (bool, Option<Timestamp>) {
    (retired.is_forgotten, retired.needed_until)
}

/// A route that records for which destination, and for which endpoint unless it is shared, it was created.
type TestRoute = (DestinationId, Option<EndpointId>);

/// Guards against slots that accumulate as endpoints are added and removed, and against two endpoints with
/// one route.
#[test]
fn reuses_slots_without_mixing_up_routes() {
    let mut directory = Directory::new();
    for round in 0..50_u32 {
        let ids: Vec<u32> = (round * 4..round * 4 + 4).collect();
        let entries: Vec<_> =
            ids.iter().map(|id| entry(*id, u64::from(id % 4 / 2), EndpointState::Active)).collect();
        apply(&mut directory, &entries, true, 1);
        let mut slots = BTreeSet::new();
        for (id, endpoint) in (0..2).flat_map(|id| directory.endpoints_of(DestinationId(id))) {
            let routes: Vec<_> = directory.routes(endpoint).copied().collect();
            assert_eq!(routes, [(endpoint.destination, Some(id)), (endpoint.destination, None)]);
            slots.extend(directory.route_slots(endpoint).into_iter().flatten());
        }
        assert_eq!((slots.len(), directory.routes.len()), (6, 6), "round {round}");
        apply(&mut directory, &[], true, 2);
        for entry in &entries {
            assert_eq!(
                outcome(directory.retire(entry.endpoint, entry.destination, Timestamp(2), |_| None)),
                (true, None)
            );
        }
    }
}

/// Guards against forgetting an endpoint that is in service, was removed recently, or has a route that is
/// still needed.
#[test]
fn keeps_endpoints_and_destinations_that_are_still_needed() {
    let mut directory = Directory::new();
    apply(&mut directory, &[entry(1, 7, EndpointState::Active)], false, 1);
    let retire = |directory: &mut Directory<TestRoute>, before, own, shared| {
        let needed_until = |route: &TestRoute| if route.1.is_some() { own } else { shared };
        outcome(directory.retire(EndpointId(1), DestinationId(7), Timestamp(before), needed_until))
    };
    assert_eq!(retire(&mut directory, 9, None, None), (false, None), "in service");
    apply(&mut directory, &[], true, 5);
    assert_eq!(retire(&mut directory, 4, None, None), (false, None), "removed later");
    assert_eq!(retire(&mut directory, 5, Some(Timestamp(8)), None), (false, Some(Timestamp(8))));
    assert_eq!(retire(&mut directory, 5, None, Some(Timestamp(9))), (true, Some(Timestamp(9))));
    assert!(directory.destination(DestinationId(7)).is_some());
    assert_eq!(retire(&mut directory, 5, None, None), (false, None));
    assert!(directory.destination(DestinationId(7)).is_none());
}

/// Guards against a removal time that moves with later updates, and against keeping an endpoint that a
/// complete list omits.
#[test]
fn keeps_the_removal_time_until_the_endpoint_is_listed_again() {
    let mut directory = Directory::new();
    let removed = [entry(1, 1, EndpointState::Removed)];
    let first = [entry(1, 1, EndpointState::Active), entry(2, 1, EndpointState::Removed)];
    assert_eq!(apply(&mut directory, &first, false, 1), [(1, None), (2, Some(1))]);
    assert_eq!(
        apply(&mut directory, &[entry(3, 1, EndpointState::Active)], true, 5),
        [(1, Some(5)), (3, None)]
    );
    assert_eq!(apply(&mut directory, &removed, false, 9), [(1, Some(5))]);
    assert_eq!(apply(&mut directory, &[entry(1, 1, EndpointState::Draining)], false, 11), [(1, None)]);
    assert_eq!(apply(&mut directory, &removed, false, 12), [(1, Some(12))]);
}
