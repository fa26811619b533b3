//! A stream that closes without losing its last response.
use crate::daemon::ports::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// How long a connection is read on after its last response, so that a client that is still sending receives it.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes that are read and dropped at once meanwhile.
const DISCARD_BYTES: usize = 16 * 1024;

/// The stream of a client. CloseSignal it shuts down the sending side first and reads on for a while: closed at once with
/// bytes unread, the system would reset the connection and might drop the last response with it.
pub struct LingeringClose {
    stream: Box<dyn Stream>,
    until: Option<Pin<Box<Sleep>>>,
}

impl LingeringClose {
    /// Wraps the stream of a client that has just connected.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self { stream, until: None }
    }

    /// Whether something has arrived that was not read yet.
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
        if this.until.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let until = this.until.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        let mut discarded = [0; DISCARD_BYTES];
        while until.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}
