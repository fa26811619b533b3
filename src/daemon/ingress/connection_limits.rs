//! How many connections are open, and which one is closed for a newcomer.
//!
//! A connection is idle while no request on it waits for a response. When all permits are taken, the connection that has
//! been idle longest is asked to close.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, SemaphorePermit};

/// The permits for connections and for request bodies that are being read.
pub struct ConnectionLimits {
    permits: Arc<Semaphore>,
    body_bytes: Semaphore,
    idle: Mutex<IdleConnections>,
    max_connections: usize,
}

/// Idle connections in the order in which they became idle, with what asks each to close.
#[derive(Default)]
struct IdleConnections {
    next: u64,
    close: BTreeMap<u64, Arc<Notify>>,
}

impl ConnectionLimits {
    /// Allows `max_connections` at once, and request bodies of `max_body_bytes` in all of them together.
    pub fn new(max_connections: usize, max_body_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            body_bytes: Semaphore::new(max_body_bytes),
            idle: Mutex::default(),
            max_connections,
        })
    }

    /// Waits for a permit for a new connection; when all are taken, the connection that has been idle longest closes.
    /// Returns none once connections are refused for good.
    pub async fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionPermit>> {
        if self.permits.available_permits() == 0 {
            self.close_idle();
        }
        // With none idle, responses are due within milliseconds.
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        Some(Arc::new(ConnectionPermit::new(self.clone(), permit)))
    }

    /// Waits until every connection has ended.
    pub async fn all_closed(&self) {
        let _ = self.permits.acquire_many(self.max_connections as u32).await;
    }

    /// Asks the connection that has been idle longest to close.
    pub fn close_idle(&self) {
        if let Some((_, close)) = self.idle().close.pop_first() {
            close.notify_one();
        }
    }

    /// Takes a permit for `bytes` more of request bodies; none while too much of them is being read.
    pub fn reserve_body(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        self.body_bytes.try_acquire_many(bytes as u32).ok()
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The permit of one open connection.
pub struct ConnectionPermit {
    /// The limits that the permit is of.
    pub limits: Arc<ConnectionLimits>,
    /// Notified when the connection has to close for a newcomer.
    pub close: Arc<Notify>,
    /// Its number among the idle connections, while it is idle.
    idle_number: Mutex<Option<u64>>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPermit {
    fn new(limits: Arc<ConnectionLimits>, permit: OwnedSemaphorePermit) -> Self {
        let permit = Self { limits, close: Arc::default(), idle_number: Mutex::default(), _permit: permit };
        permit.set_idle();
        permit
    }

    /// Records that no request on the connection waits for a response.
    pub fn set_idle(&self) {
        let mut idle = self.limits.idle();
        let number = idle.next;
        idle.next += 1;
        idle.close.insert(number, self.close.clone());
        *self.idle_number() = Some(number);
    }

    /// Records that a request has arrived and needs a response. Returns false if the connection was asked to close.
    pub fn set_busy(&self) -> bool {
        let number = self.idle_number().take();
        number.is_none_or(|number| self.limits.idle().close.remove(&number).is_some())
    }

    fn idle_number(&self) -> MutexGuard<'_, Option<u64>> {
        self.idle_number.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.set_busy();
    }
}
