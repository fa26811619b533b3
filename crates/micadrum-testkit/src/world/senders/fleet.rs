//! The interfaces to the senders' processes and to the links between hosts, each simulated or real.
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::WritePoint;
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
    /// The contents of the file.
    pub text: String,
    /// The contents of the secret file that the operator's file names.
    pub secret: [u8; 32],
}

/// Receives the lines of a sender's log.
pub type LogSink = Rc<dyn Fn(&str)>;

/// How a disk performs syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncBehavior {
    /// Syncs make the written data durable.
    #[default]
    Succeed,
    /// Syncs fail, and later syncs do not write the affected data either.
    Fail,
    /// Syncs do not return.
    Hang,
    /// Syncs report success without writing anything.
    Ignore,
}

/// The processes and machines of the senders, simulated or real.
pub trait Fleet {
    /// Starts the process of a sender with the given configuration, and passes each line of its log to `log`.
    /// Returns the address for clients.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    fn start(
        &self,
        sender: u32,
        config: Value,
        operator: Option<OperatorFile>,
        log: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>>;

    /// Returns the address at which `sender` reaches `other`. If both are the same sender, returns the
    /// address at which it listens for peers.
    fn peer_address(&self, sender: u32, other: u32) -> SocketAddr;

    /// Suspends the process of a sender if `paused` is true, and resumes it otherwise.
    fn pause(&self, sender: u32, paused: bool);

    /// Returns the listen address for the senders' admin endpoints, or `None` if the senders run without
    /// them.
    fn admin_address(&self) -> Option<SocketAddr>;

    /// Returns the status that the admin endpoint of a sender reports, or `None` if it cannot be reached.
    fn admin_status(&self, sender: u32) -> LocalFuture<'_, Option<String>>;

    /// Saves a copy of a sender's state folder.
    fn save_state_folder(&self, sender: u32);

    /// Replaces the state folder of a sender with the saved copy.
    fn restore_state_folder(&self, sender: u32);

    /// Returns the address for clients to put into a sender's configuration.
    fn listen_address(&self, sender: u32) -> SocketAddr;

    /// Sends SIGTERM to the process of a sender.
    fn terminate(&self, sender: u32);

    /// Replaces the configuration of a sender and sends SIGHUP to its process.
    fn reload(&self, sender: u32, config: Value);

    /// Sends SIGKILL to the process of a sender.
    fn kill(&self, sender: u32);

    /// Waits until the process of a sender has exited. Returns whether it exited cleanly.
    fn wait_for_exit(&self, sender: u32) -> LocalFuture<'_, bool>;

    /// Discards the writes that were not synced to the disk of a sender. Returns false if the fleet does not
    /// support this.
    fn discard_unsynced(&self, sender: u32, random: &mut SeededRng) -> bool;

    /// Reboots the machine of a sender, and sets its clock off by `clock_offset_us` microseconds. Returns
    /// whether the clock has the offset.
    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool;

    /// Deletes the contents of a sender's state folder.
    fn wipe_state_folder(&self, sender: u32);

    /// Schedules the kill of a sender at the `nth` write to its journal from now on. Returns false if the
    /// fleet does not support this.
    fn kill_at_write(&self, sender: u32, nth: u64, place: WritePoint) -> bool;

    /// Fills the disk of a sender if `full` is true, and frees it otherwise. Returns false if the fleet does
    /// not support this.
    fn fill_disk(&self, sender: u32, full: bool) -> bool;

    /// Sets how the disk of a sender performs syncs from now on. Returns false if the fleet does not support
    /// this.
    fn set_sync_behavior(&self, sender: u32, behavior: SyncBehavior) -> bool;

    /// Begins a fault of a sender's system calls if `fails` is true, and ends it otherwise. A step of the
    /// wall clock has no end. Returns false if the fleet does not support this.
    fn set_system_fault(&self, sender: u32, fault: &PlannedFault, fails: bool) -> bool;

    /// Returns the links between hosts, or `None` if the fleet cannot apply faults to them.
    fn links(&self) -> Option<&dyn Links>;

    /// Returns an address that refuses connections, or `None` if the address of an unknown host is to be
    /// used.
    fn unused_address(&self) -> Option<SocketAddr>;
}

/// Faults of the links between hosts.
pub trait Links {
    /// Begins a fault of the links that is to end at `until`.
    fn begin_fault(&self, fault: &PlannedFault, until: Instant);

    /// Ends a fault of the links.
    fn end_fault(&self, fault: &PlannedFault);

    /// Disconnects the machine of an endpoint if `cut` is true, and reconnects it otherwise.
    fn set_endpoint_cut(&self, endpoint: u32, cut: bool);

    /// Disconnects the machine of a sender from all destinations if `cut` is true, and reconnects it
    /// otherwise.
    fn set_sender_cut(&self, sender: u32, cut: bool);
}

/// The exit status of a process, which can be awaited.
#[derive(Default)]
pub struct ProcessExit {
    clean: Cell<Option<bool>>,
    changed: Notify,
}

impl ProcessExit {
    /// Records that the process has exited, and wakes all waiters.
    pub fn set(&self, clean: bool) {
        self.clean.set(Some(clean));
        self.changed.notify_waiters();
    }

    /// Waits until the process has exited. Returns whether it exited cleanly.
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
