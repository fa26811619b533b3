//! A pool of idle connections. It reads no clock, and performs no I/O except that it closes
//! connections.
use super::endpoint_connection::EndpointConnection;
use super::request_trace::CloseReason;
use crate::EndpointId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that can be kept in a [`ConnectionPool`].
pub trait Poolable {
    /// Returns whether the connection is known to be closed.
    fn is_closed(&self) -> bool;

    /// Closes the connection.
    fn close(self, reason: CloseReason);
}

impl Poolable for EndpointConnection {
    fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    fn close(self, reason: CloseReason) {
        Self::close(self, reason);
    }
}

/// The endpoint and the address that a connection was opened for.
type Target = (EndpointId, SocketAddr);

/// The start of a connection's idle time, and its target.
struct IdleSince {
    since: Instant,
    target: Target,
}

struct IdleConnection<C> {
    number: u64,
    usable_at: Instant,
    connection: C,
}

/// An idle connection that was taken out of the pool.
pub struct TakenConnection<C> {
    /// The connection.
    pub connection: C,
    /// When it has been quiet for long enough to carry the next call.
    pub usable_at: Instant,
}

/// Idle connections by endpoint and address. Of those that are usable, the most recently used one is reused
/// first; if none is, the one that has been idle for longest.
///
/// An endpoint whose address has changed does not reuse its old connections, nor does an endpoint reuse those
/// of another that had the same address before. All connections have the same idle timeout, so they expire in
/// the order in which they were added, and no operation scans the whole pool.
pub struct ConnectionPool<C> {
    /// The connections of each target, oldest first.
    idle: BTreeMap<Target, VecDeque<IdleConnection<C>>>,
    by_age: BTreeMap<u64, IdleSince>,
    next_number: u64,
    idle_timeout: Duration,
    max_connections: usize,
}

impl<C: Poolable> ConnectionPool<C> {
    /// Creates a pool of at most `max_connections` connections to all endpoints together. Endpoints close
    /// idle connections after `server_idle_timeout`; see [`Self::set_idle_timeout`].
    pub fn new(server_idle_timeout: Duration, max_connections: usize) -> Self {
        let mut pool = Self {
            idle: BTreeMap::new(),
            by_age: BTreeMap::new(),
            next_number: 0,
            idle_timeout: Duration::ZERO,
            max_connections,
        };
        pool.set_idle_timeout(server_idle_timeout);
        pool
    }

    /// Sets the time after which endpoints close an idle connection. The pool closes connections after 80 % of
    /// it.
    pub fn set_idle_timeout(&mut self, server_idle_timeout: Duration) {
        self.idle_timeout = server_idle_timeout * 4 / 5;
    }

    /// Removes and returns a connection to the endpoint at the address, or `None` if all have expired or are
    /// closed.
    pub fn take(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
    ) -> Option<TakenConnection<C>> {
        self.close_expired(now);
        let idle = self.idle.get_mut(&(endpoint, address))?;
        let mut taken = None;
        while !idle.is_empty() {
            let usable = (0..idle.len()).rev().find(|position| idle[*position].usable_at <= now);
            let Some(taken_out) = idle.remove(usable.unwrap_or(0)) else { break };
            let IdleConnection { number, usable_at, connection } = taken_out;
            self.by_age.remove(&number);
            if connection.is_closed() {
                connection.close(CloseReason::ClosedByEndpoint);
                continue;
            }
            taken = Some(TakenConnection { connection, usable_at });
            break;
        }
        if idle.is_empty() {
            self.idle.remove(&(endpoint, address));
        }
        taken
    }

    /// Adds a connection that is idle since `now`, and usable after `quiet_period`. If the pool is full, closes
    /// its oldest connection.
    pub fn put(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        connection: C,
        now: Instant,
        quiet_period: Duration,
    ) {
        self.close_expired(now);
        if self.max_connections == 0 {
            connection.close(CloseReason::PoolFull);
            return;
        }
        if self.by_age.len() >= self.max_connections {
            self.close_oldest(CloseReason::PoolFull);
        }
        let target = (endpoint, address);
        let idle = IdleConnection { number: self.next_number, usable_at: now + quiet_period, connection };
        self.idle.entry(target).or_default().push_back(idle);
        self.by_age.insert(self.next_number, IdleSince { since: now, target });
        self.next_number += 1;
    }

    /// Closes all idle connections to an endpoint.
    pub fn close(&mut self, endpoint: EndpointId) {
        let first = (endpoint, SocketAddr::from(([0, 0, 0, 0], 0)));
        while let Some((target, idle)) = self.idle.range(first..).next() {
            if target.0 != endpoint {
                return;
            }
            let target = *target;
            for connection in idle {
                self.by_age.remove(&connection.number);
            }
            for idle in self.idle.remove(&target).into_iter().flatten() {
                idle.connection.close(CloseReason::EndpointOutOfService);
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self, reason: CloseReason) {
        self.by_age.clear();
        for idle in std::mem::take(&mut self.idle).into_values().flatten() {
            idle.connection.close(reason);
        }
    }

    /// Closes connections that have reached the idle timeout.
    fn close_expired(&mut self, now: Instant) {
        while let Some((_, oldest)) = self.by_age.first_key_value()
            && now.saturating_duration_since(oldest.since) >= self.idle_timeout
        {
            self.close_oldest(CloseReason::IdleTimeout);
        }
    }

    fn close_oldest(&mut self, reason: CloseReason) {
        let Some((_, IdleSince { target, .. })) = self.by_age.pop_first() else { return };
        let Some(idle) = self.idle.get_mut(&target) else { return };
        if let Some(oldest) = idle.pop_front() {
            oldest.connection.close(reason);
        }
        if idle.is_empty() {
            self.idle.remove(&target);
        }
    }
}

#[cfg(test)]
mod tests;
