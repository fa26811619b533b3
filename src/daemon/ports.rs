//! The interfaces through which the daemon uses the machine: clocks, network, state folder and log.
//!
//! A simulation replaces all of them. Monotonic time within a process comes from tokio's clock, which a
//! simulation pauses; random numbers come from the seed in the configuration.
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

/// A boxed future that is not `Send`, because the daemon runs on one thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The clocks of a machine: the real-time clock, which is synchronized between machines, and the monotonic
/// clock.
pub trait WallClock {
    /// Returns the time since the Unix epoch. The clock may be stepped at any time.
    fn now(&self) -> Duration;

    /// Returns the time since an arbitrary moment, which is the same for all processes during one boot of the
    /// machine.
    fn monotonic(&self) -> Duration;
}

/// An open connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// Checks that there is no unread input, neither bytes nor the end of the stream. Queries the system,
    /// because the runtime is notified of input later.
    ///
    /// # Errors
    /// `ConnectionAborted` if there is unread input, or the error of the connection.
    fn check_no_unread_input(&self) -> io::Result<()>;

    /// Returns whether the peer is known to have closed the connection, or at least its sending side. Queries
    /// the system. If there is unread input, only a reset is known. False if this stream cannot tell.
    fn has_peer_closed(&self) -> bool {
        false
    }

    /// Makes the connection end with a reset when it is dropped, so that the peer can tell that nobody waits for
    /// its response. No effect if this stream has no resets.
    fn reset_on_close(&self) {}
}

/// A listening socket.
pub trait Listener {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// The error of the system, such as a lack of file descriptors; the listener remains usable.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Returns the local address of the socket.
    ///
    /// # Errors
    /// The error of the system.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// Returns the file descriptor, which can be sent to another process; `None` if the listener has none.
    fn as_fd(&self) -> Option<BorrowedFd<'_>> {
        None
    }
}

/// A datagram socket. A datagram that cannot be sent at once is dropped.
pub trait DatagramSocket {
    /// Sends a datagram.
    ///
    /// # Errors
    /// The error of the system, such as a full buffer.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// Receives the next datagram into `buffer` and returns the number of bytes. A datagram longer than the
    /// buffer is truncated.
    ///
    /// # Errors
    /// The error of the system; the socket remains usable.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>>;

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// The error of the system.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// TCP and UDP, or a simulation of them.
pub trait Network {
    /// Connects to an address. There is no timeout: dropping the future cancels the attempt.
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Opens a listening socket at an address; port 0 selects a free port.
    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>>;

    /// Binds a datagram socket to an address; port 0 selects a free port.
    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn DatagramSocket>>>;

    /// Takes over a listening socket of another process.
    ///
    /// # Errors
    /// `Unsupported` if this network cannot do that, or the error of the system.
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

    /// Makes everything written so far durable. The future does not block the event loop, and does not borrow
    /// the file.
    ///
    /// # Errors
    /// The error of the system. Data that was not durable before has to be treated as not written, even if a
    /// later sync succeeds.
    fn sync(&self) -> LocalFuture<'static, io::Result<()>>;

    /// Makes everything written so far durable. Blocks the event loop until then.
    ///
    /// # Errors
    /// As for [`AppendFile::sync`].
    fn sync_now(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// The error of the system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// The state folder, with files identified by name.
pub trait Storage {
    /// Reads a complete file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// The error of the system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    /// The error of the system.
    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// The error of the system.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Atomically renames a file, and replaces the file `to` if it exists.
    ///
    /// # Errors
    /// The error of the system; both files are then unchanged.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// The error of the system.
    fn sync_directory(&self) -> io::Result<()>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// The error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// The log for operators.
pub trait Log {
    /// Writes `text` as one line.
    fn line(&self, text: &str);
}

/// All ports of one daemon process.
#[derive(Clone)]
pub struct Ports {
    /// The clocks of the machine.
    pub wall: Rc<dyn WallClock>,
    /// Opens connections and sockets.
    pub network: Rc<dyn Network>,
    /// The state folder.
    pub storage: Rc<dyn Storage>,
    /// The log for operators.
    pub log: Rc<dyn Log>,
    /// The settings of the handover to the next process; `None` disables handover.
    pub handover: Option<HandoverConfig>,
    /// Which traces are written to the log.
    pub traces: Traces,
    /// The current boot of the machine; `None` if the system does not identify boots, or no enabled feature
    /// needs it.
    pub boot: Option<BootId>,
    /// Random bytes that differ between any two processes, even with the same configuration.
    pub entropy: [u8; 32],
}

/// The settings of the handover from one process of the sender to the next on the same machine.
#[derive(Clone)]
pub struct HandoverConfig {
    /// The folder of the handover socket and the lock file.
    pub folder: PathBuf,
    /// Requests that the configuration be read again and sent as [`super::Signal::ReloadIfChanged`]. Called
    /// when a SIGHUP may have been sent to the predecessor instead of this process.
    pub request_reload: Rc<dyn Fn()>,
}

/// The kinds of trace lines that are written to the log. Trace lines are read by programs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traces {
    /// A line for each call, connection attempt, endpoint list, and accepted or undelivered message.
    pub calls: bool,
    /// A line for each change of the view of the fleet members.
    pub peers: bool,
    /// A line for what the recovery trusts after a restart, and for each of its phases.
    pub recovery: bool,
    /// A line for each file that is created, synced or renamed.
    pub storage: bool,
    /// A line for each request to an endpoint, response, closed connection and refused message.
    pub requests: bool,
}

impl Traces {
    /// Parses a comma-separated list of names. Unknown names are ignored.
    #[must_use]
    pub fn parse(names: &str) -> Self {
        let named = |name: &str| names.split(',').any(|named| named.trim() == name);
        Self {
            calls: named("calls"),
            peers: named("peers"),
            recovery: named("recovery"),
            storage: named("storage"),
            requests: named("requests"),
        }
    }
}
