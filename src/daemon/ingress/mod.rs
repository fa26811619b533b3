//! The HTTP server to which clients submit messages. A message is accepted once it is stored in the journal.
//!
//! Every request that was read completely gets a response: from the event loop, or from the successor process
//! to which the request is forwarded during a handover.
mod connection_limits;
mod forwarding;
pub mod http_connection;
mod lingering_close;
mod request_activity;
mod request_budget;
mod request_stage;
mod submission;
mod unanswered_requests;

use super::accept_failure::AcceptFailure;
use super::error_log_limit::ErrorLogLimit;
use super::events::{ListenerState, LoopEvent, SubmitResponse};
use super::ports::{Listener, Log, Network, Stream};
use super::watch_cell::WatchCell;
use bytes::Bytes;
pub use connection_limits::{Closable, ConnectionLimits, ConnectionPermit};
use forwarding::{ForwardedRequest, forward};
use http_body_util::Full;
pub use http_connection::ConnectionSettings;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use submission::SubmissionHead;
pub use submission::read_body;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};
pub use unanswered_requests::UnansweredRequests;

/// Upper bound on the size of a request head. Stored header values are limited to 1 KiB each, and there are
/// few.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time limit for receiving a request head. It also closes connections on which no request arrives, and must
/// not be below 2 s, as clients keep connections open between requests.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time limit for receiving a request body. Clients wait 400 ms for the response, so a slower client has
/// timed out.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection without a response is kept open before it may be closed for another one. Clients
/// send a request as soon as they are connected, and wait 400 ms for the response.
pub const MIN_UNSERVED_AGE: Duration = Duration::from_millis(500);
/// Delay before accepting again after an error that affects all connections, such as running out of
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The state that all client connections share.
pub struct IngressContext {
    /// The channel to the event loop.
    pub events: UnboundedSender<LoopEvent>,
    /// Whether clients are served.
    pub state: WatchCell<ListenerState>,
    /// Connects to the successor after a handover.
    pub network: Rc<dyn Network>,
    /// The address that clients connect to. After a handover, the successor listens there.
    pub address: SocketAddr,
    /// How the connections are served.
    pub connections: ConnectionSettings,
}

/// Serves clients until the listener is closed or handed over and every request that was read has been
/// answered.
pub async fn serve(
    listener: Rc<dyn Listener>,
    limits: Arc<ConnectionLimits>,
    context: IngressContext,
    log: Rc<dyn Log>,
) {
    let context = Rc::new(context);
    let state = &context.state;
    let (started_at, mut log_limit) = (Instant::now(), ErrorLogLimit::default());
    let has_stopped = |state| matches!(state, ListenerState::Closed | ListenerState::HandedOver);
    let clients_closed = async || {
        state.wait_for(|state| state == ListenerState::Closing).await;
        limits.all_closed().await;
    };
    let mut has_reported_close = false;
    loop {
        let accepted = tokio::select! {
            biased;
            () = state.wait_for(has_stopped) => break,
            // New connections stay in the accept queue for the successor, or for this process if the handover
            // fails.
            () = state.wait_for(|state| state == ListenerState::HandingOver) => {
                state.wait_for(|state| state != ListenerState::HandingOver).await;
                continue;
            }
            accepted = listener.accept() => accepted,
            () = clients_closed(), if !has_reported_close => {
                // Clients are still accepted until the event loop ends, in case it has other work left.
                has_reported_close = true;
                let _ = context.events.send(LoopEvent::ClientsClosed);
                continue;
            }
        };
        match accepted {
            Ok(stream) => {
                let Some(permit) = limits.admit().await else { break };
                spawn_local(serve_connection(stream, permit, context.clone()));
            }
            Err(error) => {
                if let Some(suppressed) = log_limit.admit(started_at.elapsed()) {
                    log.line(&format!("ingress: accept failed error={error} suppressed={suppressed}"));
                }
                recover_from(AcceptFailure::of(&error), &limits).await;
            }
        }
    }
    drop(listener);
    limits.all_closed().await;
}

/// Waits as long as the failure requires before the next accept, and closes an idle connection if descriptors
/// ran out.
async fn recover_from(failure: AcceptFailure, limits: &ConnectionLimits) {
    match failure {
        AcceptFailure::Connection => return yield_now().await,
        // Closing an idle connection frees a descriptor. Busy connections are not closed.
        AcceptFailure::Descriptors => limits.close_idle(),
        AcceptFailure::System => {}
    }
    sleep(ACCEPT_RETRY_DELAY).await;
}

async fn serve_connection(
    stream: Box<dyn Stream>,
    permit: Arc<ConnectionPermit>,
    context: Rc<IngressContext>,
) {
    let respond = |request| {
        let (permit, context) = (permit.clone(), context.clone());
        async move { respond(request, &permit, &context).await }
    };
    http_connection::serve(stream, permit.clone(), &context.connections, respond).await;
}

async fn respond(
    request: Request<Incoming>,
    permit: &ConnectionPermit,
    context: &IngressContext,
) -> Response<Full<Bytes>> {
    permit.set_head_read();
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/ready") => context.readiness().await,
        (&Method::POST, "/api") => submit(request, permit, context).await,
        (_, "/-/ready" | "/api") => text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    };
    // After an invalid request, the end of the request may be misread, so the connection is not reused.
    if context.state.get() != ListenerState::Accepting || response.status().is_client_error() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    permit.set_responded();
    response
}

impl IngressContext {
    async fn readiness(&self) -> Response<Full<Bytes>> {
        match self.state.get() {
            ListenerState::HandingOver | ListenerState::HandedOver => {
                let headers = HeaderMap::new();
                self.forward_to_successor(Method::GET, "/-/ready", &headers, Bytes::new()).await
            }
            ListenerState::Accepting => text_response(StatusCode::OK, "ready\n"),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "winding down\n"),
        }
    }

    async fn forward_to_successor(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let request = ForwardedRequest { method, path, headers, body };
        forward(&*self.network, self.address, request).await
    }

    fn is_handing_over(&self) -> bool {
        matches!(self.state.get(), ListenerState::HandingOver | ListenerState::HandedOver)
    }
}

/// Returns a response with the given status and body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

async fn submit(
    request: Request<Incoming>,
    permit: &ConnectionPermit,
    context: &IngressContext,
) -> Response<Full<Bytes>> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    // A Transfer-Encoding together with a Content-Length permits request smuggling, and hyper then hides the
    // Content-Length. Clients send a Content-Length, so every Transfer-Encoding is rejected.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return text_response(StatusCode::LENGTH_REQUIRED, "a Content-Length is needed, and no coding\n");
    }
    if submission::is_too_large(&body) {
        return submission::too_large();
    }
    let submission = match SubmissionHead::read(&head.headers) {
        Ok(submission) => submission,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    // The head keeps the connection's read buffer, and is not needed while the body is read.
    drop(head);
    // What the request holds counts until its response.
    let mut reserved = permit.limits.requests.begin_request();
    if reserved.grow(submission.bytes()).is_err() {
        return submission::busy();
    }
    let body = match timeout(BODY_TIMEOUT, read_body(body, &mut reserved)).await {
        Ok(Ok(body)) => body,
        Ok(Err(response)) => return response,
        Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    // Nobody waits for the response, and the client may submit the message again elsewhere.
    if permit.has_client_left() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "the connection is closed\n");
    }
    // The request was read completely: from here on, a missing response is a violation.
    permit.set_request_read();
    let (reply, response) = oneshot::channel();
    let deadline = received_at + submission.remaining;
    let message = submission.message(body.clone());
    let _ = context.events.send(LoopEvent::Submit { message, deadline, reply });
    match response.await {
        // The event loop was handed over and has not accepted the message.
        Err(_) if context.is_handing_over() => {
            context.forward_to_successor(Method::POST, "/api", &submission.headers(), body).await
        }
        // An event loop that has ended has not accepted the message either.
        response => submit_response(response.unwrap_or(SubmitResponse::Rejected)),
    }
}

fn submit_response(response: SubmitResponse) -> Response<Full<Bytes>> {
    match response {
        SubmitResponse::Accepted => text_response(StatusCode::ACCEPTED, ""),
        SubmitResponse::Malformed(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
        SubmitResponse::RetryAfter(delay) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not taken on yet\n");
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
            response
        }
        SubmitResponse::Rejected => text_response(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n"),
    }
}
