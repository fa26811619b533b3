//! Sockets that are read and written until the system says that nothing more can be transferred.
//!
//! The runtime's own streams take a transfer of less than the buffer for the last one, and wait for the socket to become
//! ready again. The system may transfer less although more is there, and then says nothing further.
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A socket that can be asked whether it is ready, and forgets that it is only when a transfer would block.
pub trait ReadySocket: AsyncWrite + Unpin {
    /// Waits until the socket can be read.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Waits until the socket can be written.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Reads what is there.
    ///
    /// # Errors
    /// `WouldBlock` if nothing is there, or the error of the system.
    fn read_ready(&self, buffer: &mut ReadBuf<'_>) -> io::Result<usize>;

    /// Writes what there is space for.
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

/// A stream over such a socket.
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

/// Whether a transfer is tried again: the socket is not ready, or a signal arrived.
fn is_retried(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
