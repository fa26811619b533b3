//! Reads a submitted message from the headers and the body of a request.
use super::request_budget::RequestBytes;
use super::text_response;
use crate::daemon::journal::SubmittedMessage;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Upper bound on the size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Upper bound on the size of a header value that is stored with a message.
const MAX_FIELD_BYTES: usize = 1024;
/// Upper bound on a message's time to live, in seconds. Longer ones are reduced to it.
const MAX_REMAINING_SECONDS: f64 = 86_400.0;

/// The headers of a submitted message.
const FIELDS: [&str; 8] =
    ["X-Txn", "X-Lane", "X-Org", "X-Entity", "X-Remaining", "X-Resent", "Idempotency-Key", "X-Envelope"];

/// Why the headers of a submitted message are invalid. The texts are sent to clients.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// A header value contains characters other than visible ASCII and spaces.
    #[error("{0} is not text")]
    NotText(&'static str),
    /// A header value is longer than [`MAX_FIELD_BYTES`].
    #[error("{0} is too long")]
    TooLong(&'static str),
    /// A required header is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The time to live is not a number.
    #[error("X-Remaining is not a number")]
    RemainingNotNumber,
    /// The time to live is not positive or not finite.
    #[error("X-Remaining is not a time left")]
    RemainingOutOfRange,
    /// The envelope contains no valid destination number.
    #[error("X-Envelope holds no dest")]
    NoDestination,
}

/// The header values of a submitted message, without the rest of the head.
pub struct SubmissionHead {
    /// The values of [`FIELDS`] that the request has.
    values: Vec<(&'static str, String)>,
    destination: u64,
    /// The time for which the message may be delivered.
    pub remaining: Duration,
}

impl SubmissionHead {
    /// Reads the header values of a message.
    ///
    /// # Errors
    /// A header is missing or invalid.
    pub fn read(headers: &HeaderMap) -> Result<Self, SubmissionError> {
        let remaining = remaining(headers)?;
        let destination = destination(headers)?.ok_or(SubmissionError::NoDestination)?;
        required(headers, "X-Txn")?;
        required(headers, "X-Lane")?;
        let mut values = Vec::with_capacity(FIELDS.len());
        for name in FIELDS {
            values.extend(optional(headers, name)?.map(|value| (name, value)));
        }
        Ok(Self { values, destination, remaining })
    }

    /// Returns the size of the header values, in bytes.
    pub fn bytes(&self) -> usize {
        self.values.iter().map(|(_, value)| value.len()).sum()
    }

    /// Returns the header values, to forward the request.
    pub fn headers(&self) -> HeaderMap {
        let value = |text: &String| HeaderValue::from_str(text).ok();
        let named = |name: &'static str| HeaderName::from_bytes(name.as_bytes()).ok();
        self.values.iter().filter_map(|(name, text)| Some((named(name)?, value(text)?))).collect()
    }

    /// Returns the message with this body.
    pub fn message(&self, body: Bytes) -> SubmittedMessage {
        let value =
            |name| self.values.iter().find(|(known, _)| *known == name).map(|(_, value)| value.clone());
        SubmittedMessage {
            id: value("X-Txn").unwrap_or_default(),
            class: value("X-Lane").unwrap_or_default(),
            tenant: value("X-Org"),
            key: value("X-Entity"),
            idempotency_key: value("Idempotency-Key"),
            destination: self.destination,
            body,
        }
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

/// Returns the destination number in the envelope, or `None` if there is no valid one.
fn destination(headers: &HeaderMap) -> Result<Option<u64>, SubmissionError> {
    let envelope = required(headers, "X-Envelope")?;
    let mut fields = envelope.split([',', ';', ' ']);
    let number = fields.find_map(|field| field.trim().strip_prefix("dest="));
    Ok(number.and_then(|number| number.parse().ok()))
}

/// Reads a complete request body, whose bytes count towards the limit for all connections together as long as
/// `reserved` lives.
///
/// The body is copied, because a slice would keep the connection's whole read buffer allocated as long as the
/// message.
///
/// # Errors
/// Returns the response for a body that is too large or unreadable, or that exceeds the limit for all
/// connections.
pub async fn read_body(
    mut body: Incoming,
    reserved: &mut RequestBytes,
) -> Result<Bytes, Response<Full<Bytes>>> {
    if is_too_large(&body) {
        return Err(too_large());
    }
    let mut complete = Vec::new();
    while let Some(frame) = body.frame().await {
        let unreadable = |_| text_response(StatusCode::BAD_REQUEST, "the body cannot be read\n");
        let Ok(data) = frame.map_err(unreadable)?.into_data() else { continue };
        if complete.len() + data.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        reserved.grow(data.len()).map_err(|_| busy())?;
        complete.reserve_exact(data.len());
        complete.extend_from_slice(&data);
    }
    Ok(complete.into())
}

/// Returns whether a request states that its body is over the limit.
pub fn is_too_large(body: &Incoming) -> bool {
    body.size_hint().lower() > MAX_BODY_BYTES as u64
}

/// Returns the response to a request whose body is over the limit.
pub fn too_large() -> Response<Full<Bytes>> {
    text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n")
}

/// Returns the response to a request for which there is no space beside those of the other connections.
pub fn busy() -> Response<Full<Bytes>> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, "too many requests at once\n")
}
