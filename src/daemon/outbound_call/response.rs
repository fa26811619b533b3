//! Reads a response: the outcome, the Retry-After and the load report in its head, and its body.
use crate::daemon::connection::{MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT};
use crate::{LoadReport, Outcome, TimeDelta};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

/// Upper bound on a Retry-After, in seconds. Longer ones are reduced to it.
const MAX_RETRY_AFTER_SECONDS: f64 = 3600.0;
/// Upper bound on a reported limit, in calls per second. A report with a higher one is ignored.
const MAX_LIMIT_PER_SECOND: f64 = 1e6;
/// Upper bound on the header fields that are read of an unsolicited response.
const MAX_UNSOLICITED_FIELDS: usize = 32;
/// The header that contains the load report.
const LOAD_REPORT_HEADER: &str = "X-Pressure";
/// The header that marks a response as sent without forwarding the message, because the endpoint had no slot
/// for it.
const NO_SLOT_HEADER: &str = "X-No-Slot";

/// Reads a complete body. Returns `None` if it is too large, fails or takes longer than [`RESPONSE_TIMEOUT`].
pub async fn complete_body(body: Incoming) -> Option<Bytes> {
    if body.size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
        return None;
    }
    let read = timeout(RESPONSE_TIMEOUT, Limited::new(body, MAX_RESPONSE_BYTES).collect()).await;
    Some(read.ok()?.ok()?.to_bytes())
}

/// Returns the outcome of each message of a call from the response head, and whether it completes the
/// message.
pub fn outcome(status: StatusCode, headers: &HeaderMap, retry_after: Option<TimeDelta>) -> (Outcome, bool) {
    match status {
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Rejected { retry_after }, false),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(NO_SLOT_HEADER) => (Outcome::NotSent, false),
        StatusCode::SERVICE_UNAVAILABLE => (Outcome::Rejected { retry_after }, false),
        StatusCode::GATEWAY_TIMEOUT => (Outcome::NotSent, false),
        StatusCode::GONE => (Outcome::NotSent, true),
        // The protocol defines no other status, so the endpoint may have processed the message.
        _ => (Outcome::Failure, false),
    }
}

/// Returns the Retry-After, which may be a fraction of a second, or `None` if it is missing or not positive.
pub fn retry_after(headers: &HeaderMap) -> Option<TimeDelta> {
    parse_retry_after(headers.get(RETRY_AFTER)?.to_str().ok()?)
}

fn parse_retry_after(text: &str) -> Option<TimeDelta> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds > 0.0).then(|| TimeDelta((seconds.min(MAX_RETRY_AFTER_SECONDS) * 1e6).ceil() as u64))
}

/// A response that arrived while no request was in progress, as far as its head could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnsolicitedHead {
    /// The status, if there is a status line.
    pub status: Option<u16>,
    /// The Retry-After.
    pub retry_after: Option<TimeDelta>,
}

impl UnsolicitedHead {
    /// Reads the head at the start of `bytes`.
    pub fn read(bytes: &[u8]) -> Self {
        let mut fields = [httparse::EMPTY_HEADER; MAX_UNSOLICITED_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        // What could be read before an error counts.
        let _ = head.parse(bytes);
        let mut headers = head.headers.iter();
        let wait = headers.find(|field| field.name.eq_ignore_ascii_case(RETRY_AFTER.as_str()));
        let wait = wait.and_then(|field| std::str::from_utf8(field.value).ok()).and_then(parse_retry_after);
        Self { status: head.code, retry_after: wait }
    }
}

/// The fields that load reports contain.
#[derive(Clone, Copy)]
pub struct ReportFields {
    /// Whether a report contains the remaining share of the limit.
    pub remaining_share: bool,
    /// Whether a report contains the limit.
    pub limit: bool,
}

impl ReportFields {
    /// Returns the load report of a response, or `None` if it is missing, lacks a field or has a field that
    /// is out of range.
    pub fn read(self, headers: &HeaderMap) -> Option<LoadReport> {
        let text = headers.get(LOAD_REPORT_HEADER)?.to_str().ok()?;
        let field = |name: &str, max: f64| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            let value: f64 = fields.find(|(field, _)| *field == name)?.1.trim().parse().ok()?;
            (0.0..=max).contains(&value).then_some(value)
        };
        let remaining_share = if self.remaining_share { Some(field("x0", 1.0)?) } else { None };
        let limit = if self.limit { Some(field("x1", MAX_LIMIT_PER_SECOND)?) } else { None };
        if remaining_share.is_none() && limit.is_none() {
            return None;
        }
        Some(LoadReport {
            remaining_share: remaining_share.unwrap_or(1.0),
            limit_per_second: limit.unwrap_or(0.0),
        })
    }
}
