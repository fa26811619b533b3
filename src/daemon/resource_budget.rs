//! How the limits of the machine are divided among the parts of the sender; no other module divides them.
use serde::Deserialize;

/// Descriptors besides connections to clients and endpoints: standard streams, those of the runtime, the
/// listener, the journal and its replacement, discovery and notifications with one connection each on the way
/// out.
const OWN_DESCRIPTORS: usize = 24;
/// How many operators may be connected at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Idle connections to endpoints may hold this fraction of the descriptors.
const IDLE_DESCRIPTORS_DIVISOR: usize = 4;
/// Bytes that one client connection may take: read buffer, head, task.
const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;
/// All client connections together may take this fraction of the memory.
const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Request bodies that are being read may take this fraction of the memory.
const REQUEST_BODY_MEMORY_DIVISOR: usize = 8;
/// An endpoint list that is being read may take this fraction of the memory.
const ENDPOINT_LIST_MEMORY_DIVISOR: usize = 8;
/// An endpoint list may take at least this much, in bytes.
const MIN_ENDPOINT_LIST_BYTES: usize = 2 << 20;
/// The checkpoint file may take this share of the disk. While it is rewritten there are two, beside the
/// journal at its largest.
const CHECKPOINT_DISK_SHARE: f64 = 0.02;
/// Bytes in a megabyte, as the limits count.
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The limits of the machine, under the names that the configuration gives them.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

/// What each part of the sender may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Client connections at once.
    pub client_connections: usize,
    /// Bytes of request bodies that are being read, over all clients.
    pub request_body_bytes: usize,
    /// Bytes of an endpoint list.
    pub endpoint_list_bytes: usize,
    /// Idle connections to endpoints.
    pub idle_connections: usize,
    /// Connections whose outcome is known while their response is still being read.
    pub unread_responses: usize,
    /// Bytes in the state folder.
    pub disk_bytes: u64,
    /// Bytes in the state folder that the checkpoint file may take; while it is rewritten there are two.
    pub checkpoint_bytes: u64,
}

impl ResourceBudget {
    /// Divides the limits for a sender with up to `max_calls` calls in flight, and with an admin endpoint or
    /// without.
    pub fn new(limits: &ResourceLimits, max_calls: usize, has_admin_endpoint: bool) -> Self {
        let memory = (limits.memory_mb * BYTES_PER_MEGABYTE) as usize;
        let disk = limits.disk_mb * BYTES_PER_MEGABYTE;
        // The operators' connections come out of those that are only kept for later.
        let operators = if has_admin_endpoint { MAX_OPERATOR_CONNECTIONS + 1 } else { 0 };
        let idle = (limits.sockets / IDLE_DESCRIPTORS_DIVISOR).saturating_sub(operators).max(1);
        let unread = max_calls;
        // Calls come before clients: what was accepted must be able to go out.
        let reserved = OWN_DESCRIPTORS + operators + idle + max_calls + unread;
        let max_clients_in_memory = memory / CLIENT_MEMORY_DIVISOR / CLIENT_CONNECTION_BYTES;
        Self {
            client_connections: limits.sockets.saturating_sub(reserved).min(max_clients_in_memory).max(1),
            request_body_bytes: memory / REQUEST_BODY_MEMORY_DIVISOR,
            endpoint_list_bytes: (memory / ENDPOINT_LIST_MEMORY_DIVISOR).max(MIN_ENDPOINT_LIST_BYTES),
            idle_connections: idle,
            unread_responses: unread,
            disk_bytes: disk as u64,
            checkpoint_bytes: (disk * CHECKPOINT_DISK_SHARE) as u64,
        }
    }

    /// Reserves descriptors and bytes of disk for a part that the operator's file turns on.
    pub fn reserve(&mut self, descriptors: usize, disk_bytes: u64) {
        self.client_connections = self.client_connections.saturating_sub(descriptors).max(1);
        self.disk_bytes = self.disk_bytes.saturating_sub(disk_bytes);
    }
}

#[cfg(test)]
mod tests;
