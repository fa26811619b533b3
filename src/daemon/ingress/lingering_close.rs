//! A stream that closes without losing the last response.
use crate::daemon::ports::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// How long input is read after the last response, so that a client that is still sending receives the
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded input.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// A client's stream that shuts down its sending side first and then discards input until the client closes
/// the connection or a timeout expires. If a socket with unread input is closed, the kernel resets the
/// connection, and the client may lose the last response.
pub struct LingeringClose {
    stream: Box<dyn Stream>,
    linger_until: Option<Pin<Box<Sleep>>>,
}

impl LingeringClose {
    /// Wraps the stream of a client that has just connected.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self { stream, linger_until: None }
    }

    /// Returns whether the client is known to have closed the connection, or at least its sending side.
    pub fn has_client_closed(&self) -> bool {
        self.stream.has_peer_closed()
    }

    /// Returns whether unread input, the end of the stream or an error has arrived.
    pub fn has_unread(&self) -> bool {
        self.stream.check_no_unread_input().is_err()
    }
}

impl AsyncRead for LingeringClose {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringClose {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger_until.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let linger_until = this.linger_until.get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while linger_until.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}
