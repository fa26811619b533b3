//! One budget of bytes for the requests of all connections of a listener: the stored header values and the
//! bodies, from when they are read until the response.
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A request that holds at most this many bytes may use all of the budget, so that large requests that are
/// read slowly do not keep small ones out.
const SMALL_REQUEST_BYTES: usize = 4 * 1024;
/// Larger requests leave the budget divided by this to small ones.
const SMALL_REQUEST_DIVISOR: usize = 4;

/// The budget has no space for more bytes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted;

/// The budget of one listener.
pub struct RequestBudget {
    available: Arc<Semaphore>,
    /// The bytes that only small requests may use.
    small_request_bytes: usize,
}

impl RequestBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        let available = Arc::new(Semaphore::new(bytes));
        Self { available, small_request_bytes: bytes / SMALL_REQUEST_DIVISOR }
    }

    /// Begins a request that holds no bytes yet.
    pub fn begin_request(&self) -> RequestBytes {
        RequestBytes {
            available: self.available.clone(),
            small_request_bytes: self.small_request_bytes,
            reserved: None,
        }
    }
}

/// The bytes of one request. Dropping them returns them to the budget.
pub struct RequestBytes {
    available: Arc<Semaphore>,
    small_request_bytes: usize,
    reserved: Option<OwnedSemaphorePermit>,
}

impl RequestBytes {
    /// Reserves `bytes` more for the request.
    ///
    /// # Errors
    /// The budget has no space for them.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let held = self.reserved.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let left_to_others = if held + bytes > SMALL_REQUEST_BYTES { self.small_request_bytes } else { 0 };
        if self.available.available_permits() < bytes.saturating_add(left_to_others) {
            return Err(BudgetExhausted);
        }
        let more = u32::try_from(bytes).map_err(|_| BudgetExhausted)?;
        let more = self.available.clone().try_acquire_many_owned(more).map_err(|_| BudgetExhausted)?;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(more),
            None => self.reserved = Some(more),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
