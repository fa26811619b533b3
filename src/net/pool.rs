//! Connections and calls: one call at a time on a connection, and what came back as an [`Outcome`].
use super::host::Input;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use micadrum::{EndpointId, Outcome, Report, Span};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Bodies of answers are read up to this; longer ones cost their connection.
const MOST_ANSWER: usize = 1 << 20;
/// How long the body of an answer may take once its status is known.
const BODY_PATIENCE: Duration = Duration::from_secs(1);

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// It broke before the request's last byte was written.
    #[error("broken before the request was written: {0}")]
    Unsent(#[source] hyper::Error),
    #[error("broken after the request was written: {0}")]
    Reset(#[source] hyper::Error),
}

/// How much of the request on a connection has been written, counted on the way to the socket: the one way
/// to know whether a call that broke may have run.
#[derive(Default)]
struct Written {
    /// Bytes matched of the blank line that ends the head.
    matched: u8,
    body_left: usize,
}

impl Written {
    fn count(&mut self, mut bytes: &[u8]) {
        while self.matched < 4
            && let Some((first, rest)) = bytes.split_first()
        {
            self.matched = match (self.matched, first) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            bytes = rest;
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }

    fn whole(&self) -> bool {
        self.matched == 4 && self.body_left == 0
    }
}

/// A stream that counts what is written to it. It takes no vectored writes, which keeps the count simple.
struct Counted {
    stream: TcpStream,
    written: Arc<Mutex<Written>>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written.lock().unwrap_or_else(PoisonError::into_inner).count(&buf[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection of our own. Dropping it closes it, which also gives up the call on it.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    written: Arc<Mutex<Written>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects within `patience`.
    pub async fn open(address: SocketAddr, patience: Duration) -> Result<Self, CallError> {
        let stream = match timeout(patience, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(_) => return Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        let written = Arc::new(Mutex::new(Written::default()));
        let io = TokioIo::new(Counted { stream, written: written.clone() });
        let (requests, connection) = http1::handshake(io).await.map_err(CallError::Unsent)?;
        // How it ends shows in the call on it, or in `is_alive`.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Self { requests, written, driver })
    }

    /// Whether it can take a call: asked before a byte of one is written.
    async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends one request; the answer is there with its head.
    pub async fn send(&mut self, request: Builder, body: Bytes) -> Result<Response<Incoming>, CallError> {
        *self.written() = Written { matched: 0, body_left: body.len() };
        let request = request.body(Full::new(body)).unwrap_or_else(|e| {
            // All parts were valid header values when they came in.
            eprintln!("pool: {e}");
            Request::default()
        });
        self.requests.send_request(request).await.map_err(|e| match self.request_written() {
            true => CallError::Reset(e),
            false => CallError::Unsent(e),
        })
    }

    fn written(&self) -> std::sync::MutexGuard<'_, Written> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request_written(&self) -> bool {
        self.written().whole()
    }
}

/// A request's head.
pub fn request(method: Method, path: &str, host: SocketAddr) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, host.to_string())
}

/// One message of a call.
#[derive(Clone)]
pub struct Parcel {
    pub number: u32,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// A call to an endpoint, with one message or several.
pub struct Call {
    pub number: u64,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub parcels: Vec<Parcel>,
    /// When it is given up.
    pub expires: Instant,
    pub connect_timeout: Duration,
}

/// How a call ended.
#[derive(Debug)]
pub struct Called {
    pub number: u64,
    pub endpoint: EndpointId,
    /// When the end of the call was seen: waits run from here.
    pub at: Instant,
    /// What became of each message, in the call's order.
    pub ends: Vec<(u32, Outcome, bool)>,
    /// A wait that the answer told.
    pub wait: Option<Span>,
    pub report: Option<Report>,
}

/// Where the fields of a load report stand.
#[derive(Clone, Copy)]
pub struct ReportFields {
    pub left: bool,
    pub limit: bool,
}

/// Idle connections by address, the last used one first out: an endpoint that moves leaves its old ones behind.
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<(Connection, Instant)>>,
    keep: Duration,
    most: usize,
}

impl Pool {
    /// `idle_time` is how long endpoints keep an idle connection open: ours are dropped well before. `most`
    /// are kept over all endpoints.
    pub fn new(idle_time: Duration, most: usize) -> Self {
        Self { idle: HashMap::new(), keep: idle_time * 4 / 5, most }
    }

    /// The youngest idle connection to the address, if any is young enough.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        self.prune();
        let idle = self.idle.get_mut(&address)?;
        idle.pop().map(|(connection, _)| connection)
    }

    /// Keeps a connection for the next call.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        self.prune();
        if self.idle.values().map(Vec::len).sum::<usize>() < self.most {
            self.idle.entry(address).or_default().push((connection, Instant::now()));
        }
    }

    /// Closes what is idle to an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have been idle for too long.
    fn prune(&mut self) {
        let keep = self.keep;
        self.idle.retain(|_, idle| {
            idle.retain(|(connection, since)| since.elapsed() < keep && !connection.requests.is_closed());
            !idle.is_empty()
        });
    }
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchEnd {
    id: String,
    state: State,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ok,
    Error,
    Later,
    Gone,
    Exhausted,
}

impl Call {
    /// Makes the call, on `kept` or a new connection. The host hears how it ended as soon as that is known; the
    /// connection comes back if it can carry another call.
    pub async fn run(
        self,
        kept: Option<Connection>,
        fields: ReportFields,
        host: &UnboundedSender<Input>,
    ) -> Option<Connection> {
        let done = |called| drop(host.send(Input::Called(called)));
        let mut connection = match self.connection(kept, host).await {
            Ok(Some(connection)) => connection,
            Ok(None) => {
                done(self.called(self.all(Outcome::Void), None, None));
                return None;
            }
            Err(e) => {
                done(self.ended_by(&e));
                return None;
            }
        };
        let (request, body) = self.request();
        match timeout_at(self.expires, connection.send(request, body)).await {
            Ok(Ok(answer)) if self.parcels.len() > 1 && answer.status() == StatusCode::OK => {
                // A batch is answered with its whole body, and until then its messages' fates are open.
                let (head, body) = answer.into_parts();
                let read = timeout_at(self.expires, Limited::new(body, MOST_ANSWER).collect()).await;
                let told = told(&head.headers);
                let (ends, whole) = match read {
                    Ok(Ok(body)) => (self.batch_ends(&body.to_bytes(), told), true),
                    Ok(Err(_)) => (self.all(Outcome::Reset), false),
                    Err(_) => (self.all(Outcome::TimedOut), false),
                };
                done(self.called(ends, told, fields.read(&head.headers)));
                whole.then_some(connection)
            }
            Ok(Ok(answer)) => {
                let told = told(answer.headers());
                let (outcome, over) = outcome(answer.status(), answer.headers(), told);
                let ends = self.parcels.iter().map(|p| (p.number, outcome, over)).collect();
                done(self.called(ends, told, fields.read(answer.headers())));
                let body = Limited::new(answer.into_body(), MOST_ANSWER).collect();
                let read = timeout(BODY_PATIENCE, body).await;
                matches!(read, Ok(Ok(_))).then_some(connection)
            }
            Ok(Err(e)) => {
                done(self.ended_by(&e));
                None
            }
            Err(_) => {
                // Closed first: what was never written whole then never runs.
                let outcome =
                    if connection.request_written() { Outcome::TimedOut } else { Outcome::ConnectFailed };
                drop(connection);
                done(self.called(self.all(outcome), None, None));
                None
            }
        }
    }

    /// A connection for the call; none if its messages may not go out any more once there is one.
    async fn connection(
        &self,
        kept: Option<Connection>,
        host: &UnboundedSender<Input>,
    ) -> Result<Option<Connection>, CallError> {
        if let Some(mut kept) = kept
            && kept.is_alive().await
        {
            return Ok(Some(kept));
        }
        let left = self.expires.saturating_duration_since(Instant::now());
        let new = Connection::open(self.address, left.min(self.connect_timeout)).await?;
        let (may_begin, allowed) = oneshot::channel();
        let messages = self.parcels.iter().map(|p| p.number).collect();
        let _ = host.send(Input::Connected { endpoint: self.endpoint, messages, may_begin });
        // A host that has ended has no more calls to make.
        Ok(allowed.await.unwrap_or(false).then_some(new))
    }

    fn request(&self) -> (Builder, Bytes) {
        let left = self.expires.saturating_duration_since(Instant::now()).as_secs_f64();
        let path = if self.parcels.len() > 1 { "/hook/batch" } else { "/hook" };
        let head = request(Method::POST, path, self.address).header("X-Remaining", format!("{left:.3}"));
        if let [parcel] = &self.parcels[..] {
            let mut head = head.header("X-Txn", &parcel.id);
            if let Some(key) = &parcel.idempotency_key {
                head = head.header("Idempotency-Key", key);
            }
            return (head, parcel.body.clone());
        }
        let items: Vec<_> = (self.parcels.iter())
            .map(|p| BatchItem { id: &p.id, key: p.idempotency_key.as_deref(), body: BASE64.encode(&p.body) })
            .collect();
        // Strings always have a JSON form.
        let body = serde_json::to_vec(&items).unwrap_or_default();
        (head.header(CONTENT_TYPE, "application/json"), body.into())
    }

    fn all(&self, outcome: Outcome) -> Vec<(u32, Outcome, bool)> {
        self.parcels.iter().map(|p| (p.number, outcome, false)).collect()
    }

    fn batch_ends(&self, body: &[u8], told: Option<Span>) -> Vec<(u32, Outcome, bool)> {
        let states: HashMap<String, State> = match serde_json::from_slice::<Vec<BatchEnd>>(body) {
            Ok(ends) => ends.into_iter().map(|end| (end.id, end.state)).collect(),
            Err(e) => {
                eprintln!("pool: a batch's answer cannot be read: {e}");
                HashMap::new()
            }
        };
        let end = |parcel: &Parcel| match states.get(&parcel.id) {
            Some(State::Ok) => (Outcome::Success, true),
            Some(State::Later) => (Outcome::Full(told), false),
            Some(State::Gone) => (Outcome::Void, true),
            Some(State::Exhausted) => (Outcome::Void, false),
            // What the answer does not tell of may have run.
            Some(State::Error) | None => (Outcome::Failure, false),
        };
        self.parcels.iter().map(|p| (p.number, end(p).0, end(p).1)).collect()
    }

    fn ended_by(&self, error: &CallError) -> Called {
        let outcome = match error {
            CallError::Connect(_) | CallError::Unsent(_) => Outcome::ConnectFailed,
            CallError::Reset(_) => Outcome::Reset,
        };
        self.called(self.all(outcome), None, None)
    }

    fn called(&self, ends: Vec<(u32, Outcome, bool)>, wait: Option<Span>, report: Option<Report>) -> Called {
        Called { number: self.number, endpoint: self.endpoint, at: Instant::now(), ends, wait, report }
    }
}

/// The outcome that a status stands for, and whether it ends the message.
fn outcome(status: StatusCode, headers: &HeaderMap, told: Option<Span>) -> (Outcome, bool) {
    match status {
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Full(told), false),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-No-Slot") => (Outcome::Void, false),
        StatusCode::SERVICE_UNAVAILABLE => (Outcome::Full(told), false),
        StatusCode::GATEWAY_TIMEOUT => (Outcome::Void, false),
        StatusCode::GONE => (Outcome::Void, true),
        // Nothing else is agreed on: it may have run.
        _ => (Outcome::Failure, false),
    }
}

/// A told wait: seconds, with decimals.
fn told(headers: &HeaderMap) -> Option<Span> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Span((seconds * 1e6).ceil() as u64))
}

impl ReportFields {
    fn read(self, headers: &HeaderMap) -> Option<Report> {
        let text = headers.get("X-Pressure")?.to_str().ok()?;
        let field = |name: &str| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            fields.find(|(n, _)| *n == name)?.1.trim().parse().ok().filter(|v: &f64| v.is_finite())
        };
        let left = field("x0").filter(|_| self.left);
        let limit = field("x1").filter(|_| self.limit);
        if left.is_none() && limit.is_none() {
            return None;
        }
        Some(Report { left: left.unwrap_or(1.0), limit: limit.unwrap_or(0.0) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpSocket};

    fn post(to: SocketAddr) -> Builder {
        request(Method::POST, "/hook", to)
    }

    /// Guards against taking a call for one that may have run though its last byte was never written: the
    /// peer takes some of a body that no buffer on the way holds whole, and breaks off.
    #[tokio::test]
    async fn a_break_before_the_last_byte_is_known() {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut [0; 100]).await.unwrap();
        };
        let mut connection = Connection::open(address, Duration::from_secs(20)).await.unwrap();
        let body = Bytes::from(vec![b'x'; 64 << 20]);
        let (answer, ()) = tokio::join!(connection.send(post(address), body), peer);
        assert!(matches!(answer, Err(CallError::Unsent(_))), "{answer:?}");
    }

    /// Guards against the opposite: read whole and then broken off, it may have run, also where the
    /// connection had carried a call before.
    #[tokio::test]
    async fn a_break_after_the_last_byte_is_known() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut got = Vec::new();
            for answer in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
                while !got.ends_with(b"\r\n\r\nwhole") {
                    stream.read_buf(&mut got).await.unwrap();
                }
                got.clear();
                stream.write_all(answer).await.unwrap();
            }
        };
        let calls = async {
            let mut connection = Connection::open(address, Duration::from_secs(20)).await.unwrap();
            let first = connection.send(post(address), "whole".into()).await;
            assert!(first.unwrap().into_body().collect().await.is_ok());
            connection.send(post(address), "whole".into()).await
        };
        let (second, ()) = tokio::join!(calls, peer);
        assert!(matches!(second, Err(CallError::Reset(_))), "{second:?}");
    }
}
