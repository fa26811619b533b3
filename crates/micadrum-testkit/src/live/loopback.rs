//! The loopback interface, as the network of a live run's stand-ins for destinations, the platform and
//! clients.
use crate::test_network::{Host, TestConnection, TestListener, TestNetwork};
use micadrum::daemon::ports::{Listener, LocalFuture, Network, Stream};
use micadrum::daemon::system::Tcp;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// The loopback interface, as a [`TestNetwork`] on which all hosts share one address.
pub struct Loopback;

struct LoopbackListener {
    listener: Box<dyn Listener>,
    address: SocketAddr,
}

/// The lowest port that is bound as requested; lower ports have a meaning only in simulated runs, and any
/// free port is bound instead.
const FIRST_ASSIGNED_PORT: u16 = 10_000;

impl TestNetwork for Loopback {
    fn connect(&self, _: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>> {
        Box::pin(async move { Ok(Box::new(Tcp.connect(to).await?) as Box<dyn TestConnection>) })
    }

    fn listen(&self, _: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn TestListener>>> {
        Box::pin(async move {
            // A listener gets a free port at first, and keeps it when it is opened again.
            let port = if port < FIRST_ASSIGNED_PORT { 0 } else { port };
            let listener = Tcp.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, port))).await?;
            let address = listener.local_addr()?;
            Ok(Box::new(LoopbackListener { listener, address }) as Box<dyn TestListener>)
        })
    }
}

impl TestListener for LoopbackListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>> {
        Box::pin(async move { Ok(Box::new(self.listener.accept().await?) as Box<dyn TestConnection>) })
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}

/// On a real connection only what has arrived is known.
impl TestConnection for Box<dyn Stream> {
    fn sent_at(&self) -> Option<Instant> {
        None
    }

    fn closed_at(&self) -> Option<Instant> {
        None
    }

    fn delay(&self) -> Duration {
        Duration::ZERO
    }

    fn reaches_peer(&self) -> bool {
        true
    }
}
