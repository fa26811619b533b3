//! The write-ahead journal in the state folder: which messages were accepted, and how far each of them got.
//!
//! # Guarantees
//! - A message is accepted, and an attempt is started, only if the record of it was written: a process after a restart
//!   knows every message that a client was promised, and every attempt that may have been processed.
//! - A record of an end (of an attempt, of a message) that cannot be written is applied in memory all the same. It becomes
//!   part of the file at the next compaction; until then a restart would repeat what it ended. The [`reserve`] makes
//!   that rare.
//! - Damage never keeps a sender from starting: the records that can be read count, and [`CorruptionReport`] says what
//!   was lost. Nor does a folder that cannot be written: nothing is accepted until it can be.
//! - Nothing is appended behind bytes that are no complete record, or to a file that has lost its name.
//! - The folder stays within the disk space that the journal was given.
//!
//! # Mechanism
//! Records ([`record`]) are appended to one file and applied to a state in memory ([`replay`]); opening the journal applies
//! the records in the file to an empty state. When the file has grown too long, its state is written to a new file, which
//! replaces the old one ([`compaction`]). A `write` without a sync survives the process, but not the machine; with
//! durability enabled, records are synced in groups (see [`crate::daemon::durability`]).
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

/// The journal's file.
const NAME: &str = "messages.wal";
/// The file that replaces the journal's when it is rewritten.
const NEW_NAME: &str = "messages.wal.new";
/// The journal of another sender, renamed.
const FOREIGN_NAME: &str = "messages.wal.foreign";
/// A journal that the system does not let this process read, renamed.
const UNREADABLE_NAME: &str = "messages.wal.unreadable";

/// What an attempt that ended without completing its message may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// The endpoint did not process the message.
    None,
    /// The endpoint may have processed the message.
    Uncertain,
}

/// The open journal, with the state that its records add up to.
pub struct Journal {
    folder: Rc<dyn Storage>,
    /// None if the file could not be opened; the next compaction creates one.
    file: Option<Box<dyn AppendFile>>,
    /// How far the file can be relied on.
    health: FileHealth,
    /// Bytes in the file up to the end of the last complete record.
    length: u64,
    state: JournalState,
    limits: CapacityLimits,
    reserve: Reserve,
    /// The file is rewritten when it is longer than this.
    compact_at: u64,
    /// How often the file was rewritten since it was opened.
    compactions: u64,
    compaction_error: Option<io::Error>,
    /// Whether a new file is synced before it replaces the old one.
    is_durable: bool,
    /// How many records were appended since the journal was opened.
    last_sequence: u64,
    /// Holds a record on its way to the file: allocating a new buffer for each cost more than the checksum.
    buffer: Vec<u8>,
}

impl Journal {
    /// Opens the journal in `folder`, or creates one, and restores its state. The journal may take `disk_bytes`.
    ///
    /// # Errors
    /// The file cannot be read, for a reason that may pass. Damage is reported, and no error; nor is a file that cannot be
    /// written.
    pub fn open(folder: Rc<dyn Storage>, disk_bytes: u64) -> Result<(Self, CorruptionReport), JournalError> {
        match folder.read(NAME) {
            Ok(bytes) => Ok(Self::with_contents(folder, disk_bytes, &bytes.unwrap_or_default())),
            Err(error) if is_lasting(&error) => Ok(Self::open_unreadable(folder, disk_bytes, &error)),
            Err(error) => Err(Operation::Read.failed()(error)),
        }
    }

    /// Creates an empty journal in place of one that cannot be read, which is set aside under another name.
    pub fn open_unreadable(
        folder: Rc<dyn Storage>,
        disk_bytes: u64,
        error: &io::Error,
    ) -> (Self, CorruptionReport) {
        let must_set_aside = folder.rename(NAME, UNREADABLE_NAME).is_err();
        let (mut journal, mut report) = if must_set_aside {
            Self::without_file(folder, disk_bytes)
        } else {
            Self::with_contents(folder, disk_bytes, &[])
        };
        journal.health.must_set_aside = must_set_aside;
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
        // A new file that did not replace the old one only takes up space.
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

    /// Renames the journal of another sender; opening the journal then creates an empty one.
    ///
    /// # Errors
    /// The file cannot be renamed, or the new name cannot be synced.
    pub fn rename_foreign(folder: &dyn Storage) -> Result<(), JournalError> {
        let renamed = folder.rename(NAME, FOREIGN_NAME).and_then(|()| folder.sync_directory());
        renamed.map_err(Operation::MoveForeign.failed())
    }

    /// Accepts a message under a new number, which is returned.
    ///
    /// # Errors
    /// The disk has no space for the message: it is not accepted.
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
    /// The record cannot be written: the attempt does not count, and must not be started.
    pub fn start_attempt(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::AttemptStarted { number, attempt })
    }

    /// Records that the attempt in flight ended without completing its message.
    ///
    /// # Errors
    /// The record cannot be written; the state in memory has it all the same.
    pub fn end_attempt(&mut self, number: u32, effect: AttemptEffect) -> Result<(), JournalError> {
        self.append(Record::AttemptEnded { number, uncertain: effect == AttemptEffect::Uncertain })
    }

    /// Records that the attempt that was recorded as started was held back, and no byte of it sent.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn defer_attempt(&mut self, number: u32) -> Result<(), JournalError> {
        self.append(Record::AttemptDeferred { number })
    }

    /// Records that a message may have been processed, first by an attempt that has ended.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn set_uncertain_attempt(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::UncertainAttempt { number, attempt })
    }

    /// Records a new deadline of a message, by the clock of this process (wall clock, microseconds).
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn set_deadline(&mut self, number: u32, deadline: u64) -> Result<(), JournalError> {
        self.append(Record::DeadlineChanged { number, deadline })
    }

    /// Records the final outcome of a message, whose notification is pending from now on.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn finish(&mut self, number: u32, outcome: FinalOutcome) -> Result<(), JournalError> {
        self.append(Record::Finished { number, outcome })
    }

    /// Records that a message is completed `now` and no longer pending: delivered, cancelled, or its notification
    /// acknowledged.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn complete(&mut self, number: u32, now: u64) -> Result<(), JournalError> {
        self.append(Record::Completed { number, completed_at: now })
    }

    /// Records who appends from here on, and where.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`].
    pub fn stamp(&mut self, stamp: JournalStamp) -> Result<(), JournalError> {
        self.append(Record::Stamped(stamp))
    }

    /// Records an anchor of the times that follow.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`]: a later process is only more cautious without the record.
    pub fn anchor_clock(&mut self, anchor: ClockAnchor) -> Result<(), JournalError> {
        self.append(Record::ClockAnchored(anchor))
    }

    /// Returns the anchor of the journal's times.
    pub fn clock_anchor(&self) -> Option<&ClockAnchor> {
        self.state.clock_anchor.as_ref()
    }

    /// Records that messages accepted from now on were not accepted before `now`.
    ///
    /// # Errors
    /// As for [`Journal::end_attempt`]: recovery is only more cautious without the record.
    pub fn record_acceptance_bound(&mut self, now: u64) -> Result<(), JournalError> {
        self.append(Record::AcceptedNotBefore { first_number: self.state.next_number, not_before: now })
    }

    /// Returns who appended last, and where.
    pub fn last_stamp(&self) -> Option<&JournalStamp> {
        self.state.stamp.as_ref()
    }

    /// Returns the latest recorded time before which the message was not accepted.
    pub fn accepted_not_before(&self, number: u32) -> Option<u64> {
        self.state.times.not_before(number)
    }

    /// Returns the latest wall time that a record mentions.
    pub fn latest_time(&self) -> u64 {
        self.state.times.latest()
    }

    /// Whether the journal has never held anything.
    pub fn is_empty(&self) -> bool {
        self.state.is_empty()
    }

    /// Returns the pending messages in the order in which they were accepted.
    pub fn pending(&self) -> impl Iterator<Item = (u32, &PendingMessage)> {
        self.state.pending.iter()
    }

    /// Returns the pending message of that number.
    pub fn get(&self, number: u32) -> Option<&PendingMessage> {
        self.state.pending.get(number)
    }

    /// Whether the message of that id is completed, as far as the journal remembers.
    pub fn is_completed(&self, id: &str) -> bool {
        self.state.completed.contains(id)
    }

    /// Adapts the state to another clock, by which it is `now`: ids of completed messages are remembered as if the messages
    /// were completed now, and times by the previous clock are forgotten. Nothing is written.
    pub fn reset_clock(&mut self, now: u64) {
        self.state.completed.extend_all(now);
        self.state.times.clear_bounds();
        self.state.times.reset_latest(now);
    }

    /// Syncs the file and its name, and lets each rewritten file be synced before it replaces the old one. A record
    /// appended from now on is durable once a [`Journal::sync`] that started after it succeeds.
    ///
    /// # Errors
    /// The system cannot sync.
    pub fn enable_durability(&mut self) -> Result<(), JournalError> {
        self.is_durable = true;
        let file = self.file.as_mut().ok_or_else(no_file);
        let synced = file.and_then(|file| file.sync_now()).and_then(|()| self.folder.sync_directory());
        self.health.is_name_unsynced |= synced.is_err();
        synced.map_err(Operation::Sync.failed())
    }

    /// Makes what was written so far survive a crash of the machine.
    pub fn sync(&mut self) -> LocalFuture<'static, io::Result<()>> {
        let file = match self.sync_name() {
            Ok(()) => self.file.as_ref().ok_or_else(no_file),
            Err(error) => Err(error),
        };
        match file {
            Ok(file) => file.sync(),
            Err(error) => Box::pin(async { Err(error) }),
        }
    }

    /// Whether the file lacks records that are part of the state, or cannot be relied on: [`Journal::rewrite`] mends both.
    pub fn needs_rewrite(&self) -> bool {
        self.file.is_none() || self.health != FileHealth::default()
    }

    /// Whether the file lacks records that are part of the state: a process after a restart would not know of them.
    pub fn lacks_records(&self) -> bool {
        self.health.lacks_records
    }

    /// Returns the sequence number of the last record: how many were appended since the journal was opened.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns how often the file was rewritten, which makes all records durable.
    pub fn compactions(&self) -> u64 {
        self.compactions
    }

    /// Rewrites the file, because the old one cannot be relied on.
    ///
    /// # Errors
    /// The new file cannot be written; the old one stays in use.
    pub fn rewrite(&mut self) -> Result<(), JournalError> {
        self.compact();
        match self.compaction_error.take() {
            Some(error) => Err(Operation::Rewrite.failed()(error)),
            None => Ok(()),
        }
    }

    /// Returns the error of the last compaction, if it failed, and forgets the error.
    pub fn take_compaction_error(&mut self) -> Option<io::Error> {
        self.compaction_error.take()
    }

    /// Whether there is space beside the journal for files that are merely useful: the reserve is held, and the file would
    /// fit beside its rewritten form.
    pub fn has_space_for_other_files(&self) -> bool {
        let with_rewritten_file = self.length + self.state.stored_bytes();
        self.reserve.is_held() && with_rewritten_file < self.limits.max_bytes_with_other_files()
    }
}

/// Whether an error of a read says something of the file that waiting does not change.
fn is_lasting(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::IsADirectory | io::ErrorKind::PermissionDenied)
}

#[cfg(test)]
mod tests;
