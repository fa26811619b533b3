//! How a process enters the state folder: alone, or by taking over from a predecessor.
use super::StartError;
use super::environment::Environment;
use super::handover::{self, InheritedState, Predecessor, ReceivedListener, StartupMode};
use super::state_lock::{StateLock, UnlockedState};
use std::future::pending;
use std::os::fd::OwnedFd;
use tokio::task::spawn_local;

/// What a process entered the state folder with.
pub struct Takeover {
    /// The lock on the state folder, held until a successor has taken over or the process ends; `None` where
    /// the folder takes no lock, or the predecessor keeps it to its end.
    pub lock: Option<StateLock>,
    /// The listening socket of the predecessor.
    pub listener: Option<OwnedFd>,
    /// What the predecessor left, beside the journal.
    pub inheritance: Option<InheritedState>,
    /// The link to a predecessor that has not heard yet that this process has taken over.
    link: Option<PredecessorLink>,
}

/// A predecessor that waits to hear that this process has taken over.
struct PredecessorLink {
    predecessor: Predecessor,
    /// The lock file, if the predecessor keeps the lock to its end.
    lock_file: Option<UnlockedState>,
}

impl Takeover {
    /// Enters the state folder, and asks the process at work there, if any, to hand over.
    ///
    /// # Errors
    /// A process is at work, and does not hand over.
    pub async fn enter(environment: &Environment) -> Result<Self, StartError> {
        let Some(settings) = &environment.ports.handover else { return Ok(Self::alone(None)) };
        let entered = handover::start_up(&settings.folder, &*environment.ports.log).await;
        Ok(match entered? {
            StartupMode::Fresh(lock) => Self::alone(lock),
            StartupMode::Successor(received, lock_file) => Self::with_predecessor(received, lock_file),
        })
    }

    fn alone(lock: Option<StateLock>) -> Self {
        Self { lock, listener: None, inheritance: None, link: None }
    }

    fn with_predecessor(received: ReceivedListener, lock_file: Option<UnlockedState>) -> Self {
        let ReceivedListener { predecessor, listener, lock, state: inheritance } = received;
        let lock_file = lock_file.filter(|_| lock.is_none());
        let link = Some(PredecessorLink { predecessor, lock_file });
        Self { lock, listener: Some(listener), inheritance: Some(inheritance), link }
    }

    /// Tells the predecessor that this process has taken over, and reads the configuration again whenever the
    /// predecessor passes on that it was told to.
    pub async fn confirm(&mut self, environment: &Environment) {
        let (Some(link), Some(settings)) = (self.link.take(), &environment.ports.handover) else { return };
        environment.ports.log.line("handover: took over from the predecessor");
        let follows = link.predecessor.confirm().await;
        spawn_local(follows.follow_reloads(settings.request_reload.clone()));
        if let Some(lock_file) = link.lock_file {
            spawn_local(hold_lock_after_predecessor(lock_file));
        }
    }
}

/// Locks the state folder once the predecessor has ended, and holds the lock as long as this process runs.
async fn hold_lock_after_predecessor(lock_file: UnlockedState) {
    let _lock = lock_file.lock().await;
    pending::<()>().await;
}
