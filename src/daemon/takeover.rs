//! Startup of a process in the state folder, with or without a predecessor to take over from.
use super::StartError;
use super::environment::Environment;
use super::handover::{self, InheritedState, Predecessor, ReceivedListener, StartupMode};
use super::state_lock::{LockFile, StateLock};
use std::future::pending;
use std::os::fd::OwnedFd;
use tokio::task::spawn_local;

/// The resources that a process starts with in the state folder.
pub struct Takeover {
    /// The lock on the state folder, held until a successor has taken over or the process ends; `None` if the
    /// folder cannot be locked, or the predecessor keeps the lock until it exits.
    pub lock: Option<StateLock>,
    /// The listening socket of the predecessor.
    pub listener: Option<OwnedFd>,
    /// The state of the predecessor in addition to the journal.
    pub inheritance: Option<InheritedState>,
    /// The predecessor that waits for the confirmation.
    waiting_predecessor: Option<WaitingPredecessor>,
}

/// A predecessor that waits for the confirmation that this process has taken over.
struct WaitingPredecessor {
    predecessor: Predecessor,
    /// The lock file, if the predecessor keeps the lock until it exits.
    lock_file: Option<LockFile>,
}

impl Takeover {
    /// Locks the state folder, or takes over from the process that is running there.
    ///
    /// # Errors
    /// Another process is running, and the handover from it failed.
    pub async fn enter(environment: &Environment) -> Result<Self, StartError> {
        let Some(settings) = &environment.ports.handover else { return Ok(Self::alone(None)) };
        let entered = handover::start_up(&settings.folder, &*environment.ports.log).await;
        Ok(match entered? {
            StartupMode::Fresh(lock) => Self::alone(lock),
            StartupMode::Successor(received, lock_file) => Self::with_predecessor(received, lock_file),
        })
    }

    fn alone(lock: Option<StateLock>) -> Self {
        Self { lock, listener: None, inheritance: None, waiting_predecessor: None }
    }

    fn with_predecessor(received: ReceivedListener, lock_file: Option<LockFile>) -> Self {
        let ReceivedListener { predecessor, listener, lock, state: inheritance } = received;
        let lock_file = lock_file.filter(|_| lock.is_none());
        let waiting_predecessor = Some(WaitingPredecessor { predecessor, lock_file });
        Self { lock, listener: Some(listener), inheritance: Some(inheritance), waiting_predecessor }
    }

    /// Confirms to the predecessor that this process has taken over, and starts to request a reload of the
    /// configuration for each request that the predecessor forwards.
    pub async fn confirm(&mut self, environment: &Environment) {
        let (Some(waiting), Some(settings)) = (self.waiting_predecessor.take(), &environment.ports.handover)
        else {
            return;
        };
        environment.ports.log.line("handover: took over from the predecessor");
        let confirmed = waiting.predecessor.confirm().await;
        spawn_local(confirmed.follow_reloads(settings.request_reload.clone()));
        if let Some(lock_file) = waiting.lock_file {
            spawn_local(hold_lock_after_predecessor(lock_file));
        }
    }
}

/// Locks the state folder once the predecessor has exited, and holds the lock until this process ends.
async fn hold_lock_after_predecessor(lock_file: LockFile) {
    let _lock = lock_file.lock().await;
    pending::<()>().await;
}
