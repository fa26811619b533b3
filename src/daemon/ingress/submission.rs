//! A message as a client submits it: headers and body of one request.
use super::connection_limits::ConnectionLimits;
use super::text_response;
use crate::daemon::journal::SubmittedMessage;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Most bytes of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of a header field that is kept with a message.
const MAX_FIELD_BYTES: usize = 1024;
/// No deadline is further away, in seconds; what clients ask for beyond it is cut.
const MAX_REMAINING_SECONDS: f64 = 86_400.0;

/// What is wrong with the headers of a submitted message. The texts are shown to clients.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// A header that is no text.
    #[error("{0} is not text")]
    NotText(&'static str),
    /// A header that is longer than [`MAX_FIELD_BYTES`].
    #[error("{0} is too long")]
    TooLong(&'static str),
    /// A required header that is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A time to live that is no number.
    #[error("X-Remaining is not a number")]
    RemainingNotNumber,
    /// A time to live that is over, or has no end.
    #[error("X-Remaining is not a time left")]
    RemainingOutOfRange,
    /// An envelope without a destination.
    #[error("X-Envelope holds no dest")]
    NoDestination,
}

/// A submitted message and its time to live.
pub struct Submission {
    pub message: SubmittedMessage,
    pub remaining: Duration,
}

impl Submission {
    /// Reads a message from a request.
    ///
    /// # Errors
    /// The first header that is missing or cannot be understood.
    pub fn read(headers: &HeaderMap, body: Bytes) -> Result<Self, SubmissionError> {
        let remaining = remaining(headers)?;
        let destination = destination(headers)?;
        let message = SubmittedMessage {
            id: required(headers, "X-Txn")?,
            class: required(headers, "X-Lane")?,
            tenant: optional(headers, "X-Org")?,
            key: optional(headers, "X-Entity")?,
            idempotency_key: optional(headers, "Idempotency-Key")?,
            destination: destination.ok_or(SubmissionError::NoDestination)?,
            body,
        };
        Ok(Self { message, remaining })
    }
}

fn optional(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, SubmissionError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| SubmissionError::NotText(name))?.trim();
    if text.len() > MAX_FIELD_BYTES {
        return Err(SubmissionError::TooLong(name));
    }
    Ok(Some(text.to_owned()))
}

fn required(headers: &HeaderMap, name: &'static str) -> Result<String, SubmissionError> {
    let text = optional(headers, name)?.filter(|text| !text.is_empty());
    text.ok_or(SubmissionError::Missing(name))
}

fn remaining(headers: &HeaderMap) -> Result<Duration, SubmissionError> {
    let text = required(headers, "X-Remaining")?;
    let seconds: f64 = text.parse().map_err(|_| SubmissionError::RemainingNotNumber)?;
    if !(seconds > 0.0 && seconds.is_finite()) {
        return Err(SubmissionError::RemainingOutOfRange);
    }
    Ok(Duration::from_secs_f64(seconds.min(MAX_REMAINING_SECONDS)))
}

/// The number of the destination in the envelope, if there is one.
fn destination(headers: &HeaderMap) -> Result<Option<u64>, SubmissionError> {
    let envelope = required(headers, "X-Envelope")?;
    let mut fields = envelope.split([',', ';', ' ']);
    let number = fields.find_map(|field| field.trim().strip_prefix("dest="));
    Ok(number.and_then(|number| number.parse().ok()))
}

/// Reads a complete request body. Its bytes count towards what all clients together may send at once.
///
/// The body is copied out of the connection's buffers, which a message would otherwise keep for as long as it is held.
///
/// # Errors
/// The response to a body that is too large, cannot be read, or comes beside too many others.
pub async fn read_body(
    mut body: Incoming,
    limits: &ConnectionLimits,
) -> Result<Bytes, Response<Full<Bytes>>> {
    let too_large = || text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_large());
    }
    let mut complete = Vec::new();
    let mut reserved = Vec::new();
    while let Some(frame) = body.frame().await {
        let unreadable = |_| text_response(StatusCode::BAD_REQUEST, "the body cannot be read\n");
        let Ok(data) = frame.map_err(unreadable)?.into_data() else { continue };
        if complete.len() + data.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let busy = || text_response(StatusCode::SERVICE_UNAVAILABLE, "too many bodies at once\n");
        reserved.push(limits.reserve_body(data.len()).ok_or_else(busy)?);
        complete.extend_from_slice(&data);
    }
    Ok(complete.into())
}
