//! Limits the number of open connections, and selects the connection to close when the limit is reached.
//!
//! A connection is idle while no request on it waits for a response. When all permits are taken, the
//! connection that has been idle longest is asked to close. A connection that has not carried a response yet
//! is closed last, and only after a minimum time, because its first request may be in transit.
use super::request_budget::RequestBudget;
use super::request_stage::{RequestStage, StageCounts};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// How often [`ConnectionLimits::admit`] looks for an idle connection to close while it waits for a permit.
const ADMISSION_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Which connections may be closed to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closable {
    /// Those on which no request has begun to arrive.
    Idle,
    /// Those whose request has not arrived completely, too.
    Incomplete,
}

/// Limits on the number of open connections and on the total size of their requests.
pub struct ConnectionLimits {
    permits: Arc<Semaphore>,
    /// The bytes of the requests on all connections.
    pub requests: RequestBudget,
    idle: Mutex<IdleConnections>,
    stages: Mutex<StageCounts>,
    max_connections: usize,
    closable: Closable,
    /// How long a connection without a response is kept open before it may be closed for another one.
    min_unserved_age: Duration,
}

/// The sort key of an idle connection in the order of closing: connections that have carried a response come
/// first, and among equals the one that has been idle longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CloseOrder {
    is_unserved: bool,
    number: u64,
}

/// The idle connections in the order of closing.
#[derive(Default)]
struct IdleConnections {
    next_number: u64,
    by_close_order: BTreeMap<CloseOrder, IdleConnection>,
}

struct IdleConnection {
    since: Instant,
    close_signal: Arc<CloseSignal>,
}

/// Tells the task that serves a connection to close it.
#[derive(Default)]
pub struct CloseSignal {
    is_requested: AtomicBool,
    requested: Notify,
}

impl CloseSignal {
    /// Asks the connection to close as soon as no request has begun to arrive on it.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
        self.requested.notify_one();
    }

    /// Waits until the connection is asked to close.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Returns whether the connection was asked to close.
    pub fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Relaxed)
    }
}

impl ConnectionLimits {
    /// Allows `max_connections` open connections, and `max_request_bytes` in all requests that have no response
    /// yet. A connection that is `closable` and has not carried a response may be closed for another one after
    /// `min_unserved_age`.
    pub fn new(
        max_connections: usize,
        max_request_bytes: usize,
        closable: Closable,
        min_unserved_age: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            requests: RequestBudget::new(max_request_bytes),
            idle: Mutex::default(),
            stages: Mutex::default(),
            max_connections,
            closable,
            min_unserved_age,
        })
    }

    /// Waits for a permit for a new connection. If all are taken, asks the first idle connection in the order
    /// of closing to close. Returns `None` if the semaphore is closed.
    pub async fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionPermit>> {
        loop {
            if self.permits.available_permits() == 0 {
                self.close_idle();
            }
            // If no connection is idle, one becomes idle within milliseconds, after its response.
            let acquired = timeout(ADMISSION_RETRY_INTERVAL, self.permits.clone().acquire_owned()).await;
            if let Ok(acquired) = acquired {
                return Some(Arc::new(ConnectionPermit::new(self.clone(), acquired.ok()?)));
            }
        }
    }

    /// Waits until all permits have been returned, that is, until every connection has closed.
    pub async fn all_closed(&self) {
        let _ = self.permits.acquire_many(self.max_connections as u32).await;
    }

    /// Asks the first idle connection in the order of closing to close, if there is one that may be closed.
    pub fn close_idle(&self) {
        let mut idle = self.idle();
        let Some(first) = idle.by_close_order.first_entry() else { return };
        if !first.key().is_unserved || first.get().since.elapsed() >= self.min_unserved_age {
            first.remove().close_signal.request();
        }
    }

    /// Returns how many open connections are at each stage of a request.
    pub fn stage_counts(&self) -> StageCounts {
        *self.stages()
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stages(&self) -> MutexGuard<'_, StageCounts> {
        self.stages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The permit of one open connection.
pub struct ConnectionPermit {
    /// The limits that issued the permit.
    pub limits: Arc<ConnectionLimits>,
    /// Signals that the connection has to close to make room for another one.
    pub close_signal: Arc<CloseSignal>,
    state: Mutex<ConnectionState>,
    _permit: OwnedSemaphorePermit,
}

/// The state of an open connection.
struct ConnectionState {
    stage: RequestStage,
    stage_since: Instant,
    /// When the connection was opened, or became idle for the last time.
    idle_since: Instant,
    /// The key in the order of closing, or `None` while the connection is busy.
    close_order: Option<CloseOrder>,
    /// The number of responses created since the connection last had to wait for input.
    responses_in_turn: usize,
    /// Whether the client had closed the connection when that was last looked at.
    has_client_left: bool,
}

impl ConnectionPermit {
    fn new(limits: Arc<ConnectionLimits>, permit: OwnedSemaphorePermit) -> Self {
        limits.stages().add(RequestStage::Idle);
        let now = Instant::now();
        let stage = RequestStage::Idle;
        let state = ConnectionState {
            stage,
            stage_since: now,
            idle_since: now,
            close_order: None,
            responses_in_turn: 0,
            has_client_left: false,
        };
        let permit = Self { limits, close_signal: Arc::default(), state: Mutex::new(state), _permit: permit };
        permit.enter_idle(true);
        permit
    }

    /// Returns how far the connection has come with its current request.
    pub fn stage(&self) -> RequestStage {
        self.state().stage
    }

    /// Returns when the connection came to its stage.
    pub fn stage_since(&self) -> Instant {
        self.state().stage_since
    }

    /// Returns when the connection was opened, or became idle for the last time.
    pub fn idle_since(&self) -> Instant {
        self.state().idle_since
    }

    /// Records that a request has begun to arrive: the connection is busy until its response is flushed.
    pub fn set_busy(&self) {
        if self.limits.closable == Closable::Idle {
            self.leave_idle();
        }
        if self.stage() == RequestStage::Idle {
            self.set_stage(RequestStage::Head);
        }
    }

    /// Returns whether a request has begun to arrive and its response has not been flushed yet.
    pub fn is_busy(&self) -> bool {
        self.stage() != RequestStage::Idle
    }

    /// Records that the head of a request was read.
    pub fn set_head_read(&self) {
        self.set_busy();
        self.set_stage(RequestStage::Body);
    }

    /// Records that a request was read completely.
    pub fn set_request_read(&self) {
        self.leave_idle();
        self.set_stage(RequestStage::Processing);
    }

    /// Records that the client has closed the connection.
    pub fn set_client_left(&self) {
        self.state().has_client_left = true;
    }

    /// Returns whether the client has closed the connection, so that nobody waits for the response to a request
    /// that was unread until then.
    pub fn has_client_left(&self) -> bool {
        self.state().has_client_left
    }

    /// Records that no input is available, so that the connection waits while others are served.
    pub fn set_input_drained(&self) {
        self.state().responses_in_turn = 0;
    }

    /// Counts a response. Returns whether the connection has to let others be served before it, because it has
    /// had a response since it last waited.
    pub fn must_yield(&self) -> bool {
        let mut state = self.state();
        state.responses_in_turn += 1;
        state.responses_in_turn > 1
    }

    /// Records that the response to the last request was created and will be written next.
    pub fn set_responded(&self) {
        self.set_stage(RequestStage::Responding);
    }

    /// Records that all output was flushed. If it included a response, the connection becomes idle.
    pub fn set_flushed(&self) {
        if self.stage() == RequestStage::Responding {
            self.set_stage(RequestStage::Idle);
            self.enter_idle(false);
        }
    }

    /// Returns whether the connection may be closed for another one although a part of a request was read.
    pub fn is_closable_incomplete(&self) -> bool {
        let is_incomplete = matches!(self.stage(), RequestStage::Head | RequestStage::Body);
        is_incomplete && self.limits.closable == Closable::Incomplete
    }

    fn set_stage(&self, stage: RequestStage) {
        let previous = {
            let mut state = self.state();
            state.stage_since = Instant::now();
            std::mem::replace(&mut state.stage, stage)
        };
        let mut counts = self.limits.stages();
        counts.remove(previous);
        counts.add(stage);
    }

    fn enter_idle(&self, is_unserved: bool) {
        let mut idle = self.limits.idle();
        let order = CloseOrder { is_unserved, number: idle.next_number };
        idle.next_number += 1;
        let since = Instant::now();
        let connection = IdleConnection { since, close_signal: self.close_signal.clone() };
        idle.by_close_order.insert(order, connection);
        let mut state = self.state();
        state.close_order = Some(order);
        state.idle_since = since;
    }

    fn leave_idle(&self) {
        let order = self.state().close_order.take();
        if let Some(order) = order {
            self.limits.idle().by_close_order.remove(&order);
        }
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.leave_idle();
        self.limits.stages().remove(self.stage());
    }
}

#[cfg(test)]
mod tests;
