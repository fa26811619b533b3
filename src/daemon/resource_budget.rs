//! Divides the resource limits of the machine among the parts of the sender.
use serde::Deserialize;

/// File descriptors that are not connections to clients or endpoints: the standard streams, the runtime, the
/// listener, the journal and its replacement, and one outgoing connection each for discovery and
/// notifications.
const OWN_DESCRIPTORS: usize = 24;
/// The maximum number of concurrent connections to the admin endpoint.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Idle connections to endpoints may use one in this many descriptors.
const IDLE_DESCRIPTORS_DIVISOR: usize = 4;
/// The estimated memory of one client connection, in bytes: read buffer, request head and task.
const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;
/// All client connections together may use the memory divided by this.
const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Requests that have no response yet may use the memory divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// An endpoint list that is being read may use the memory divided by this.
const ENDPOINT_LIST_MEMORY_DIVISOR: usize = 8;
/// The minimum for the maximum size of an endpoint list, in bytes.
const MIN_ENDPOINT_LIST_BYTES: usize = 2 << 20;
/// The share of the disk that the checkpoint file may use. While the file is rewritten, two of them exist in
/// addition to the journal.
const CHECKPOINT_DISK_SHARE: f64 = 0.02;
/// The number of bytes in a megabyte of the limits.
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The limits of the machine, as the configuration states them.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

/// The resources that each part of the sender may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceBudget {
    /// The maximum number of concurrent client connections.
    pub client_connections: usize,
    /// The maximum total size of the requests that have no response yet, over all clients.
    pub request_bytes: usize,
    /// The maximum size of an endpoint list, in bytes.
    pub endpoint_list_bytes: usize,
    /// The maximum number of idle connections to endpoints.
    pub idle_connections: usize,
    /// The maximum number of connections whose outcome is known while their response is still being read.
    pub unread_responses: usize,
    /// The maximum size of the state folder, in bytes.
    pub disk_bytes: u64,
    /// The maximum size of the checkpoint file, in bytes. While it is rewritten, two files exist.
    pub checkpoint_bytes: u64,
}

impl ResourceBudget {
    /// Divides the limits for a sender with up to `max_calls` calls in flight.
    pub fn new(limits: &ResourceLimits, max_calls: usize, has_admin_endpoint: bool) -> Self {
        let memory = (limits.memory_mb * BYTES_PER_MEGABYTE) as usize;
        let disk = limits.disk_mb * BYTES_PER_MEGABYTE;
        // The connections of operators reduce the number of idle connections.
        let operators = if has_admin_endpoint { MAX_OPERATOR_CONNECTIONS + 1 } else { 0 };
        let idle = (limits.sockets / IDLE_DESCRIPTORS_DIVISOR).saturating_sub(operators).max(1);
        let unread = max_calls;
        // Calls have priority over client connections, so that accepted messages can be sent.
        let reserved = OWN_DESCRIPTORS + operators + idle + max_calls + unread;
        let max_clients_in_memory = memory / CLIENT_MEMORY_DIVISOR / CLIENT_CONNECTION_BYTES;
        Self {
            client_connections: limits.sockets.saturating_sub(reserved).min(max_clients_in_memory).max(1),
            request_bytes: memory / REQUEST_MEMORY_DIVISOR,
            endpoint_list_bytes: (memory / ENDPOINT_LIST_MEMORY_DIVISOR).max(MIN_ENDPOINT_LIST_BYTES),
            idle_connections: idle,
            unread_responses: unread,
            disk_bytes: disk as u64,
            checkpoint_bytes: (disk * CHECKPOINT_DISK_SHARE) as u64,
        }
    }

    /// Reserves descriptors and disk space for a feature that the operator's file enables.
    pub fn reserve(&mut self, descriptors: usize, disk_bytes: u64) {
        self.client_connections = self.client_connections.saturating_sub(descriptors).max(1);
        self.disk_bytes = self.disk_bytes.saturating_sub(disk_bytes);
    }
}

#[cfg(test)]
mod tests;
