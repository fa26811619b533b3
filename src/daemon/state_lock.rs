//! A lock on the state folder, so that only one process of a sender works in it.
//!
//! Without the lock, a process that starts while another one is running but does not accept a handover
//! request would replay the same journal, and both processes would send the same messages. The lock is a
//! `flock` on a file in the folder: the system releases the lock when the process ends, even if it crashes.
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// The name of the lock file in the state folder. The file is empty.
const LOCK_FILE_NAME: &str = "lock";
/// The delay between two attempts to lock the folder.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The lock, held until the value is dropped. The lock belongs to the open file description: a process that
/// receives the descriptor holds the lock too.
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
    /// The folder is locked.
    Locked(StateLock),
    /// Another process holds the lock; the file can be tried again.
    HeldElsewhere(LockFile),
}

/// The open lock file of a folder, not locked by this process.
pub struct LockFile(File);

impl LockFile {
    /// Opens the lock file of a folder, and creates it if necessary.
    ///
    /// # Errors
    /// The file cannot be opened or created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        File::options().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE_NAME)).map(Self)
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
