//! What the limits of the machine leave to each part of the sender: the one place that deals them out.
use serde::Deserialize;

/// Descriptors besides connections to clients and endpoints: standard streams, the runtime's own, the
/// listener, the journal and its successor, watch and notices with one connection each on the way out.
const OWN_SOCKETS: usize = 24;
/// Connections of operators at once.
pub const OPERATORS: usize = 16;
/// Share of the descriptors that idle connections to endpoints may hold.
const IDLE_SHARE: usize = 4;
/// Memory that one client connection may take: read buffer, head, task.
const CLIENT_MEMORY: usize = 32 * 1024;
/// Share of the memory that all client connections may take.
const CLIENTS_SHARE: usize = 3;
/// Share of the memory that request bodies may fill before they are handed in.
const BODIES_SHARE: usize = 8;

/// Share of the memory that a list may fill as it comes, and the least that it may.
const LIST_SHARE: usize = 8;
const LIST_LEAST: usize = 2 << 20;

/// Share of the folder that lasts that the memory's file may hold: beside the journal at its most there is this twice.
const MEMORY_SHARE: f64 = 0.02;

/// The limits that the configuration tells.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

/// The part of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Client connections at once.
    pub clients: usize,
    /// Bytes of request bodies that are being read, over all clients.
    pub bodies: usize,
    /// Bytes of a list of endpoints.
    pub list: usize,
    /// Idle connections to endpoints.
    pub idle: usize,
    /// Connections whose answer is known and not yet read to its end.
    pub unread: usize,
    /// Bytes in the folder that lasts.
    pub disk: u64,
    /// Bytes of them that the memory's file may hold; while it is written anew there are two.
    pub memory_file: u64,
}

impl ResourceBudget {
    /// Deals the limits out; `calls` may be out at once.
    pub fn new(limits: &ResourceLimits, calls: usize, operators: bool) -> Self {
        let memory = (limits.memory_mb * 1e6) as usize;
        // Operators' places come out of what is only kept for later.
        let operators = if operators { OPERATORS + 1 } else { 0 };
        let idle = (limits.sockets / IDLE_SHARE).saturating_sub(operators).max(1);
        let unread = calls;
        // Calls come before clients: what was taken on must be able to go out.
        let left = limits.sockets.saturating_sub(OWN_SOCKETS + operators + idle + calls + unread);
        Self {
            clients: left.min(memory / CLIENTS_SHARE / CLIENT_MEMORY).max(1),
            bodies: memory / BODIES_SHARE,
            list: (memory / LIST_SHARE).max(LIST_LEAST),
            idle,
            unread,
            disk: (limits.disk_mb * 1e6) as u64,
            memory_file: (limits.disk_mb * 1e6 * MEMORY_SHARE) as u64,
        }
    }

    /// Leaves so many descriptors and bytes of the folder to a part that the operator's file turns on.
    pub fn set_aside(&mut self, descriptors: usize, disk: u64) {
        self.clients = self.clients.saturating_sub(descriptors).max(1);
        self.disk = self.disk.saturating_sub(disk);
    }
}

#[cfg(test)]
mod tests;
