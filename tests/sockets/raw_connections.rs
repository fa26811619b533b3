//! Servers and clients of which the test chooses each byte and each instant.
use super::harness::{HttpMessage, TEST_TIMEOUT};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A complete response that reports delivery.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Listens on a free port, and accepts a connection only when the test calls [`RawServer::accept`].
pub struct RawServer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl RawServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> RawConnection {
        let (stream, _) =
            timeout(TEST_TIMEOUT, self.listener.accept()).await.expect("no connection in time").unwrap();
        RawConnection(stream)
    }

    /// Returns whether no connection arrives for `span`.
    pub async fn is_idle_for(&self, span: std::time::Duration) -> bool {
        timeout(span, self.listener.accept()).await.is_err()
    }
}

/// A connection that a server has accepted.
pub struct RawConnection(TcpStream);

impl RawConnection {
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }

    /// Reads the next request, or returns `None` if the other side closes the connection first.
    pub async fn request_or_close(&mut self) -> Option<HttpMessage> {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0))
            .await
            .expect("neither a request nor a close in time")
    }

    /// Reads the next request.
    pub async fn request(&mut self) -> HttpMessage {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0))
            .await
            .expect("no request in time")
            .expect("the connection ended before the request was complete")
    }

    /// Waits until a request that ends with `body` has arrived completely, without reading it from the
    /// socket.
    pub async fn wait_for_unread_request(&mut self, body: &str) {
        let end = format!("\r\n\r\n{body}").into_bytes();
        let mut bytes = vec![0; 4096];
        let whole = async {
            loop {
                let count = self.0.peek(&mut bytes).await.unwrap();
                assert!(count > 0, "the other side closed the connection before the request was complete");
                if bytes[..count].ends_with(&end) {
                    return;
                }
                // Peeking leaves the bytes in the socket, so each attempt sees all that has arrived.
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, whole).await.expect("no complete request in time");
    }

    /// Reads exactly `count` bytes.
    pub async fn read_exact(&mut self, count: usize) {
        let mut bytes = vec![0; count];
        timeout(TEST_TIMEOUT, self.0.read_exact(&mut bytes)).await.expect("too few bytes in time").unwrap();
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Waits until the other side closes the connection, and discards what it sends before.
    pub async fn wait_for_close(&mut self) {
        let mut buffer = [0; 1024];
        let read = async { while self.0.read(&mut buffer).await.is_ok_and(|read| read > 0) {} };
        timeout(TEST_TIMEOUT, read).await.expect("no close in time");
    }

    /// Returns whether the other side neither sends anything nor closes the connection for `span`.
    pub async fn is_idle_for(&mut self, span: std::time::Duration) -> bool {
        timeout(span, self.0.read(&mut [0; 1])).await.is_err()
    }

    /// Resets the connection; bytes that the other side has not read yet are lost.
    pub fn reset(self) {
        self.0.set_zero_linger().unwrap();
    }
}

/// A client's connection to the sender.
pub struct RawClient(pub TcpStream);

impl RawClient {
    pub async fn connect(to: SocketAddr) -> Self {
        Self(TcpStream::connect(to).await.unwrap())
    }

    /// Returns the bytes of a request that submits a message for destination 7.
    pub fn request_text(id: &str, class: &str, key: &str) -> String {
        format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: {key}\r\n\
             X-Remaining: 30\r\nX-Envelope: dest=7\r\nIdempotency-Key: idem-{id}\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        )
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads the next response, or returns `None` if the connection ends before it is complete.
    pub async fn response(&mut self) -> Option<HttpMessage> {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0))
            .await
            .expect("neither a response nor a close in time")
    }

    /// Reads until the other side closes the connection, and returns all of it.
    pub async fn read_until_close(&mut self) -> String {
        let mut received = Vec::new();
        let _ = timeout(TEST_TIMEOUT, self.0.read_to_end(&mut received)).await.expect("no close in time");
        String::from_utf8(received).unwrap()
    }

    pub fn reset(self) {
        self.0.set_zero_linger().unwrap();
    }
}
