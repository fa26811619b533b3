//! How one process of a sender gives its place to the next on the same machine: over a Unix socket in the folder that
//! lasts, with the listening socket itself, the list, and what the module learned of partners.
//!
//! The next process asks. The one at work settles, closes the journal, and gives what it has. Until the other says
//! that it has taken it, the place is still its own: if the link ends first, the other has ended, and it goes on.
use super::checkpoint::Checkpoint;
use super::class_registry::NamedClass;
use super::ports::{Listener, Log};
use super::state_lock::{StateLock, UnlockedState};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{Instant, sleep, timeout};

/// The socket's name in the folder that lasts.
const NAME: &str = "handover.sock";
/// What a successor says first. The number is the version of all that follows.
const HELLO: &[u8; 19] = b"micadrum handover 2";
/// What it says once the place is its own.
const TAKEN: u8 = b'T';
/// What the process before says to it from then on: it was told to read its configuration again.
const RELOAD: u8 = b'R';
/// Between two looks at a process that is about to begin or to end.
const LOOK: Duration = Duration::from_millis(20);
/// A link that says nothing for so long at its start is none.
const HELLO_PATIENCE: Duration = Duration::from_millis(500);
/// The process at work settles within a second; the platform gives the next one 6 s to be ready.
const PATIENCE: Duration = Duration::from_secs(5);
/// No inheritance is longer, in bytes.
const MOST: u64 = 32 << 20;

/// What one process leaves to the next, beside the journal.
#[derive(Default, Serialize, Deserialize)]
pub struct InheritedState {
    /// What it heard and learned, as it would leave it to a process after a restart.
    pub checkpoint: Checkpoint,
    /// All classes that its messages may be of.
    pub classes: Vec<NamedClass>,
}

/// Why a place could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The process at work did not give it.
    #[error("the process at work did not give up its place within 5 s")]
    Late,
    /// One holds the folder, and cannot be asked.
    #[error("another process is at work in this folder, and did not answer within 5 s")]
    Held,
    /// The link broke.
    #[error("the link to the process at work: {0}")]
    Link(#[from] io::Error),
    /// What came cannot be read.
    #[error("what the process at work left cannot be read: {0}")]
    Unreadable(String),
}

/// The link to the process whose place is taken.
pub struct Predecessor(UnixStream);

/// The same once its place is this one's, for as long as it runs.
pub struct Follows(UnixStream);

/// The link to the process that takes this one's place.
pub struct Successor(UnixStream);

/// What the next process starts with.
pub struct ReceivedListener {
    /// The link, until the place is its own.
    pub predecessor: Predecessor,
    /// The listening socket.
    pub listener: OwnedFd,
    /// The lock on the folder; none from a process that had none, or of a version that keeps it.
    pub lock: Option<StateLock>,
    /// And the rest.
    pub inheritance: InheritedState,
}

/// How a process comes to its place.
pub enum StartupMode {
    /// Nobody is at work in the folder; none where it takes no lock.
    Fresh(Option<StateLock>),
    /// From the process at work, and the lock once that has ended.
    Successor(ReceivedListener, Option<UnlockedState>),
}

/// Takes the place of the process at work in that folder, or begins alone if there is none. One that is about to begin or
/// to end is waited for.
///
/// # Errors
/// One is at work, and does not give its place up.
pub async fn enter(folder: &Path, log: &dyn Log) -> Result<StartupMode, HandoverError> {
    let mut file = UnlockedState::in_folder(folder).map_err(|e| unlocked(&e, log)).ok();
    let late = Instant::now() + PATIENCE;
    loop {
        if let Some(taken) = ask(folder).await? {
            return Ok(StartupMode::Successor(taken, file));
        }
        let Some(free) = file else { return Ok(StartupMode::Fresh(None)) };
        match free.lock() {
            Ok(Ok(lock)) => return Ok(StartupMode::Fresh(Some(lock))),
            Ok(Err(held)) => file = Some(held),
            Err(e) => {
                unlocked(&e, log);
                return Ok(StartupMode::Fresh(None));
            }
        }
        if Instant::now() >= late {
            return Err(HandoverError::Held);
        }
        sleep(LOOK).await;
    }
}

/// A folder that cannot be locked costs only this.
fn unlocked(error: &io::Error, log: &dyn Log) {
    log.line(&format!("no lock guards the folder against a second process: {error}"));
}

/// Asks for the place of the process at work in that folder; none if there is none.
async fn ask(folder: &Path) -> Result<Option<ReceivedListener>, HandoverError> {
    // A socket that nobody listens at was left by a process that ended.
    let Ok(mut stream) = UnixStream::connect(folder.join(NAME)).await else { return Ok(None) };
    stream.write_all(HELLO).await?;
    let given = timeout(PATIENCE, receive(&mut stream)).await.map_err(|_| HandoverError::Late)?;
    let (listener, lock, inheritance) = given?;
    Ok(Some(ReceivedListener { predecessor: Predecessor(stream), listener, lock, inheritance }))
}

async fn receive(
    stream: &mut UnixStream,
) -> Result<(OwnedFd, Option<StateLock>, InheritedState), HandoverError> {
    let unreadable = |what: &str| HandoverError::Unreadable(what.to_owned());
    let mut length = [0; 8];
    let mut given = Vec::new();
    let read = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let into = &mut [IoSliceMut::new(&mut length)];
        let read = recvmsg(&*stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                given.extend(fds);
            }
        }
        Ok(read)
    });
    if read.await? != length.len() {
        return Err(unreadable("its length"));
    }
    let mut given = given.into_iter();
    let fd = given.next().ok_or_else(|| unreadable("the listening socket"))?;
    let lock = given.next().map(StateLock::from);
    let length = Some(u64::from_le_bytes(length)).filter(|length| *length <= MOST);
    let mut bytes = vec![0; length.ok_or_else(|| unreadable("a length beyond all bounds"))? as usize];
    stream.read_exact(&mut bytes).await?;
    let inheritance = postcard::from_bytes(&bytes).map_err(|e| HandoverError::Unreadable(e.to_string()))?;
    Ok((fd, lock, inheritance))
}

impl Predecessor {
    /// From now on the place is this process's. One that has ended meanwhile need not hear it.
    pub async fn taken(mut self) -> Follows {
        let _ = self.0.write_all(&[TAKEN]).await;
        Follows(self.0)
    }
}

impl Follows {
    /// Has the configuration read again: now, as the process before may have been told to while it gave its place up, at
    /// each such word that it passes on, and at its end, with which the last word may have been lost.
    pub async fn reloads(mut self, reread: Rc<dyn Fn()>) {
        reread();
        let mut word = [0];
        while self.0.read_exact(&mut word).await.is_ok() {
            if word[0] == RELOAD {
                reread();
            }
        }
        reread();
    }
}

impl Successor {
    /// Gives what there is.
    ///
    /// # Errors
    /// The link is broken, or the listener is none that can be given.
    pub async fn give(
        &mut self,
        listener: &dyn Listener,
        lock: Option<&StateLock>,
        inheritance: &InheritedState,
    ) -> io::Result<()> {
        let bytes = postcard::to_allocvec(inheritance).map_err(io::Error::other)?;
        let length = (bytes.len() as u64).to_le_bytes();
        let fd = listener.as_fd().ok_or(io::ErrorKind::Unsupported)?;
        let sent = self.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            // One of an earlier version takes the first and leaves the rest.
            let fds: Vec<_> = [fd].into_iter().chain(lock.map(AsFd::as_fd)).collect();
            if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            Ok(sendmsg(&self.0, &[IoSlice::new(&length)], &mut control, SendFlags::NOSIGNAL)?)
        });
        if sent.await? != length.len() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.0.write_all(&bytes).await
    }

    /// Passes on that this process was told to read its configuration again. One that has ended need not hear it.
    pub async fn reload(&mut self) {
        let _ = self.0.write_all(&[RELOAD]).await;
    }

    /// Waits until the place is the other's; false if the other has ended instead.
    pub async fn taken(&mut self) -> bool {
        let mut word = [0];
        self.0.read_exact(&mut word).await.is_ok() && word[0] == TAKEN
    }
}

/// Listens for the next process for as long as this one runs, and says when one has `asked` for its place; a folder that
/// takes no socket costs only this.
pub async fn listen(folder: PathBuf, asked: impl Fn(Successor), log: Rc<dyn Log>) {
    let path = folder.join(NAME);
    // That of an earlier process: nobody listens there any more.
    let _ = std::fs::remove_file(&path);
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(e) => return log.line(&format!("no handover to a next process: {NAME}: {e}")),
    };
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            sleep(HELLO_PATIENCE).await;
            continue;
        };
        let mut hello = [0; HELLO.len()];
        let heard = timeout(HELLO_PATIENCE, stream.read_exact(&mut hello)).await;
        if heard.is_ok_and(|read| read.is_ok()) && hello == *HELLO {
            asked(Successor(stream));
        } else {
            log.line("handover: a caller that is no micadrum of this version was turned away");
        }
    }
}
