//! The ports as implemented by the operating system.
use super::ports::{
    AppendFile, DatagramSocket, Listener, LocalFuture, Log, Network, Storage, Stream, WallClock,
};
use super::ready_stream::ReadyStream;
use rustix::time::{ClockId, clock_gettime};
use socket2::SockRef;
use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::PathBuf;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// The system's real-time and monotonic clocks.
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn monotonic(&self) -> Duration {
        let time = clock_gettime(ClockId::Monotonic);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
    }
}

/// A log on standard error.
pub struct StandardError;

impl Log for StandardError {
    fn line(&self, text: &str) {
        // A write error is ignored: the reader of the log may have exited.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

/// The TCP and UDP network of this machine.
pub struct Tcp;

struct TcpConnection(ReadyStream<TcpStream>);

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move { wrap_stream(uninterrupted(|| TcpStream::connect(to)).await?) })
    }

    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(at).await?) as Box<dyn Listener>) })
    }

    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn DatagramSocket>>> {
        Box::pin(async move { Ok(Box::new(UdpSocket::bind(at).await?) as Box<dyn DatagramSocket>) })
    }

    fn adopt(&self, listener: OwnedFd) -> io::Result<Box<dyn Listener>> {
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        Ok(Box::new(TcpListener::from_std(listener)?))
    }
}

/// Retries an operation as long as signals interrupt it.
async fn uninterrupted<T, F: Future<Output = io::Result<T>>>(operation: impl Fn() -> F) -> io::Result<T> {
    loop {
        match operation().await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            outcome => return outcome,
        }
    }
}

fn wrap_stream(stream: TcpStream) -> io::Result<Box<dyn Stream>> {
    stream.set_nodelay(true)?;
    Ok(Box::new(TcpConnection(ReadyStream(stream))))
}

impl Listener for TcpListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move { wrap_stream(uninterrupted(|| TcpListener::accept(self)).await?.0) })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }

    fn as_fd(&self) -> Option<BorrowedFd<'_>> {
        Some(AsFd::as_fd(self))
    }
}

impl DatagramSocket for UdpSocket {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.try_send_to(bytes, to).map(drop)
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> LocalFuture<'a, io::Result<usize>> {
        Box::pin(self.recv(buffer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        UdpSocket::local_addr(self)
    }
}

impl Stream for TcpConnection {
    fn check_no_unread_input(&self) -> io::Result<()> {
        match SockRef::from(&self.0.0).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn has_peer_closed(&self) -> bool {
        let socket = SockRef::from(&self.0.0);
        match socket.peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => true,
            // A socket that was reset has no peer any more, even if it has unread input.
            Ok(_) => socket.peer_addr().is_err(),
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    fn reset_on_close(&self) {
        // On failure, the connection ends as usual.
        let _ = SockRef::from(&self.0.0).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for TcpConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// A folder of the file system.
pub struct Folder(pub PathBuf);

impl Storage for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(self.0.join(name));
        let mut file = file?;
        file.seek(SeekFrom::End(0))?;
        Ok(Box::new(file))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(File::create(self.0.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.0.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        }
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        let file = self.try_clone();
        Box::pin(async move {
            let file = file?;
            // A sync can block for long, so it runs on a blocking thread.
            tokio::task::spawn_blocking(move || file.sync_data()).await.map_err(io::Error::other)?
        })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::Start(length)).map(drop)
    }
}
