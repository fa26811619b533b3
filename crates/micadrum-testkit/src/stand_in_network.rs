//! How the stand-ins reach the network: simulated, or this machine's loopback.
use micadrum::daemon::ports::LocalFuture;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A connection of a stand-in.
pub trait StandInConnection: AsyncRead + AsyncWrite + Unpin {
    /// When the other side sent what was read last, or ended the connection; none where only the time of
    /// reading is known.
    fn sent(&self) -> Option<Instant>;

    /// When the other side ended the connection, also where that is still on its way; none where only what has
    /// come can be known.
    fn ended_at(&self) -> Option<Instant>;

    /// How long what is written now takes to the other side.
    fn delay(&self) -> std::time::Duration;

    /// Whether what is written now comes to the other side at all, as far as can be known.
    fn arrives(&self) -> bool;
}

/// Takes connections.
pub trait StandInListener {
    /// The next connection.
    ///
    /// # Errors
    /// What the system says.
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>>;

    /// Where it listens.
    fn address(&self) -> SocketAddr;
}

/// The network as the stand-ins use it. Hosts are numbered by the world; a live network has only one.
pub trait StandInNetwork {
    /// Connects from a stand-in's host.
    fn connect(&self, from: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>>;

    /// Listens on a stand-in's host; `port` is a wish.
    fn listen(&self, on: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn StandInListener>>>;
}

/// A host of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// The machine of a sender, with its agent and its clients beside it.
    Sender(u32),
    /// The machine of an endpoint.
    Endpoint(u32),
}
