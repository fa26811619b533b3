//! Connections and calls: one call at a time on a connection, and what came back as an [`Outcome`].
use super::host::Input;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use micadrum::{EndpointId, Outcome, Report, Span};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Heads and bodies of answers are read up to this; longer ones cost their connection.
const MOST_ANSWER: usize = 64 * 1024;
/// How long the rest of a head may take after its first line, and the body after its head.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// No told wait is longer.
const MOST_WAIT: f64 = 3600.0;
/// No limit that a report tells is higher, in calls a second.
const MOST_LIMIT: f64 = 1e6;

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
    /// Something came back that is no answer; where its first line can be read, it still tells the status.
    #[error("an answer that cannot be read, of status {0:?}")]
    Spoilt(Option<u16>),
}

/// How much of the request on a connection has been written, counted on the way to the socket: the one way
/// to know whether a call that broke may have run.
#[derive(Default)]
struct Written {
    begun: bool,
    /// Bytes matched of the blank line that ends the head.
    matched: u8,
    body_left: usize,
}

impl Written {
    fn count(&mut self, mut bytes: &[u8]) {
        self.begun = true;
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

/// The first line of an answer, as far as it has come: hyper does not tell it where the rest of the head
/// cannot be read.
#[derive(Default)]
struct FirstLine {
    start: Vec<u8>,
    /// What has come of the blank line that ends an interim answer's head, while one is passed over.
    interim: Option<u8>,
    /// Set once there is something: the status, if it can be read.
    status: Option<Option<u16>>,
}

impl FirstLine {
    /// `HTTP/1.1 200`, and what ends the number.
    const LENGTH: usize = 13;

    fn see(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.status.is_some() {
                return;
            }
            if let Some(breaks) = &mut self.interim {
                *breaks = match byte {
                    b'\n' => *breaks + 1,
                    b'\r' => *breaks,
                    _ => 0,
                };
                if *breaks == 2 {
                    self.interim = None;
                }
                continue;
            }
            self.start.push(*byte);
            if self.start.len() < Self::LENGTH && *byte != b'\n' {
                continue;
            }
            match std::mem::take(&mut self.start).as_slice() {
                [
                    b'H',
                    b'T',
                    b'T',
                    b'P',
                    b'/',
                    b'1',
                    b'.',
                    b'0' | b'1',
                    b' ',
                    status @ ..,
                    b' ' | b'\r' | b'\n',
                ] => {
                    match std::str::from_utf8(status).ok().and_then(|status| status.parse().ok()) {
                        // An interim answer; the one that counts comes behind it.
                        Some(100..=199) => self.interim = Some(0),
                        status => self.status = Some(status),
                    }
                }
                _ => self.status = Some(None),
            }
        }
    }
}

/// What passes on a connection, for the call that is on it.
#[derive(Default)]
struct Exchange {
    written: Written,
    first_line: FirstLine,
    /// Told once the first line of an answer is there.
    answering: Arc<Notify>,
}

/// A stream that looks at what passes. It takes no vectored writes, which keeps the count simple.
struct Watched {
    stream: TcpStream,
    exchange: Arc<Mutex<Exchange>>,
}

impl Watched {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nothing may have come before a request begins: what is there belongs to no answer of its, and where
    /// the end is there, nobody would read it. Asked of the system itself, as the runtime learns it later.
    fn is_fresh(&self) -> io::Result<()> {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let mut exchange = self.exchange();
        if exchange.first_line.status.is_none() {
            exchange.first_line.see(&buf.filled()[before..]);
            if exchange.first_line.status.is_some() {
                exchange.answering.notify_one();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.exchange().written.begun {
            self.is_fresh()?;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.exchange().written.count(&buf[..count]);
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
    exchange: Arc<Mutex<Exchange>>,
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
        let exchange = Arc::<Mutex<Exchange>>::default();
        let io = Watched { stream, exchange: exchange.clone() };
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MOST_ANSWER).handshake(TokioIo::new(io));
        let (requests, connection) = handshake.await.map_err(CallError::Unsent)?;
        // How it ends shows in the call on it, or in `is_alive`.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Self { requests, exchange, driver })
    }

    /// Whether it can take a call: asked before a byte of one is written.
    async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends one request; the answer is there with its head, which may not lag behind its first line.
    pub async fn send(&mut self, request: Builder, body: Bytes) -> Result<Response<Incoming>, CallError> {
        let written = Written { body_left: body.len(), ..Written::default() };
        let answering = Arc::new(Notify::new());
        *self.exchange() =
            Exchange { written, first_line: FirstLine::default(), answering: answering.clone() };
        let overdue = async move {
            answering.notified().await;
            sleep(ANSWER_PATIENCE).await;
        };
        let request = request.body(Full::new(body)).unwrap_or_else(|e| {
            // All parts were valid header values when they came in.
            eprintln!("pool: {e}");
            Request::default()
        });
        let answer = tokio::select! {
            answer = self.requests.send_request(request) => answer,
            () = overdue => return Err(CallError::Spoilt(self.status())),
        };
        answer.map_err(|e| {
            let exchange = self.exchange();
            match exchange.first_line.status {
                _ if !exchange.written.whole() => CallError::Unsent(e),
                Some(status) => CallError::Spoilt(status),
                None => CallError::Reset(e),
            }
        })
    }

    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request_written(&self) -> bool {
        self.exchange().written.whole()
    }

    /// Whether any byte of the last request was written.
    fn request_begun(&self) -> bool {
        self.exchange().written.begun
    }

    /// The status in the first line of what has come back, if that can be read.
    fn status(&self) -> Option<u16> {
        self.exchange().first_line.status.flatten()
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

/// Idle connections by endpoint and address, the last used one first out: an endpoint that moves leaves its
/// old ones behind, and one that takes a gone one's address inherits none.
pub struct Pool {
    idle: HashMap<(EndpointId, SocketAddr), Vec<(Connection, Instant)>>,
    keep: Duration,
    most: usize,
    unread: Arc<Semaphore>,
}

impl Pool {
    /// `idle_time` is how long endpoints keep an idle connection open: ours are dropped well before. `most`
    /// are kept over all endpoints, and `unread` may be read to the end of an answer that is already known.
    pub fn new(idle_time: Duration, most: usize, unread: usize) -> Self {
        let unread = Arc::new(Semaphore::new(unread));
        Self { idle: HashMap::new(), keep: idle_time * 4 / 5, most, unread }
    }

    /// Room for connections whose answers are known and not yet read to their end.
    pub fn unread(&self) -> Arc<Semaphore> {
        self.unread.clone()
    }

    /// The youngest idle connection to the endpoint at its address, if any is young enough.
    pub fn take(&mut self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        self.prune();
        let idle = self.idle.get_mut(&(endpoint, address))?;
        idle.pop().map(|(connection, _)| connection)
    }

    /// Keeps a connection for the next call.
    pub fn put(&mut self, endpoint: EndpointId, address: SocketAddr, connection: Connection) {
        self.prune();
        if self.idle.values().map(Vec::len).sum::<usize>() < self.most {
            self.idle.entry((endpoint, address)).or_default().push((connection, Instant::now()));
        }
    }

    /// Closes what is idle to an endpoint.
    pub fn close(&mut self, endpoint: EndpointId) {
        self.idle.retain(|(to, _), _| *to != endpoint);
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
        unread: &Semaphore,
        host: &UnboundedSender<Input>,
    ) -> Option<Connection> {
        let done = |called| drop(host.send(Input::Called(called)));
        let (connection, answer) = match self.answer(kept, host).await {
            Ok(Some(answered)) => answered,
            Ok(None) => {
                done(self.called(self.all(Outcome::Void), None, None));
                return None;
            }
            Err(outcome) => {
                let over = outcome == Outcome::Success;
                let ends = self.parcels.iter().map(|p| (p.number, outcome, over)).collect();
                done(self.called(ends, None, None));
                return None;
            }
        };
        let (head, body) = answer.into_parts();
        let (told, report) = (told(&head.headers), fields.read(&head.headers));
        let mut called = self.called(Vec::new(), told, report);
        if head.status == StatusCode::OK && self.parcels.len() == 1 {
            // Delivered, whatever the body holds: it is read only for the sake of the next call.
            called.ends = self.parcels.iter().map(|p| (p.number, Outcome::Success, true)).collect();
            done(called);
            let _room = unread.try_acquire().ok()?;
            return whole(body).await.is_some().then_some(connection);
        }
        // Only a whole answer is believed: one that turns out spoilt may have run, whatever its head says. A
        // batch is answered with its whole body, and until then its messages' fates are open.
        let body = timeout_at(self.expires, whole(body)).await.ok().flatten();
        called.ends = match &body {
            Some(body) if head.status == StatusCode::OK => self.batch_ends(body, told),
            Some(_) => {
                let (outcome, over) = outcome(head.status, &head.headers, told);
                self.parcels.iter().map(|p| (p.number, outcome, over)).collect()
            }
            None => self.all(Outcome::Failure),
        };
        done(called);
        body.is_some().then_some(connection)
    }

    /// Sends the request and waits for the head of its answer; none if the messages may not go out any more.
    async fn answer(
        &self,
        kept: Option<Connection>,
        host: &UnboundedSender<Input>,
    ) -> Result<Option<(Connection, Response<Incoming>)>, Outcome> {
        if let Some(mut kept) = kept
            && kept.is_alive().await
        {
            match self.send(&mut kept).await {
                // It went stale: with no byte of the request written, a new connection carries the first copy.
                Err(Outcome::ConnectFailed) if !kept.request_begun() => {}
                answer => return answer.map(|answer| Some((kept, answer))),
            }
        }
        let Some(mut new) = self.connect(host).await? else { return Ok(None) };
        let answer = self.send(&mut new).await?;
        Ok(Some((new, answer)))
    }

    async fn send(&self, connection: &mut Connection) -> Result<Response<Incoming>, Outcome> {
        let (request, body) = self.request();
        match timeout_at(self.expires, connection.send(request, body)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(CallError::Connect(_) | CallError::Unsent(_))) => Err(Outcome::ConnectFailed),
            Ok(Err(CallError::Reset(_))) => Err(Outcome::Reset),
            Ok(Err(CallError::Spoilt(status))) => Err(self.spoilt(status)),
            // The caller drops the connection: what was never written whole then never runs.
            Err(_) if !connection.request_written() => Err(Outcome::ConnectFailed),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// What an answer stands for of which only the first line can be read: 200 to a single message is true, and
    /// anything else may have run.
    fn spoilt(&self, status: Option<u16>) -> Outcome {
        match (status, self.parcels.len()) {
            (Some(200), 1) => Outcome::Success,
            _ => Outcome::Failure,
        }
    }

    /// A new connection for the call; none if its messages may not go out any more once there is one.
    async fn connect(&self, host: &UnboundedSender<Input>) -> Result<Option<Connection>, Outcome> {
        let left = self.expires.saturating_duration_since(Instant::now());
        let new = Connection::open(self.address, left.min(self.connect_timeout)).await;
        let new = new.map_err(|_| Outcome::ConnectFailed)?;
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

    fn called(&self, ends: Vec<(u32, Outcome, bool)>, wait: Option<Span>, report: Option<Report>) -> Called {
        Called { number: self.number, endpoint: self.endpoint, at: Instant::now(), ends, wait, report }
    }
}

/// The body, if it comes to its end in time and in size.
async fn whole(body: Incoming) -> Option<Bytes> {
    if body.size_hint().lower() > MOST_ANSWER as u64 {
        return None;
    }
    let read = timeout(ANSWER_PATIENCE, Limited::new(body, MOST_ANSWER).collect()).await;
    Some(read.ok()?.ok()?.to_bytes())
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
    (seconds > 0.0).then(|| Span((seconds.min(MOST_WAIT) * 1e6).ceil() as u64))
}

impl ReportFields {
    fn read(self, headers: &HeaderMap) -> Option<Report> {
        let text = headers.get("X-Pressure")?.to_str().ok()?;
        let field = |name: &str| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            fields.find(|(n, _)| *n == name)?.1.trim().parse().ok()
        };
        // A report with a field that cannot be is not a report: none of it is believed.
        let left = if self.left { Some(field("x0").filter(|v| (0.0..=1.0).contains(v))?) } else { None };
        let limit =
            if self.limit { Some(field("x1").filter(|v| (0.0..=MOST_LIMIT).contains(v))?) } else { None };
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

    /// Guards against taking for an answer what came before its request: the runtime has not seen it yet when
    /// the request is about to go out, and nothing may be written to that connection any more.
    #[tokio::test]
    async fn what_came_before_a_request_does_not_answer_it() {
        use std::io::{Read, Write};
        const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (again, asked) = std::sync::mpsc::channel();
        let (written, is_written) = std::sync::mpsc::channel();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut got = vec![0; 1024];
            let read = stream.read(&mut got).unwrap();
            assert!(read > 0);
            stream.write_all(ANSWER).unwrap();
            asked.recv().unwrap();
            stream.write_all(ANSWER).unwrap();
            written.send(()).unwrap();
            assert_eq!(stream.read(&mut got).unwrap_or(0), 0, "something was written");
        });
        let mut connection = Connection::open(address, Duration::from_secs(20)).await.unwrap();
        let first = connection.send(post(address), Bytes::new()).await;
        assert!(first.unwrap().into_body().collect().await.is_ok());
        // Blocking keeps the runtime from looking at its sockets meanwhile.
        again.send(()).unwrap();
        is_written.recv().unwrap();
        let second = connection.send(post(address), Bytes::new()).await;
        assert!(matches!(second, Err(CallError::Unsent(_))) && !connection.request_begun(), "{second:?}");
        drop(connection);
        tokio::task::spawn_blocking(|| peer.join().unwrap()).await.unwrap();
    }
}
