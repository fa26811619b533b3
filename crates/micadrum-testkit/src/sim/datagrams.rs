//! Datagrams between simulated senders, subject to link faults.
use super::process::Process;
use crate::link_faults::LinkFaults;
use crate::test_network::Host;
use micadrum::daemon::ports::{DatagramSocket, LocalFuture};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Capacity of a socket's receive queue. Further datagrams are dropped, as by the kernel.
const MAX_QUEUED_DATAGRAMS: usize = 1000;

/// A datagram in transit, ordered by the time of its arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedDatagram {
    due_at: Instant,
    sequence: u64,
    bytes: Vec<u8>,
}

/// The receive queue of a socket, including the datagrams in transit.
#[derive(Default)]
struct Inbox {
    datagrams: RefCell<BinaryHeap<Reverse<QueuedDatagram>>>,
    arrived: Notify,
}

/// A bound socket, as the network keeps it.
#[derive(Clone)]
struct BoundSocket {
    sender: u32,
    inbox: Rc<Inbox>,
}

/// The datagram sockets of all senders, by address.
pub struct DatagramNetwork {
    this: Weak<DatagramNetwork>,
    link_faults: Rc<RefCell<LinkFaults>>,
    sockets: RefCell<BTreeMap<SocketAddr, BoundSocket>>,
    sequence: Cell<u64>,
}

impl DatagramNetwork {
    /// Creates a network without sockets. `link_faults` apply to the datagrams between senders.
    pub fn new(link_faults: Rc<RefCell<LinkFaults>>) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            link_faults,
            sockets: RefCell::default(),
            sequence: Cell::default(),
        })
    }

    /// Binds a socket for a process of the sender `host`.
    ///
    /// # Errors
    /// Returns `Unsupported` if `host` is not a sender, and `AddrInUse` if the address is already bound.
    pub fn bind(
        &self,
        host: Host,
        address: SocketAddr,
        process: Rc<Process>,
    ) -> io::Result<Box<dyn DatagramSocket>> {
        let Host::Sender(sender) = host else { return Err(io::ErrorKind::Unsupported.into()) };
        let mut sockets = self.sockets.borrow_mut();
        if sockets.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let inbox = Rc::<Inbox>::default();
        sockets.insert(address, BoundSocket { sender, inbox: inbox.clone() });
        Ok(Box::new(Socket { network: self.this.clone(), sender, address, inbox, process }))
    }

    fn send(&self, from: u32, to: SocketAddr, bytes: &[u8]) {
        let receiver = self.sockets.borrow().get(&to).cloned();
        let Some(BoundSocket { sender: to, inbox }) = receiver else { return };
        for delay in self.link_faults.borrow_mut().datagram_delays(from, to) {
            self.sequence.set(self.sequence.get() + 1);
            let mut datagrams = inbox.datagrams.borrow_mut();
            if datagrams.len() < MAX_QUEUED_DATAGRAMS {
                let due_at = Instant::now() + delay;
                let sequence = self.sequence.get();
                datagrams.push(Reverse(QueuedDatagram { due_at, sequence, bytes: bytes.to_owned() }));
            }
        }
        inbox.arrived.notify_one();
    }
}

/// A datagram socket of a sender's process.
struct Socket {
    network: Weak<DatagramNetwork>,
    sender: u32,
    address: SocketAddr,
    inbox: Rc<Inbox>,
    process: Rc<Process>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Some(network) = self.network.upgrade() {
            network.sockets.borrow_mut().remove(&self.address);
        }
    }
}

impl DatagramSocket for Socket {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        if let Some(network) = self.network.upgrade().filter(|_| !self.process.is_dead()) {
            network.send(self.sender, to, bytes);
        }
        Ok(())
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>> {
        Box::pin(async move {
            loop {
                let arrived = self.inbox.arrived.notified();
                let first = self.inbox.datagrams.borrow().peek().map(|Reverse(datagram)| datagram.due_at);
                match first {
                    Some(due) if due <= Instant::now() => {
                        let datagram = self.inbox.datagrams.borrow_mut().pop();
                        let Some(Reverse(QueuedDatagram { bytes, .. })) = datagram else { continue };
                        let length = bytes.len().min(buffer.len());
                        buffer[..length].copy_from_slice(&bytes[..length]);
                        return Ok(length);
                    }
                    Some(due) => tokio::select! {
                        biased;
                        () = arrived => {}
                        () = sleep_until(due) => {}
                    },
                    None => arrived.await,
                }
            }
        })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}
