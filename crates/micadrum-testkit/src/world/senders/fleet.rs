//! The interface to the senders' processes and the links between hosts, simulated or real.
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::Where;
use micadrum::daemon::ports::LocalFuture;
use serde_json::Value;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The operator's file of a sender, and the secret that it names.
pub struct OperatorFile {
    /// The text of the file.
    pub text: String,
    /// The secret.
    pub secret: [u8; 32],
}

/// Receives the lines of a sender's log.
pub type LogSink = Rc<dyn Fn(&str)>;

/// How a disk performs syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncBehavior {
    /// Syncs work.
    #[default]
    Succeed,
    /// Syncs fail, and later ones do not write either what was to be synced.
    Fail,
    /// Syncs do not end.
    Hang,
    /// Syncs report success, and do nothing.
    Ignore,
}

/// The processes of the senders: simulated, or real.
pub trait Fleet {
    /// Starts the process of a sender on this configuration, with its log going to `log`. Returns the address for
    /// clients.
    fn start(
        &self,
        sender: u32,
        config: Value,
        operator: Option<OperatorFile>,
        log: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>>;

    /// Returns the address at which `sender` reaches `other`, or at which it listens for peers where both are the same.
    fn peer_address(&self, sender: u32, other: u32) -> SocketAddr;

    /// Suspends or resumes the process of a sender.
    fn pause(&self, sender: u32, paused: bool);

    /// Returns the address for the senders' admin endpoints, if they are to have one.
    fn admin_address(&self) -> Option<SocketAddr>;

    /// Returns the status that the admin endpoint of a sender reports, or `None` where it cannot be reached.
    fn admin_status(&self, sender: u32) -> LocalFuture<'_, Option<String>>;

    /// Copies the state folder of a sender.
    fn save_state_folder(&self, sender: u32);

    /// Replaces the state folder of a sender by its copy.
    fn restore_state_folder(&self, sender: u32);

    /// Returns the address for clients that a sender's configuration names.
    fn listen_address(&self, sender: u32) -> SocketAddr;

    /// Sends SIGTERM.
    fn terminate(&self, sender: u32);

    /// Replaces the configuration and sends SIGHUP.
    fn reload(&self, sender: u32, config: Value);

    /// Sends SIGKILL.
    fn kill(&self, sender: u32);

    /// Waits until the process has ended, and returns whether it exited cleanly.
    fn wait_for_exit(&self, sender: u32) -> LocalFuture<'_, bool>;

    /// Discards what was not synced to the disk of a sender. Returns whether that is possible.
    fn discard_unsynced(&self, sender: u32, random: &mut SeededRng) -> bool;

    /// Reboots the machine of a sender with its clock off by this. Returns whether the clock can be set.
    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool;

    /// Empties the state folder of a sender.
    fn wipe_state_folder(&self, sender: u32);

    /// Kills a sender at a later write to its journal. Returns whether that is possible.
    fn kill_at_write(&self, sender: u32, nth: u64, place: Where) -> bool;

    /// Fills the disk of a sender, or frees it. Returns whether that is possible.
    fn fill_disk(&self, sender: u32, full: bool) -> bool;

    /// Sets how the disk of a sender performs syncs from now on. Returns whether that is possible.
    fn set_sync_behavior(&self, sender: u32, behavior: SyncBehavior) -> bool;

    /// Begins or ends a fault of the system calls of a sender; a step of the wall clock only begins. Returns whether that is
    /// possible.
    fn set_system_fault(&self, sender: u32, fault: &PlannedFault, fails: bool) -> bool;

    /// Returns the links between hosts, where faults can be applied to them.
    fn links(&self) -> Option<&dyn Links>;

    /// Returns an address at which nobody listens, where there is a better one than that of an unknown host.
    fn unused_address(&self) -> Option<SocketAddr>;
}

/// Faults of the links between hosts.
pub trait Links {
    /// Begins a fault of the links, which lasts until `until`.
    fn begin_fault(&self, fault: &PlannedFault, until: Instant);

    /// Ends a fault of the links.
    fn end_fault(&self, fault: &PlannedFault);

    /// Cuts the machine of an endpoint off, or reconnects it.
    fn set_endpoint_cut(&self, endpoint: u32, cut: bool);

    /// Cuts the machine of a sender off from destinations, or reconnects it.
    fn set_sender_cut(&self, sender: u32, cut: bool);
}

/// The exit of a process, once there is one.
#[derive(Default)]
pub struct ProcessExit {
    clean: Cell<Option<bool>>,
    changed: Notify,
}

impl ProcessExit {
    /// Records the exit of the process, and whether it was clean.
    pub fn set(&self, clean: bool) {
        self.clean.set(Some(clean));
        self.changed.notify_waiters();
    }

    /// Waits until the process has exited, and returns whether that was clean.
    pub async fn wait(&self) -> bool {
        loop {
            let changed = self.changed.notified();
            if let Some(clean) = self.clean.get() {
                return clean;
            }
            changed.await;
        }
    }
}
