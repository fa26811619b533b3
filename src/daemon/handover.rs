//! Handover: how one process of a sender replaces another on the same machine without closing its listening socket.
//!
//! # Protocol
//! 1. The new process (the successor) connects to a Unix socket in the state folder and sends a hello, whose number is the
//!    version of all that follows.
//! 2. The running process (the predecessor) settles its calls, closes the journal, and sends its listening socket, the lock on
//!    the folder and its [`InheritedState`].
//! 3. The successor opens the journal and the socket, and confirms. Until then the predecessor remains responsible: if
//!    the link ends first, the successor has failed, and the predecessor continues.
//! 4. While it finishes its own connections, the predecessor forwards requests to reload the configuration.
//!
//! The messages are a wire format between two versions of this program.
use super::checkpoint::Checkpoint;
use super::class_registry::NamedClass;
use super::ports::{Listener, Log};
use super::ready_stream::ReadyStream;
use super::state_lock::{LockAttempt, StateLock, UnlockedState};
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

/// The socket's name in the state folder.
const NAME: &str = "handover.sock";
/// The first message of a successor.
const HELLO: &[u8; 19] = b"micadrum handover 2";
/// The successor's confirmation.
const CONFIRMED: u8 = b'T';
/// A request to reload the configuration, which the predecessor received and forwards.
const RELOAD: u8 = b'R';
/// How often a process that is about to start or to end is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A connection is closed that does not send the hello within this time.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// The predecessor settles within a second; the platform gives the successor 6 s to become ready.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// A successor rejects a longer inherited state.
const MAX_STATE_BYTES: u64 = 32 << 20;
/// Descriptors in one message: the listening socket and the lock.
const MAX_DESCRIPTORS: usize = 2;

/// What one process leaves to the next, beside the journal. Sent by position: fields must not be reordered.
#[derive(Default, Serialize, Deserialize)]
pub struct InheritedState {
    /// What the process would also leave to a process after a restart.
    pub checkpoint: Checkpoint,
    /// All classes that a pending message may have.
    pub classes: Vec<NamedClass>,
}

/// Why a process could not take over.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The running process answered the request, and did not hand over in time.
    #[error("the running process did not hand over within 5 s")]
    Late,
    /// Another process holds the lock on the folder, and does not accept the request.
    #[error("another process is running in this folder, and did not answer within 5 s")]
    Held,
    /// The link to the running process broke.
    #[error("the link to the running process: {0}")]
    Link(#[from] io::Error),
    /// The running process sent something that cannot be read.
    #[error("the state of the running process cannot be read: {0}")]
    Unreadable(#[from] UnreadableState),
}

/// Which part of a handover cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum UnreadableState {
    /// The length of the state is incomplete.
    #[error("its length")]
    Length,
    /// The message has no descriptor.
    #[error("the listening socket")]
    ListenerMissing,
    /// The state is longer than a successor accepts.
    #[error("a length beyond all bounds")]
    TooLong,
    /// The state cannot be deserialized.
    #[error(transparent)]
    Content(#[from] postcard::Error),
}

/// The link to the predecessor, before this process has confirmed.
pub struct Predecessor(ReadyStream<UnixStream>);

/// The link to the predecessor after that, for as long as the predecessor runs.
pub struct ConfirmedPredecessor(ReadyStream<UnixStream>);

/// The link to the successor.
pub struct Successor(ReadyStream<UnixStream>);

/// What a successor starts with.
pub struct ReceivedListener {
    /// The link on which to confirm.
    pub predecessor: Predecessor,
    /// The listening socket.
    pub listener: OwnedFd,
    /// The lock on the folder; none from a predecessor that has none, or of a version that does not send it.
    pub lock: Option<StateLock>,
    /// The predecessor's state.
    pub state: InheritedState,
}

/// How a process starts.
pub enum StartupMode {
    /// No other process is running. Without a lock if the folder cannot be locked.
    Fresh(Option<StateLock>),
    /// Another process handed over. The file is for the lock, which is free once that process has ended.
    Successor(ReceivedListener, Option<UnlockedState>),
}

/// Takes over from the process that runs in the folder, or finds that there is none. A process that is about to start or to
/// end is waited for.
///
/// # Errors
/// Another process is running and does not hand over.
pub async fn start_up(folder: &Path, log: &dyn Log) -> Result<StartupMode, HandoverError> {
    let mut lock_file = UnlockedState::open(folder).map_err(|error| log_unlocked(&error, log)).ok();
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    loop {
        if let Some(received) = request_handover(folder).await? {
            return Ok(StartupMode::Successor(received, lock_file));
        }
        let Some(unlocked) = lock_file else { return Ok(StartupMode::Fresh(None)) };
        match unlocked.try_lock() {
            Ok(LockAttempt::Locked(lock)) => return Ok(StartupMode::Fresh(Some(lock))),
            Ok(LockAttempt::HeldElsewhere(unlocked)) => lock_file = Some(unlocked),
            Err(error) => {
                log_unlocked(&error, log);
                return Ok(StartupMode::Fresh(None));
            }
        }
        if Instant::now() >= deadline {
            return Err(HandoverError::Held);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// A folder that cannot be locked is used without a lock.
fn log_unlocked(error: &io::Error, log: &dyn Log) {
    log.line(&format!("state_lock: unavailable error={error}"));
}

/// Asks the process that runs in the folder to hand over; none if no process runs there.
async fn request_handover(folder: &Path) -> Result<Option<ReceivedListener>, HandoverError> {
    // A socket on which nobody listens was left by a process that ended.
    let Ok(stream) = UnixStream::connect(folder.join(NAME)).await else { return Ok(None) };
    let mut stream = ReadyStream(stream);
    stream.write_all(HELLO).await?;
    let received = timeout(HANDOVER_TIMEOUT, receive(stream)).await;
    received.map_err(|_| HandoverError::Late)?.map(Some)
}

async fn receive(mut stream: ReadyStream<UnixStream>) -> Result<ReceivedListener, HandoverError> {
    let mut length = [0; 8];
    let mut descriptors = Vec::new();
    let socket = &stream.0;
    let read = socket
        .async_io(Interest::READABLE, || receive_with_descriptors(socket, &mut length, &mut descriptors));
    match read.await? {
        0 => return Err(UnreadableState::Length.into()),
        // The descriptors come with the first byte; the other bytes may come later.
        bytes => drop(stream.read_exact(&mut length[bytes..]).await?),
    }
    let mut descriptors = descriptors.into_iter();
    let listener = descriptors.next().ok_or(UnreadableState::ListenerMissing)?;
    let lock = descriptors.next().map(StateLock::from);
    let length = u64::from_le_bytes(length);
    if length > MAX_STATE_BYTES {
        return Err(UnreadableState::TooLong.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    let state = postcard::from_bytes(&bytes).map_err(UnreadableState::from)?;
    Ok(ReceivedListener { predecessor: Predecessor(stream), listener, lock, state })
}

/// Reads into `buffer`, and adds the descriptors that come with the bytes. Returns the number of bytes.
fn receive_with_descriptors(
    stream: &UnixStream,
    buffer: &mut [u8],
    descriptors: &mut Vec<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let buffers = &mut [IoSliceMut::new(buffer)];
    let read = recvmsg(stream, buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    Ok(read)
}

impl Predecessor {
    /// Confirms the handover: this process is responsible from now on. A predecessor that has ended meanwhile need not know.
    pub async fn confirm(mut self) -> ConfirmedPredecessor {
        let _ = self.0.write_all(&[CONFIRMED]).await;
        ConfirmedPredecessor(self.0)
    }
}

impl ConfirmedPredecessor {
    /// Calls `reload` now, as the predecessor may have been told to reload during the handover; at each request that the
    /// predecessor forwards; and at the predecessor's end, with which the last request may have been lost.
    pub async fn follow_reloads(mut self, reload: Rc<dyn Fn()>) {
        reload();
        let mut message = [0];
        while self.0.read_exact(&mut message).await.is_ok() {
            if message[0] == RELOAD {
                reload();
            }
        }
        reload();
    }
}

impl Successor {
    /// Sends the listening socket, the lock and the state.
    ///
    /// # Errors
    /// The link is broken, or the listener has no descriptor that can be sent.
    pub async fn hand_over(
        &mut self,
        listener: &dyn Listener,
        lock: Option<&StateLock>,
        state: &InheritedState,
    ) -> io::Result<()> {
        let bytes = postcard::to_allocvec(state).map_err(io::Error::other)?;
        let length = (bytes.len() as u64).to_le_bytes();
        let listener = listener.as_fd().ok_or(io::ErrorKind::Unsupported)?;
        let sent = self.0.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            // A successor of an earlier version takes the first descriptor and ignores the second.
            let descriptors: Vec<_> = [listener].into_iter().chain(lock.map(AsFd::as_fd)).collect();
            if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            Ok(sendmsg(&self.0.0, &[IoSlice::new(&length)], &mut control, SendFlags::NOSIGNAL)?)
        });
        let sent = sent.await?;
        self.0.write_all(&length[sent..]).await?;
        self.0.write_all(&bytes).await
    }

    /// Waits for the successor's confirmation, and returns whether it came: if not, the successor has ended.
    pub async fn wait_for_confirmation(&mut self) -> bool {
        let mut message = [0];
        self.0.read_exact(&mut message).await.is_ok() && message[0] == CONFIRMED
    }

    /// Forwards a request to reload the configuration. A successor that has ended need not know.
    pub async fn forward_reload(&mut self) {
        let _ = self.0.write_all(&[RELOAD]).await;
    }
}

/// Listens for successors for as long as this process runs, and calls `on_request` with each. If the folder takes no socket,
/// the only consequence is that there is no handover.
pub async fn listen(folder: PathBuf, on_request: impl Fn(Successor), log: Rc<dyn Log>) {
    let path = folder.join(NAME);
    // A socket of an earlier process, on which nobody listens any more.
    let _ = std::fs::remove_file(&path);
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => return log.line(&format!("handover: unavailable file={NAME} error={error}")),
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let mut stream = ReadyStream(stream);
        let mut hello = [0; HELLO.len()];
        let read = timeout(HELLO_TIMEOUT, stream.read_exact(&mut hello)).await;
        if read.is_ok_and(|read| read.is_ok()) && hello == *HELLO {
            on_request(Successor(stream));
        } else {
            log.line("handover: rejected a caller reason=unknown_hello");
        }
    }
}
