//! An HTTP/1 client connection that carries one call at a time and tracks its progress.
//!
//! The peer can only have processed a failed call if the last byte of its request was written, so the
//! connection observes the bytes that are written to and read from the socket.
mod observed_stream;
mod request_progress;
mod status_line;

use super::ports::{Network, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
pub use observed_stream::WrittenCounter;
use observed_stream::{Exchange, ObservedStream, SharedExchange};
use request_progress::RequestProgress;
use status_line::StatusLine;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Upper bound on the size of a response head, and of a response body. A larger response fails the call and
/// closes the connection.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Time limit for the rest of a response head after its status line, and for the body after the head.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call has no valid response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed before the last byte of the request was written.
    #[error("connection failed before the request was completely written: {0}")]
    IncompleteRequest(#[source] hyper::Error),
    /// The connection failed after the last byte of the request was written and before a response arrived.
    #[error("connection failed after the request was written: {0}")]
    Reset(#[source] hyper::Error),
    /// The request contains an invalid header. Nothing was sent.
    #[error("invalid request: {0}")]
    InvalidRequest(String),
    /// The response is invalid or incomplete. Contains its status if the status line could be parsed.
    #[error("invalid response, status {0:?}")]
    InvalidResponse(Option<u16>),
}

/// A connection to an endpoint, to the discovery agent or to a successor process. Dropping it closes the
/// connection and abandons the call on it.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    exchange: SharedExchange,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// Returns an error if connecting fails or takes longer than `connect_timeout`.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, CallError> {
        Self::open_watched(network, address, connect_timeout, |_| {}).await
    }

    /// Opens a connection to `address`. Calls `on_unsolicited` if the peer sends something while no request
    /// is in progress; the connection is closed then. The argument is the beginning of what was sent after
    /// the call of [`Self::end_exchange`], if it was called.
    ///
    /// # Errors
    /// Returns an error if connecting fails or takes longer than `connect_timeout`.
    pub async fn open_watched(
        network: &dyn Network,
        address: SocketAddr,
        connect_timeout: Duration,
        on_unsolicited: impl FnOnce(&[u8]) + 'static,
    ) -> Result<Self, CallError> {
        let stream = connect(network, address, connect_timeout).await?;
        Self::start(stream, on_unsolicited).await
    }

    /// Opens a connection to `address` that ends with a reset: a request on it that the peer has not read yet
    /// when it is dropped is recognizably abandoned.
    ///
    /// # Errors
    /// Returns an error if connecting fails or takes longer than `connect_timeout`.
    pub async fn open_abortive(
        network: &dyn Network,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, CallError> {
        let stream = connect(network, address, connect_timeout).await?;
        stream.reset_on_close();
        Self::start(stream, |_| {}).await
    }

    /// Starts to drive a connection that was opened.
    async fn start(
        stream: Box<dyn Stream>,
        on_unsolicited: impl FnOnce(&[u8]) + 'static,
    ) -> Result<Self, CallError> {
        let exchange = SharedExchange::default();
        let io = TokioIo::new(ObservedStream::new(stream, exchange.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_RESPONSE_BYTES).handshake(io);
        let (requests, connection) = handshake.await.map_err(CallError::IncompleteRequest)?;
        // An error of the connection is reported by the call on it, or by `is_alive`.
        let driven = exchange.clone();
        let drive = async move {
            if connection.await.is_err_and(|error| is_unsolicited_input(&error)) {
                let unsolicited = std::mem::take(&mut driven.lock().unsolicited);
                on_unsolicited(&unsolicited);
            }
        };
        let driver = spawn_local(drive).abort_handle();
        Ok(Self { requests, exchange, driver })
    }

    /// Waits until the connection can send a request. Returns `false` if it is closed.
    pub async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends a request, and returns the response once its head has arrived. The head has to be complete
    /// within [`RESPONSE_TIMEOUT`] after its status line.
    ///
    /// # Errors
    /// Returns an error if the call has no valid response.
    pub async fn send(
        &mut self,
        request: Builder,
        body: Bytes,
        counter: Option<WrittenCounter>,
    ) -> Result<Response<Incoming>, CallError> {
        let status_line_arrived = Arc::new(Notify::new());
        *self.exchange.lock() = Exchange {
            request: RequestProgress::new(body.len()),
            status_line: StatusLine::default(),
            status_line_arrived: status_line_arrived.clone(),
            counter,
            ..Exchange::default()
        };
        let head_timeout = async move {
            status_line_arrived.notified().await;
            sleep(RESPONSE_TIMEOUT).await;
        };
        let request =
            request.body(Full::new(body)).map_err(|error| CallError::InvalidRequest(error.to_string()))?;
        let response = tokio::select! {
            response = self.requests.send_request(request) => response,
            () = head_timeout => return Err(CallError::InvalidResponse(self.status())),
        };
        response.map_err(|error| {
            let exchange = self.exchange.lock();
            match exchange.status_line.result() {
                _ if !exchange.request.is_complete() => CallError::IncompleteRequest(error),
                Some(status) => CallError::InvalidResponse(status),
                None => CallError::Reset(error),
            }
        })
    }

    /// Records that the response was read completely. What arrives from now on is not a part of it.
    pub fn end_exchange(&self) {
        self.exchange.lock().is_over = true;
    }

    /// Returns the time from the last byte of the last request to its response; `None` if either has not
    /// occurred, or the response came first.
    pub fn response_delay(&self) -> Option<Duration> {
        let exchange = self.exchange.lock();
        exchange.answered_at?.checked_duration_since(exchange.written_at?)
    }

    /// Returns whether the last byte of the last request was written.
    pub fn is_request_written(&self) -> bool {
        self.exchange.lock().request.is_complete()
    }

    /// Returns whether any byte of the last request was written.
    pub fn has_request_started(&self) -> bool {
        self.exchange.lock().request.has_started()
    }

    /// Returns whether the connection is closed and cannot carry another call.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Returns the status of the current response, or `None` if its status line has not arrived or is
    /// invalid.
    fn status(&self) -> Option<u16> {
        self.exchange.lock().status_line.result().flatten()
    }
}

async fn connect(
    network: &dyn Network,
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<Box<dyn Stream>, CallError> {
    match timeout(connect_timeout, network.connect(address)).await {
        Ok(stream) => stream.map_err(CallError::Connect),
        Err(_) => Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
    }
}

/// Returns whether a connection failed because it received bytes while no request was in progress. Such an
/// error has no cause, unlike one of the system, and hyper has no predicate for it.
fn is_unsolicited_input(error: &hyper::Error) -> bool {
    let is_other = error.is_incomplete_message()
        || error.is_canceled()
        || error.is_closed()
        || error.is_parse()
        || error.is_body_write_aborted()
        || error.is_timeout()
        || error.is_user();
    !is_other && error.source().is_none()
}

/// Returns a builder for a request to `host`, with its `Host` header.
pub fn request(method: Method, path: &str, host: SocketAddr) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, host.to_string())
}

#[cfg(test)]
mod tests;
