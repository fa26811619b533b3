//! A peer whose every byte the test decides: it stops where it is told to, and goes on when told to.
use super::harness::{HttpMessage, TEST_TIMEOUT};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A whole answer that delivers.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Listens on a port of its own; nobody is let in before the test asks.
pub struct RawServer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl RawServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// The next connection.
    pub async fn accept(&self) -> RawConnection {
        let (stream, _) = timeout(TEST_TIMEOUT, self.listener.accept()).await.expect("a connection").unwrap();
        RawConnection(stream)
    }

    /// Whether nobody connects for `span`.
    pub async fn is_idle_for(&self, span: std::time::Duration) -> bool {
        timeout(span, self.listener.accept()).await.is_err()
    }
}

/// One connection of the peer's.
pub struct RawConnection(TcpStream);

impl RawConnection {
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }

    /// The next request; none where the other side closes instead.
    pub async fn request_or_close(&mut self) -> Option<HttpMessage> {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0)).await.expect("a request or an end")
    }

    /// The next request, whole.
    pub async fn request(&mut self) -> HttpMessage {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0))
            .await
            .expect("a request")
            .expect("a whole request")
    }

    /// Waits until all of a request with that body is there, and reads none of it.
    pub async fn wait_for_unread_request(&mut self, body: &str) {
        let end = format!("\r\n\r\n{body}").into_bytes();
        let mut bytes = vec![0; 4096];
        let whole = async {
            loop {
                let count = self.0.peek(&mut bytes).await.unwrap();
                assert!(count > 0, "the other side closed");
                if bytes[..count].ends_with(&end) {
                    return;
                }
                // What is there does not go away by a look: the next one is for more.
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, whole).await.expect("a whole request");
    }

    /// Reads so many bytes, no more.
    pub async fn read_exact(&mut self, count: usize) {
        let mut bytes = vec![0; count];
        timeout(TEST_TIMEOUT, self.0.read_exact(&mut bytes)).await.expect("bytes").unwrap();
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Waits for the other side to close it; whatever it said until then is passed over.
    pub async fn wait_for_close(&mut self) {
        let mut scrap = [0; 1024];
        let read = async { while self.0.read(&mut scrap).await.is_ok_and(|read| read > 0) {} };
        timeout(TEST_TIMEOUT, read).await.expect("a close");
    }

    /// Whether the other side says nothing for `span`, not even that it closes.
    pub async fn is_idle_for(&mut self, span: std::time::Duration) -> bool {
        timeout(span, self.0.read(&mut [0; 1])).await.is_err()
    }

    /// Breaks it: what was sent and not yet read is lost too.
    pub fn reset(self) {
        self.0.set_zero_linger().unwrap();
    }
}

/// A client's connection, with the request that it is about to send.
pub struct RawClient(pub TcpStream);

impl RawClient {
    pub async fn connect(to: SocketAddr) -> Self {
        Self(TcpStream::connect(to).await.unwrap())
    }

    /// The text of a message for destination 7.
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

    /// The next answer; none where the connection ends before it is there whole.
    pub async fn response(&mut self) -> Option<HttpMessage> {
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut self.0)).await.expect("an answer or an end")
    }

    /// All that is said until the other side closes.
    pub async fn read_until_close(&mut self) -> String {
        let mut received = Vec::new();
        let _ = timeout(TEST_TIMEOUT, self.0.read_to_end(&mut received)).await.expect("a close");
        String::from_utf8(received).unwrap()
    }

    pub fn reset(self) {
        self.0.set_zero_linger().unwrap();
    }
}
