//! The door for operators: one call to a connection, beside the clients' and bounded for itself.
use super::events::{AdminError, AdminRequest, ListenerState, LoopEvent};
use super::ingress::{ConnectionLimits, ConnectionPermit, LingeringClose, collect, plain};
use super::membership::{ViewQuery, Views};
use super::ports::{Listener, Log, Stream};
use super::recovery::RecoveryStatus;
use super::resource_budget::OPERATORS;
use super::watch_cell::WatchCell;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A call that has not come whole by then does not come.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of ids that may be read at once, over all callers.
const BODIES: usize = 64 * 1024;
/// No id is longer.
const MOST_ID: usize = 1024;

/// What is believed of the peers, and a way to ask them what they believe.
type Peers = (Views, ViewQuery);

/// Serves operators for as long as the process runs. With all places taken, the caller who came first goes.
pub async fn serve(
    listener: Box<dyn Listener>,
    host: UnboundedSender<LoopEvent>,
    doors: WatchCell<ListenerState>,
    peers: Option<Peers>,
    returning: RecoveryStatus,
    log: Rc<dyn Log>,
) {
    let house = ConnectionLimits::new(OPERATORS, BODIES);
    loop {
        match listener.accept().await {
            Ok(stream) => {
                let Some(seat) = house.seat().await else { return };
                spawn_local(connection(
                    stream,
                    house.clone(),
                    seat,
                    host.clone(),
                    doors.clone(),
                    peers.clone(),
                    returning.clone(),
                ));
            }
            Err(e) => {
                log.line(&format!("operators: accepting: {e}"));
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(
    stream: Box<dyn Stream>,
    house: Arc<ConnectionLimits>,
    seat: Arc<ConnectionPermit>,
    host: UnboundedSender<LoopEvent>,
    doors: WatchCell<ListenerState>,
    peers: Option<Peers>,
    returning: RecoveryStatus,
) {
    let service = service_fn(|request| {
        let (house, host, doors, peers) = (house.clone(), host.clone(), doors.get(), peers.clone());
        let returning = returning.clone();
        async move {
            let answer = respond(request, &house, &host, doors, peers.as_ref(), &returning).await;
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PATIENCE)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(LingeringClose::new(stream)), service);
    tokio::select! {
        biased;
        // A caller that breaks off hears nothing more: there is nobody to tell of the error.
        _ = connection => {}
        () = seat.leave.notified() => {}
    }
}

async fn respond(
    request: Request<Incoming>,
    house: &ConnectionLimits,
    host: &UnboundedSender<LoopEvent>,
    doors: ListenerState,
    peers: Option<&Peers>,
    returning: &RecoveryStatus,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") if doors == ListenerState::Accepting => plain(StatusCode::OK, "ready\n"),
        (&Method::GET, "/status") => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::GET, "/status/metrics") => figures(host).await,
        (&Method::GET, "/status/peers") => match peers {
            Some((views, _)) => json(&views.now()),
            None => plain(StatusCode::NOT_FOUND, "peers are off\n"),
        },
        (&Method::GET, "/status/peers/all") => match peers {
            Some((_, gathering)) => json(&gathering.all().await),
            None => plain(StatusCode::NOT_FOUND, "peers are off\n"),
        },
        (&Method::GET, "/status/recovery") => match returning.report() {
            Some(report) => json(&report),
            None => plain(StatusCode::NOT_FOUND, "recovery is off, or the journal is not read yet\n"),
        },
        (&Method::POST, "/maintenance/enter") => maintain(request, house, host, true).await,
        (&Method::POST, "/maintenance/exit") => maintain(request, house, host, false).await,
        (
            _,
            "/status" | "/status/metrics" | "/status/peers" | "/status/peers/all" | "/status/recovery"
            | "/maintenance/enter" | "/maintenance/exit",
        ) => plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn gone() -> Response<Full<Bytes>> {
    plain(StatusCode::SERVICE_UNAVAILABLE, "the sender is ending\n")
}

async fn figures(host: &UnboundedSender<LoopEvent>) -> Response<Full<Bytes>> {
    let (answer, answered) = oneshot::channel();
    let _ = host.send(LoopEvent::Admin(AdminRequest::Metrics(answer)));
    let Ok(figures) = answered.await else { return gone() };
    json(&*figures)
}

fn json(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    // Names and numbers always have a JSON form.
    let mut response = plain(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn maintain(
    request: Request<Incoming>,
    house: &ConnectionLimits,
    host: &UnboundedSender<LoopEvent>,
    out: bool,
) -> Response<Full<Bytes>> {
    let body = match timeout(PATIENCE, collect(request.into_body(), house)).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => return answer,
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let id = std::str::from_utf8(&body).map(str::trim).unwrap_or_default();
    if id.is_empty() || id.len() > MOST_ID {
        return plain(StatusCode::BAD_REQUEST, "the body is to be the id of an endpoint\n");
    }
    let (done, answered) = oneshot::channel();
    let ask = AdminRequest::SetMaintenance { endpoint: id.to_owned(), out, done };
    let _ = host.send(LoopEvent::Admin(ask));
    match answered.await {
        Ok(Ok(())) => plain(StatusCode::OK, if out { "out\n" } else { "back\n" }),
        Ok(Err(e @ AdminError::Unknown(_))) => plain(StatusCode::NOT_FOUND, format!("{e}\n")),
        Ok(Err(e)) => plain(StatusCode::INSUFFICIENT_STORAGE, format!("{e}\n")),
        Err(_) => gone(),
    }
}
