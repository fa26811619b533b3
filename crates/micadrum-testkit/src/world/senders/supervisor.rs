//! The supervisor of one sender: carries out restarts, kills and power losses, one after another.
use super::{PowerRecovery, start};
use crate::history::HistoryEvent;
use crate::observation::Observation;
use crate::plan::SeededRng;
use crate::scenario::{FolderContent, StopMethod, WritePoint};
use crate::world::World;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};

/// SIGKILL follows SIGTERM after this.
const TERM_TO_KILL_DELAY: Duration = Duration::from_millis(3700);
/// A process that exited by itself is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// What the supervisor is to do with its sender.
pub(super) enum SenderCommand {
    Restart { how: StopMethod, down: Duration, folder: FolderContent },
    LosePower { recovery: PowerRecovery, folder: FolderContent },
    KillAtWrite { nth: u64, place: WritePoint, down: Duration },
}

/// How a sender is to be stopped, and what follows.
struct StopPlan {
    how: StopMethod,
    /// How long the sender stays down; `None` where it never comes back.
    down: Option<Duration>,
    folder: FolderContent,
    /// How far its clock is off after a power loss.
    clock_offset_us: Option<i64>,
}

impl StopPlan {
    fn power_loss(recovery: PowerRecovery, folder: FolderContent) -> Self {
        // A machine that never comes back takes what it held with it.
        let folder = if recovery.downtime.is_none() { FolderContent::Lost } else { folder };
        let clock_offset_us = Some(recovery.clock_offset_us);
        Self { how: StopMethod::Kill, down: recovery.downtime, folder, clock_offset_us }
    }

    fn restart(how: StopMethod, down: Duration, folder: FolderContent) -> Self {
        Self { how, down: Some(down), folder, clock_offset_us: None }
    }
}

/// The supervisor of one sender.
struct Supervisor {
    world: Rc<World>,
    sender: u32,
    restarts: u64,
    /// How long the sender stays down after the kill at a write that is pending.
    pending_kill: Option<Duration>,
}

/// Supervises a sender until the world ends or the sender does not come back.
pub(super) async fn supervise(world: Rc<World>, sender: u32, mut commands: UnboundedReceiver<SenderCommand>) {
    let mut supervisor = Supervisor { world: world.clone(), sender, restarts: 0, pending_kill: None };
    loop {
        let goes_on = tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => supervisor.carry_out(command).await,
                None => return,
            },
            clean = world.fleet.wait_for_exit(sender) => supervisor.handle_exit(clean).await,
        };
        if !goes_on {
            return;
        }
    }
}

impl Supervisor {
    /// Handles the exit of a process that nobody stopped, and returns whether the sender goes on.
    async fn handle_exit(&mut self, clean: bool) -> bool {
        let sender = self.sender;
        let expected = self.pending_kill.is_some();
        if expected {
            self.world.observe(Observation::ShutdownRequested { sender, killed: true });
        } else {
            eprintln!("sender {sender} ended by itself{}", if clean { "" } else { ", in disorder" });
        }
        self.record_exit(expected, FolderContent::Kept);
        let down = self.pending_kill.take().unwrap_or(RESTART_DELAY);
        self.restart_after(down).await
    }

    /// Carries out a command, and returns whether the sender goes on.
    async fn carry_out(&mut self, command: SenderCommand) -> bool {
        let plan = match command {
            SenderCommand::Restart { how, down, folder } => StopPlan::restart(how, down, folder),
            SenderCommand::LosePower { recovery, folder } => StopPlan::power_loss(recovery, folder),
            SenderCommand::KillAtWrite { nth, place, down } => {
                if self.world.fleet.kill_at_write(self.sender, nth, place) {
                    self.pending_kill = Some(down);
                    return true;
                }
                // Where writes cannot be counted the sender is killed at once.
                StopPlan::restart(StopMethod::Kill, down, FolderContent::Kept)
            }
        };
        let expected = self.stop(plan.how).await;
        self.record_exit(expected, plan.folder);
        if let Some(offset) = plan.clock_offset_us
            && !self.world.fleet.reboot(self.sender, offset)
        {
            let not_played = format!("the clock of sender {}, off by {offset} us", self.sender);
            self.world.recorder().not_played.push(not_played);
        }
        let Some(down) = plan.down else { return false };
        self.restart_after(down).await
    }

    /// Stops the process, and returns whether it ended as expected.
    async fn stop(&mut self, how: StopMethod) -> bool {
        let sender = self.sender;
        let fleet = self.world.fleet.clone();
        self.world.senders[sender as usize].is_accepting.set(false);
        let killed = how == StopMethod::Kill;
        self.world.observe(Observation::ShutdownRequested { sender, killed });
        if !killed {
            fleet.terminate(sender);
            if let Ok(clean) = timeout(TERM_TO_KILL_DELAY, fleet.wait_for_exit(sender)).await {
                return clean || self.pending_kill.take().is_some();
            }
        }
        fleet.kill(sender);
        fleet.wait_for_exit(sender).await;
        true
    }

    /// Starts the sender again after `down`, and returns whether that succeeds.
    async fn restart_after(&mut self, down: Duration) -> bool {
        sleep(down).await;
        self.restarts += 1;
        let started = start(&self.world, self.sender, self.restarts).await;
        if let Err(error) = &started {
            eprintln!("{error}");
        }
        started.is_ok()
    }

    /// Records the exit of the process, and puts the state folder into the condition that follows.
    fn record_exit(&self, expected: bool, folder: FolderContent) {
        let (world, sender) = (&*self.world, self.sender);
        let state = &world.senders[sender as usize];
        state.is_accepting.set(false);
        state.down_since.set(Some(world.now()));
        world.agents[sender as usize].reset_for_process(world.now());
        world.observe(Observation::Exited { sender, expected });
        world.record(sender, HistoryEvent::Ended);
        if world.plan.wipes_state_on_restart {
            world.fleet.wipe_state_folder(sender);
        }
        match folder {
            FolderContent::Kept => {}
            FolderContent::Synced => self.discard_unsynced(),
            FolderContent::Lost => self.lose_machine(),
            FolderContent::Older => {
                world.fleet.wipe_state_folder(sender);
                world.fleet.restore_state_folder(sender);
                self.record_machine_lost();
            }
        }
    }

    fn discard_unsynced(&self) {
        let (sender, now) = (self.sender, self.world.now());
        let seed_text = format!("power of {sender} at {now}");
        let mut random = SeededRng::new(self.world.plan.seed, &seed_text);
        self.world.fleet.discard_unsynced(sender, &mut random);
    }

    fn lose_machine(&self) {
        self.world.fleet.wipe_state_folder(self.sender);
        self.record_machine_lost();
    }

    fn record_machine_lost(&self) {
        let state = &self.world.senders[self.sender as usize];
        state.lost_machines.set(state.lost_machines.get() + 1);
        self.world.observe(Observation::MachineLost { sender: self.sender });
        self.world.messages.borrow_mut().complete_lost(self.sender);
    }
}
