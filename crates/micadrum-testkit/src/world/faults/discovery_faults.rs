//! Faults of the platform: the endpoint list lags, stays silent, moves or names endpoints that do not exist, and
//! notifications are not acknowledged.
use crate::observation::{Micros, Observation};
use crate::plan::{PlannedFault, SeededRng};
use crate::world::{NonexistentEndpoint, World, platform};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Digits of the id of a listed endpoint that does not exist.
const ID_DIGITS: usize = 8;

/// Leaves the notifications of senders unacknowledged until `until`.
pub(super) fn ignore_notifications(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        extend(&world.agents[*sender as usize].notifications_ignored_until, until);
        world.observe(Observation::NotificationsBlocked { sender: *sender, until });
    }
}

/// Lets discovery answer nothing until `until`.
pub(super) fn silence(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        extend(&world.agents[*sender as usize].silent_until, until);
    }
}

fn extend(end: &Cell<Micros>, until: Micros) {
    end.set(end.get().max(until));
}

/// Delays each new endpoint list.
pub(super) async fn lag(world: &World, fault: &PlannedFault, until: Micros) {
    let lag = Duration::from_micros(fault.delay.0);
    world.list_lag.set(world.list_lag.get() + lag);
    world.wait_until(until).await;
    world.list_lag.set(world.list_lag.get().saturating_sub(lag));
}

/// Lists endpoints that do not exist, one for each endpoint of the fault.
pub(super) async fn list_nonexistent_endpoints(world: &Rc<World>, fault: &PlannedFault, until: Micros) {
    let mut random = SeededRng::new(world.plan.seed, &format!("ghosts {}", fault.from));
    let mut nonexistent = |endpoint: &u32| NonexistentEndpoint {
        destination: world.endpoints.borrow()[*endpoint as usize].destination,
        id: format!("g-{}", &random.id()[..ID_DIGITS]),
    };
    let added: Vec<_> = fault.endpoints.iter().map(&mut nonexistent).collect();
    world.nonexistent_endpoints.borrow_mut().extend(added.iter().cloned());
    platform::publish(world);
    world.wait_until(until).await;
    world.nonexistent_endpoints.borrow_mut().retain(|endpoint| !added.contains(endpoint));
    platform::publish(world);
}

/// Moves the discovery agents of senders to other addresses.
pub(super) async fn move_agents(world: &Rc<World>, fault: &PlannedFault) {
    for sender in &fault.senders {
        if let Err(error) = platform::move_agent(world, *sender).await {
            eprintln!("agent of sender {sender}: {error}");
        }
    }
}
