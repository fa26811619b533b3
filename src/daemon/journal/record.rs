//! The record types of the journal.
//!
//! Records are stored as frames (see [`crate::daemon::frame`]) in `postcard` encoding, which identifies
//! variants and fields by position. Variants and fields may be renamed; new variants are added at the end
//! only, and fields are never inserted, removed or reordered, so that files of earlier versions stay
//! readable. `tests/record.rs` checks the encoded bytes.
use super::pending::PendingMessage;
use crate::daemon::clock::ClockAnchor;
use bytes::Bytes;
use micadrum_recovery::JournalStamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The final outcome of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// The message may or may not have had an effect.
    Failed,
    /// The message had no effect, and the client may safely submit it again. Holds the delay before that in
    /// milliseconds, if there is one.
    Returned(Option<u64>),
}

/// One attempt to deliver a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When the call started, in microseconds of engine time.
    pub started_at: u64,
    /// The zone of the endpoint that was called.
    pub zone: String,
}

/// A message as a client submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedMessage {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub key: Option<String>,
    pub idempotency_key: Option<String>,
    pub destination: u64,
    pub body: Bytes,
}

/// The ID of a completed message, and the engine time until which the journal retains it, in microseconds.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct CompletedId {
    pub id: Arc<str>,
    pub expires_at: u64,
}

/// One record. `number` is the message's number in the journal; times are microseconds of engine time (see
/// [`crate::daemon::clock`]).
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// The message was accepted. A rewritten file has one such record for each pending message, with its
    /// state.
    Accepted { number: u32, pending: Box<PendingMessage> },
    /// An attempt is about to start.
    AttemptStarted { number: u32, attempt: Attempt },
    /// The attempt in flight ended without completing the message.
    AttemptEnded { number: u32, uncertain: bool },
    /// The message reached its final outcome; its notification is still pending.
    Finished { number: u32, outcome: FinalOutcome },
    /// The message was completed at an unknown time. Only earlier versions write this record.
    CompletedAtUnknownTime { number: u32 },
    /// The message was completed at `completed_at`.
    Completed { number: u32, completed_at: u64 },
    /// IDs of completed messages.
    CompletedIds(Vec<CompletedId>),
    /// The sender and the boot that append the following records.
    Stamped(JournalStamp),
    /// Messages with the number `first_number` or a higher one were accepted at `not_before` or later.
    AcceptedNotBefore { first_number: u32, not_before: u64 },
    /// `attempt` is the first one that may have processed the message. The journal may lack the record of its
    /// start.
    UncertainAttempt { number: u32, attempt: Attempt },
    /// The message has a new deadline.
    DeadlineChanged { number: u32, deadline: u64 },
    /// The attempt in flight was deferred before any byte of it was sent, and does not count.
    AttemptDeferred { number: u32 },
    /// The clock anchor for the times in the following records.
    ClockAnchored(ClockAnchor),
}

impl Record {
    /// Returns whether the record may use the space of the reserve: without it, a restart would repeat an
    /// attempt or a message that has ended.
    pub(super) fn uses_reserve(&self) -> bool {
        matches!(
            self,
            Self::AttemptEnded { .. }
                | Self::Finished { .. }
                | Self::Completed { .. }
                | Self::UncertainAttempt { .. }
                | Self::AttemptDeferred { .. }
        )
    }

    /// Returns whether the action that the record describes must not happen unless the record is written.
    pub(super) fn must_be_written(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::AttemptStarted { .. })
    }
}
