//! How the stand-ins reach the network: simulated, or this machine's loopback.
use micadrum::daemon::ports::LocalFuture;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A connection of a stand-in.
pub trait TestConnection: AsyncRead + AsyncWrite + Unpin {
    /// Returns when the other side sent what was read last, or ended the connection; `None` where only the time of
    /// reading is known.
    fn sent_at(&self) -> Option<Instant>;

    /// Returns when the other side ended the connection, also where that is still on its way; `None` where only what has
    /// arrived can be known.
    fn closed_at(&self) -> Option<Instant>;

    /// Returns how long bytes that are written now take to the other side.
    fn delay(&self) -> std::time::Duration;

    /// Returns whether bytes that are written now reach the other side at all, as far as can be known.
    fn reaches_peer(&self) -> bool;
}

/// Accepts connections.
pub trait TestListener {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// Returns an error of the system.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>>;

    /// Returns the address of the listener.
    fn address(&self) -> SocketAddr;
}

/// The network as the stand-ins use it. Hosts are numbered by the world; a live network has only one.
pub trait TestNetwork {
    /// Connects from a stand-in's host.
    fn connect(&self, from: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>>;

    /// Listens on a stand-in's host; another port than `port` may be assigned.
    fn listen(&self, on: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn TestListener>>>;
}

/// A host of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// The machine of a sender, with its agent and its clients beside it.
    Sender(u32),
    /// The machine of an endpoint.
    Endpoint(u32),
}
