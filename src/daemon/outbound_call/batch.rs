//! The body of a call with several messages, and of the response to it.
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
    // Strings always have a JSON form.
    serde_json::to_vec(&items).unwrap_or_default()
}

/// How each message of a batch fared, by its ID.
#[derive(Default)]
pub struct BatchResults(BTreeMap<String, BatchState>);

impl BatchResults {
    /// Decodes the response to a batch.
    ///
    /// # Errors
    /// The response is not of that form.
    pub fn decode(body: &[u8]) -> Result<Self, serde_json::Error> {
        let results: Vec<BatchResult> = serde_json::from_slice(body)?;
        Ok(Self(results.into_iter().map(|result| (result.id, result.state)).collect()))
    }

    /// Returns the outcome of a message, and whether it ends the message; `retry_after` is that of the response.
    pub fn outcome(&self, id: &str, retry_after: Option<TimeDelta>) -> (Outcome, bool) {
        match self.0.get(id) {
            Some(BatchState::Ok) => (Outcome::Success, true),
            Some(BatchState::Later) => (Outcome::Rejected { retry_after }, false),
            Some(BatchState::Gone) => (Outcome::NotSent, true),
            Some(BatchState::Exhausted) => (Outcome::NotSent, false),
            // A message that the response does not name may have run.
            Some(BatchState::Error) | None => (Outcome::Failure, false),
        }
    }
}
