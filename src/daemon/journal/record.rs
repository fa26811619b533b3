//! The records of the journal, and the types that stand in them.
//!
//! Records are stored as frames (see [`crate::daemon::frame`]) of `postcard`, which identifies variants and fields by
//! position. Variants and fields may be renamed; new variants are added at the end only, and fields are never inserted,
//! removed or reordered, so that files of earlier versions stay readable. `tests/record.rs` pins the bytes.
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
    /// The message had no effect: the client may safely submit it again, after that many milliseconds if a number is given.
    Returned(Option<u64>),
}

/// One attempt to deliver a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When the call started: wall clock, microseconds since the epoch.
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

/// The id of a completed message, and until when the journal remembers it (wall clock, microseconds).
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct CompletedId {
    pub id: Arc<str>,
    pub expires_at: u64,
}

/// One record. `number` is the message's number in the journal; times are the engine's (see [`crate::daemon::clock`]), in
/// microseconds.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// The message was accepted. A rewritten journal has one such record for each pending message, with its state.
    Accepted { number: u32, pending: Box<PendingMessage> },
    /// An attempt is about to start.
    AttemptStarted { number: u32, attempt: Attempt },
    /// The attempt in flight ended without the message being completed.
    AttemptEnded { number: u32, uncertain: bool },
    /// The message reached its final outcome; its notification is still pending.
    Finished { number: u32, outcome: FinalOutcome },
    /// The message was completed at an unknown time: written by earlier versions only.
    CompletedAtUnknownTime { number: u32 },
    /// The message was completed at that time.
    Completed { number: u32, completed_at: u64 },
    /// Ids of completed messages.
    CompletedIds(Vec<CompletedId>),
    /// The process that appends from here on, and where it runs.
    Stamped(JournalStamp),
    /// Messages from that number on were accepted at that time or later.
    AcceptedNotBefore { first_number: u32, not_before: u64 },
    /// The message may have been processed, first by that attempt: the journal may lack the attempt's own record.
    UncertainAttempt { number: u32, attempt: Attempt },
    /// The message has a new deadline, by the clock of this process.
    DeadlineChanged { number: u32, deadline: u64 },
    /// The attempt that was recorded as started was held back before any byte of it was sent, and does not count.
    AttemptDeferred { number: u32 },
    /// From here on, times are the engine's time that this anchor continues.
    ClockAnchored(ClockAnchor),
}

impl Record {
    /// Whether the record may use the space of the reserve: it ends something that an earlier record started, and would be
    /// repeated after a restart if it were lost.
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

    /// Whether what the record describes must not happen unless the record is written.
    pub(super) fn must_be_written(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::AttemptStarted { .. })
    }
}
