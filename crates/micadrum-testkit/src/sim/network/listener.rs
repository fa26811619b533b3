//! Listening sockets and their queues of connections.
use super::SimNetwork;
use super::stream::SimStream;
use crate::sim::process::Process;
use crate::test_network::{TestConnection, TestListener};
use micadrum::daemon::ports::{Listener, LocalFuture, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// The established connections that a listener has not accepted yet.
#[derive(Default)]
pub(super) struct AcceptQueue {
    pub(super) connections: RefCell<VecDeque<SimStream>>,
    pub(super) arrived: Notify,
}

/// A listening socket.
pub struct SimListener {
    pub(super) network: Weak<SimNetwork>,
    pub(super) address: SocketAddr,
    pub(super) queue: Rc<AcceptQueue>,
    pub(super) process: Rc<Process>,
}

impl SimListener {
    async fn next(&self) -> SimStream {
        loop {
            if let Some(mut stream) = self.queue.connections.borrow_mut().pop_front() {
                stream.process = self.process.clone();
                return stream;
            }
            self.queue.arrived.notified().await;
        }
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        if let Some(network) = self.network.upgrade() {
            network.listeners.borrow_mut().remove(&self.address);
        }
    }
}

impl Listener for SimListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move { Ok(Box::new(self.next().await) as Box<dyn Stream>) })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

impl TestListener for SimListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>> {
        Box::pin(async move { Ok(Box::new(self.next().await) as Box<dyn TestConnection>) })
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}
