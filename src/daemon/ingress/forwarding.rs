//! Requests that reach this process after its successor took over: they are forwarded to it.
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

/// How long a forwarded request may wait for a connection, and for its response.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// A request to forward.
pub struct ForwardedRequest<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a HeaderMap,
    pub body: Bytes,
}

/// Forwards a request to the process that listens at `address` by now; returns its response.
pub async fn forward(
    network: &dyn Network,
    address: SocketAddr,
    forwarded: ForwardedRequest<'_>,
) -> Response<Full<Bytes>> {
    // Nobody has accepted the message.
    let rejected = || text_response(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n");
    let Ok(mut connection) = Connection::open(network, address, FORWARD_TIMEOUT).await else {
        return rejected();
    };
    let is_kept = |name: &HeaderName| ![HOST, CONNECTION, CONTENT_LENGTH].contains(name);
    let own_head = request(forwarded.method, forwarded.path, address).header(CONNECTION, "close");
    let kept = forwarded.headers.iter().filter(|(name, _)| is_kept(name));
    let head = kept.fold(own_head, |head, (name, value)| head.header(name, value));
    let response = timeout(FORWARD_TIMEOUT, async {
        let response = connection.send(head, forwarded.body, None).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some(text_response(status, body.to_bytes()))
    });
    match response.await {
        Ok(Some(response)) => response,
        _ if !connection.is_request_written() => rejected(),
        // The successor may have accepted the message: no promise.
        _ => text_response(StatusCode::BAD_GATEWAY, "the next process did not answer\n"),
    }
}
