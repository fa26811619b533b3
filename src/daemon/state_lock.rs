//! A lock on the state folder, so that only one process of a sender works in it.
//!
//! A process that starts while another one is running, and cannot be asked for a handover yet or any more, would replay the
//! same journal, and both would send the same messages. The lock is a `flock` on a file in the folder: the system releases
//! the lock when the process ends, however that happens.
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// The file's name in the state folder; the file stays empty.
const NAME: &str = "lock";
/// How often a lock that another process holds is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The lock, held until the value is dropped. The lock belongs to the open file and not to the process: a process that is
/// given the descriptor holds the lock too.
pub struct StateLock(File);

impl AsFd for StateLock {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl From<OwnedFd> for StateLock {
    fn from(descriptor: OwnedFd) -> Self {
        Self(descriptor.into())
    }
}

/// The result of trying to lock the folder.
pub enum LockAttempt {
    Locked(StateLock),
    /// Another process holds the lock; the file can be tried again.
    HeldElsewhere(UnlockedState),
}

/// The open lock file of a folder, not locked by this process.
pub struct UnlockedState(File);

impl UnlockedState {
    /// Opens the lock file of a folder, and creates it if necessary.
    ///
    /// # Errors
    /// The file cannot be opened or created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        File::options().create(true).truncate(false).write(true).open(folder.join(NAME)).map(Self)
    }

    /// Locks the folder unless another process holds the lock.
    ///
    /// # Errors
    /// The system cannot lock files there.
    pub fn try_lock(self) -> io::Result<LockAttempt> {
        match flock(&self.0, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(LockAttempt::Locked(StateLock(self.0))),
            Err(Errno::WOULDBLOCK) => Ok(LockAttempt::HeldElsewhere(self)),
            Err(error) => Err(error.into()),
        }
    }

    /// Locks the folder once no other process holds the lock.
    ///
    /// # Errors
    /// The system cannot lock files there.
    pub async fn lock(mut self) -> io::Result<StateLock> {
        loop {
            match self.try_lock()? {
                LockAttempt::Locked(lock) => return Ok(lock),
                LockAttempt::HeldElsewhere(unlocked) => self = unlocked,
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}
