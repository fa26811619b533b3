//! Connections kept for the next call. Free of I/O and clocks but for what the connections do when dropped.
use super::connection::Connection;
use crate::EndpointId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What can be kept.
pub trait Keep {
    /// Whether the other side has closed it, as far as is known.
    fn is_closed(&self) -> bool;
}

impl Keep for Connection {
    fn is_closed(&self) -> bool {
        Connection::is_closed(self)
    }
}

type Place = (EndpointId, SocketAddr);

/// Idle connections by endpoint and address, the last used one first out: an endpoint that moves leaves its
/// old ones behind, and one that takes a gone one's address inherits none. All are kept equally long, so the
/// order in which they came is that in which they go: nothing looks at all of them.
pub struct ConnectionPool<C> {
    /// Each place's connections by number, oldest first.
    idle: BTreeMap<Place, VecDeque<(u64, C)>>,
    /// When each was put and where, by number.
    ages: BTreeMap<u64, (Instant, Place)>,
    next: u64,
    keep: Duration,
    most: usize,
}

impl<C: Keep> ConnectionPool<C> {
    /// `idle_time` is how long endpoints keep an idle connection open: ours are dropped well before. `most`
    /// are kept over all endpoints; past that the oldest goes.
    pub fn new(idle_time: Duration, most: usize) -> Self {
        let keep = Duration::ZERO;
        let mut pool = Self { idle: BTreeMap::new(), ages: BTreeMap::new(), next: 0, keep, most };
        pool.keep_for(idle_time);
        pool
    }

    /// From now on endpoints keep an idle connection open for so long.
    pub fn keep_for(&mut self, idle_time: Duration) {
        self.keep = idle_time * 4 / 5;
    }

    /// The youngest idle connection to the endpoint at its address, if any is young enough and not closed.
    pub fn take(&mut self, endpoint: EndpointId, address: SocketAddr, now: Instant) -> Option<C> {
        self.prune(now);
        let idle = self.idle.get_mut(&(endpoint, address))?;
        let mut taken = None;
        while let Some((number, connection)) = idle.pop_back() {
            self.ages.remove(&number);
            if !connection.is_closed() {
                taken = Some(connection);
                break;
            }
        }
        if idle.is_empty() {
            self.idle.remove(&(endpoint, address));
        }
        taken
    }

    /// Keeps a connection for the next call.
    pub fn put(&mut self, endpoint: EndpointId, address: SocketAddr, connection: C, now: Instant) {
        self.prune(now);
        if self.most == 0 {
            return;
        }
        if self.ages.len() >= self.most {
            self.drop_oldest();
        }
        let place = (endpoint, address);
        self.idle.entry(place).or_default().push_back((self.next, connection));
        self.ages.insert(self.next, (now, place));
        self.next += 1;
    }

    /// Closes what is idle to an endpoint.
    pub fn close(&mut self, endpoint: EndpointId) {
        let of = |place: &Place| place.0 == endpoint;
        let from = (endpoint, SocketAddr::from(([0, 0, 0, 0], 0)));
        while let Some((place, idle)) = self.idle.range(from..).next().filter(|(place, _)| of(place)) {
            let place = *place;
            for (number, _) in idle {
                self.ages.remove(number);
            }
            self.idle.remove(&place);
        }
    }

    /// Closes connections that have been idle for too long.
    fn prune(&mut self, now: Instant) {
        while let Some((_, (since, _))) = self.ages.first_key_value()
            && now.saturating_duration_since(*since) >= self.keep
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, (_, place))) = self.ages.pop_first() else { return };
        let Some(idle) = self.idle.get_mut(&place) else { return };
        idle.pop_front();
        if idle.is_empty() {
            self.idle.remove(&place);
        }
    }
}

#[cfg(test)]
mod tests;
