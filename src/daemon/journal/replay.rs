//! The state that results from the records of a journal, and its reconstruction from a file.
//!
//! The same [`JournalState::apply`] runs when a record is appended and when it is replayed, so that a
//! restarted process has the state of the previous one.
use super::UNREADABLE_NAME;
use super::acceptance_times::{AcceptanceBound, AcceptanceTimes};
use super::completed_ids::CompletedIds;
use super::pending::PendingTable;
use super::record::Record;
use super::reserve::CapacityLimits;
use crate::daemon::clock::ClockAnchor;
use crate::daemon::frame::{damaged_frame_bytes, read_frame};
use micadrum_recovery::JournalStamp;
use std::fmt;

/// The parts of the journal that could not be read when it was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CorruptionReport {
    /// Bytes of an incomplete record that were cut off at the end.
    pub truncated_bytes: usize,
    /// Unreadable bytes that were skipped before a readable record.
    pub skipped_bytes: usize,
    /// Why the file could not be read at all. It is renamed, and an empty journal is used instead.
    pub read_error: Option<String>,
}

impl fmt::Display for CorruptionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { truncated_bytes, skipped_bytes, read_error } = self;
        if let Some(error) = read_error {
            return write!(
                f,
                "unreadable, renamed file={} renamed_to={UNREADABLE_NAME} error={error}",
                super::NAME
            );
        }
        write!(f, "damaged truncated_bytes={truncated_bytes} skipped_bytes={skipped_bytes}")
    }
}

/// The state of the journal in memory.
pub(super) struct JournalState {
    pub pending: PendingTable,
    pub completed: CompletedIds,
    /// The number of the next message to be accepted.
    pub next_number: u32,
    /// The last recorded stamp.
    pub stamp: Option<JournalStamp>,
    /// The last recorded clock anchor.
    pub clock_anchor: Option<ClockAnchor>,
    pub times: AcceptanceTimes,
}

impl JournalState {
    pub fn new(limits: &CapacityLimits) -> Self {
        Self {
            pending: PendingTable::default(),
            completed: CompletedIds::new(limits.completed_ids()),
            next_number: 0,
            stamp: None,
            clock_anchor: None,
            times: AcceptanceTimes::default(),
        }
    }

    /// Applies the records in `bytes` and skips unreadable bytes; a damaged record with a plausible length is
    /// skipped as a whole. Adds the skipped bytes to `report`, and returns the length up to the end of the
    /// last readable record.
    pub fn replay(&mut self, bytes: &[u8], report: &mut CorruptionReport) -> u64 {
        let (mut position, mut end_of_last) = (0, 0);
        while position < bytes.len() {
            match read_frame(&bytes[position..]) {
                Some((record, frame_bytes)) => {
                    report.skipped_bytes += position - end_of_last;
                    position += frame_bytes;
                    end_of_last = position;
                    self.apply(record);
                }
                None => position += damaged_frame_bytes::<Record>(&bytes[position..]).unwrap_or(1),
            }
        }
        report.truncated_bytes = bytes.len() - end_of_last;
        end_of_last as u64
    }

    /// Applies one record. A record of a message that is not pending is ignored, as the record that accepted
    /// the message may be damaged.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted { number, pending } => {
                self.next_number = self.next_number.max(number + 1);
                self.pending.insert(number, *pending);
            }
            Record::AttemptStarted { number, attempt } => {
                self.times.observe(attempt.started_at);
                self.pending.update(number, |pending| pending.start_attempt(attempt));
            }
            Record::AttemptEnded { number, uncertain } => {
                self.pending.update(number, |pending| pending.end_attempt(uncertain));
            }
            Record::UncertainAttempt { number, attempt } => {
                self.pending.update(number, |pending| pending.set_uncertain_attempt(attempt));
            }
            Record::DeadlineChanged { number, deadline } => {
                self.pending.update(number, |pending| pending.deadline = deadline);
            }
            Record::AttemptDeferred { number } => {
                self.pending.update(number, |pending| pending.defer_attempt());
            }
            Record::Finished { number, outcome } => self.pending.finish(number, outcome),
            Record::CompletedAtUnknownTime { number } => self.complete(number, 0),
            Record::Completed { number, completed_at } => self.complete(number, completed_at),
            Record::CompletedIds(ids) => {
                for completed in ids {
                    self.completed.insert(completed.id, completed.expires_at, 0);
                }
            }
            Record::Stamped(stamp) => {
                // The process before the stamp may have used another clock.
                self.times.reset_latest(stamp.wall);
                self.stamp = Some(stamp);
            }
            Record::ClockAnchored(anchor) => {
                self.times.observe(anchor.engine_us);
                self.clock_anchor = Some(anchor);
            }
            Record::AcceptedNotBefore { first_number, not_before } => {
                self.times.push(AcceptanceBound { first_number, not_before });
            }
        }
    }

    fn complete(&mut self, number: u32, completed_at: u64) {
        self.times.observe(completed_at);
        if let Some(pending) = self.pending.remove(number) {
            self.completed.complete(&pending.message.id, completed_at, pending.deadline);
        }
        self.times.prune(self.pending.first_number().unwrap_or(self.next_number));
    }

    /// Returns the maximum number of bytes that the state takes in a compacted file.
    pub fn stored_bytes(&self) -> u64 {
        self.pending.bytes() + self.completed.bytes()
    }

    /// Returns whether no message and no stamp was ever recorded.
    pub fn is_empty(&self) -> bool {
        self.stamp.is_none() && self.next_number == 0 && self.completed.is_empty()
    }
}
