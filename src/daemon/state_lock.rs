//! One process at work in a folder: a lock on a file in it, which the system takes back with the process, however that ends.
//!
//! A process that starts while another is at work, and not yet or no more to be asked for its place, would take up the same
//! journal: each would send what the other sends.
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// The file's name in the folder that lasts; it stays empty.
const NAME: &str = "lock";
/// Between two looks at a lock that another holds.
const LOOK: Duration = Duration::from_millis(20);

/// The lock, for as long as this is kept. It is of the open file, not of the process: who is given that holds it too.
pub struct StateLock(File);

impl AsFd for StateLock {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl From<OwnedFd> for StateLock {
    fn from(given: OwnedFd) -> Self {
        Self(given.into())
    }
}

/// A file that can be locked.
pub struct UnlockedState(File);

impl UnlockedState {
    /// That of a folder.
    ///
    /// # Errors
    /// The folder takes no file.
    pub fn in_folder(folder: &Path) -> io::Result<Self> {
        File::options().create(true).truncate(false).write(true).open(folder.join(NAME)).map(Self)
    }

    /// The lock, if nobody holds it; else the file again.
    ///
    /// # Errors
    /// The system locks no files there.
    pub fn lock(self) -> io::Result<Result<StateLock, Self>> {
        match flock(&self.0, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Ok(StateLock(self.0))),
            Err(Errno::WOULDBLOCK) => Ok(Err(self)),
            Err(e) => Err(e.into()),
        }
    }

    /// The lock, once nobody holds it any more.
    ///
    /// # Errors
    /// The system locks no files there.
    pub async fn locked(mut self) -> io::Result<StateLock> {
        loop {
            match self.lock()? {
                Ok(lock) => return Ok(lock),
                Err(held) => self = held,
            }
            sleep(LOOK).await;
        }
    }
}
