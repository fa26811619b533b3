//! A client's stream that marks its connection busy from the first byte of a request until its response is
//! flushed.
use super::ConnectionPermit;
use super::lingering_close::LingeringClose;
use super::request_stage::RequestStage;
use super::unanswered_requests::UnansweredRequests;
use hyper::StatusCode;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

/// A client's stream that records request activity in the connection's permit. It reports the end of the
/// stream to close the connection for another one, but never after a byte of a request was read, because that
/// request needs a response.
pub struct RequestActivity {
    stream: LingeringClose,
    permit: Arc<ConnectionPermit>,
    /// The connection is being closed for another one, and nothing more is read.
    has_stopped_reading: bool,
    /// The client has closed its sending side, or the connection has failed.
    has_client_closed: bool,
    unanswered: Rc<UnansweredRequests>,
}

impl RequestActivity {
    /// Wraps the stream of the connection that has `permit`.
    pub fn new(
        stream: LingeringClose,
        permit: Arc<ConnectionPermit>,
        unanswered: Rc<UnansweredRequests>,
    ) -> Self {
        Self { stream, permit, has_stopped_reading: false, has_client_closed: false, unanswered }
    }

    /// Returns whether this process has ended the input because the connection was asked to close.
    pub fn has_stopped_reading(&self) -> bool {
        self.has_stopped_reading
    }

    /// Writes the last response on the connection, to a request that has not arrived completely. Nothing of it
    /// is accepted, so the client may send it again.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn write_final_response(&mut self, status: StatusCode) -> io::Result<()> {
        self.permit.set_responded();
        // The client may still be sending, so its input is discarded after the response.
        self.has_stopped_reading = false;
        let response = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        self.write_all(response.as_bytes()).await?;
        self.flush().await
    }

    /// Records an error of the connection.
    fn record_error<T>(&mut self, outcome: io::Result<T>) -> io::Result<T> {
        self.has_client_closed |= outcome.is_err();
        outcome
    }

    /// Records whether the client has closed the connection. What it sent before is then read, but nobody waits
    /// for the responses.
    fn look_for_close(&self) {
        if self.stream.has_client_closed() {
            self.permit.set_client_left();
        }
    }

    /// Stops reading if the connection was asked to close and no part of a request has arrived. Returns
    /// whether reading has stopped. Checks for unread input last, as that is a system call.
    fn stop_if_requested(&mut self) -> bool {
        let may_stop = self.permit.close_signal.is_requested() && !self.permit.is_busy();
        self.has_stopped_reading = self.has_stopped_reading || (may_stop && !self.stream.has_unread());
        self.has_stopped_reading
    }
}

impl AsyncRead for RequestActivity {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stop_if_requested() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) else {
            self.permit.set_input_drained();
            return Poll::Pending;
        };
        self.record_error(read)?;
        if buf.filled().len() > before {
            self.permit.set_busy();
            self.look_for_close();
        } else {
            self.has_client_closed = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestActivity {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.permit.stage() == RequestStage::Head {
            // hyper responds by itself to a head that it cannot parse.
            self.permit.set_responded();
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        Poll::Ready(self.record_error(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.permit.stage() == RequestStage::Responding {
            // The next request may have been read already.
            self.look_for_close();
        }
        self.permit.set_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing was read after the last response. A request that arrives from now on stays unread, and the
        // client sends it again.
        if self.has_stopped_reading {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        if !self.has_client_closed {
            self.unanswered.record_close(self.permit.stage());
        }
    }
}
