//! A connection of our own: one call at a time, and how much of it has passed.
use super::ports::{Network, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Heads and bodies of answers are read up to this; longer ones cost their connection.
pub const MOST_ANSWER: usize = 64 * 1024;
/// How long the rest of a head may take after its first line, and the body after its head.
pub const ANSWER_PATIENCE: Duration = Duration::from_millis(500);

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There was no connection.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// It broke before the request's last byte was written.
    #[error("broken before the request was written: {0}")]
    Unsent(#[source] hyper::Error),
    /// It broke after that, with no answer.
    #[error("broken after the request was written: {0}")]
    Reset(#[source] hyper::Error),
    /// The request's head cannot be written: nothing was sent.
    #[error("a head that cannot be written: {0}")]
    Head(String),
    /// Something came back that is no answer; where its first line can be read, it still tells the status.
    #[error("an answer that cannot be read, of status {0:?}")]
    Spoilt(Option<u16>),
}

/// How much of the request on a connection has been written, counted on the way to the socket: the one way
/// to know whether a call that broke may have run.
#[derive(Default)]
struct Written {
    begun: bool,
    /// Bytes matched of the blank line that ends the head.
    matched: u8,
    body_left: usize,
}

impl Written {
    fn count(&mut self, mut bytes: &[u8]) {
        self.begun = true;
        while self.matched < 4
            && let Some((first, rest)) = bytes.split_first()
        {
            if self.matched == 0 && *first != b'\r' {
                // Nothing of the blank line begins before the next return.
                let next = rest.iter().position(|byte| *byte == b'\r');
                bytes = next.map_or(&[], |at| &rest[at..]);
                continue;
            }
            self.matched = match (self.matched, first) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            bytes = rest;
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }

    fn whole(&self) -> bool {
        self.matched == 4 && self.body_left == 0
    }
}

/// The first line of an answer, as far as it has come: hyper does not tell it where the rest of the head
/// cannot be read.
#[derive(Default)]
struct FirstLine {
    start: Vec<u8>,
    /// What has come of the blank line that ends an interim answer's head, while one is passed over.
    interim: Option<u8>,
    /// Set once there is something: the status, if it can be read.
    status: Option<Option<u16>>,
}

impl FirstLine {
    /// `HTTP/1.1 200`, and what ends the number.
    const LENGTH: usize = 13;

    fn see(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.status.is_some() {
                return;
            }
            if let Some(breaks) = &mut self.interim {
                *breaks = match byte {
                    b'\n' => *breaks + 1,
                    b'\r' => *breaks,
                    _ => 0,
                };
                if *breaks == 2 {
                    self.interim = None;
                }
                continue;
            }
            self.start.push(*byte);
            if self.start.len() < Self::LENGTH && *byte != b'\n' {
                continue;
            }
            match std::mem::take(&mut self.start).as_slice() {
                [
                    b'H',
                    b'T',
                    b'T',
                    b'P',
                    b'/',
                    b'1',
                    b'.',
                    b'0' | b'1',
                    b' ',
                    status @ ..,
                    b' ' | b'\r' | b'\n',
                ] => {
                    match std::str::from_utf8(status).ok().and_then(|status| status.parse().ok()) {
                        // An interim answer; the one that counts comes behind it.
                        Some(100..=199) => self.interim = Some(0),
                        status => self.status = Some(status),
                    }
                }
                _ => self.status = Some(None),
            }
        }
    }
}

/// What passes on a connection, for the call that is on it.
#[derive(Default)]
struct Exchange {
    written: Written,
    first_line: FirstLine,
    /// Told once the first line of an answer is there.
    answering: Arc<Notify>,
    /// Takes note once the request's last byte is written.
    tally: Option<Tally>,
}

/// Counts what a request carries once its last byte is written.
pub struct Tally {
    /// The count of all.
    pub count: Arc<AtomicU64>,
    /// What this one adds.
    pub adds: u64,
}

/// A stream that looks at what passes. It takes no vectored writes, which keeps the count simple.
struct Watched {
    stream: Box<dyn Stream>,
    exchange: Arc<Mutex<Exchange>>,
}

impl Watched {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let mut exchange = self.exchange();
        if exchange.first_line.status.is_none() {
            exchange.first_line.see(&buf.filled()[before..]);
            if exchange.first_line.status.is_some() {
                exchange.answering.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.exchange().written.begun {
            // Nothing may have come before a request begins: what is there belongs to no answer of its, and
            // where the end is there, nobody would read it.
            self.stream.is_fresh()?;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        let mut exchange = self.exchange();
        exchange.written.count(&buf[..count]);
        if exchange.written.whole()
            && let Some(tally) = exchange.tally.take()
        {
            tally.count.fetch_add(tally.adds, Ordering::Relaxed);
        }
        drop(exchange);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection of our own. Dropping it closes it, which also gives up the call on it.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    exchange: Arc<Mutex<Exchange>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects within `patience`.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<Self, CallError> {
        let stream = match timeout(patience, network.connect(address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(_) => return Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        };
        let exchange = Arc::<Mutex<Exchange>>::default();
        let io = Watched { stream, exchange: exchange.clone() };
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MOST_ANSWER).handshake(TokioIo::new(io));
        let (requests, connection) = handshake.await.map_err(CallError::Unsent)?;
        // How it ends shows in the call on it, or in `is_alive`.
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self { requests, exchange, driver })
    }

    /// Whether it can take a call: asked before a byte of one is written.
    pub async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends one request; the answer is there with its head, which may not lag behind its first line.
    pub async fn send(
        &mut self,
        request: Builder,
        body: Bytes,
        tally: Option<Tally>,
    ) -> Result<Response<Incoming>, CallError> {
        let written = Written { body_left: body.len(), ..Written::default() };
        let answering = Arc::new(Notify::new());
        *self.exchange() =
            Exchange { written, first_line: FirstLine::default(), answering: answering.clone(), tally };
        let overdue = async move {
            answering.notified().await;
            sleep(ANSWER_PATIENCE).await;
        };
        let request = request.body(Full::new(body)).map_err(|e| CallError::Head(e.to_string()))?;
        let answer = tokio::select! {
            answer = self.requests.send_request(request) => answer,
            () = overdue => return Err(CallError::Spoilt(self.status())),
        };
        answer.map_err(|e| {
            let exchange = self.exchange();
            match exchange.first_line.status {
                _ if !exchange.written.whole() => CallError::Unsent(e),
                Some(status) => CallError::Spoilt(status),
                None => CallError::Reset(e),
            }
        })
    }

    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the last byte of the last request was written.
    pub fn request_written(&self) -> bool {
        self.exchange().written.whole()
    }

    /// Whether any byte of the last request was written.
    pub fn request_begun(&self) -> bool {
        self.exchange().written.begun
    }

    /// Whether it can carry nothing any more.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// The status in the first line of what has come back, if that can be read.
    fn status(&self) -> Option<u16> {
        self.exchange().first_line.status.flatten()
    }
}

/// A request's head.
pub fn request(method: Method, path: &str, host: SocketAddr) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, host.to_string())
}

#[cfg(test)]
mod tests;
