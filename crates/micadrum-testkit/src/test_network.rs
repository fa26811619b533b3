//! The network of the stand-ins for destinations, the platform and clients: simulated, or the loopback
//! interface.
use micadrum::daemon::ports::LocalFuture;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A connection of a stand-in.
pub trait TestConnection: AsyncRead + AsyncWrite + Unpin {
    /// Returns when the peer sent the bytes that were read last, or closed the connection; `None` if only the
    /// time of reading is known.
    fn sent_at(&self) -> Option<Instant>;

    /// Returns when the peer closed the connection, even if the close has not arrived yet; `None` if it did
    /// not, or the network does not know what has not arrived.
    fn closed_at(&self) -> Option<Instant>;

    /// Returns the time that bytes written now take to reach the peer.
    fn delay(&self) -> std::time::Duration;

    /// Returns whether bytes written now reach the peer, as far as the network knows.
    fn reaches_peer(&self) -> bool;
}

/// A listening socket of a stand-in.
pub trait TestListener {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// Returns the system's error if no connection can be accepted.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>>;

    /// Returns the address of the listener.
    fn address(&self) -> SocketAddr;
}

/// A network on which stand-ins connect and listen. On loopback all hosts have the same address.
pub trait TestNetwork {
    /// Connects from a stand-in on the host `from`.
    fn connect(&self, from: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>>;

    /// Listens on the host `on`. The assigned port may differ from `port`.
    fn listen(&self, on: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn TestListener>>>;
}

/// A host of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// The machine of a sender, on which its discovery agent and its clients run as well.
    Sender(u32),
    /// The machine of an endpoint.
    Endpoint(u32),
}
