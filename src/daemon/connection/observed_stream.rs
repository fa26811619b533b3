//! A stream that observes the request and the response that pass on it.
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

/// Counts the messages of a request once its last byte is written.
pub struct WrittenCounter {
    /// The count of all requests.
    pub total: Arc<AtomicU64>,
    /// The messages of this one.
    pub messages: u64,
}

/// The request and the response on a connection, as far as they have passed.
#[derive(Default)]
pub struct Exchange {
    pub request: RequestProgress,
    pub status_line: StatusLine,
    /// Notified once the status line of a response has arrived.
    pub responding: Arc<Notify>,
    /// Used up once the last byte of the request is written.
    pub counter: Option<WrittenCounter>,
}

/// The exchange on a connection, shared with the stream that observes it.
#[derive(Clone, Default)]
pub struct SharedExchange(Arc<Mutex<Exchange>>);

impl SharedExchange {
    /// Locks the exchange.
    pub fn lock(&self) -> MutexGuard<'_, Exchange> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The observing stream. It takes no vectored writes, which keeps the count simple.
pub struct ObservedStream {
    stream: Box<dyn Stream>,
    exchange: SharedExchange,
}

impl ObservedStream {
    /// Observes `stream` for `exchange`.
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
        let mut exchange = self.exchange.lock();
        if !exchange.status_line.has_arrived() {
            exchange.status_line.receive(&buf.filled()[before..]);
            if exchange.status_line.has_arrived() {
                exchange.responding.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.exchange.lock().request.has_started() {
            // Nothing may have arrived before a request starts: such bytes belong to no response to it, and where the
            // end of the stream has arrived, nobody would read the request.
            self.stream.check_no_unread_input()?;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        let mut exchange = self.exchange.lock();
        exchange.request.count(&buf[..count]);
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
