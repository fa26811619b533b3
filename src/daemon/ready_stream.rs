//! Streams that keep a socket's readiness until the system reports that a transfer would block.
//!
//! tokio's own streams clear the readiness after a transfer that is shorter than the buffer, and then wait
//! for the next readiness event. The system can make a short transfer although more data or space is
//! available, and then reports no further event.
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A socket whose readiness is cleared only when a transfer would block.
pub trait ReadySocket: AsyncWrite + Unpin {
    /// Polls for the socket to become readable.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Polls for the socket to become writable.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Reads the available bytes into `buffer`, and returns their number.
    ///
    /// # Errors
    /// `WouldBlock` if no bytes are available, or the error of the system.
    fn read_ready(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize>;

    /// Writes as many bytes as the socket's buffer has space for, and returns their number.
    ///
    /// # Errors
    /// `WouldBlock` if there is no space, or the error of the system.
    fn write_ready(&self, bytes: &[u8]) -> io::Result<usize>;
}

macro_rules! ready_socket {
    ($socket:ty) => {
        impl ReadySocket for $socket {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn read_ready(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize> {
                self.try_read_buf(buffer)
            }

            fn write_ready(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }
        }
    };
}

ready_socket!(TcpStream);
ready_socket!(UnixStream);

/// A stream over a [`ReadySocket`].
pub struct ReadyStream<S>(pub S);

impl<S: ReadySocket> AsyncRead for ReadyStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.0.poll_readable(cx))?;
            match self.0.read_ready(buf) {
                Err(error) if is_retried(&error) => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl<S: ReadySocket> AsyncWrite for ReadyStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_writable(cx))?;
            match self.0.write_ready(buf) {
                Err(error) if is_retried(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Returns whether a transfer is retried: the socket was not ready, or a signal interrupted the call.
fn is_retried(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
