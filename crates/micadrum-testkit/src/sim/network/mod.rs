//! A simulated network: hosts in zones, and connections that are delayed, held, cut or reset.
//!
//! All times come from tokio's paused clock, and simultaneous events happen in the order of their causes, so
//! a run depends on its seed alone.
mod listener;
mod pipe;
mod stream;

use super::hosts;
use super::process::Process;
use crate::link_faults::{LinkEffect, LinkFaults};
use crate::test_network::{Host, TestConnection, TestListener, TestNetwork};
use listener::{AcceptQueue, SimListener};
use micadrum::daemon::ports::LocalFuture;
use pipe::{Pipe, SegmentBody};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use stream::{Connection, SimStream};
use tokio::time::{Instant, sleep};

/// Lower bound of the ports that are assigned to listeners that request port 0.
const FIRST_FREE_PORT: u16 = 20_000;
/// Number of new connections after which closed ones are removed from the list.
const PRUNE_INTERVAL: usize = 1024;

/// A simulated network.
pub struct SimNetwork {
    this: Weak<SimNetwork>,
    zone_delay: Duration,
    zones: BTreeMap<Host, usize>,
    cut_hosts: RefCell<BTreeSet<Host>>,
    link: RefCell<ZoneLinkState>,
    /// The faults of the links between senders.
    link_faults: Rc<RefCell<LinkFaults>>,
    started_at: Instant,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    connections: RefCell<Vec<Weak<Connection>>>,
    next_port: Cell<u16>,
}

/// The state of the links between zones.
#[derive(Clone, Copy, Default)]
pub struct ZoneLinkState {
    /// Additional latency of each direction.
    pub added_delay: Duration,
    /// Data is held back until this time; `None` if it is not held back.
    pub held_until: Option<Instant>,
    /// Whether all data is lost.
    pub drops: bool,
}

impl SimNetwork {
    /// Creates a network of the given hosts, each in a zone. `zone_delay` is the one-way latency between two
    /// zones, and `link_faults` apply to the links between senders.
    pub fn new(
        hosts: BTreeMap<Host, usize>,
        zone_delay: Duration,
        link_faults: Rc<RefCell<LinkFaults>>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            zone_delay,
            zones: hosts,
            cut_hosts: RefCell::default(),
            link: RefCell::default(),
            link_faults,
            started_at: Instant::now(),
            listeners: RefCell::default(),
            connections: RefCell::default(),
            next_port: Cell::new(FIRST_FREE_PORT),
        })
    }

    fn crosses_zones(&self, a: Host, b: Host) -> bool {
        self.zones.get(&a) != self.zones.get(&b)
    }

    fn delay(&self, a: Host, b: Host) -> Duration {
        if !self.crosses_zones(a, b) {
            return Duration::ZERO;
        }
        let link = *self.link.borrow();
        let held =
            link.held_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        self.zone_delay + link.added_delay + held
    }

    fn is_reachable(&self, a: Host, b: Host) -> bool {
        let cut = self.cut_hosts.borrow();
        // A host always reaches itself.
        a == b
            || !(cut.contains(&a) || cut.contains(&b) || self.crosses_zones(a, b) && self.link.borrow().drops)
    }

    /// Returns the effect of link faults on bytes between two different senders; `None` for all other
    /// connections.
    fn link_effect(&self, from: Host, to: Host, last_broken_at: &Cell<Option<u64>>) -> Option<LinkEffect> {
        let (Host::Sender(from), Host::Sender(to)) = (from, to) else { return None };
        let now = self.started_at.elapsed().as_micros() as u64;
        (from != to).then(|| self.link_faults.borrow().link_effect(from, to, now, last_broken_at))
    }

    /// Sets the state of the links between zones. When `drops` ends, connections that lost data are reset.
    pub fn set_link(&self, link: ZoneLinkState) {
        let was = std::mem::replace(&mut *self.link.borrow_mut(), link);
        if was.drops && !link.drops {
            self.reset_broken(|network, ends| network.crosses_zones(ends[0], ends[1]));
        }
    }

    /// Returns the state of the links between zones.
    pub fn link(&self) -> ZoneLinkState {
        *self.link.borrow()
    }

    /// Cuts a host off, or reconnects it and resets those of its connections that lost data.
    pub fn set_cut(&self, host: Host, cut: bool) {
        if cut {
            self.cut_hosts.borrow_mut().insert(host);
        } else if self.cut_hosts.borrow_mut().remove(&host) {
            self.reset_broken(|_, ends| ends.contains(&host));
        }
    }

    /// Resets the connections that lost data, among those that `which` selects by their hosts.
    fn reset_broken(&self, which: impl Fn(&Self, &[Host; 2]) -> bool) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let found: Vec<_> = connections.iter().filter_map(Weak::upgrade).collect();
        drop(connections);
        for connection in found.iter().filter(|c| c.broken.get() && which(self, &c.ends)) {
            let now = Instant::now();
            let due = now + self.delay(connection.ends[0], connection.ends[1]);
            for pipe in &connection.pipes {
                pipe.borrow_mut().push(now, due, SegmentBody::Reset);
            }
        }
    }

    /// Creates a connection, and returns its two ends.
    fn create_connection(&self, from: Host, to: Host, processes: [Rc<Process>; 2]) -> [SimStream; 2] {
        let pipes = [Rc::<RefCell<Pipe>>::default(), Rc::default()];
        let connection = Rc::new(Connection {
            ends: [from, to],
            pipes: pipes.clone(),
            broken: Cell::new(false),
            last_broken_at: Cell::new(None),
            ended: Default::default(),
        });
        let mut connections = self.connections.borrow_mut();
        if connections.len() % PRUNE_INTERVAL == PRUNE_INTERVAL - 1 {
            connections.retain(|connection| connection.strong_count() > 0);
        }
        connections.push(Rc::downgrade(&connection));
        let [mine, theirs] = processes;
        let end = |side: usize, process: Rc<Process>| SimStream {
            network: self.this.clone(),
            connection: connection.clone(),
            side,
            process,
            wait: None,
            last_sent: None,
            ended: false,
            finished: false,
        };
        [end(0, mine), end(1, theirs)]
    }

    pub(super) async fn connect_stream(
        &self,
        from: Host,
        process: Rc<Process>,
        to: SocketAddr,
    ) -> io::Result<SimStream> {
        let Some(peer) = hosts::host(to.ip()).filter(|host| self.zones.contains_key(host)) else {
            // A host that does not exist never responds.
            return std::future::pending().await;
        };
        // Passes a last break in the future, so that `link_effect` never returns `Breaks`.
        let held = || self.link_effect(from, peer, &Cell::new(Some(u64::MAX / 2))) == Some(LinkEffect::Held);
        if !self.is_reachable(from, peer) || process.is_dead() || held() {
            return std::future::pending().await;
        }
        wait(self.delay(from, peer)).await;
        if !self.is_reachable(from, peer) {
            return std::future::pending().await;
        }
        let listener = self.listeners.borrow().get(&to).cloned();
        let opened = listener.map(|listener| {
            let [mine, theirs] = self.create_connection(from, peer, [process, Rc::default()]);
            listener.connections.borrow_mut().push_back(theirs);
            listener.arrived.notify_one();
            mine
        });
        wait(self.delay(from, peer)).await;
        if !self.is_reachable(from, peer) {
            return std::future::pending().await;
        }
        opened.ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
    }

    pub(super) fn bind_listener(&self, on: Host, process: Rc<Process>, port: u16) -> io::Result<SimListener> {
        let port = if port == 0 {
            self.next_port.set(self.next_port.get().wrapping_add(1).max(FIRST_FREE_PORT));
            self.next_port.get()
        } else {
            port
        };
        let address = SocketAddr::new(hosts::address(on), port);
        if self.listeners.borrow().contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let queue = Rc::<AcceptQueue>::default();
        self.listeners.borrow_mut().insert(address, queue.clone());
        Ok(SimListener { network: self.this.clone(), address, queue, process })
    }
}

/// Sleeps for `delay`, and returns without yielding if it is zero.
async fn wait(delay: Duration) {
    if delay > Duration::ZERO {
        sleep(delay).await;
    }
}

impl TestNetwork for SimNetwork {
    fn connect(&self, from: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn TestConnection>>> {
        Box::pin(async move {
            let stream = self.connect_stream(from, Rc::default(), to).await?;
            Ok(Box::new(stream) as Box<dyn TestConnection>)
        })
    }

    fn listen(&self, on: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn TestListener>>> {
        Box::pin(async move {
            Ok(Box::new(self.bind_listener(on, Rc::default(), port)?) as Box<dyn TestListener>)
        })
    }
}

#[cfg(test)]
mod tests;
