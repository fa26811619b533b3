//! Faults of the senders' processes, machines and disks, and of the links between senders.
use super::endpoint_faults;
use crate::history::HistoryEvent;
use crate::observation::{Micros, Observation};
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::{FaultKind, FolderContent, StopMethod};
use crate::world::World;
use crate::world::request_cuts::RequestCuts;
use crate::world::senders::{PowerRecovery, SyncBehavior};
use std::time::Duration;
use tokio::time::sleep;

/// Restarts senders in batches.
pub(super) async fn restart(world: &World, fault: &PlannedFault) {
    let batch_size = fault.batch.clamp(1, fault.senders.len().max(1));
    for (number, batch) in fault.senders.chunks(batch_size).enumerate() {
        if number > 0 {
            sleep(Duration::from_micros(fault.interval.0)).await;
        }
        for sender in batch {
            world.restart(*sender, fault.stop_method, Duration::from_micros(fault.downtime.0), fault.folder);
        }
    }
}

/// Cuts the power of the senders and endpoints that the fault selects.
pub(super) async fn power_loss(world: &World, fault: &PlannedFault, started_at: Micros) {
    let mut random = SeededRng::new(world.plan.seed, &format!("power back after {}", fault.from));
    for sender in &fault.senders {
        let recovery = draw_recovery(&mut random, fault, *sender);
        world.lose_power(*sender, recovery, fault.folder);
    }
    let endpoint_fault = PlannedFault { kind: FaultKind::Die, ..fault.clone() };
    endpoint_faults::degrade(world, &endpoint_fault, started_at).await;
}

/// Returns a random downtime and clock offset for a sender, within the bounds of the fault.
fn draw_recovery(random: &mut SeededRng, fault: &PlannedFault, sender: u32) -> PowerRecovery {
    let delay = (random.unit() * fault.return_period.0 as f64) as u64;
    let downtime = Duration::from_micros(fault.until.0 - fault.from.0 + delay);
    let clock_offset_us = match fault.max_clock_error.0 {
        0 => 0,
        max => ((random.unit() * 2.0 - 1.0) * max as f64) as i64,
    };
    PowerRecovery { downtime: (!fault.lost_senders.contains(&sender)).then_some(downtime), clock_offset_us }
}

/// Has clients of the senders send requests in two pieces until `until`.
pub(super) async fn cut_requests(world: &World, fault: &PlannedFault, until: Micros) {
    let set = |cuts: Option<RequestCuts>| {
        for sender in &fault.senders {
            world.senders[*sender as usize].request_cuts.set(cuts);
        }
    };
    set(Some(RequestCuts::of(fault)));
    world.wait_until(until).await;
    set(None);
}

/// Replaces the machines of senders, so that their state folders are lost.
pub(super) fn machine_lost(world: &World, fault: &PlannedFault) {
    for sender in &fault.senders {
        world.restart(
            *sender,
            StopMethod::Kill,
            Duration::from_micros(fault.downtime.0),
            FolderContent::Lost,
        );
    }
}

/// Kills senders during a write to their journals.
pub(super) fn kill_at_write(world: &World, fault: &PlannedFault) {
    for sender in &fault.senders {
        world.kill_at_write(*sender, fault.nth, fault.write_point, Duration::from_micros(fault.downtime.0));
    }
}

/// Fills the disks of senders until `until`.
pub(super) async fn disk_full(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        if !world.fleet.fill_disk(*sender, true) {
            world.recorder().not_played(fault);
            return;
        }
    }
    world.wait_until(until).await;
    for sender in &fault.senders {
        world.fleet.fill_disk(*sender, false);
    }
}

/// Makes syncs of the senders' disks fail, hang or have no effect until `until`.
pub(super) async fn disk_sync(world: &World, fault: &PlannedFault, until: Micros) {
    let behavior = match fault.kind {
        FaultKind::SyncFails => SyncBehavior::Fail,
        FaultKind::SyncHangs => SyncBehavior::Hang,
        _ => SyncBehavior::Ignore,
    };
    let set_all =
        |behavior| fault.senders.iter().all(|sender| world.fleet.set_sync_behavior(*sender, behavior));
    if !set_all(behavior) {
        world.recorder().not_played(fault);
        return;
    }
    world.wait_until(until).await;
    set_all(SyncBehavior::Succeed);
}

/// Makes system calls of senders fail until `until`.
pub(super) async fn system_calls(world: &World, fault: &PlannedFault, until: Micros) {
    let set_all =
        |fails| fault.senders.iter().all(|sender| world.fleet.set_system_fault(*sender, fault, fails));
    if !set_all(true) {
        world.recorder().not_played(fault);
        return;
    }
    world.wait_until(until).await;
    set_all(false);
}

/// Steps the wall clocks of senders.
pub(super) fn step_wall_clocks(world: &World, fault: &PlannedFault) {
    for sender in &fault.senders {
        if !world.fleet.set_system_fault(*sender, fault, true) {
            world.recorder().not_played(fault);
            return;
        }
    }
}

/// Applies a fault to the links between senders until `until`. Also cuts the senders' links to destinations
/// if the fault includes them.
pub(super) async fn peer_links(world: &World, fault: &PlannedFault, until: Micros) {
    world.link_faults.borrow_mut().begin_fault(fault);
    record(world, fault, true);
    if fault.cuts_destinations {
        cut_from_destinations(world, fault, true);
    }
    world.wait_until(until).await;
    if fault.cuts_destinations {
        cut_from_destinations(world, fault, false);
    }
    world.link_faults.borrow_mut().end_fault(fault);
    record(world, fault, false);
}

fn cut_from_destinations(world: &World, fault: &PlannedFault, cut: bool) {
    match world.fleet.links() {
        Some(links) => fault.senders.iter().for_each(|sender| links.set_sender_cut(*sender, cut)),
        None if cut => world.recorder().not_played(fault),
        None => {}
    }
}

/// Records the beginning or end of a fault in the history of each affected sender.
fn record(world: &World, fault: &PlannedFault, began: bool) {
    fault.senders.iter().for_each(|sender| world.record(*sender, HistoryEvent::Struck(began)));
}

/// Suspends the processes of senders until `until`.
pub(super) async fn pause(world: &World, fault: &PlannedFault, until: Micros) {
    for sender in &fault.senders {
        world.observe(Observation::Paused { sender: *sender, until });
    }
    set_paused(world, fault, true);
    world.wait_until(until).await;
    set_paused(world, fault, false);
}

fn set_paused(world: &World, fault: &PlannedFault, paused: bool) {
    for sender in &fault.senders {
        world.fleet.pause(*sender, paused);
        world.record(*sender, HistoryEvent::Struck(paused));
    }
}
