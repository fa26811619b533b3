//! A stream that tracks the progress of the request written to it and of the response read from it.
use super::request_progress::RequestProgress;
use super::status_line::StatusLine;
use crate::daemon::ports::Stream;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Upper bound on what is kept of bytes that arrive after a response.
const MAX_UNSOLICITED_BYTES: usize = 4096;

/// Counts the messages of a request once its last byte is written.
pub struct WrittenCounter {
    /// The number of messages in all completely written requests.
    pub total: Arc<AtomicU64>,
    /// The number of messages in this request.
    pub messages: u64,
}

/// The progress of the current request and its response.
#[derive(Default)]
pub struct Exchange {
    pub request: RequestProgress,
    pub status_line: StatusLine,
    /// Notified when the status line of the response has arrived.
    pub status_line_arrived: Arc<Notify>,
    /// Taken when the last byte of the request has been written.
    pub counter: Option<WrittenCounter>,
    /// When the last byte of the request was written.
    pub written_at: Option<Instant>,
    /// When the status line arrived, or invalid bytes in its place.
    pub answered_at: Option<Instant>,
    /// Whether the response was read completely.
    pub is_over: bool,
    /// The beginning of what arrived after the response.
    pub unsolicited: Vec<u8>,
}

/// An exchange that is shared between a connection and its stream.
#[derive(Clone, Default)]
pub struct SharedExchange(Arc<Mutex<Exchange>>);

impl SharedExchange {
    /// Locks the exchange, also if another holder of the lock has panicked.
    pub fn lock(&self) -> MutexGuard<'_, Exchange> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that updates an [`Exchange`]. It does not support vectored writes, which keeps counting simple.
pub struct ObservedStream {
    stream: Box<dyn Stream>,
    exchange: SharedExchange,
}

impl ObservedStream {
    /// Wraps `stream`, and updates `exchange` on each read and write.
    pub fn new(stream: Box<dyn Stream>, exchange: SharedExchange) -> Self {
        Self { stream, exchange }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = &buf.filled()[before..];
        let mut exchange = self.exchange.lock();
        if exchange.is_over {
            let space = MAX_UNSOLICITED_BYTES.saturating_sub(exchange.unsolicited.len());
            exchange.unsolicited.extend_from_slice(&received[..received.len().min(space)]);
        } else if !exchange.status_line.has_arrived() {
            exchange.status_line.receive(received);
            if exchange.status_line.has_arrived() {
                exchange.answered_at = Some(Instant::now());
                exchange.status_line_arrived.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.exchange.lock().request.has_started() {
            // Bytes that arrived before the request was sent cannot be its response, and after the end of the
            // stream the peer does not read the request.
            self.stream.check_no_unread_input()?;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        let mut exchange = self.exchange.lock();
        exchange.request.count(&buf[..count]);
        if exchange.request.is_complete() && exchange.written_at.is_none() {
            exchange.written_at = Some(Instant::now());
        }
        if exchange.request.is_complete()
            && let Some(counter) = exchange.counter.take()
        {
            counter.total.fetch_add(counter.messages, Ordering::Relaxed);
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
