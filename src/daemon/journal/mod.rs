//! The write-ahead journal in the state folder: the accepted messages and the progress of each.
//!
//! # Guarantees
//! - A message is accepted, and an attempt is started, only if its record was written: a restarted process
//!   knows every accepted message, and every attempt that may have been processed.
//! - If the end of an attempt or a message cannot be recorded, it is applied in memory until the next
//!   compaction writes it. A restart before that repeats the attempt or message; the [`reserve`] makes this
//!   rare.
//! - Damage never prevents a start: readable records are applied, and [`CorruptionReport`] describes the
//!   loss. Neither does a folder that cannot be written; no message is accepted until it can be.
//! - Nothing is appended after an incomplete record, or to a file that has been replaced.
//! - The journal's files stay within the disk space assigned to the journal.
//!
//! # Mechanism
//! Records ([`record`]) are appended to one file and applied to a state in memory ([`replay`]); opening the
//! journal applies the records in the file to an empty state. When the file has grown too long, the state is
//! written to a new file, which replaces the old one ([`compaction`]). A `write` without a sync survives a
//! crash of the process, but not of the machine; with durability enabled, records are synced in groups (see
//! [`crate::daemon::durability`]).
mod acceptance_times;
mod compaction;
mod completed_ids;
mod error;
mod pending;
mod record;
mod replay;
mod reserve;
mod writing;

use super::clock::ClockAnchor;
use super::ports::{AppendFile, LocalFuture, Storage};
pub use error::JournalError;
use error::Operation;
use micadrum_recovery::JournalStamp;
pub use pending::PendingMessage;
use record::Record;
pub use record::{Attempt, FinalOutcome, SubmittedMessage};
pub use replay::CorruptionReport;
use replay::JournalState;
use reserve::{CapacityLimits, Reserve};
use std::io;
use std::rc::Rc;
use writing::{FileHealth, no_file};

/// The name of the journal's file.
const NAME: &str = "messages.wal";
/// The name of the new file during a compaction.
const NEW_NAME: &str = "messages.wal.new";
/// The name to which the journal of another sender is renamed.
const FOREIGN_NAME: &str = "messages.wal.foreign";
/// The name to which a journal that cannot be read is renamed.
const UNREADABLE_NAME: &str = "messages.wal.unreadable";

/// Whether an attempt that ended without completing its message may have been processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// The endpoint did not process the message.
    None,
    /// The endpoint may have processed the message.
    Uncertain,
}

/// The open journal, with the state that results from its records.
pub struct Journal {
    folder: Rc<dyn Storage>,
    /// `None` if the file could not be opened; the next compaction creates one.
    file: Option<Box<dyn AppendFile>>,
    /// Known defects of the file.
    health: FileHealth,
    /// Length of the file up to the end of the last complete record, in bytes.
    length: u64,
    state: JournalState,
    limits: CapacityLimits,
    reserve: Reserve,
    /// The file is rewritten when it is longer than this, in bytes.
    compact_at: u64,
    /// Number of rewrites since the journal was opened.
    compactions: u64,
    compaction_error: Option<io::Error>,
    /// Whether a new file is synced before it replaces the old one.
    is_durable: bool,
    /// Number of records appended since the journal was opened.
    last_sequence: u64,
    /// Encoding buffer, reused for every record.
    buffer: Vec<u8>,
}

impl Journal {
    /// Opens or creates the journal in `folder`, restores its state, and limits its files to `disk_bytes`.
    ///
    /// # Errors
    /// The file cannot be read, for a reason that may be temporary. A damaged or unwritable file is no error.
    pub fn open(folder: Rc<dyn Storage>, disk_bytes: u64) -> Result<(Self, CorruptionReport), JournalError> {
        match folder.read(NAME) {
            Ok(bytes) => Ok(Self::with_contents(folder, disk_bytes, &bytes.unwrap_or_default())),
            Err(error) if is_permanent(&error) => Ok(Self::open_unreadable(folder, disk_bytes, &error)),
            Err(error) => Err(Operation::Read.failed()(error)),
        }
    }

    /// Creates an empty journal in place of one that cannot be read, which is renamed. If renaming fails, the
    /// journal has no file until a compaction can rename it.
    pub fn open_unreadable(
        folder: Rc<dyn Storage>,
        disk_bytes: u64,
        error: &io::Error,
    ) -> (Self, CorruptionReport) {
        let must_rename_unreadable = folder.rename(NAME, UNREADABLE_NAME).is_err();
        let (mut journal, mut report) = if must_rename_unreadable {
            Self::without_file(folder, disk_bytes)
        } else {
            Self::with_contents(folder, disk_bytes, &[])
        };
        journal.health.must_rename_unreadable = must_rename_unreadable;
        report.read_error = Some(error.to_string());
        (journal, report)
    }

    fn without_file(folder: Rc<dyn Storage>, disk_bytes: u64) -> (Self, CorruptionReport) {
        let limits = CapacityLimits::new(disk_bytes);
        let state = JournalState::new(&limits);
        (Self::new(folder, None, limits, state, 0), CorruptionReport::default())
    }

    fn with_contents(folder: Rc<dyn Storage>, disk_bytes: u64, bytes: &[u8]) -> (Self, CorruptionReport) {
        let mut report = CorruptionReport::default();
        let limits = CapacityLimits::new(disk_bytes);
        let mut state = JournalState::new(&limits);
        let length = state.replay(bytes, &mut report);
        let file = folder.open(NAME).ok();
        // An interrupted compaction may have left a new file behind.
        let _ = folder.remove(NEW_NAME);
        let mut journal = Self::new(folder, file, limits, state, length);
        journal.health.is_tail_torn = report.truncated_bytes > 0;
        let _ = journal.cut_torn_tail();
        journal.acquire_reserve();
        (journal, report)
    }

    fn new(
        folder: Rc<dyn Storage>,
        file: Option<Box<dyn AppendFile>>,
        limits: CapacityLimits,
        state: JournalState,
        length: u64,
    ) -> Self {
        Journal {
            folder,
            file,
            health: FileHealth::default(),
            length,
            state,
            compact_at: limits.compaction_bytes(),
            limits,
            reserve: Reserve::default(),
            compactions: 0,
            compaction_error: None,
            is_durable: false,
            last_sequence: 0,
            buffer: Vec::new(),
        }
    }

    /// Renames a journal that belongs to another sender. Opening the journal then creates an empty one.
    ///
    /// # Errors
    /// The file cannot be renamed, or the rename cannot be synced.
    pub fn rename_foreign(folder: &dyn Storage) -> Result<(), JournalError> {
        let renamed = folder.rename(NAME, FOREIGN_NAME).and_then(|()| folder.sync_directory());
        renamed.map_err(Operation::RenameForeign.failed())
    }

    /// Records an accepted message and returns its number.
    ///
    /// # Errors
    /// There is no space for the message, or its record cannot be written. The message is then not accepted.
    pub fn accept(&mut self, pending: PendingMessage) -> Result<u32, JournalError> {
        let state_bytes = self.state.stored_bytes() + pending.stored_bytes();
        if state_bytes > self.limits.max_state_bytes() || self.length > self.limits.max_file_bytes() {
            return Err(Operation::Accept.failed()(io::ErrorKind::StorageFull.into()));
        }
        let number = self.state.next_number;
        self.append(Record::Accepted { number, pending: Box::new(pending) })?;
        Ok(number)
    }

    /// Records that an attempt is about to start.
    ///
    /// # Errors
    /// The record cannot be written. The attempt is then not counted and must not be started.
    pub fn start_attempt(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::AttemptStarted { number, attempt })
    }

    /// Records that the attempt in flight ended without completing its message.
    ///
    /// # Errors
    /// The record cannot be written. It is still applied to the state in memory.
    pub fn end_attempt(&mut self, number: u32, effect: AttemptEffect) -> Result<(), JournalError> {
        self.append(Record::AttemptEnded { number, uncertain: effect == AttemptEffect::Uncertain })
    }

    /// Records that the attempt in flight was deferred before any byte of it was sent, and does not count.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn defer_attempt(&mut self, number: u32) -> Result<(), JournalError> {
        self.append(Record::AttemptDeferred { number })
    }

    /// Records an ended `attempt` as the first one that may have processed the message.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn set_uncertain_attempt(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::UncertainAttempt { number, attempt })
    }

    /// Records a new deadline of a message, in microseconds of this process's engine time.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn set_deadline(&mut self, number: u32, deadline: u64) -> Result<(), JournalError> {
        self.append(Record::DeadlineChanged { number, deadline })
    }

    /// Records the final outcome of a message. Its notification is pending from then on.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn finish(&mut self, number: u32, outcome: FinalOutcome) -> Result<(), JournalError> {
        self.append(Record::Finished { number, outcome })
    }

    /// Records that a message was delivered, cancelled or acknowledged at `now`, and is no longer pending.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn complete(&mut self, number: u32, now: u64) -> Result<(), JournalError> {
        self.append(Record::Completed { number, completed_at: now })
    }

    /// Records the sender and the boot that append the following records.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn stamp(&mut self, stamp: JournalStamp) -> Result<(), JournalError> {
        self.append(Record::Stamped(stamp))
    }

    /// Records the clock anchor for the times in the following records.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`]. Without the record, a later process acts more cautiously.
    pub fn anchor_clock(&mut self, anchor: ClockAnchor) -> Result<(), JournalError> {
        self.append(Record::ClockAnchored(anchor))
    }

    /// Returns the last recorded clock anchor.
    pub fn clock_anchor(&self) -> Option<&ClockAnchor> {
        self.state.clock_anchor.as_ref()
    }

    /// Records that all messages accepted after this record are accepted at `now` or later.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`]. Without the record, recovery acts more cautiously.
    pub fn record_acceptance_bound(&mut self, now: u64) -> Result<(), JournalError> {
        self.append(Record::AcceptedNotBefore { first_number: self.state.next_number, not_before: now })
    }

    /// Returns the last recorded stamp, which names the sender and the boot that appended last.
    pub fn last_stamp(&self) -> Option<&JournalStamp> {
        self.state.stamp.as_ref()
    }

    /// Returns the latest recorded lower bound of the time at which the message was accepted.
    pub fn accepted_not_before(&self, number: u32) -> Option<u64> {
        self.state.times.not_before(number)
    }

    /// Returns the latest time in a record, in microseconds; 0 if no record has a time.
    pub fn latest_time(&self) -> u64 {
        self.state.times.latest()
    }

    /// Returns whether the journal has never held a message or a stamp.
    pub fn is_empty(&self) -> bool {
        self.state.is_empty()
    }

    /// Returns the pending messages in the order in which they were accepted.
    pub fn pending(&self) -> impl Iterator<Item = (u32, &PendingMessage)> {
        self.state.pending.iter()
    }

    /// Returns the pending message with this number.
    pub fn get(&self, number: u32) -> Option<&PendingMessage> {
        self.state.pending.get(number)
    }

    /// Returns whether the message with this ID is completed. IDs are retained for a limited time.
    pub fn is_completed(&self, id: &str) -> bool {
        self.state.completed.contains(id)
    }

    /// Adapts the state in memory to another clock that reads `now`: retains the IDs of completed messages
    /// as if completed at `now`, and drops the times of the previous clock. Writes nothing.
    pub fn reset_clock(&mut self, now: u64) {
        self.state.completed.extend_all(now);
        self.state.times.clear_bounds();
        self.state.times.reset_latest(now);
    }

    /// Syncs the file and its directory entry, and makes every later rewrite sync the new file before it
    /// replaces the old one. A record appended from then on is durable once a [`Journal::sync`] that started
    /// after it succeeds.
    ///
    /// # Errors
    /// The file or the folder cannot be synced.
    pub fn enable_durability(&mut self) -> Result<(), JournalError> {
        self.is_durable = true;
        let file = self.file.as_mut().ok_or_else(no_file);
        let synced = file.and_then(|file| file.sync_now()).and_then(|()| self.folder.sync_directory());
        self.health.is_rename_unsynced |= synced.is_err();
        synced.map_err(Operation::Sync.failed())
    }

    /// Syncs the records written so far, so that they survive a machine crash.
    pub fn sync(&mut self) -> LocalFuture<'static, io::Result<()>> {
        let file = match self.sync_rename() {
            Ok(()) => self.file.as_ref().ok_or_else(no_file),
            Err(error) => Err(error),
        };
        match file {
            Ok(file) => file.sync(),
            Err(error) => Box::pin(async { Err(error) }),
        }
    }

    /// Returns whether the file lacks records that are part of the state, or has a defect.
    /// [`Journal::rewrite`] repairs both.
    pub fn needs_rewrite(&self) -> bool {
        self.file.is_none() || self.health != FileHealth::default()
    }

    /// Returns whether the file lacks records that are part of the state, and that a restart would therefore
    /// lose.
    pub fn lacks_records(&self) -> bool {
        self.health.lacks_records
    }

    /// Returns the sequence number of the last record, which is the number of records appended since the
    /// journal was opened.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the number of rewrites since the journal was opened. With durability enabled, a rewrite makes
    /// all records durable.
    pub fn compactions(&self) -> u64 {
        self.compactions
    }

    /// Replaces the file with a new one that holds the whole state.
    ///
    /// # Errors
    /// The new file cannot be written, in which case the old one stays in use, or its rename cannot be
    /// synced.
    pub fn rewrite(&mut self) -> Result<(), JournalError> {
        self.compact();
        match self.compaction_error.take() {
            Some(error) => Err(Operation::Rewrite.failed()(error)),
            None => Ok(()),
        }
    }

    /// Returns and clears the error of the last failed compaction.
    pub fn take_compaction_error(&mut self) -> Option<io::Error> {
        self.compaction_error.take()
    }

    /// Returns whether the folder has space for optional files: the reserve is held, and the file and its
    /// rewritten form together stay below their limit.
    pub fn has_space_for_other_files(&self) -> bool {
        let with_rewritten_file = self.length + self.state.stored_bytes();
        self.reserve.is_held() && with_rewritten_file < self.limits.max_bytes_with_other_files()
    }
}

/// Returns whether a failed read will keep failing until someone changes the file.
fn is_permanent(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::IsADirectory | io::ErrorKind::PermissionDenied)
}

#[cfg(test)]
mod tests;
