//! Forwards requests that reach this process after its successor has taken over.
use super::text_response;
use crate::daemon::connection::{Connection, MAX_RESPONSE_BYTES, request};
use crate::daemon::ports::Network;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName};
use hyper::{Method, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

use http_body_util::Full;

/// Time limit for connecting to the successor, and for its response.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// The parts of a client's request that are sent to the successor.
pub struct ForwardedRequest<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a HeaderMap,
    pub body: Bytes,
}

/// Forwards a request to the process that now listens at `address`, and returns its response. If there is
/// none, returns status 503 if the request was not written completely, and 502 otherwise.
pub async fn forward(
    network: &dyn Network,
    address: SocketAddr,
    forwarded: ForwardedRequest<'_>,
) -> Response<Full<Bytes>> {
    // No process has accepted the message.
    let rejected = || text_response(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n");
    let Ok(mut connection) = Connection::open_abortive(network, address, FORWARD_TIMEOUT).await else {
        return rejected();
    };
    let is_forwarded = |name: &HeaderName| ![HOST, CONNECTION, CONTENT_LENGTH].contains(name);
    let initial_head = request(forwarded.method, forwarded.path, address).header(CONNECTION, "close");
    let forwarded_headers = forwarded.headers.iter().filter(|(name, _)| is_forwarded(name));
    let head = forwarded_headers.fold(initial_head, |head, (name, value)| head.header(name, value));
    let response = timeout(FORWARD_TIMEOUT, async {
        let response = connection.send(head, forwarded.body, None).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some(text_response(status, body.to_bytes()))
    });
    match response.await {
        Ok(Some(response)) => response,
        _ if !connection.is_request_written() => rejected(),
        // The successor may have accepted the message, so it must not be reported as rejected.
        _ => text_response(StatusCode::BAD_GATEWAY, "the next process did not answer\n"),
    }
}
