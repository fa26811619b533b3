//! Faults of the platform: delayed or withheld endpoint lists, lists with nonexistent endpoints, moved agents
//! and unacknowledged notifications.
use crate::observation::{Micros, Observation};
use crate::plan::{PlannedFault, SeededRng};
use crate::world::repeated_answers::Repetition;
use crate::world::{NonexistentEndpoint, World, platform};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The number of hexadecimal digits in the id of a nonexistent endpoint.
const ID_DIGITS: usize = 8;

/// Makes the agents of senders leave notifications unacknowledged until `until`.
pub(super) fn ignore_notifications(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        extend(&world.agents[*sender as usize].notifications_ignored_until, until);
        world.observe(Observation::NotificationsBlocked { sender: *sender, until });
    }
}

/// Makes the agents of senders stop answering discovery requests until `until`.
pub(super) fn silence(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        extend(&world.agents[*sender as usize].silent_until, until);
    }
}

fn extend(end: &Cell<Micros>, until: Micros) {
    end.set(end.get().max(until));
}

/// Makes the agents of senders repeat answers until `until`.
pub(super) async fn repeat_answers(world: &World, fault: &PlannedFault, until: Micros) {
    let set = |repetition: Option<Repetition>| {
        for sender in &fault.senders {
            world.agents[*sender as usize].repetition.set(repetition);
        }
    };
    set(Some(Repetition::of(fault)));
    world.wait_until(until).await;
    set(None);
}

/// Makes the agents of senders answer each discovery request later until `until`.
pub(super) async fn slow_down(world: &World, fault: &PlannedFault, until: Micros) {
    let set = |delay: Duration| {
        for sender in &fault.senders {
            world.agents[*sender as usize].answer_delay.set(delay);
        }
    };
    set(Duration::from_micros(fault.delay.0));
    world.wait_until(until).await;
    set(Duration::ZERO);
}

/// Delays the publication of endpoint lists until `until`.
pub(super) async fn lag(world: &World, fault: &PlannedFault, until: Micros) {
    let lag = Duration::from_micros(fault.delay.0);
    world.list_lag.set(world.list_lag.get() + lag);
    world.wait_until(until).await;
    world.list_lag.set(world.list_lag.get().saturating_sub(lag));
}

/// Adds a nonexistent endpoint to the list for each endpoint of the fault, and removes them at `until`.
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
            eprintln!("discovery agent move failed: sender={sender} error={error}");
        }
    }
}
