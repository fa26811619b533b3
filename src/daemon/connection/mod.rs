//! A client connection: one HTTP/1 call at a time, and how much of it has passed.
//!
//! Whether a call that broke may have run depends on whether its last byte was written; so the bytes are observed on their
//! way to and from the socket.
mod observed_stream;
mod request_progress;
mod status_line;

use super::ports::Network;
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
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Most bytes of the head of a response, and of its body; a longer one costs its connection.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// How long the rest of a head may take after its status line, and the body after its head.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There was no connection.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke before the last byte of the request was written.
    #[error("broken before the request was written: {0}")]
    Unsent(#[source] hyper::Error),
    /// The connection broke after that, with no response.
    #[error("broken after the request was written: {0}")]
    Reset(#[source] hyper::Error),
    /// The head of the request cannot be written: nothing was sent.
    #[error("a head that cannot be written: {0}")]
    Head(String),
    /// What arrived is no response; where its status line can be read, that still tells the status.
    #[error("an answer that cannot be read, of status {0:?}")]
    InvalidResponse(Option<u16>),
}

/// A connection to an endpoint, to discovery or to a successor. Dropping it closes it, which also abandons the call on it.
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
    /// Connects within `patience`.
    ///
    /// # Errors
    /// There is no connection in time.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<Self, CallError> {
        let stream = match timeout(patience, network.connect(address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(_) => return Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        };
        let exchange = SharedExchange::default();
        let io = TokioIo::new(ObservedStream::new(stream, exchange.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_RESPONSE_BYTES).handshake(io);
        let (requests, connection) = handshake.await.map_err(CallError::Unsent)?;
        // How the connection ends shows in the call on it, or in `is_alive`.
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self { requests, exchange, driver })
    }

    /// Returns whether the connection can take a call; asked before a byte of one is written.
    pub async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends one request; returns the response with its head, which may not lag behind its status line.
    ///
    /// # Errors
    /// The call got no response.
    pub async fn send(
        &mut self,
        request: Builder,
        body: Bytes,
        counter: Option<WrittenCounter>,
    ) -> Result<Response<Incoming>, CallError> {
        let responding = Arc::new(Notify::new());
        *self.exchange.lock() = Exchange {
            request: RequestProgress::new(body.len()),
            status_line: StatusLine::default(),
            responding: responding.clone(),
            counter,
        };
        let overdue = async move {
            responding.notified().await;
            sleep(RESPONSE_TIMEOUT).await;
        };
        let request = request.body(Full::new(body)).map_err(|error| CallError::Head(error.to_string()))?;
        let response = tokio::select! {
            response = self.requests.send_request(request) => response,
            () = overdue => return Err(CallError::InvalidResponse(self.status())),
        };
        response.map_err(|error| {
            let exchange = self.exchange.lock();
            match exchange.status_line.result() {
                _ if !exchange.request.is_complete() => CallError::Unsent(error),
                Some(status) => CallError::InvalidResponse(status),
                None => CallError::Reset(error),
            }
        })
    }

    /// Returns whether the last byte of the last request was written.
    pub fn is_request_written(&self) -> bool {
        self.exchange.lock().request.is_complete()
    }

    /// Returns whether any byte of the last request was written.
    pub fn has_request_started(&self) -> bool {
        self.exchange.lock().request.has_started()
    }

    /// Returns whether the connection can carry nothing any more.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// The status in the status line of what has arrived, if that can be read.
    fn status(&self) -> Option<u16> {
        self.exchange.lock().status_line.result().flatten()
    }
}

/// Creates the head of a request.
pub fn request(method: Method, path: &str, host: SocketAddr) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, host.to_string())
}

#[cfg(test)]
mod tests;
