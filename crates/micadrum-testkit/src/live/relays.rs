//! What real senders say to each other goes through sockets of the kit: one for each pair and way, where the link
//! faults decide what becomes of it.
use super::links;
use crate::link_faults::LinkFaults;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// No datagram between senders is longer, in bytes.
const MOST: usize = 2048;

/// All of them.
pub struct Relays {
    /// Where a sender reaches another, by both.
    doors: Vec<Vec<SocketAddr>>,
    /// Where each sender's process hears, once it has said so.
    homes: Vec<Rc<Cell<Option<SocketAddr>>>>,
}

impl Relays {
    /// Opens them.
    ///
    /// # Errors
    /// What the system says.
    pub async fn open(senders: usize, link_faults: &Rc<RefCell<LinkFaults>>) -> io::Result<Self> {
        let homes: Vec<Rc<Cell<Option<SocketAddr>>>> = (0..senders).map(|_| Rc::default()).collect();
        // What goes out has no other way in: one socket sends for all.
        let out = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let mut doors = Vec::new();
        for from in 0..senders {
            let mut row = Vec::new();
            for (to, home) in homes.iter().enumerate() {
                if from == to {
                    row.push(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
                    continue;
                }
                let (door, links) = both().await?;
                row.push(door.local_addr()?);
                let way = Way { from: from as u32, to: to as u32, home: home.clone(), out: out.clone() };
                spawn_local(links::pass(links, way.from, way.to, way.home.clone(), link_faults.clone()));
                spawn_local(way.pass(door, link_faults.clone()));
            }
            doors.push(row);
        }
        Ok(Self { doors, homes })
    }

    /// Where `from` reaches `to`; where it is itself, any port of its own.
    pub fn door(&self, from: u32, to: u32) -> SocketAddr {
        self.doors[from as usize][to as usize]
    }

    /// A line of a sender's log may tell where it hears.
    pub fn logged(&self, sender: u32, line: &str) {
        if let Some(at) = line.strip_prefix("membership: listening address=").and_then(|at| at.parse().ok()) {
            self.homes[sender as usize].set(Some(at));
        }
    }
}

/// A socket for datagrams and one for links, at one address.
async fn both() -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let door = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match TcpListener::bind(door.local_addr()?).await {
            Ok(links) => return Ok((door, links)),
            // Somebody else has the port for streams: another one.
            Err(e) if tries >= 20 => return Err(e),
            Err(_) => tries += 1,
        }
    }
}

/// From one sender to another.
struct Way {
    from: u32,
    to: u32,
    home: Rc<Cell<Option<SocketAddr>>>,
    out: Rc<UdpSocket>,
}

impl Way {
    async fn pass(self, door: UdpSocket, link_faults: Rc<RefCell<LinkFaults>>) {
        let mut buffer = vec![0; MOST];
        loop {
            // An error tells that nobody hears any more: who sends learns so by silence.
            let Ok(length) = door.recv(&mut buffer).await else { continue };
            let Some(home) = self.home.get() else { continue };
            let delays = link_faults.borrow_mut().datagram_delays(self.from, self.to);
            for delay in delays {
                let (out, bytes) = (self.out.clone(), buffer[..length].to_owned());
                if delay.is_zero() {
                    let _ = out.try_send_to(&bytes, home);
                    continue;
                }
                spawn_local(async move {
                    sleep(delay).await;
                    let _ = out.try_send_to(&bytes, home);
                });
            }
        }
    }
}
