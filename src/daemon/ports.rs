//! What the daemon needs of the machine: wall clock, network, the folder that lasts, and a log.
//!
//! The daemon reads none of them directly, so that a simulated world can stand in for all four. Monotonic time
//! is the tokio clock's, which a simulation pauses; random numbers come from the seed in the configuration.
use micadrum_recovery::Boot;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// A future that stays on its thread, as all of the daemon does.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The clock that all machines share.
pub trait WallClock {
    /// Time since the Unix epoch.
    fn now(&self) -> Duration;
}

/// An open connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// Whether nothing has come that was not read yet, neither bytes nor the end; asked of the system itself,
    /// as the runtime learns it later.
    ///
    /// # Errors
    /// `ConnectionAborted` if something has come, or what is wrong with the connection.
    fn is_fresh(&self) -> io::Result<()>;
}

/// A listening socket.
pub trait Listener {
    /// The next connection.
    ///
    /// # Errors
    /// What the system says, such as that there are no descriptors left; the listener stays usable.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Where it listens.
    ///
    /// # Errors
    /// What the system says.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// The system's own, where there is one that another process can take up.
    fn as_fd(&self) -> Option<BorrowedFd<'_>> {
        None
    }
}

/// A socket for datagrams. What cannot be sent now is lost, as on any link.
pub trait Datagrams {
    /// Sends one.
    ///
    /// # Errors
    /// What the system says, such as that there is no room.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;

    /// The next one: its length in `buffer`, which cuts off what is longer.
    ///
    /// # Errors
    /// What the system says; the socket stays usable.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>>;

    /// Where it is bound.
    ///
    /// # Errors
    /// What the system says.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// TCP and UDP, or what stands in for them.
pub trait Network {
    /// Connects; gives up only when dropped, or when the peer or the system says no.
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Listens at an address; port 0 asks for a free one.
    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>>;

    /// Binds a socket for datagrams; port 0 asks for a free one.
    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Datagrams>>>;

    /// Takes up a listening socket of another process.
    ///
    /// # Errors
    /// `Unsupported` where there is no such thing, or what the system says.
    fn adopt(&self, _listener: OwnedFd) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// A file that is only written at its end.
pub trait AppendFile {
    /// Writes all of `bytes` at the end.
    ///
    /// # Errors
    /// What the system says; some of the bytes may then stand at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Lets what was written so far outlast the machine; off the loop, and not bound to this handle.
    ///
    /// # Errors
    /// What the system says: nothing that was not synced before counts as written then, and a second try says nothing.
    fn sync(&self) -> LocalFuture<'static, io::Result<()>>;

    /// The same at once, while everything else waits.
    ///
    /// # Errors
    /// As [`AppendFile::sync`].
    fn sync_now(&mut self) -> io::Result<()>;

    /// Cuts the file down to `length` bytes.
    ///
    /// # Errors
    /// What the system says.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// The folder that outlasts the process, its files by name.
pub trait Storage {
    /// All of a file; none if there is none.
    ///
    /// # Errors
    /// What the system says.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file to write on at its end; begins an empty one if there is none.
    ///
    /// # Errors
    /// What the system says.
    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Begins a file anew, empty.
    ///
    /// # Errors
    /// What the system says.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Puts a file in another's place, in one step.
    ///
    /// # Errors
    /// What the system says; both files are then as before.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Lets files that were created, renamed or removed be so also after the machine's end.
    ///
    /// # Errors
    /// What the system says.
    fn sync_names(&self) -> io::Result<()>;

    /// Removes a file; there need not be one.
    ///
    /// # Errors
    /// What the system says.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// Lines for people on call.
pub trait Log {
    /// Writes one.
    fn line(&self, text: &str);
}

/// All of the above, as one process of the daemon gets them.
#[derive(Clone)]
pub struct Ports {
    /// Wall time.
    pub wall: Rc<dyn WallClock>,
    /// Connections.
    pub network: Rc<dyn Network>,
    /// The folder that lasts.
    pub storage: Rc<dyn Storage>,
    /// The log.
    pub log: Rc<dyn Log>,
    /// How processes of one sender follow each other, where they can.
    pub handover: Option<HandoverConfig>,
    /// What is to be told of in the log beside what people read.
    pub traces: Traces,
    /// Which run of the machine this is; none where it does not say, or nobody asks.
    pub boot: Option<Boot>,
    /// Chance of this process alone: no two processes have the same, also under one configuration.
    pub entropy: [u8; 32],
}

/// How processes of one sender follow each other on one machine.
#[derive(Clone)]
pub struct HandoverConfig {
    /// The folder in which they find each other.
    pub folder: PathBuf,
    /// Has the configuration read again, which [`super::Signal::Reread`] then brings: whoever told the process before to
    /// read it told this one.
    pub reread: Rc<dyn Fn()>,
}

/// What is told of in the log for programs to count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traces {
    /// A line a call.
    pub calls: bool,
    /// A line a change of what is believed of peers.
    pub peers: bool,
    /// What is trusted after a restart, and a line a stage of the return.
    pub recovery: bool,
    /// A line a file that is begun, synced or renamed.
    pub storage: bool,
}

impl Traces {
    /// Reads their names, between commas; those that are not known are none.
    #[must_use]
    pub fn named(names: &str) -> Self {
        let named = |name: &str| names.split(',').any(|named| named.trim() == name);
        Self {
            calls: named("calls"),
            peers: named("peers"),
            recovery: named("recovery"),
            storage: named("storage"),
        }
    }
}
