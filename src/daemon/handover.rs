//! Handover: one process of a sender replaces another on the same machine without closing the listening
//! socket.
//!
//! # Protocol
//! 1. The new process (the successor) connects to a Unix socket in the state folder and sends a hello, which
//!    contains the protocol version.
//! 2. The running process (the predecessor) waits for its calls to end, closes the journal, and sends its
//!    listening socket, the lock on the folder and its [`InheritedState`].
//! 3. The successor opens the journal and the socket, and confirms. Until then the predecessor remains
//!    responsible: if the connection closes first, the successor has failed, and the predecessor continues.
//! 4. Until its last client connection has closed, the predecessor forwards reload requests to the successor.
//!
//! The messages are a wire format, because the two processes may run different versions of the program.
use super::checkpoint::Checkpoint;
use super::class_registry::NamedClass;
use super::ports::{Listener, Log};
use super::ready_stream::ReadyStream;
use super::state_lock::{LockAttempt, LockFile, StateLock};
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

/// The name of the Unix socket in the state folder.
const SOCKET_NAME: &str = "handover.sock";
/// The first message of a successor, with the protocol version.
const HELLO: &[u8; 19] = b"micadrum handover 2";
/// The successor's confirmation that it has taken over.
const CONFIRMED: u8 = b'T';
/// A request to reload the configuration that the predecessor forwards.
const RELOAD: u8 = b'R';
/// The delay before a failed attempt to take over, or to accept a successor, is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The delay before a successor asks again a process that refused to hand over.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time within which a successor has to send the hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// The time within which a predecessor has to hand over. Its calls take at most a second to end, and the
/// platform expects the successor to be ready within 6 s.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of an inherited state that a successor accepts.
const MAX_STATE_BYTES: u64 = 32 << 20;
/// The maximum number of descriptors in one message: the listening socket and the lock.
const MAX_DESCRIPTORS: usize = 2;

/// The state that a process hands over in addition to the journal. It is serialized by position: fields must
/// not be reordered.
#[derive(Default, Serialize, Deserialize)]
pub struct InheritedState {
    /// The state that a process also restores after a restart.
    pub checkpoint: Checkpoint,
    /// All classes that a pending message may have.
    pub classes: Vec<NamedClass>,
}

/// An error of taking over from a running process.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The running process accepted the connection, but did not hand over in time.
    #[error("the running process did not hand over within 5 s")]
    TimedOut,
    /// Another process holds the lock on the folder, and accepts no connection.
    #[error("another process is running in this folder, and did not answer within 5 s")]
    Locked,
    /// The connection to the running process failed.
    #[error("connection to the running process failed: {0}")]
    Connection(#[from] io::Error),
    /// The running process sent an invalid message.
    #[error("invalid message from the running process: {0}")]
    InvalidMessage(#[from] InvalidStateMessage),
}

/// The reason why the message of a predecessor is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidStateMessage {
    /// The message contains no descriptor.
    #[error("the listening socket is missing")]
    ListenerMissing,
    /// The state is larger than a successor accepts.
    #[error("the state exceeds {MAX_STATE_BYTES} bytes")]
    TooLong,
    /// The state cannot be deserialized.
    #[error(transparent)]
    Content(#[from] postcard::Error),
}

/// The connection to the predecessor before the confirmation.
pub struct Predecessor(ReadyStream<UnixStream>);

/// The connection to the predecessor after the confirmation, until the predecessor exits.
pub struct ConfirmedPredecessor(ReadyStream<UnixStream>);

/// The connection to the successor.
pub struct Successor(ReadyStream<UnixStream>);

/// Everything that a successor receives from its predecessor.
pub struct ReceivedListener {
    /// The connection for the confirmation.
    pub predecessor: Predecessor,
    /// The listening socket.
    pub listener: OwnedFd,
    /// The lock on the folder; `None` if the predecessor has no lock, or runs a version that does not send
    /// it.
    pub lock: Option<StateLock>,
    /// The state that the predecessor passes on.
    pub state: InheritedState,
}

/// The way in which a process starts.
pub enum StartupMode {
    /// No other process is running. The lock is `None` if the folder cannot be locked.
    Fresh(Option<StateLock>),
    /// Another process handed over. The lock file can be locked once that process has exited.
    Successor(ReceivedListener, Option<LockFile>),
}

/// Takes over from the process that runs in the folder, if there is one. Waits for a process that holds the
/// lock and does not hand over, because it is starting, exiting or handing over to another process.
///
/// # Errors
/// Another process is running, and the handover failed or timed out.
pub async fn start_up(folder: &Path, log: &dyn Log) -> Result<StartupMode, HandoverError> {
    let mut lock_file = LockFile::open(folder).map_err(|error| log_lock_error(&error, log)).ok();
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    loop {
        let retry_interval = match request_handover(folder).await? {
            HandoverReply::HandsOver(received) => return Ok(StartupMode::Successor(received, lock_file)),
            HandoverReply::Refused => REFUSED_RETRY_INTERVAL,
            HandoverReply::NoProcess => {
                let Some(unlocked) = lock_file else { return Ok(StartupMode::Fresh(None)) };
                match unlocked.try_lock() {
                    Ok(LockAttempt::Locked(lock)) => return Ok(StartupMode::Fresh(Some(lock))),
                    Ok(LockAttempt::HeldElsewhere(unlocked)) => lock_file = Some(unlocked),
                    Err(error) => {
                        log_lock_error(&error, log);
                        return Ok(StartupMode::Fresh(None));
                    }
                }
                RETRY_INTERVAL
            }
        };
        if Instant::now() >= deadline {
            return Err(HandoverError::Locked);
        }
        sleep(retry_interval).await;
    }
}

/// Logs that the folder cannot be locked. It is then used without a lock.
fn log_lock_error(error: &io::Error, log: &dyn Log) {
    log.line(&format!("state_lock: unavailable error={error}"));
}

/// The result of a request for a handover.
enum HandoverReply {
    /// No process accepts the connection.
    NoProcess,
    /// A process closed the connection without a reply: it is exiting, hands over to another process, or cannot
    /// hand over now.
    Refused,
    /// A process hands over.
    HandsOver(ReceivedListener),
}

/// Asks the process that runs in the folder to hand over.
async fn request_handover(folder: &Path) -> Result<HandoverReply, HandoverError> {
    // Connecting to a socket that an exited process left behind fails.
    let Ok(stream) = UnixStream::connect(folder.join(SOCKET_NAME)).await else {
        return Ok(HandoverReply::NoProcess);
    };
    let mut stream = ReadyStream(stream);
    if stream.write_all(HELLO).await.is_err() {
        return Ok(HandoverReply::Refused);
    }
    let received = timeout(HANDOVER_TIMEOUT, receive(stream)).await;
    received.map_err(|_| HandoverError::TimedOut)?
}

async fn receive(mut stream: ReadyStream<UnixStream>) -> Result<HandoverReply, HandoverError> {
    let mut length = [0; 8];
    let mut descriptors = Vec::new();
    let socket = &stream.0;
    let read = socket
        .async_io(Interest::READABLE, || receive_with_descriptors(socket, &mut length, &mut descriptors));
    match read.await {
        // An exiting process resets the connection if it has not read the hello.
        Ok(0) | Err(_) => return Ok(HandoverReply::Refused),
        // The descriptors arrive with the first byte; the other bytes may arrive later.
        Ok(bytes) => drop(stream.read_exact(&mut length[bytes..]).await?),
    }
    let mut descriptors = descriptors.into_iter();
    let listener = descriptors.next().ok_or(InvalidStateMessage::ListenerMissing)?;
    let lock = descriptors.next().map(StateLock::from);
    let length = u64::from_le_bytes(length);
    if length > MAX_STATE_BYTES {
        return Err(InvalidStateMessage::TooLong.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    let state = postcard::from_bytes(&bytes).map_err(InvalidStateMessage::from)?;
    let predecessor = Predecessor(stream);
    Ok(HandoverReply::HandsOver(ReceivedListener { predecessor, listener, lock, state }))
}

/// Reads into `buffer`, and appends the descriptors that arrive with the bytes to `descriptors`. Returns the
/// number of bytes read.
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
    /// Confirms the handover: this process is responsible from now on. A write error is ignored, because it
    /// means that the predecessor has exited.
    pub async fn confirm(mut self) -> ConfirmedPredecessor {
        let _ = self.0.write_all(&[CONFIRMED]).await;
        ConfirmedPredecessor(self.0)
    }
}

impl ConfirmedPredecessor {
    /// Calls `reload` at once, because the predecessor may have received a reload request during the
    /// handover; for each request that the predecessor forwards; and when the predecessor exits, because its
    /// last request may be lost.
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
    /// The connection failed, or the listener has no descriptor that can be sent.
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

    /// Waits for the successor's confirmation. Returns false if the successor exits without one.
    pub async fn wait_for_confirmation(&mut self) -> bool {
        let mut message = [0];
        self.0.read_exact(&mut message).await.is_ok() && message[0] == CONFIRMED
    }

    /// Forwards a request to reload the configuration. A write error is ignored, because it means that the
    /// successor has exited.
    pub async fn forward_reload(&mut self) {
        let _ = self.0.write_all(&[RELOAD]).await;
    }
}

/// Listens for successors until the process exits, and calls `on_request` with each of them. If the socket
/// cannot be created, an error is logged and handover is unavailable.
pub async fn listen(folder: PathBuf, on_request: impl Fn(Successor), log: Rc<dyn Log>) {
    let path = folder.join(SOCKET_NAME);
    // The socket of an earlier process would make `bind` fail.
    let _ = std::fs::remove_file(&path);
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => return log.line(&format!("handover: unavailable file={SOCKET_NAME} error={error}")),
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
            log.line("handover: connection rejected reason=invalid_hello");
        }
    }
}
