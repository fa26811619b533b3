//! The daemon's network port on the simulated network.
use super::datagrams::DatagramNetwork;
use super::network::SimNetwork;
use super::process::Process;
use crate::test_network::Host;
use micadrum::daemon::ports::{DatagramSocket, Listener, LocalFuture, Network, Stream};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Implements the daemon's [`Network`] for one process on the simulated network.
pub struct ProcessNetwork {
    /// The network for connections.
    pub network: Rc<SimNetwork>,
    /// The network for datagrams between senders.
    pub datagrams: Rc<DatagramNetwork>,
    /// The host that the process runs on.
    pub host: Host,
    /// The process. Once it is dead, its connections and sockets have no effect.
    pub process: Rc<Process>,
}

impl Network for ProcessNetwork {
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = self.network.connect_stream(self.host, self.process.clone(), to).await?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let listener = self.network.bind_listener(self.host, self.process.clone(), at.port())?;
            Ok(Box::new(listener) as Box<dyn Listener>)
        })
    }

    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn DatagramSocket>>> {
        Box::pin(async move { self.datagrams.bind(self.host, at, self.process.clone()) })
    }
}
