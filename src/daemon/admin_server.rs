//! The admin endpoint: status, metrics and maintenance for operators, on a separate listening socket.
//!
//! It serves one request per connection. Its limits are separate from those for clients, so that neither
//! group can exhaust the connections or memory of the other.
use super::error_log_limit::ErrorLogLimit;
use super::events::{AdminError, AdminRequest, ListenerState, LoopEvent, MaintenanceChange};
use super::ingress::{
    Closable, ConnectionLimits, ConnectionPermit, ConnectionSettings, MAX_HEAD_BYTES, UnansweredRequests,
    http_connection, read_body, text_response,
};
use super::membership::{ViewQuery, ViewSource};
use super::ports::{Listener, Log, Stream};
use super::recovery::RecoveryStatus;
use super::resource_budget::MAX_OPERATOR_CONNECTIONS;
use super::runtime_checks::Violations;
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The time within which the head of a request has to arrive, and then its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum total size of the request bodies that are being read, over all connections.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of an endpoint ID, in bytes.
const MAX_ENDPOINT_ID_BYTES: usize = 1024;
/// The delay before the next `accept` after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// This sender's view of the fleet members, and a query for the views of all members.
type MemberViews = (ViewSource, ViewQuery);

/// The parts of the daemon that requests of operators read or change.
pub struct AdminContext {
    /// The channel to the event loop.
    pub events: UnboundedSender<LoopEvent>,
    /// The state of the client listener.
    pub state: WatchCell<ListenerState>,
    /// The members' views of each other; `None` if membership is disabled.
    pub members: Option<MemberViews>,
    /// The progress of the recovery after a restart.
    pub recovery: RecoveryStatus,
}

/// The server for operators.
pub struct AdminServer {
    limits: Arc<ConnectionLimits>,
    /// Whether requests are served. It becomes [`ListenerState::Closed`] when the process exits.
    state: WatchCell<ListenerState>,
}

impl AdminServer {
    /// Starts to serve operators until the process ends. When the connection limit is reached, a new connection
    /// replaces the oldest one whose request was not read completely.
    pub fn start(
        listener: Box<dyn Listener>,
        context: AdminContext,
        violations: Violations,
        log: Rc<dyn Log>,
    ) -> Self {
        let limits = ConnectionLimits::new(
            MAX_OPERATOR_CONNECTIONS,
            MAX_BODY_BYTES,
            Closable::Incomplete,
            Duration::ZERO,
        );
        let state = WatchCell::new(ListenerState::Accepting);
        let unanswered = UnansweredRequests::new("operators", log.clone(), state.clone(), violations);
        let connections = ConnectionSettings {
            head_timeout: REQUEST_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
            keep_alive: false,
            state: state.clone(),
            unanswered: Rc::new(unanswered),
        };
        spawn_local(accept(listener, limits.clone(), Rc::new(context), Rc::new(connections), log));
        Self { limits, state }
    }

    /// Answers the requests that have begun to arrive, and waits until their connections are closed.
    pub async fn finish(&self) {
        self.state.set(ListenerState::Closed);
        self.limits.all_closed().await;
    }
}

async fn accept(
    listener: Box<dyn Listener>,
    limits: Arc<ConnectionLimits>,
    context: Rc<AdminContext>,
    connections: Rc<ConnectionSettings>,
    log: Rc<dyn Log>,
) {
    let (started_at, mut log_limit) = (Instant::now(), ErrorLogLimit::default());
    loop {
        match listener.accept().await {
            Ok(stream) => {
                let Some(permit) = limits.admit().await else { return };
                spawn_local(serve_connection(stream, permit, context.clone(), connections.clone()));
            }
            Err(error) => {
                if let Some(suppressed) = log_limit.admit(started_at.elapsed()) {
                    log.line(&format!("operators: accept failed error={error} suppressed={suppressed}"));
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: Box<dyn Stream>,
    permit: Arc<ConnectionPermit>,
    context: Rc<AdminContext>,
    connections: Rc<ConnectionSettings>,
) {
    let respond = |request| {
        let (context, permit) = (context.clone(), permit.clone());
        async move {
            permit.set_head_read();
            let response = context.respond(request, &permit).await;
            permit.set_responded();
            response
        }
    };
    http_connection::serve(stream, permit.clone(), &connections, respond).await;
}

impl AdminContext {
    async fn respond(&self, request: Request<Incoming>, permit: &ConnectionPermit) -> Response<Full<Bytes>> {
        if request.body().is_end_stream() {
            permit.set_request_read();
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/status") => self.status(),
            (&Method::GET, "/status/metrics") => self.metrics().await,
            (&Method::GET, "/status/peers") => match &self.members {
                Some((views, _)) => json_response(&views.current()),
                None => text_response(StatusCode::NOT_FOUND, "peers are off\n"),
            },
            (&Method::GET, "/status/peers/all") => match &self.members {
                Some((_, query)) => json_response(&query.all().await),
                None => text_response(StatusCode::NOT_FOUND, "peers are off\n"),
            },
            (&Method::GET, "/status/recovery") => match self.recovery.report() {
                Some(report) => json_response(&report),
                None => {
                    text_response(StatusCode::NOT_FOUND, "recovery is off, or the journal is not read yet\n")
                }
            },
            (&Method::POST, "/maintenance/enter") => {
                self.set_maintenance(request, permit, MaintenanceChange::Enter).await
            }
            (&Method::POST, "/maintenance/exit") => {
                self.set_maintenance(request, permit, MaintenanceChange::Exit).await
            }
            (
                _,
                "/status" | "/status/metrics" | "/status/peers" | "/status/peers/all" | "/status/recovery"
                | "/maintenance/enter" | "/maintenance/exit",
            ) => text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
            _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn status(&self) -> Response<Full<Bytes>> {
        match self.state.get() {
            ListenerState::Accepting => text_response(StatusCode::OK, "ready\n"),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    async fn metrics(&self) -> Response<Full<Bytes>> {
        let (reply, metrics) = oneshot::channel();
        let _ = self.events.send(LoopEvent::Admin(AdminRequest::Metrics(reply)));
        match metrics.await {
            Ok(metrics) => json_response(&*metrics),
            Err(_) => shutting_down(),
        }
    }

    async fn set_maintenance(
        &self,
        request: Request<Incoming>,
        permit: &ConnectionPermit,
        change: MaintenanceChange,
    ) -> Response<Full<Bytes>> {
        let mut reserved = permit.limits.requests.begin_request();
        let body = match timeout(REQUEST_TIMEOUT, read_body(request.into_body(), &mut reserved)).await {
            Ok(Ok(body)) => body,
            Ok(Err(response)) => return response,
            Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        };
        permit.set_request_read();
        let endpoint = std::str::from_utf8(&body).map(str::trim).unwrap_or_default();
        if endpoint.is_empty() || endpoint.len() > MAX_ENDPOINT_ID_BYTES {
            return text_response(StatusCode::BAD_REQUEST, "the body is to be the id of an endpoint\n");
        }
        let (reply, result) = oneshot::channel();
        let request = AdminRequest::SetMaintenance { endpoint: endpoint.to_owned(), change, reply };
        let _ = self.events.send(LoopEvent::Admin(request));
        match result.await {
            Ok(Ok(())) => text_response(StatusCode::OK, confirmation(change)),
            Ok(Err(error @ AdminError::UnknownEndpoint(_))) => {
                text_response(StatusCode::NOT_FOUND, format!("{error}\n"))
            }
            Ok(Err(error)) => text_response(StatusCode::INSUFFICIENT_STORAGE, format!("{error}\n")),
            Err(_) => shutting_down(),
        }
    }
}

fn confirmation(change: MaintenanceChange) -> &'static str {
    match change {
        MaintenanceChange::Enter => "out\n",
        MaintenanceChange::Exit => "back\n",
    }
}

fn shutting_down() -> Response<Full<Bytes>> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, "the sender is ending\n")
}

fn json_response(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    // Serialization does not fail: the values contain only numbers, strings and maps with string keys.
    let mut response = text_response(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
