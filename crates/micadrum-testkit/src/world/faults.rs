//! Lets the plan's faults begin and end.
use super::model::Condition;
use super::senders::{PowerBack, Syncs};
use super::{World, endpoints, platform};
use crate::history::What;
use crate::observation::{At, Seen};
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::{FaultKind, FolderKept, How};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A draining endpoint is gone after this, and another stands in its place after as long again.
const DRAINS: Duration = Duration::from_secs(6);

/// Sets off all faults of the plan, each at its time after `begun`.
pub(super) fn play(world: &Rc<World>, begun: At) {
    for fault in world.plan.faults.clone() {
        let world = world.clone();
        spawn_local(async move {
            world.until(begun + fault.from.0).await;
            strike(&world, &fault, begun).await;
        });
    }
}

/// Whether the world can play it here; the report names what was not played.
fn applies(kind: FaultKind, world: &World) -> bool {
    match kind {
        FaultKind::LinkDelay | FaultKind::LinkHold | FaultKind::LinkDrop => world.fleet.links().is_some(),
        _ => true,
    }
}

/// Strikes what senders say to each other.
async fn between_senders(world: &Rc<World>, fault: &PlannedFault, until: At) {
    let record = |began| fault.senders.iter().for_each(|sender| world.record(*sender, What::Struck(began)));
    let from_partners = |cut| match world.fleet.links() {
        Some(links) => fault.senders.iter().for_each(|sender| links.cut_sender(*sender, cut)),
        None if cut => world.recorder().not_played(fault),
        None => {}
    };
    world.ground.borrow_mut().strike(fault);
    record(true);
    if fault.from_partners {
        from_partners(true);
    }
    world.until(until).await;
    if fault.from_partners {
        from_partners(false);
    }
    world.ground.borrow_mut().relieve(fault);
    record(false);
}

/// Lets senders stand still.
async fn pause(world: &Rc<World>, fault: &PlannedFault, until: At) {
    let each = |paused| {
        for sender in &fault.senders {
            world.fleet.pause(*sender, paused);
            world.record(*sender, What::Struck(paused));
        }
    };
    fault.senders.iter().for_each(|sender| world.saw(Seen::Paused { sender: *sender, until }));
    each(true);
    world.until(until).await;
    each(false);
}

async fn strike(world: &Rc<World>, fault: &PlannedFault, begun: At) {
    if !applies(fault.kind, world) {
        world.recorder().not_played(fault);
        return;
    }
    let until = begun + fault.until.0;
    match fault.kind {
        FaultKind::Restart => return restart(world, fault).await,
        FaultKind::PowerLoss => {
            let mut dice = SeededRng::new(world.plan.seed, &format!("power back after {}", fault.from));
            for sender in &fault.senders {
                let away = fault.until.0 - fault.from.0 + (dice.unit() * fault.back.0 as f64) as u64;
                let off = match fault.clock.0 {
                    0 => 0,
                    most => ((dice.unit() * 2.0 - 1.0) * most as f64) as i64,
                };
                let power = PowerBack {
                    after: (!fault.never.contains(sender)).then_some(Duration::from_micros(away)),
                    off,
                };
                world.lose_power(*sender, power, fault.folder);
            }
            // The partners' machines in the same place.
            let theirs = PlannedFault { kind: FaultKind::Die, ..fault.clone() };
            change(world, &theirs, |condition| set(condition, &theirs, begun));
            world.until(until).await;
            change(world, &theirs, |condition| unset(condition, &theirs));
        }
        FaultKind::MachineLost => {
            for sender in &fault.senders {
                let down = Duration::from_micros(fault.down.0);
                world.restart(*sender, How::Kill, down, FolderKept::Lost);
            }
        }
        FaultKind::KillAtWrite => {
            for sender in &fault.senders {
                world.kill_at_write(*sender, fault.nth, fault.place, Duration::from_micros(fault.down.0));
            }
        }
        FaultKind::DiskFull => {
            for sender in &fault.senders {
                if !world.fleet.fill_disk(*sender, true) {
                    world.recorder().not_played(fault);
                    return;
                }
            }
            world.until(until).await;
            for sender in &fault.senders {
                world.fleet.fill_disk(*sender, false);
            }
        }
        FaultKind::SyncFails | FaultKind::SyncHangs | FaultKind::SyncLies => {
            let syncs = |syncs| fault.senders.iter().all(|sender| world.fleet.set_syncs(*sender, syncs));
            let how = match fault.kind {
                FaultKind::SyncFails => Syncs::Fail,
                FaultKind::SyncHangs => Syncs::Hang,
                _ => Syncs::Lie,
            };
            if !syncs(how) {
                world.recorder().not_played(fault);
                return;
            }
            world.until(until).await;
            syncs(Syncs::Work);
        }
        FaultKind::Deaf | FaultKind::ListSilent => {
            for sender in &fault.senders {
                let agent = &world.agents[*sender as usize];
                let quiet =
                    if fault.kind == FaultKind::Deaf { &agent.deaf_until } else { &agent.silent_until };
                quiet.set(quiet.get().max(until));
                if fault.kind == FaultKind::Deaf {
                    world.saw(Seen::Deaf { sender: *sender, until });
                }
            }
        }
        FaultKind::ListLag => {
            let lag = Duration::from_micros(fault.delay.0);
            world.list_lag.set(world.list_lag.get() + lag);
            world.until(until).await;
            world.list_lag.set(world.list_lag.get().saturating_sub(lag));
        }
        FaultKind::LinkDelay | FaultKind::LinkHold | FaultKind::LinkDrop => {
            if let Some(net) = world.fleet.links() {
                net.strike(fault, world.start + Duration::from_micros(until));
                world.until(until).await;
                net.relieve(fault);
            }
        }
        FaultKind::Cut | FaultKind::Slow | FaultKind::Lose | FaultKind::Break => {
            between_senders(world, fault, until).await
        }
        FaultKind::Pause => pause(world, fault, until).await,
        FaultKind::DeadHosts => {
            let mut dice = SeededRng::new(world.plan.seed, &format!("ghosts {}", fault.from));
            let named: Vec<_> = (fault.endpoints.iter())
                .map(|n| (world.endpoints.borrow()[*n as usize].partner, format!("g-{}", &dice.id()[..8])))
                .collect();
            world.ghosts.borrow_mut().extend(named.iter().cloned());
            platform::publish(world);
            world.until(until).await;
            world.ghosts.borrow_mut().retain(|ghost| !named.contains(ghost));
            platform::publish(world);
        }
        FaultKind::Move => {
            for endpoint in &fault.endpoints {
                world.endpoints.borrow_mut()[*endpoint as usize].place += 1;
                if let Err(e) = endpoints::open(world, *endpoint as usize).await {
                    eprintln!("endpoint {endpoint}: {e}");
                }
            }
            world.changed.notify_waiters();
            platform::publish(world);
        }
        FaultKind::Rename => {
            for endpoint in &fault.endpoints {
                rename(world, *endpoint);
            }
            platform::publish(world);
        }
        FaultKind::Drain => drain(world, fault).await,
        FaultKind::MoveDiscovery => {
            for sender in &fault.senders {
                if let Err(e) = platform::move_agent(world, *sender).await {
                    eprintln!("agent of sender {sender}: {e}");
                }
            }
        }
        FaultKind::LimitFalls => {
            let limit = |share| {
                for endpoint in &fault.endpoints {
                    let partner = world.endpoints.borrow()[*endpoint as usize].partner as usize;
                    let mut partners = world.partners.borrow_mut();
                    let line = partners[partner].line(*endpoint);
                    partners[partner].set_limit(line, share);
                }
            };
            limit(fault.calls);
            world.until(until).await;
            limit(1.0);
        }
        _ => {
            change(world, fault, |condition| set(condition, fault, begun));
            world.until(until).await;
            change(world, fault, |condition| unset(condition, fault));
        }
    }
}

fn set(condition: &mut Condition, fault: &PlannedFault, begun: At) {
    match fault.kind {
        FaultKind::Hang => condition.hang = true,
        FaultKind::Late => condition.late = fault.delay.0,
        FaultKind::Stall => condition.stall = Some((fault.pause.0, fault.every.0, begun + fault.from.0)),
        FaultKind::Shut => condition.shut_until = Some(begun + fault.until.0),
        FaultKind::Full => condition.full = fault.calls,
        FaultKind::Errors => condition.errors = fault.calls,
        FaultKind::Spoil => condition.spoil = fault.calls,
        FaultKind::Reset => condition.reset = fault.calls,
        FaultKind::Vanish => condition.vanished = true,
        FaultKind::Die => condition.dead = true,
        _ => {}
    }
}

fn unset(condition: &mut Condition, fault: &PlannedFault) {
    let calm = Condition::default();
    match fault.kind {
        FaultKind::Hang => condition.hang = calm.hang,
        FaultKind::Late => condition.late = calm.late,
        FaultKind::Stall => condition.stall = calm.stall,
        FaultKind::Shut => condition.shut_until = calm.shut_until,
        FaultKind::Full => condition.full = calm.full,
        FaultKind::Errors => condition.errors = calm.errors,
        FaultKind::Spoil => condition.spoil = calm.spoil,
        FaultKind::Reset => condition.reset = calm.reset,
        FaultKind::Vanish => condition.vanished = calm.vanished,
        FaultKind::Die => condition.dead = calm.dead,
        _ => {}
    }
}

/// Changes the condition of all endpoints that are struck; lines whose outage begins or ends by it are noted.
fn change(world: &Rc<World>, fault: &PlannedFault, how: impl Fn(&mut Condition)) {
    let now = world.now();
    for endpoint in &fault.endpoints {
        let mut endpoints = world.endpoints.borrow_mut();
        let at = &mut endpoints[*endpoint as usize];
        how(&mut at.condition);
        let (line, partner, vanished) = (at.line, at.partner as usize, at.condition.vanished);
        // A line is out while all of its endpoints are.
        let outage = endpoints.iter().filter(|e| e.line == line).all(|e| e.condition.is_outage());
        drop(endpoints);
        if let Some(net) = world.fleet.links() {
            net.cut(*endpoint, vanished);
        }
        let mut partners = world.partners.borrow_mut();
        let within = partners[partner].line(*endpoint);
        if partners[partner].set_outage(within, outage, now) {
            drop(partners);
            world.saw(Seen::Outage { line, began: outage });
        }
    }
    world.changed.notify_waiters();
}

fn rename(world: &World, endpoint: u32) {
    let mut endpoints = world.endpoints.borrow_mut();
    let at = &mut endpoints[endpoint as usize];
    let mut dice = SeededRng::new(world.plan.seed, &format!("id after {}", at.id));
    at.before = Some((at.id.clone(), at.line));
    at.id = format!("s-{}", &dice.id()[..8]);
    if world.plan.partners[at.partner as usize].kind.routes_apart() {
        // Another route: what the one before had told does not bind it.
        at.line = world.next_line.get();
        world.next_line.set(at.line + 1);
    }
}

/// Endpoints drain, go, and others stand at their addresses.
async fn drain(world: &Rc<World>, fault: &PlannedFault) {
    let each = |f: &dyn Fn(&mut super::EndpointState)| {
        let mut endpoints = world.endpoints.borrow_mut();
        for endpoint in &fault.endpoints {
            f(&mut endpoints[*endpoint as usize]);
        }
    };
    each(&|at| at.phase = "DRAINING");
    platform::publish(world);
    sleep(DRAINS).await;
    each(&|at| at.phase = "DELETED");
    change(world, fault, |condition| (condition.dead, condition.drained) = (true, true));
    platform::publish(world);
    sleep(DRAINS).await;
    for endpoint in &fault.endpoints {
        rename(world, *endpoint);
    }
    for endpoint in &fault.endpoints {
        let endpoints = world.endpoints.borrow();
        let at = &endpoints[*endpoint as usize];
        let mut of_line = endpoints.iter().filter(|e| e.line == at.line);
        if of_line.all(|e| fault.endpoints.contains(&e.number)) {
            let mut partners = world.partners.borrow_mut();
            let within = partners[at.partner as usize].line(*endpoint);
            partners[at.partner as usize].replaced(within);
        }
    }
    each(&|at| at.phase = "SERVING");
    change(world, fault, |condition| (condition.dead, condition.drained) = (false, false));
    platform::publish(world);
}

/// Restarts senders in batches.
async fn restart(world: &Rc<World>, fault: &PlannedFault) {
    for (n, batch) in fault.senders.chunks(fault.batch.clamp(1, fault.senders.len().max(1))).enumerate() {
        if n > 0 {
            sleep(Duration::from_micros(fault.every.0)).await;
        }
        for sender in batch {
            world.restart(*sender, fault.how, Duration::from_micros(fault.down.0), fault.folder);
        }
    }
}
