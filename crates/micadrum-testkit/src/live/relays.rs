//! Relays of the traffic between the processes of a live run, one for each ordered pair of senders. They
//! apply the link faults.
use super::links;
use crate::link_faults::LinkFaults;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum length of a datagram between senders.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Maximum number of retries to find a port that is free for both datagrams and streams.
const MAX_BIND_RETRIES: u32 = 20;

/// The relays between all senders.
pub struct Relays {
    /// The relay's address by the sender that uses it and the sender that it leads to.
    addresses: Vec<Vec<SocketAddr>>,
    /// The peer address of each sender's process, once the process has logged it.
    peer_addresses: Vec<Rc<Cell<Option<SocketAddr>>>>,
}

impl Relays {
    /// Opens the relays between `senders` senders.
    ///
    /// # Errors
    /// Returns the system's error if a socket cannot be bound.
    pub async fn open(senders: usize, link_faults: &Rc<RefCell<LinkFaults>>) -> io::Result<Self> {
        let peer_addresses: Vec<Rc<Cell<Option<SocketAddr>>>> = (0..senders).map(|_| Rc::default()).collect();
        // Nothing is received on the outgoing socket, so all relays can share one.
        let out = Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let mut addresses = Vec::new();
        for from in 0..senders {
            let mut row = Vec::new();
            for (to, peer_address) in peer_addresses.iter().enumerate() {
                if from == to {
                    row.push(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
                    continue;
                }
                let (datagrams, links) = bind_pair().await?;
                row.push(datagrams.local_addr()?);
                let direction = RelayedDirection {
                    from: from as u32,
                    to: to as u32,
                    peer_address: peer_address.clone(),
                    out: out.clone(),
                };
                spawn_local(links::relay(
                    links,
                    direction.from,
                    direction.to,
                    direction.peer_address.clone(),
                    link_faults.clone(),
                ));
                spawn_local(direction.relay(datagrams, link_faults.clone()));
            }
            addresses.push(row);
        }
        Ok(Self { addresses, peer_addresses })
    }

    /// Returns the address at which `from` reaches `to`; if they are the same, port 0, so that the process
    /// binds a free one.
    pub fn address(&self, from: u32, to: u32) -> SocketAddr {
        self.addresses[from as usize][to as usize]
    }

    /// Stores the peer address of a sender if a line of its log names it.
    pub fn read_log_line(&self, sender: u32, line: &str) {
        if let Some(at) = line.strip_prefix("membership: listening address=").and_then(|at| at.parse().ok()) {
            self.peer_addresses[sender as usize].set(Some(at));
        }
    }
}

/// Binds a UDP socket and a TCP listener to the same port.
async fn bind_pair() -> io::Result<(UdpSocket, TcpListener)> {
    let mut retries = 0;
    loop {
        let datagrams = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match TcpListener::bind(datagrams.local_addr()?).await {
            Ok(links) => return Ok((datagrams, links)),
            // Another process uses the TCP port: try another one.
            Err(error) if retries >= MAX_BIND_RETRIES => return Err(error),
            Err(_) => retries += 1,
        }
    }
}

/// The datagrams from one sender to another.
struct RelayedDirection {
    from: u32,
    to: u32,
    peer_address: Rc<Cell<Option<SocketAddr>>>,
    out: Rc<UdpSocket>,
}

impl RelayedDirection {
    async fn relay(self, datagrams: UdpSocket, link_faults: Rc<RefCell<LinkFaults>>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error means that the receiver closed its socket; the sender detects the missing answers.
            let Ok(length) = datagrams.recv(&mut buffer).await else { continue };
            let Some(peer_address) = self.peer_address.get() else { continue };
            let delays = link_faults.borrow_mut().datagram_delays(self.from, self.to);
            for delay in delays {
                let (out, bytes) = (self.out.clone(), buffer[..length].to_owned());
                if delay.is_zero() {
                    let _ = out.try_send_to(&bytes, peer_address);
                    continue;
                }
                spawn_local(async move {
                    sleep(delay).await;
                    let _ = out.try_send_to(&bytes, peer_address);
                });
            }
        }
    }
}
