//! The side that clients see: messages are handed in, and answered once the journal holds them.
use super::host::{Answer, Input};
use super::store::Handed;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

const MOST_BODY: usize = 64 * 1024;
/// Seconds that no deadline is further away; what clients say beyond it is cut.
const MOST_REMAINING: f64 = 86_400.0;
/// Longest header field that is kept with a message.
const MOST_FIELD: usize = 1024;
/// Client connections at once; with calls and idle connections well under the descriptors.
const MOST_CLIENTS: usize = 512;
/// A client that has not sent the rest of its request by then has gone.
const READ_PATIENCE: Duration = Duration::from_secs(10);
/// A connection on which nothing was begun for so long makes room for others.
const IDLE: Duration = Duration::from_secs(60);

/// What winding down asks of the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doors {
    Open,
    /// Each connection ends with its next answer, so that its client goes elsewhere.
    Closing,
    /// No new connections, and idle ones are closed.
    Shut,
}

/// Serves clients until the doors are shut and every request that was read has its answer.
pub async fn serve(listener: TcpListener, host: UnboundedSender<Input>, mut doors: watch::Receiver<Doors>) {
    let room = Arc::new(Semaphore::new(MOST_CLIENTS));
    loop {
        let accepted = tokio::select! {
            _ = doors.wait_for(|doors| *doors == Doors::Shut) => break,
            accepted = accept(&listener, &room) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                tokio::spawn(connection(stream, permit, host.clone(), doors.clone()));
            }
            Err(e) => {
                // Out of descriptors, say: what is open goes on, and closing makes room.
                eprintln!("accepting: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    // With all permits back, every connection has ended.
    let _ = room.acquire_many(MOST_CLIENTS as u32).await;
}

async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = room.clone().acquire_owned().await.map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

async fn connection(
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
    host: UnboundedSender<Input>,
    mut doors: watch::Receiver<Doors>,
) {
    let _ = stream.set_nodelay(true);
    let at_door = doors.clone();
    let service = service_fn(move |request| {
        let (host, doors) = (host.clone(), *at_door.borrow());
        async move { Ok::<_, Infallible>(respond(request, &host, doors).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        // A client may end its sending with its request; it still waits for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A client that breaks its connection off hears nothing more: there is nobody to tell of the error.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = doors.wait_for(|doors| *doors == Doors::Shut) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    host: &UnboundedSender<Input>,
    doors: Doors,
) -> Response<Full<Bytes>> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/ready") if doors == Doors::Open => plain(StatusCode::OK, "ready\n"),
        (&Method::GET, "/-/ready") => plain(StatusCode::SERVICE_UNAVAILABLE, "winding down\n"),
        (&Method::POST, "/api") => hand_in(request, host).await,
        (_, "/-/ready" | "/api") => plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    };
    if doors != Doors::Open {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

async fn hand_in(request: Request<Incoming>, host: &UnboundedSender<Input>) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    let body = match timeout(READ_PATIENCE, Limited::new(body, MOST_BODY).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");
        }
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body cannot be read\n"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let (message, remaining) = match read(&head.headers, body) {
        Ok(read) => read,
        Err(what) => return plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
    };
    let (answer, answered) = oneshot::channel();
    let _ = host.send(Input::HandIn { message, deadline: came + remaining, answer });
    match answered.await {
        Ok(Answer::TakenOn) => plain(StatusCode::ACCEPTED, ""),
        Ok(Answer::Malformed(what)) => plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
        // A host that has ended took nothing on.
        Ok(Answer::Refused) | Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n"),
    }
}

/// A message and how long it may still be delivered.
fn read(headers: &HeaderMap, body: Bytes) -> Result<(Handed, Duration), String> {
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
    let message = Handed {
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
