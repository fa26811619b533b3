//! The side that clients see: messages are handed in, and answered once the journal holds them.
use super::connection::{Connection, MOST_ANSWER, request};
use super::events::{ListenerState, LoopEvent, SubmitResponse};
use super::journal::SubmittedMessage;
use super::ports::{Listener, Log, Network, Ports, Stream};
use super::resource_budget::ResourceBudget;
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, Sleep, sleep, timeout};

const MOST_BODY: usize = 64 * 1024;
/// No head is longer: fields are limited to 1 KiB each, and there are few.
const MOST_HEAD: usize = 16 * 1024;
/// Seconds that no deadline is further away; what clients say beyond it is cut.
const MOST_REMAINING: f64 = 86_400.0;
/// Longest header field that is kept with a message.
const MOST_FIELD: usize = 1024;
/// A head that is not there by then does not come; a connection without a request ends with it. Clients keep
/// connections between requests, so it may not be shorter than 2 s.
const HEAD_PATIENCE: Duration = Duration::from_millis(2100);
/// The same for a body. Clients wait 400 ms for their answer, so a slower one has gone.
const BODY_PATIENCE: Duration = Duration::from_millis(500);
/// How long a request that is passed on to the next process may wait for a connection, and for its answer.
const PASSED_ON: Duration = Duration::from_millis(400);
/// How long a connection is read on after its last answer, so that a client still sending hears it.
const LINGER: Duration = Duration::from_secs(1);

/// Room for connections, and those on which nothing waits for an answer: with the house full, the one that
/// has rested longest makes room for a newcomer.
pub struct ConnectionLimits {
    room: Arc<Semaphore>,
    /// Bytes of bodies that may be read at once.
    bodies: Arc<Semaphore>,
    resting: Mutex<Resting>,
    places: usize,
}

#[derive(Default)]
struct Resting {
    next: u64,
    seats: BTreeMap<u64, Arc<Notify>>,
}

impl ConnectionLimits {
    /// One with so many places, in which so many bytes of bodies may be read at once.
    pub fn new(places: usize, bodies: usize) -> Arc<Self> {
        let (room, bodies) = (Arc::new(Semaphore::new(places)), Arc::new(Semaphore::new(bodies)));
        Arc::new(Self { room, bodies, resting: Mutex::default(), places })
    }

    /// A place for a newcomer; with the house full, who has rested longest leaves.
    pub async fn seat(self: &Arc<Self>) -> Option<Arc<ConnectionPermit>> {
        if self.room.available_permits() == 0 {
            self.make_room();
        }
        // All seats taken and none at rest: answers are due within milliseconds.
        let permit = self.room.clone().acquire_owned().await.ok()?;
        Some(Arc::new(ConnectionPermit::new(self.clone(), permit)))
    }

    /// With all permits back, every connection has ended.
    async fn empty(&self) {
        let _ = self.room.acquire_many(self.places as u32).await;
    }

    fn resting(&self) -> MutexGuard<'_, Resting> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the connection that has rested longest to leave.
    fn make_room(&self) {
        if let Some((_, leave)) = self.resting().seats.pop_first() {
            leave.notify_one();
        }
    }
}

/// The place of one connection in the house.
pub struct ConnectionPermit {
    house: Arc<ConnectionLimits>,
    /// Tells the connection that its place is wanted.
    pub leave: Arc<Notify>,
    /// Its place among those that rest, while it does.
    place: Mutex<Option<u64>>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPermit {
    fn new(house: Arc<ConnectionLimits>, permit: OwnedSemaphorePermit) -> Self {
        let seat = Self { house, leave: Arc::default(), place: Mutex::default(), _permit: permit };
        seat.rest();
        seat
    }

    fn place(&self) -> MutexGuard<'_, Option<u64>> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rest(&self) {
        let mut resting = self.house.resting();
        let place = resting.next;
        resting.next += 1;
        resting.seats.insert(place, self.leave.clone());
        *self.place() = Some(place);
    }

    /// Its request is there: from now on it is owed an answer. False if its place has been given away.
    fn rouse(&self) -> bool {
        let place = self.place().take();
        place.is_none_or(|place| self.house.resting().seats.remove(&place).is_some())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.rouse();
    }
}

/// A client's stream. Closing it ends the sending side first and reads on for a while: closed at once with
/// bytes unread, the system would reset the connection and might take the last answer with it.
pub struct LingeringClose {
    stream: Box<dyn Stream>,
    until: Option<Pin<Box<Sleep>>>,
}

impl LingeringClose {
    /// That of a client that has just connected.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self { stream, until: None }
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
        let mut scrap = [0; 16 * 1024];
        while until.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut scrap);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// What the answer to a client may need.
struct IngressContext {
    host: UnboundedSender<LoopEvent>,
    doors: WatchCell<ListenerState>,
    network: Rc<dyn Network>,
    /// Where clients come, also when another process lets them in.
    at: SocketAddr,
}

/// Serves clients until the doors are shut or the place is another's, and every request that was read has its answer.
pub fn serve(
    listener: Rc<dyn Listener>,
    at: SocketAddr,
    host: UnboundedSender<LoopEvent>,
    doors: WatchCell<ListenerState>,
    budget: ResourceBudget,
    ports: &Ports,
) -> impl Future<Output = ()> + use<> {
    let desk = Rc::new(IngressContext { host, doors, network: ports.network.clone(), at });
    accept(listener, desk, budget, ports.log.clone())
}

async fn accept(
    listener: Rc<dyn Listener>,
    desk: Rc<IngressContext>,
    budget: ResourceBudget,
    log: Rc<dyn Log>,
) {
    let doors = &desk.doors;
    let house = ConnectionLimits::new(budget.client_connections, budget.request_body_bytes);
    loop {
        let accepted = tokio::select! {
            biased;
            () = doors.wait_for(|doors| matches!(doors, ListenerState::Closed | ListenerState::HandedOver)) => break,
            // Who comes now waits for the next process, or for this one to go on.
            () = doors.wait_for(|doors| doors == ListenerState::HandingOver) => {
                doors.wait_for(|doors| doors != ListenerState::HandingOver).await;
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(stream) => {
                let Some(seat) = house.seat().await else { break };
                spawn_local(connection(stream, seat, desk.clone()));
            }
            Err(e) => {
                // Out of descriptors, say: what is open goes on, and closing makes room.
                log.line(&format!("accepting: {e}"));
                house.make_room();
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    house.empty().await;
}

async fn connection(stream: Box<dyn Stream>, seat: Arc<ConnectionPermit>, desk: Rc<IngressContext>) {
    let service = service_fn(|request| {
        let (seat, desk) = (seat.clone(), desk.clone());
        async move { Ok::<_, Infallible>(respond(request, &seat, &desk).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_PATIENCE)
        .max_buf_size(MOST_HEAD)
        // A client may end its sending with its request; it still waits for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(LingeringClose::new(stream)), service);
    tokio::pin!(connection);
    // A client that breaks its connection off hears nothing more: there is nobody to tell of the error.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = seat.leave.notified() => return,
        () = desk.doors.wait_for(|doors| doors == ListenerState::Closed) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    seat: &ConnectionPermit,
    desk: &IngressContext,
) -> Response<Full<Bytes>> {
    let doors = desk.doors.get();
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/ready")
            if matches!(doors, ListenerState::HandingOver | ListenerState::HandedOver) =>
        {
            desk.forward_to_successor(Method::GET, "/-/ready", &HeaderMap::new(), Bytes::new()).await
        }
        (&Method::GET, "/-/ready") if doors == ListenerState::Accepting => plain(StatusCode::OK, "ready\n"),
        (&Method::GET, "/-/ready") => plain(StatusCode::SERVICE_UNAVAILABLE, "winding down\n"),
        (&Method::POST, "/api") => submit(request, seat, desk).await,
        (_, "/-/ready" | "/api") => plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    };
    // Whoever sent what cannot be used is out of step, or about to send it again: it starts anew.
    if desk.doors.get() != ListenerState::Accepting || response.status().is_client_error() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl IngressContext {
    /// Passes a request on to the process that lets clients in by now, and its answer back.
    async fn forward_to_successor(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        // Nobody has taken it on.
        let refused = || plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n");
        let Ok(mut next) = Connection::open(&*self.network, self.at, PASSED_ON).await else {
            return refused();
        };
        let kept = |name: &HeaderName| ![HOST, CONNECTION, CONTENT_LENGTH].contains(name);
        let own = request(method, path, self.at).header(CONNECTION, "close");
        let head = headers.iter().filter(|(name, _)| kept(name));
        let head = head.fold(own, |head, (name, value)| head.header(name, value));
        let answer = timeout(PASSED_ON, async {
            let answer = next.send(head, body, None).await.ok()?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST_ANSWER).collect().await.ok()?;
            Some(plain(status, body.to_bytes()))
        });
        match answer.await {
            Ok(Some(answer)) => answer,
            _ if !next.request_written() => refused(),
            // It may have been taken on: no promise.
            _ => plain(StatusCode::BAD_GATEWAY, "the next process did not answer\n"),
        }
    }
}

/// An answer of plain text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Reads a body whole; what is read counts towards what all clients together may fill. It is copied out of
/// the connection's buffers, which a message would keep for as long as it is held.
pub async fn collect(mut body: Incoming, house: &ConnectionLimits) -> Result<Bytes, Response<Full<Bytes>>> {
    let too_large = || plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(too_large());
    }
    let mut whole = Vec::new();
    let mut filled = Vec::new();
    while let Some(frame) = body.frame().await {
        let unreadable = |_| plain(StatusCode::BAD_REQUEST, "the body cannot be read\n");
        let Ok(data) = frame.map_err(unreadable)?.into_data() else { continue };
        if whole.len() + data.len() > MOST_BODY {
            return Err(too_large());
        }
        let busy = |_| plain(StatusCode::SERVICE_UNAVAILABLE, "too many bodies at once\n");
        filled.push(house.bodies.try_acquire_many(data.len() as u32).map_err(busy)?);
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}

async fn submit(
    request: Request<Incoming>,
    seat: &ConnectionPermit,
    desk: &IngressContext,
) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    // Beside a length, a coding may hide another request in the body, and hyper does not show the length
    // then. Clients tell the length, so a coding is turned down whatever stands beside it.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return plain(StatusCode::LENGTH_REQUIRED, "a Content-Length is needed, and no coding\n");
    }
    let body = match timeout(BODY_PATIENCE, collect(body, &seat.house)).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => return answer,
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let (message, remaining) = match read(&head.headers, body.clone()) {
        Ok(read) => read,
        Err(what) => return plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
    };
    if !seat.rouse() {
        // The connection is about to close: nobody would hear that the message was taken on.
        return plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n");
    }
    let (answer, answered) = oneshot::channel();
    let _ = desk.host.send(LoopEvent::Submit { message, deadline: came + remaining, reply: answer });
    let answer = match answered.await {
        // A host that gave up its place took nothing on.
        Err(_) if matches!(desk.doors.get(), ListenerState::HandingOver | ListenerState::HandedOver) => {
            let passed_on = desk.forward_to_successor(Method::POST, "/api", &head.headers, body).await;
            seat.rest();
            return passed_on;
        }
        answer => answer,
    };
    seat.rest();
    match answer {
        Ok(SubmitResponse::Accepted) => plain(StatusCode::ACCEPTED, ""),
        Ok(SubmitResponse::Malformed(what)) => plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
        Ok(SubmitResponse::RetryAfter(wait)) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on yet\n");
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
            response
        }
        // A host that has ended took nothing on.
        Ok(SubmitResponse::Rejected) | Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n"),
    }
}

/// A message and how long it may still be delivered.
fn read(headers: &HeaderMap, body: Bytes) -> Result<(SubmittedMessage, Duration), String> {
    let optional = |name: &str| -> Result<Option<String>, String> {
        let text = headers.get(name).map(|value| value.to_str().map(|text| text.trim().to_owned()));
        let text = text.transpose().map_err(|_| format!("{name} is not text"))?;
        match text {
            Some(text) if text.len() > MOST_FIELD => Err(format!("{name} is too long")),
            text => Ok(text),
        }
    };
    let needed = |name: &str| optional(name)?.filter(|t| !t.is_empty()).ok_or(format!("{name} is missing"));
    let remaining: f64 = needed("X-Remaining")?.parse().map_err(|_| "X-Remaining is not a number")?;
    if !(remaining > 0.0 && remaining.is_finite()) {
        return Err("X-Remaining is not a time left".to_owned());
    }
    let envelope = needed("X-Envelope")?;
    let destination = envelope.split([',', ';', ' ']).find_map(|field| field.trim().strip_prefix("dest="));
    let destination = destination.and_then(|number| number.parse().ok());
    let message = SubmittedMessage {
        id: needed("X-Txn")?,
        class: needed("X-Lane")?,
        tenant: optional("X-Org")?,
        key: optional("X-Entity")?,
        idempotency_key: optional("Idempotency-Key")?,
        destination: destination.ok_or("X-Envelope holds no dest")?,
        body,
    };
    Ok((message, Duration::from_secs_f64(remaining.min(MOST_REMAINING))))
}
