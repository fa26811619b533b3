//! Idle connections kept for the next call. Free of I/O and clocks but for what connections do when dropped.
use super::connection::Connection;
use crate::EndpointId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What can be pooled.
pub trait Poolable {
    /// Returns whether the other side has closed the connection, as far as is known.
    fn is_closed(&self) -> bool;
}

impl Poolable for Connection {
    fn is_closed(&self) -> bool {
        Connection::is_closed(self)
    }
}

/// An endpoint at one of its addresses.
type Target = (EndpointId, SocketAddr);

/// When a connection became idle, and whose it is.
struct IdleSince {
    since: Instant,
    target: Target,
}

/// Idle connections by endpoint and address, the one used last taken first.
///
/// An endpoint that moves leaves its old connections behind, and one that takes over the address of another inherits none.
/// All are kept equally long, so they expire in the order in which they came: nothing looks at all of them.
pub struct ConnectionPool<C> {
    /// The connections of each target by number, oldest first.
    idle: BTreeMap<Target, VecDeque<(u64, C)>>,
    by_age: BTreeMap<u64, IdleSince>,
    next: u64,
    keep_for: Duration,
    max_idle: usize,
}

impl<C: Poolable> ConnectionPool<C> {
    /// Creates a pool for endpoints that close a connection after `idle_time`; connections are dropped well before. At most
    /// `max_idle` are kept over all endpoints; past that the oldest is dropped.
    pub fn new(idle_time: Duration, max_idle: usize) -> Self {
        let mut pool = Self {
            idle: BTreeMap::new(),
            by_age: BTreeMap::new(),
            next: 0,
            keep_for: Duration::ZERO,
            max_idle,
        };
        pool.set_idle_timeout(idle_time);
        pool
    }

    /// Sets after which time endpoints close an idle connection.
    pub fn set_idle_timeout(&mut self, idle_time: Duration) {
        self.keep_for = idle_time * 4 / 5;
    }

    /// Takes the idle connection to the endpoint at its address that was used last, if it is neither too old nor closed.
    pub fn take(&mut self, endpoint: EndpointId, address: SocketAddr, now: Instant) -> Option<C> {
        self.drop_expired(now);
        let idle = self.idle.get_mut(&(endpoint, address))?;
        let mut taken = None;
        while let Some((number, connection)) = idle.pop_back() {
            self.by_age.remove(&number);
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
        self.drop_expired(now);
        if self.max_idle == 0 {
            return;
        }
        if self.by_age.len() >= self.max_idle {
            self.drop_oldest();
        }
        let target = (endpoint, address);
        self.idle.entry(target).or_default().push_back((self.next, connection));
        self.by_age.insert(self.next, IdleSince { since: now, target });
        self.next += 1;
    }

    /// Closes all idle connections to an endpoint.
    pub fn close(&mut self, endpoint: EndpointId) {
        let first = (endpoint, SocketAddr::from(([0, 0, 0, 0], 0)));
        while let Some((target, idle)) = self.idle.range(first..).next() {
            if target.0 != endpoint {
                return;
            }
            let target = *target;
            for (number, _) in idle {
                self.by_age.remove(number);
            }
            self.idle.remove(&target);
        }
    }

    /// Closes connections that have been idle for too long.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((_, oldest)) = self.by_age.first_key_value()
            && now.saturating_duration_since(oldest.since) >= self.keep_for
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, IdleSince { target, .. })) = self.by_age.pop_first() else { return };
        let Some(idle) = self.idle.get_mut(&target) else { return };
        idle.pop_front();
        if idle.is_empty() {
            self.idle.remove(&target);
        }
    }
}

#[cfg(test)]
mod tests;
