//! How many connections are open, and which one is closed for a newcomer.
//!
//! A connection is idle while no request on it waits for a response. When all permits are taken, the connection that has
//! been idle longest is asked to close. One that has not had a response yet comes last, and only some time after it was
//! opened: its first request may be on the way.
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout};

/// How often a connection is looked for that may give way to one that waits.
const ADMISSION_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The permits for connections and for request bodies that are being read.
pub struct ConnectionLimits {
    permits: Arc<Semaphore>,
    body_bytes: Semaphore,
    idle: Mutex<IdleConnections>,
    max_connections: usize,
    /// A connection that has not had a response gives way no sooner.
    min_fresh_age: Duration,
}

/// The place of an idle connection in the order in which they close: those that have had a response come first, and of
/// these the one that has been idle longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdlePlace {
    is_fresh: bool,
    number: u64,
}

/// Idle connections in the order in which they close, with what asks each to close.
#[derive(Default)]
struct IdleConnections {
    next_number: u64,
    close: BTreeMap<IdlePlace, IdleConnection>,
}

struct IdleConnection {
    since: Instant,
    close_signal: Arc<CloseSignal>,
}

/// Asks a connection to close.
#[derive(Default)]
pub struct CloseSignal {
    is_requested: AtomicBool,
    requested: Notify,
}

impl CloseSignal {
    fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
        self.requested.notify_one();
    }

    /// Waits until the connection is asked to close.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Whether the connection was asked to close.
    pub fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Relaxed)
    }
}

impl ConnectionLimits {
    /// Allows `max_connections` at once, and request bodies of `max_body_bytes` in all of them together. A connection that
    /// has not had a response gives way to another one once it is `min_fresh_age` old.
    pub fn new(max_connections: usize, max_body_bytes: usize, min_fresh_age: Duration) -> Arc<Self> {
        Arc::new(Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            body_bytes: Semaphore::new(max_body_bytes),
            idle: Mutex::default(),
            max_connections,
            min_fresh_age,
        })
    }

    /// Waits for a permit for a new connection; when all are taken, the connection that has been idle longest closes.
    /// Returns none once connections are refused for good.
    pub async fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionPermit>> {
        loop {
            if self.permits.available_permits() == 0 {
                self.close_idle();
            }
            // With none idle, responses are due within milliseconds.
            let acquired = timeout(ADMISSION_RETRY_INTERVAL, self.permits.clone().acquire_owned()).await;
            if let Ok(acquired) = acquired {
                return Some(Arc::new(ConnectionPermit::new(self.clone(), acquired.ok()?)));
            }
        }
    }

    /// Waits until every connection has ended.
    pub async fn all_closed(&self) {
        let _ = self.permits.acquire_many(self.max_connections as u32).await;
    }

    /// Asks one idle connection to close: one that has had a response if there is any.
    pub fn close_idle(&self) {
        let mut idle = self.idle();
        let Some(first) = idle.close.first_entry() else { return };
        if !first.key().is_fresh || first.get().since.elapsed() >= self.min_fresh_age {
            first.remove().close_signal.request();
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
    /// Says when the connection has to close for a newcomer.
    pub close_signal: Arc<CloseSignal>,
    /// Its place among the idle connections, while it is idle.
    idle_place: Mutex<Option<IdlePlace>>,
    /// Whether the response to the last request has been made, and not been written yet.
    has_response: AtomicBool,
    /// Whether a request was read whose response has not been written.
    owes_response: AtomicBool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPermit {
    fn new(limits: Arc<ConnectionLimits>, permit: OwnedSemaphorePermit) -> Self {
        let permit = Self {
            limits,
            close_signal: Arc::default(),
            idle_place: Mutex::default(),
            has_response: AtomicBool::default(),
            owes_response: AtomicBool::default(),
            _permit: permit,
        };
        permit.enter_idle(true);
        permit
    }

    /// Records that a request was read.
    pub fn set_request_read(&self) {
        self.owes_response.store(true, Ordering::Relaxed);
    }

    /// Whether a request was read whose response has not been written.
    pub fn owes_response(&self) -> bool {
        self.owes_response.load(Ordering::Relaxed)
    }

    /// Records that the response to the last request is about to be written.
    pub fn set_responded(&self) {
        self.has_response.store(true, Ordering::Relaxed);
    }

    /// Records that all that was to be written has been written: after a response, no request waits for another one.
    pub fn set_flushed(&self) {
        if self.has_response.swap(false, Ordering::Relaxed) {
            self.owes_response.store(false, Ordering::Relaxed);
            self.enter_idle(false);
        }
    }

    fn enter_idle(&self, is_fresh: bool) {
        let mut idle = self.limits.idle();
        let place = IdlePlace { is_fresh, number: idle.next_number };
        idle.next_number += 1;
        let connection = IdleConnection { since: Instant::now(), close_signal: self.close_signal.clone() };
        idle.close.insert(place, connection);
        *self.idle_place() = Some(place);
    }

    /// Records that a request has begun to arrive, and needs a response.
    pub fn set_busy(&self) {
        if let Some(place) = self.idle_place().take() {
            self.limits.idle().close.remove(&place);
        }
    }

    /// Whether a request on the connection has begun to arrive, and has not had its response.
    pub fn is_busy(&self) -> bool {
        self.idle_place().is_none()
    }

    fn idle_place(&self) -> MutexGuard<'_, Option<IdlePlace>> {
        self.idle_place.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.set_busy();
    }
}

#[cfg(test)]
mod tests;
