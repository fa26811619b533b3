//! The injection of the plan's faults, each at its scheduled time.
mod discovery_faults;
mod endpoint_faults;
mod sender_faults;

use super::World;
use crate::observation::Micros;
use crate::plan::PlannedFault;
use crate::scenario::FaultKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Spawns a task for each fault of the plan, which injects it at its offset from `started_at`.
pub(super) fn schedule(world: &Rc<World>, started_at: Micros) {
    for fault in world.plan.faults.clone() {
        let world = world.clone();
        spawn_local(async move {
            world.wait_until(started_at + fault.from.0).await;
            inject(&world, &fault, started_at).await;
        });
    }
}

/// Injects a fault, and ends it at its end time if it has one.
async fn inject(world: &Rc<World>, fault: &PlannedFault, started_at: Micros) {
    let until = started_at + fault.until.0;
    match fault.kind {
        FaultKind::Restart => sender_faults::restart(world, fault).await,
        FaultKind::PowerLoss => sender_faults::power_loss(world, fault, started_at).await,
        FaultKind::MachineLost => sender_faults::machine_lost(world, fault),
        FaultKind::KillAtWrite => sender_faults::kill_at_write(world, fault),
        FaultKind::DiskFull => sender_faults::disk_full(world, fault, until).await,
        FaultKind::SyncFails | FaultKind::SyncHangs | FaultKind::SyncLies => {
            sender_faults::disk_sync(world, fault, until).await;
        }
        FaultKind::Cut | FaultKind::Slow | FaultKind::Lose | FaultKind::Break => {
            sender_faults::peer_links(world, fault, until).await;
        }
        FaultKind::SystemCalls | FaultKind::Folder => sender_faults::system_calls(world, fault, until).await,
        FaultKind::WallClock => sender_faults::step_wall_clocks(world, fault),
        FaultKind::Pause => sender_faults::pause(world, fault, until).await,
        FaultKind::RepeatAgentAnswers => discovery_faults::repeat_answers(world, fault, until).await,
        FaultKind::CutRequests => sender_faults::cut_requests(world, fault, until).await,
        FaultKind::Deaf => discovery_faults::ignore_notifications(world, fault, until),
        FaultKind::ListSilent => discovery_faults::silence(world, fault, until),
        FaultKind::SlowAgent => discovery_faults::slow_down(world, fault, until).await,
        FaultKind::ListLag => discovery_faults::lag(world, fault, until).await,
        FaultKind::DeadHosts => discovery_faults::list_nonexistent_endpoints(world, fault, until).await,
        FaultKind::MoveDiscovery => discovery_faults::move_agents(world, fault).await,
        FaultKind::LinkDelay | FaultKind::LinkHold | FaultKind::LinkDrop => {
            zone_links(world, fault, until).await;
        }
        FaultKind::Move => endpoint_faults::change_addresses(world, fault).await,
        FaultKind::Rename => endpoint_faults::change_ids(world, fault),
        FaultKind::Drain => endpoint_faults::drain(world, fault).await,
        FaultKind::LimitFalls => endpoint_faults::reduce_limit(world, fault, until).await,
        FaultKind::Hang
        | FaultKind::Late
        | FaultKind::Stall
        | FaultKind::Shut
        | FaultKind::Full
        | FaultKind::LateRejections
        | FaultKind::Errors
        | FaultKind::Spoil
        | FaultKind::Reset
        | FaultKind::RepeatAnswers
        | FaultKind::Vanish
        | FaultKind::Die => endpoint_faults::degrade(world, fault, started_at).await,
    }
}

/// Delays, holds or drops the traffic between zones until `until`. If the fleet has no control of its links,
/// the report lists the fault as not injected.
async fn zone_links(world: &World, fault: &PlannedFault, until: Micros) {
    let Some(links) = world.fleet.links() else {
        world.recorder().not_played(fault);
        return;
    };
    links.begin_fault(fault, world.start + Duration::from_micros(until));
    world.wait_until(until).await;
    links.end_fault(fault);
}
