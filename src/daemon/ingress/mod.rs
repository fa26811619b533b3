//! The HTTP server for clients: messages are submitted here, and accepted once the journal holds them.
//!
//! Every request that was read gets a response: from the event loop, or from the successor that the request is forwarded
//! to during a handover.
mod connection_limits;
mod forwarding;
mod lingering_close;
mod request_activity;
mod submission;

use super::accept_failure::AcceptFailure;
use super::error_log_limit::ErrorLogLimit;
use super::events::{ListenerState, LoopEvent, SubmitResponse};
use super::ports::{Listener, Log, Network, Ports, Stream};
use super::resource_budget::ResourceBudget;
use super::runtime_checks::Violations;
use super::watch_cell::WatchCell;
use bytes::Bytes;
pub use connection_limits::{ConnectionLimits, ConnectionPermit};
use forwarding::{ForwardedRequest, forward};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
pub use lingering_close::LingeringClose;
use request_activity::RequestActivity;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use submission::Submission;
pub use submission::read_body;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

/// Most bytes of a request head: fields are limited to 1 KiB each, and there are few.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a request head may take; a connection without a request ends with it. Clients keep connections between
/// requests, so this may not be shorter than 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// How long a request body may take. Clients wait 400 ms for their response, so a slower one has gone.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection on which nothing was ever sent gives way no sooner: clients send as soon as they are connected, and wait
/// 400 ms for their response.
const MIN_FRESH_AGE: Duration = Duration::from_millis(500);
/// How long accepting rests after an error that says something of the whole system, such as no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a response to a client may need.
struct IngressContext {
    events: UnboundedSender<LoopEvent>,
    state: WatchCell<ListenerState>,
    network: Rc<dyn Network>,
    /// The address that clients connect to, also when another process listens there.
    address: SocketAddr,
    violations: Violations,
}

/// Serves clients until the listener is closed or handed over, and every request that was read has its response.
pub fn serve(
    listener: Rc<dyn Listener>,
    address: SocketAddr,
    events: UnboundedSender<LoopEvent>,
    state: WatchCell<ListenerState>,
    budget: ResourceBudget,
    violations: Violations,
    ports: &Ports,
) -> impl Future<Output = ()> + use<> {
    let context = IngressContext { events, state, network: ports.network.clone(), address, violations };
    accept(listener, Rc::new(context), budget, ports.log.clone())
}

async fn accept(
    listener: Rc<dyn Listener>,
    context: Rc<IngressContext>,
    budget: ResourceBudget,
    log: Rc<dyn Log>,
) {
    let state = &context.state;
    let limits = ConnectionLimits::new(budget.client_connections, budget.request_body_bytes, MIN_FRESH_AGE);
    let (started_at, mut log_limit) = (Instant::now(), ErrorLogLimit::default());
    let is_over = |state| matches!(state, ListenerState::Closed | ListenerState::HandedOver);
    loop {
        let accepted = tokio::select! {
            biased;
            () = state.wait_for(is_over) => break,
            // New connections wait for the successor, or for this process to go on.
            () = state.wait_for(|state| state == ListenerState::HandingOver) => {
                state.wait_for(|state| state != ListenerState::HandingOver).await;
                continue;
            }
            accepted = listener.accept() => accepted,
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

/// Does what has to happen before the next connection can be accepted.
async fn recover_from(failure: AcceptFailure, limits: &ConnectionLimits) {
    match failure {
        AcceptFailure::Connection => return yield_now().await,
        // Open connections go on, and an idle one makes room.
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
    let stream =
        RequestActivity::new(LingeringClose::new(stream), permit.clone(), context.violations.clone());
    let service = service_fn(|request| {
        let (permit, context) = (permit.clone(), context.clone());
        async move { Ok::<_, Infallible>(respond(request, &permit, &context).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        // A client may end its sending with its request; it still waits for the response.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A client that breaks its connection off receives nothing more: there is nobody to tell of the error.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        // The stream ends before the next request; one that has begun to arrive still gets its response.
        () = permit.close_signal.requested() => {}
        () = context.state.wait_for(|state| state == ListenerState::Closed) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    permit: &ConnectionPermit,
    context: &IngressContext,
) -> Response<Full<Bytes>> {
    permit.set_busy();
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/ready") => context.readiness().await,
        (&Method::POST, "/api") => submit(request, permit, context).await,
        (_, "/-/ready" | "/api") => text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    };
    // A client that sent what cannot be used is out of step, or about to send it again: it connects anew.
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

/// Creates a response of plain text.
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
    // Beside a length, a transfer coding may hide another request in the body, and hyper does not show the length then.
    // Clients send the length, so a coding is rejected whatever stands beside it.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return text_response(StatusCode::LENGTH_REQUIRED, "a Content-Length is needed, and no coding\n");
    }
    let body = match timeout(BODY_TIMEOUT, read_body(body, &permit.limits)).await {
        Ok(Ok(body)) => body,
        Ok(Err(response)) => return response,
        Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let submission = match Submission::read(&head.headers, body.clone()) {
        Ok(submission) => submission,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    // The last byte of the request was read: from here on its client is owed a response.
    permit.set_request_read();
    let (reply, response) = oneshot::channel();
    let deadline = received_at + submission.remaining;
    let _ = context.events.send(LoopEvent::Submit { message: submission.message, deadline, reply });
    match response.await {
        // An event loop that handed over has accepted nothing.
        Err(_) if context.is_handing_over() => {
            context.forward_to_successor(Method::POST, "/api", &head.headers, body).await
        }
        // Nor has one that has ended.
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
