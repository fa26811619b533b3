//! A connection to an endpoint, with its trace.
use super::connection::{CallError, Connection};
use super::ports::Network;
use super::request_trace::{CloseReason, ConnectionTrace, RequestTrace};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A connection to an endpoint. Its owner closes it with [`Self::close`], which traces the reason.
pub struct EndpointConnection {
    /// The connection.
    pub connection: Connection,
    /// The trace of the requests on the connection.
    pub trace: ConnectionTrace,
    received_unsolicited: Rc<Cell<bool>>,
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
        on_unsolicited: impl FnOnce() + 'static,
    ) -> Result<Self, CallError> {
        let received_unsolicited = Rc::new(Cell::new(false));
        let received = received_unsolicited.clone();
        let record = move || {
            received.set(true);
            on_unsolicited();
        };
        let connection = Connection::open_watched(network, address, connect_timeout, record).await?;
        Ok(Self { connection, trace: trace.connection(address), received_unsolicited })
    }

    /// Closes the connection. The traced reason is `reason`, unless the endpoint sent something while no
    /// request was in progress.
    pub fn close(self, reason: CloseReason) {
        let is_unsolicited = self.received_unsolicited.get();
        self.trace.closed(if is_unsolicited { CloseReason::UnsolicitedResponse } else { reason });
    }
}
