//! Encodes the body of a call with several messages, and decodes the body of its response.
use super::BatchedMessage;
use crate::{Outcome, TimeDelta};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

impl<'a> BatchItem<'a> {
    fn new(message: &'a BatchedMessage) -> Self {
        Self { id: &message.id, key: message.idempotency_key.as_deref(), body: BASE64.encode(&message.body) }
    }
}

#[derive(Deserialize)]
struct BatchResult {
    id: String,
    state: BatchState,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum BatchState {
    Ok,
    Error,
    Later,
    Gone,
    Exhausted,
}

/// Encodes the messages of a call as JSON.
pub fn encode(messages: &[BatchedMessage]) -> Vec<u8> {
    let items: Vec<_> = messages.iter().map(BatchItem::new).collect();
    // Encoding strings as JSON cannot fail.
    serde_json::to_vec(&items).unwrap_or_default()
}

/// The result of each message of a batch, by message ID.
#[derive(Default)]
pub struct BatchResults(BTreeMap<String, BatchState>);

impl BatchResults {
    /// Decodes the response to a batch.
    ///
    /// # Errors
    /// Returns an error if the body is not a valid response to a batch.
    pub fn decode(body: &[u8]) -> Result<Self, serde_json::Error> {
        let results: Vec<BatchResult> = serde_json::from_slice(body)?;
        Ok(Self(results.into_iter().map(|result| (result.id, result.state)).collect()))
    }

    /// Returns the outcome of a message, and whether it completes the message. `retry_after` comes from the
    /// response head.
    pub fn outcome(&self, id: &str, retry_after: Option<TimeDelta>) -> (Outcome, bool) {
        match self.0.get(id) {
            Some(BatchState::Ok) => (Outcome::Success, true),
            Some(BatchState::Later) => (Outcome::Rejected { retry_after }, false),
            Some(BatchState::Gone) => (Outcome::NotSent, true),
            Some(BatchState::Exhausted) => (Outcome::NotSent, false),
            // The endpoint may have processed a message that the response does not list.
            Some(BatchState::Error) | None => (Outcome::Failure, false),
        }
    }
}
