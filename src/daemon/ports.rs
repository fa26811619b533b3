//! What the daemon needs of the machine: wall clock, network, the state folder and a log.
//!
//! The daemon uses none of them directly, so that a simulation can replace all four. Monotonic time is that of the tokio
//! clock, which a simulation pauses; random numbers come from the seed in the configuration.
use micadrum_recovery::BootId;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// A future that stays on its thread, as the whole daemon does.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The clocks of a machine: the one that all machines share, as far as they are synchronised, and one that is never set.
pub trait WallClock {
    /// Returns the time since the Unix epoch. The clock may be stepped at any time.
    fn now(&self) -> Duration;

    /// Returns the time since some moment that stays the same for all processes of one boot of the machine.
    fn monotonic(&self) -> Duration;
}

/// An open connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// Checks that nothing has arrived that was not read yet, neither bytes nor the end of the stream. The system itself is
    /// asked, as the runtime learns of it later.
    ///
    /// # Errors
    /// `ConnectionAborted` if something has arrived, or what is wrong with the connection.
    fn check_no_unread_input(&self) -> io::Result<()>;
}

/// A listening socket.
pub trait Listener {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// The error of the system, such as no descriptors left; the listener stays usable.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Returns the address that the socket listens at.
    ///
    /// # Errors
    /// The error of the system.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// Returns the descriptor of the system, where there is one that another process can take over.
    fn as_fd(&self) -> Option<BorrowedFd<'_>> {
        None
    }
}

/// A datagram socket. A datagram that cannot be sent now is lost, as on any link.
pub trait DatagramSocket {
    /// Sends a datagram.
    ///
    /// # Errors
    /// The error of the system, such as a full buffer.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// Receives the next datagram into `buffer`, which truncates a longer one; returns its length.
    ///
    /// # Errors
    /// The error of the system; the socket stays usable.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>>;

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// The error of the system.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// TCP and UDP, or a simulation of them.
pub trait Network {
    /// Connects; gives up only when dropped, or when the peer or the system refuses.
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Listens at an address; port 0 asks for a free one.
    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>>;

    /// Binds a datagram socket; port 0 asks for a free one.
    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn DatagramSocket>>>;

    /// Takes over a listening socket of another process.
    ///
    /// # Errors
    /// `Unsupported` where that is not possible, or the error of the system.
    fn adopt(&self, _listener: OwnedFd) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// An append-only file.
pub trait AppendFile {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// The error of the system; some of the bytes may have been appended.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes what was written so far durable; off the event loop, and not bound to this handle.
    ///
    /// # Errors
    /// The error of the system. Nothing that was not durable before counts as written then, and a second attempt proves
    /// nothing.
    fn sync(&self) -> LocalFuture<'static, io::Result<()>>;

    /// Makes what was written so far durable at once, while everything else waits.
    ///
    /// # Errors
    /// As [`AppendFile::sync`].
    fn sync_now(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// The error of the system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// The state folder, its files by name.
pub trait Storage {
    /// Reads a complete file; none if there is none.
    ///
    /// # Errors
    /// The error of the system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file for appending; creates an empty one if there is none.
    ///
    /// # Errors
    /// The error of the system.
    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Creates an empty file, in place of one that may exist.
    ///
    /// # Errors
    /// The error of the system.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Atomically replaces a file by another.
    ///
    /// # Errors
    /// The error of the system; both files are then as before.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// The error of the system.
    fn sync_directory(&self) -> io::Result<()>;

    /// Removes a file, if there is one.
    ///
    /// # Errors
    /// The error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// The log for people on call.
pub trait Log {
    /// Writes a line.
    fn line(&self, text: &str);
}

/// All ports, as one process of the daemon gets them.
#[derive(Clone)]
pub struct Ports {
    /// The clocks of the machine.
    pub wall: Rc<dyn WallClock>,
    /// The network.
    pub network: Rc<dyn Network>,
    /// The state folder.
    pub storage: Rc<dyn Storage>,
    /// The log.
    pub log: Rc<dyn Log>,
    /// How one process of the sender hands over to the next, where that is possible.
    pub handover: Option<HandoverConfig>,
    /// Which traces are written to the log.
    pub traces: Traces,
    /// The boot of the machine; none where the system does not name it, or nobody asks.
    pub boot: Option<BootId>,
    /// Random bytes of this process alone: no two processes have the same, also under one configuration.
    pub entropy: [u8; 32],
}

/// How one process of the sender hands over to the next on one machine.
#[derive(Clone)]
pub struct HandoverConfig {
    /// The folder in which the processes find each other.
    pub folder: PathBuf,
    /// Has the configuration read again, which [`super::Signal::ReloadIfChanged`] then brings: a SIGHUP that went to the
    /// predecessor is meant for this process.
    pub request_reload: Rc<dyn Fn()>,
}

/// Which lines for programs are written to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traces {
    /// A line for each call.
    pub calls: bool,
    /// A line for each change in the view of members.
    pub peers: bool,
    /// What is trusted after a restart, and a line for each phase of the recovery.
    pub recovery: bool,
    /// A line for each file that is created, synced or renamed.
    pub storage: bool,
}

impl Traces {
    /// Parses names separated by commas; unknown names are ignored.
    #[must_use]
    pub fn parse(names: &str) -> Self {
        let named = |name: &str| names.split(',').any(|named| named.trim() == name);
        Self {
            calls: named("calls"),
            peers: named("peers"),
            recovery: named("recovery"),
            storage: named("storage"),
        }
    }
}
