//! Datagrams between simulated senders, as the ground lets them pass.
use super::net::Process;
use crate::link_faults::LinkFaults;
use crate::stand_in_network::Host;
use micadrum::daemon::ports::{Datagrams, LocalFuture};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A socket that nobody reads holds no more than this, as a real one's buffer.
const MOST_HELD: usize = 1000;

type Letter = Reverse<(Instant, u64, Vec<u8>)>;

#[derive(Default)]
struct Slot {
    letters: RefCell<BinaryHeap<Letter>>,
    came: Notify,
}

/// All sockets.
pub struct DatagramNetwork {
    this: Weak<DatagramNetwork>,
    ground: Rc<RefCell<LinkFaults>>,
    slots: RefCell<BTreeMap<SocketAddr, (u32, Rc<Slot>)>>,
    count: Cell<u64>,
}

impl DatagramNetwork {
    /// None yet, over that ground.
    pub fn new(ground: Rc<RefCell<LinkFaults>>) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            ground,
            slots: RefCell::default(),
            count: Cell::default(),
        })
    }

    /// A socket of a sender's process.
    pub fn bind(&self, host: Host, at: SocketAddr, process: Rc<Process>) -> io::Result<Box<dyn Datagrams>> {
        let Host::Sender(sender) = host else { return Err(io::ErrorKind::Unsupported.into()) };
        let mut slots = self.slots.borrow_mut();
        if slots.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let slot = Rc::<Slot>::default();
        slots.insert(at, (sender, slot.clone()));
        Ok(Box::new(Socket { mail: self.this.clone(), sender, at, slot, process }))
    }

    fn send(&self, from: u32, to: SocketAddr, bytes: &[u8]) {
        let Some((other, slot)) = self.slots.borrow().get(&to).cloned() else { return };
        for delay in self.ground.borrow_mut().fate(from, other) {
            self.count.set(self.count.get() + 1);
            let mut letters = slot.letters.borrow_mut();
            if letters.len() < MOST_HELD {
                letters.push(Reverse((Instant::now() + delay, self.count.get(), bytes.to_owned())));
            }
        }
        slot.came.notify_one();
    }
}

struct Socket {
    mail: Weak<DatagramNetwork>,
    sender: u32,
    at: SocketAddr,
    slot: Rc<Slot>,
    process: Rc<Process>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Some(mail) = self.mail.upgrade() {
            mail.slots.borrow_mut().remove(&self.at);
        }
    }
}

impl Datagrams for Socket {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        if let Some(mail) = self.mail.upgrade().filter(|_| !self.process.is_dead()) {
            mail.send(self.sender, to, bytes);
        }
        Ok(())
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>> {
        Box::pin(async move {
            loop {
                let came = self.slot.came.notified();
                let first = self.slot.letters.borrow().peek().map(|Reverse((due, ..))| *due);
                match first {
                    Some(due) if due <= Instant::now() => {
                        let letter = self.slot.letters.borrow_mut().pop();
                        let Some(Reverse((.., bytes))) = letter else { continue };
                        let length = bytes.len().min(buffer.len());
                        buffer[..length].copy_from_slice(&bytes[..length]);
                        return Ok(length);
                    }
                    Some(due) => tokio::select! {
                        biased;
                        () = came => {}
                        () = sleep_until(due) => {}
                    },
                    None => came.await,
                }
            }
        })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}
