//! Serves HTTP/1.1 on one connection. A request that has begun to arrive gets a response, whatever ends the
//! connection: a final one is written here if hyper cannot respond.
use super::connection_limits::ConnectionPermit;
use super::lingering_close::LingeringClose;
use super::request_activity::RequestActivity;
use super::request_stage::RequestStage;
use super::unanswered_requests::UnansweredRequests;
use crate::daemon::events::ListenerState;
use crate::daemon::ports::Stream;
use crate::daemon::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// The time for which a request head is waited for after its first byte, even if the connection was idle for
/// long before.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// How the connections of a listener are served.
pub struct ConnectionSettings {
    /// Time limit for receiving a request head, from the last response. It also closes connections on which no
    /// request arrives.
    pub head_timeout: Duration,
    /// Upper bound on the size of a request head.
    pub max_head_bytes: usize,
    /// Whether a connection can carry more than one request.
    pub keep_alive: bool,
    /// The state of the listener for clients, which tells when connections have to close.
    pub state: WatchCell<ListenerState>,
    /// Reports connections that are closed before a request on them is answered.
    pub unanswered: Rc<UnansweredRequests>,
}

/// Why this process stopped serving a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The protocol ended it: after a response, by the client, or by an error of the connection.
    Protocol,
    /// A request head did not arrive completely in time.
    HeadTimedOut,
    /// Its request had not arrived completely, and another connection needed its place.
    MadeRoom,
    /// The process exits.
    Exit,
}

/// Serves a connection until it closes. `respond` creates the response to each request.
pub async fn serve<R: Future<Output = Response<Full<Bytes>>>>(
    stream: Box<dyn Stream>,
    permit: Arc<ConnectionPermit>,
    settings: &ConnectionSettings,
    respond: impl Fn(Request<Incoming>) -> R,
) {
    let stream =
        RequestActivity::new(LingeringClose::new(stream), permit.clone(), settings.unanswered.clone());
    let service = service_fn(|request| {
        let (response, permit) = (respond(request), permit.clone());
        Box::pin(async move {
            let response = response.await;
            // A client that sends without a pause gets one response while others get their turn.
            if permit.must_yield() {
                yield_now().await;
            }
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(settings.max_head_bytes)
        .keep_alive(settings.keep_alive)
        // A client may close its sending side after the request and still wait for the response. If it does so
        // before the request is read, it cannot be told from one that has left: its request is rejected.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let end = {
        let served = pin!(poll_fn(|cx| connection.poll_without_shutdown(cx)));
        run(served, &permit, settings).await
    };
    let http1::Parts { io, read_buf, .. } = connection.into_parts();
    let mut stream = io.into_inner();
    // The first bytes of a request may have been read together with the request before it.
    let is_interrupted = end == ConnectionEnd::Exit || stream.has_stopped_reading();
    let has_unparsed_request = is_interrupted && !read_buf.is_empty();
    if let Some(status) = final_status(end, permit.stage(), has_unparsed_request) {
        let _ = stream.write_final_response(status).await;
    }
    // The place of a connection that makes room is needed at once.
    if end != ConnectionEnd::MadeRoom {
        let _ = stream.shutdown().await;
    }
}

/// Drives a connection until it ends.
async fn run(
    mut served: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    permit: &ConnectionPermit,
    settings: &ConnectionSettings,
) -> ConnectionEnd {
    let must_close = |state| matches!(state, ListenerState::Closing | ListenerState::Closed);
    let must_end = |state| state == ListenerState::Closed;
    tokio::select! {
        biased;
        // An error is ignored: the connection has failed, or hyper has responded to a malformed head.
        _ = served.as_mut() => return ConnectionEnd::Protocol,
        () = permit.close_signal.requested() => if permit.is_closable_incomplete() {
            return ConnectionEnd::MadeRoom;
        },
        () = settings.state.wait_for(must_close) => permit.close_signal.request(),
        stage = timed_out(permit, settings.head_timeout) => match stage {
            RequestStage::Head => return ConnectionEnd::HeadTimedOut,
            _ => permit.close_signal.request(),
        },
    }
    // `RequestActivity` ends the stream before the next request. A request that has begun to arrive is still
    // answered.
    tokio::select! {
        biased;
        _ = served.as_mut() => return ConnectionEnd::Protocol,
        _ = timed_out(permit, settings.head_timeout) => return ConnectionEnd::HeadTimedOut,
        () = settings.state.wait_for(must_end) => {}
    }
    match permit.stage() {
        RequestStage::Processing | RequestStage::Responding => {
            // The event loop has replied, or has closed the reply channel.
            let _ = served.await;
            ConnectionEnd::Protocol
        }
        _ => ConnectionEnd::Exit,
    }
}

/// Waits until no complete request head has arrived for `timeout` after the last response, and at least
/// [`MIN_HEAD_TIMEOUT`] after the first byte of a head. Returns the stage of the connection.
async fn timed_out(permit: &ConnectionPermit, timeout: Duration) -> RequestStage {
    loop {
        let stage = permit.stage();
        let deadline = match stage {
            RequestStage::Idle => permit.idle_since() + timeout,
            RequestStage::Head => {
                (permit.idle_since() + timeout).max(permit.stage_since() + MIN_HEAD_TIMEOUT)
            }
            // The next head is waited for from the response on.
            _ => Instant::now() + timeout,
        };
        if deadline <= Instant::now() {
            return stage;
        }
        sleep_until(deadline).await;
    }
}

/// Returns the status of the response that a request still needs at the end of its connection, or `None` if
/// there is no such request.
fn final_status(end: ConnectionEnd, stage: RequestStage, has_unparsed_request: bool) -> Option<StatusCode> {
    match (end, stage) {
        _ if has_unparsed_request => Some(StatusCode::SERVICE_UNAVAILABLE),
        (ConnectionEnd::HeadTimedOut, RequestStage::Head) => Some(StatusCode::REQUEST_TIMEOUT),
        // Nothing of the request is accepted, so the client may send it again.
        (ConnectionEnd::Exit | ConnectionEnd::MadeRoom, RequestStage::Head | RequestStage::Body) => {
            Some(StatusCode::SERVICE_UNAVAILABLE)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
