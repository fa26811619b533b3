//! Faults of the destinations' endpoints: degraded service, reduced limits, changes of address or id, and
//! drains.
use crate::observation::{Micros, Observation};
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::FaultKind;
use crate::world::destination_model::{Condition, Stall};
use crate::world::repeated_answers::Repetition;
use crate::world::{EndpointIdentity, EndpointState, World, endpoints, platform};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time from the start of a drain to the endpoint's removal, and from its removal to its replacement.
const DRAIN_STEP: Duration = Duration::from_secs(6);
/// The number of hexadecimal digits in an endpoint's id.
const ID_DIGITS: usize = 8;

/// Degrades the service of endpoints from now until the fault ends.
pub(super) async fn degrade(world: &World, fault: &PlannedFault, started_at: Micros) {
    change_condition(world, fault, |condition| apply(condition, fault, started_at));
    world.wait_until(started_at + fault.until.0).await;
    change_condition(world, fault, |condition| clear(condition, fault));
}

fn apply(condition: &mut Condition, fault: &PlannedFault, started_at: Micros) {
    match fault.kind {
        FaultKind::Hang => condition.hangs = true,
        FaultKind::Late => condition.added_latency = fault.delay.0,
        FaultKind::Stall => {
            condition.stall = Some(Stall {
                pause: fault.pause.0,
                period: fault.interval.0,
                from: started_at + fault.from.0,
            });
        }
        FaultKind::Shut => condition.unavailable_until = Some(started_at + fault.until.0),
        FaultKind::Full => condition.rejected_share = fault.call_share,
        FaultKind::LateRejections => condition.rejection_latency = fault.delay.0,
        FaultKind::Errors => condition.error_share = fault.call_share,
        FaultKind::Spoil => condition.corrupted_share = fault.call_share,
        FaultKind::Reset => condition.reset_share = fault.call_share,
        FaultKind::RepeatAnswers => condition.repetition = Some(Repetition::of(fault)),
        FaultKind::Vanish => condition.unreachable = true,
        FaultKind::Die => condition.process_down = true,
        _ => {}
    }
}

fn clear(condition: &mut Condition, fault: &PlannedFault) {
    let healthy = Condition::default();
    match fault.kind {
        FaultKind::Hang => condition.hangs = healthy.hangs,
        FaultKind::Late => condition.added_latency = healthy.added_latency,
        FaultKind::Stall => condition.stall = healthy.stall,
        FaultKind::Shut => condition.unavailable_until = healthy.unavailable_until,
        FaultKind::Full => condition.rejected_share = healthy.rejected_share,
        FaultKind::LateRejections => condition.rejection_latency = healthy.rejection_latency,
        FaultKind::Errors => condition.error_share = healthy.error_share,
        FaultKind::Spoil => condition.corrupted_share = healthy.corrupted_share,
        FaultKind::Reset => condition.reset_share = healthy.reset_share,
        FaultKind::RepeatAnswers => condition.repetition = healthy.repetition,
        FaultKind::Vanish => condition.unreachable = healthy.unreachable,
        FaultKind::Die => condition.process_down = healthy.process_down,
        _ => {}
    }
}

/// Changes the condition of all endpoints of a fault, and records each route whose outage begins or ends as a
/// result.
fn change_condition(world: &World, fault: &PlannedFault, change: impl Fn(&mut Condition)) {
    for number in &fault.endpoints {
        let mut endpoints = world.endpoints.borrow_mut();
        let endpoint = &mut endpoints[*number as usize];
        change(&mut endpoint.condition);
        let (route, destination) = (endpoint.route, endpoint.destination as usize);
        let unreachable = endpoint.condition.unreachable;
        // A route is in an outage while all of its endpoints are.
        let mut route_endpoints = endpoints.iter().filter(|endpoint| endpoint.route == route);
        let outage = route_endpoints.all(|endpoint| endpoint.condition.is_outage());
        drop(endpoints);
        if let Some(links) = world.fleet.links() {
            links.set_endpoint_cut(*number, unreachable);
        }
        let mut destinations = world.destinations.borrow_mut();
        let model = &mut destinations[destination];
        let route_in_destination = model.route_of(*number);
        if model.set_outage(route_in_destination, outage, world.now()) {
            drop(destinations);
            world.observe(Observation::Outage { route, began: outage });
        }
    }
    world.endpoint_changed.notify_waiters();
}

/// Reduces the limits of endpoints' routes until `until`.
pub(super) async fn reduce_limit(world: &World, fault: &PlannedFault, until: Micros) {
    set_limit_share(world, fault, fault.call_share);
    world.wait_until(until).await;
    set_limit_share(world, fault, 1.0);
}

fn set_limit_share(world: &World, fault: &PlannedFault, share: f64) {
    for endpoint in &fault.endpoints {
        let destination = world.endpoints.borrow()[*endpoint as usize].destination as usize;
        let mut destinations = world.destinations.borrow_mut();
        let route = destinations[destination].route_of(*endpoint);
        destinations[destination].set_limit_share(route, share);
    }
}

/// Moves endpoints to new addresses while they keep their ids.
pub(super) async fn change_addresses(world: &Rc<World>, fault: &PlannedFault) {
    for endpoint in &fault.endpoints {
        world.endpoints.borrow_mut()[*endpoint as usize].address_generation += 1;
        if let Err(error) = endpoints::open(world, *endpoint as usize).await {
            eprintln!("endpoint move failed: endpoint={endpoint} error={error}");
        }
    }
    world.endpoint_changed.notify_waiters();
    platform::publish(world);
}

/// Gives endpoints new ids while they keep their addresses.
pub(super) fn change_ids(world: &Rc<World>, fault: &PlannedFault) {
    for endpoint in &fault.endpoints {
        change_id(world, *endpoint);
    }
    platform::publish(world);
}

fn change_id(world: &World, number: u32) {
    let mut endpoints = world.endpoints.borrow_mut();
    let endpoint = &mut endpoints[number as usize];
    let mut random = SeededRng::new(world.plan.seed, &format!("id after {}", endpoint.id));
    endpoint.previous = Some(EndpointIdentity { id: endpoint.id.clone(), route: endpoint.route });
    endpoint.id = format!("s-{}", &random.id()[..ID_DIGITS]);
    if world.plan.destinations[endpoint.destination as usize].kind.has_endpoint_limits() {
        // The new id starts a new route, to which a Retry-After of the previous one does not apply.
        endpoint.route = world.next_route.get();
        world.next_route.set(endpoint.route + 1);
    }
}

/// Drains endpoints, removes them, and starts replacements at the same addresses.
pub(super) async fn drain(world: &Rc<World>, fault: &PlannedFault) {
    set_phase(world, fault, "DRAINING");
    platform::publish(world);
    sleep(DRAIN_STEP).await;
    set_phase(world, fault, "DELETED");
    change_condition(world, fault, |condition| set_drained(condition, true));
    platform::publish(world);
    sleep(DRAIN_STEP).await;
    for endpoint in &fault.endpoints {
        change_id(world, *endpoint);
    }
    reset_replaced_routes(world, fault);
    set_phase(world, fault, "SERVING");
    change_condition(world, fault, |condition| set_drained(condition, false));
    platform::publish(world);
}

fn set_phase(world: &World, fault: &PlannedFault, phase: &'static str) {
    let mut endpoints = world.endpoints.borrow_mut();
    for endpoint in &fault.endpoints {
        endpoints[*endpoint as usize].phase = phase;
    }
}

fn set_drained(condition: &mut Condition, drained: bool) {
    condition.process_down = drained;
    condition.drained = drained;
}

/// Clears the outages of the routes whose endpoints have all been replaced.
fn reset_replaced_routes(world: &World, fault: &PlannedFault) {
    let endpoints = world.endpoints.borrow();
    let is_replaced = |endpoint: &EndpointState| fault.endpoints.contains(&endpoint.number);
    for number in &fault.endpoints {
        let endpoint = &endpoints[*number as usize];
        let mut route_endpoints = endpoints.iter().filter(|other| other.route == endpoint.route);
        if route_endpoints.all(is_replaced) {
            let mut destinations = world.destinations.borrow_mut();
            let route = destinations[endpoint.destination as usize].route_of(*number);
            destinations[endpoint.destination as usize].reset_outage(route);
        }
    }
}
