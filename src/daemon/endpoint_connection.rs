//! A connection to an endpoint, with its trace and what the endpoint sent on it without a request.
use super::connection::{CallError, Connection};
use super::ports::Network;
use super::request_trace::{CloseReason, ConnectionTrace, RequestTrace};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// A connection to an endpoint. Its owner closes it with [`Self::close`], which traces the reason.
pub struct EndpointConnection {
    /// The connection.
    pub connection: Connection,
    /// The trace of the requests on the connection.
    pub trace: ConnectionTrace,
    unsolicited: Rc<Unsolicited>,
}

/// Whether the endpoint has sent something on a connection while no request was in progress.
#[derive(Default)]
struct Unsolicited {
    has_arrived: Cell<bool>,
    arrived: Notify,
}

impl EndpointConnection {
    /// Opens a connection to `address`. Calls `on_unsolicited` if the endpoint sends something while no
    /// request is in progress.
    ///
    /// # Errors
    /// Returns an error if connecting fails or takes longer than `connect_timeout`.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        connect_timeout: Duration,
        trace: &RequestTrace,
        on_unsolicited: impl FnOnce(&[u8]) + 'static,
    ) -> Result<Self, CallError> {
        let unsolicited = Rc::<Unsolicited>::default();
        let received = unsolicited.clone();
        let record = move |bytes: &[u8]| {
            on_unsolicited(bytes);
            received.has_arrived.set(true);
            received.arrived.notify_one();
        };
        let connection = Connection::open_watched(network, address, connect_timeout, record).await?;
        Ok(Self { connection, trace: trace.connection(address), unsolicited })
    }

    /// Waits until the endpoint sends something while no request is in progress, and returns whether it does
    /// so before `until`.
    pub async fn receives_unsolicited(&self, until: Instant) -> bool {
        if !self.unsolicited.has_arrived.get() {
            let _ = timeout_at(until, self.unsolicited.arrived.notified()).await;
        }
        self.unsolicited.has_arrived.get()
    }

    /// Closes the connection. The traced reason is `reason`, unless the endpoint sent something while no
    /// request was in progress.
    pub fn close(self, reason: CloseReason) {
        let is_unsolicited = self.unsolicited.has_arrived.get();
        self.trace.closed(if is_unsolicited { CloseReason::UnsolicitedResponse } else { reason });
    }
}
