//! A client's stream that marks its connection busy from the first byte of a request to the last one of the response.
use super::ConnectionPermit;
use super::lingering_close::LingeringClose;
use crate::daemon::runtime_checks::Violations;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The stream of a client. A connection of which a byte was read must not be closed for another one: the request would go
/// without a response.
pub struct RequestActivity {
    stream: LingeringClose,
    permit: Arc<ConnectionPermit>,
    /// The connection gives way to another one: nothing more is read.
    has_ended: bool,
    /// The client has ended its sending or broken the connection off: nobody waits for a response.
    has_client_left: bool,
    violations: Violations,
}

impl RequestActivity {
    /// Wraps the stream of the connection that has `permit`.
    pub fn new(stream: LingeringClose, permit: Arc<ConnectionPermit>, violations: Violations) -> Self {
        Self { stream, permit, has_ended: false, has_client_left: false, violations }
    }

    /// Notes the end of what the client sends, or an error.
    fn note_client<T>(&mut self, outcome: io::Result<T>) -> io::Result<T> {
        self.has_client_left |= outcome.is_err();
        outcome
    }

    /// Whether the connection ends here: it was asked to, and no part of a request has arrived. The system is asked last.
    fn is_ending(&mut self) -> bool {
        let is_asked = self.permit.close_signal.is_requested() && !self.permit.is_busy();
        self.has_ended = self.has_ended || (is_asked && !self.stream.has_unread());
        self.has_ended
    }
}

impl AsyncRead for RequestActivity {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_ending() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.note_client(read)?;
        if buf.filled().len() > before {
            self.permit.set_busy();
        } else {
            self.has_client_left = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestActivity {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        Poll::Ready(self.note_client(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.permit.set_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing was read since the last response: what arrives from here on stays unread, and its client sends it again.
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        if self.permit.owes_response() && !self.has_client_left {
            self.violations.record_unanswered_request();
        }
    }
}
