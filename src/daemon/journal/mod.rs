//! The write-ahead journal in the folder that outlasts the process: what was taken on, and how far it got.
//!
//! Each record is framed by its length and a checksum over both. `write` is enough, without a sync: the
//! folder is lost only with the machine, and then its messages are handed to others.
mod completed_ids;

use super::frame::{frame, unframe};
use super::ports::{AppendFile, LocalFuture, Storage};
use bytes::Bytes;
use completed_ids::CompletedIds;
use micadrum_recovery::JournalStamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// The journal's name in the folder, and that of its successor while it is written.
const NAME: &str = "messages.wal";
const NEW: &str = "messages.wal.new";
/// A file that only takes up room, given up where a full disk would keep an end from being written down: a
/// message whose end is not in the journal would go out once more after a restart.
const RESERVE: &str = "messages.reserve";
/// Where the journal of another sender is put.
const SET_ASIDE: &str = "messages.wal.foreign";
/// And one that the system does not let this process read.
const UNREADABLE: &str = "messages.wal.unreadable";
/// A successor is written in pieces of about this size.
const SLICE: usize = 64 * 1024;
/// Ids that one record holds at the most: they are 1 KiB at the longest.
const OVER_IN_RECORD: usize = 200;
/// Room that a message takes in a compact file besides its text and body: frame, numbers, two attempts.
const OVERHEAD: u64 = 256;
/// What is owed may fill this share of the disk. While the file is written anew, old and new stand side by side:
/// twice this share and what is appended in between stay under the limit.
const OWED_MOST: f64 = 0.4;
/// The file is written anew past this share of the disk ...
const COMPACT_AT: f64 = 0.3;
/// ... and, where more than that is owed, once so much has been appended since.
const COMPACT_AFTER: f64 = 0.06;
/// Share of the disk that the reserve takes up.
const RESERVE_SHARE: f64 = 0.02;
/// Ids of messages that are over may fill this share, as a part of the first one, and be so many.
const OVER_MOST: f64 = 0.05;
const MOST_OVER: usize = 8192;
/// With the file past this share, writing it anew has failed: nothing more is taken on.
const FILE_MOST: f64 = 0.55;

/// With the file and what it would be written anew past this share, the folder holds nothing else.
const ROOM_BESIDE: f64 = 0.8;

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// No promise about its effect.
    Failed,
    /// The client may safely come again, perhaps after so many milliseconds.
    Returned(Option<u64>),
}

/// An attempt: when its call began (wall clock, microseconds) and the zone it went to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    pub at: u64,
    pub zone: String,
}

/// A message as a client handed it in.
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

/// A message that this sender owes its end, or the notice of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMessage {
    pub message: SubmittedMessage,
    /// Wall clock, microseconds: it binds across processes.
    pub deadline: u64,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Attempt>,
    /// The attempt that is out, or was when the process ended.
    pub out: Option<Attempt>,
    /// Set once it is over and only the notice is owed.
    pub end: Option<FinalOutcome>,
}

impl PendingMessage {
    /// A message that nobody has tried to deliver yet.
    pub fn new(message: SubmittedMessage, deadline: u64) -> Self {
        Self { message, deadline, attempts: 0, ran: None, out: None, end: None }
    }

    fn size(&self) -> u64 {
        let SubmittedMessage { id, class, tenant, key, idempotency_key, body, .. } = &self.message;
        let optional = [tenant, key, idempotency_key].map(|text| text.as_ref().map_or(0, String::len));
        (id.len() + class.len() + optional.iter().sum::<usize>() + body.len()) as u64 + OVERHEAD
    }
}

/// Only ever grows at its end: files of before are read by the same numbers.
#[derive(Serialize, Deserialize)]
enum Record {
    Taken(u32, Box<PendingMessage>),
    Begun(u32, Attempt),
    Outcome {
        number: u32,
        may_have_run: bool,
    },
    Ended(u32, FinalOutcome),
    /// As files of before had it: over, nobody knows when.
    Over(u32),
    /// Over since then.
    OverSince(u32, u64),
    /// Ids of messages that are over, with until when they are kept.
    OverIds(Vec<(Arc<str>, u64)>),
    /// Who writes from here on, and where.
    Stamped(JournalStamp),
    /// Messages from that number on were not taken on before that moment.
    NotBefore(u32, u64),
    /// It may have run, first in that attempt: the journal may be missing it.
    Ran(u32, Attempt),
    /// It has time until then by the clock of now.
    Deadline(u32, u64),
    /// The attempt that was begun was held back before anything of it was written: it never was.
    Withheld(u32),
}

/// What the journal held when it was opened, besides the messages.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CorruptionReport {
    /// Bytes cut off at the end: a record whose writing the process's end broke off.
    pub torn: usize,
    /// Bytes passed over before a record that could be read.
    pub skipped: usize,
    /// Why it could not be read at all; it was put aside, and an empty one begun.
    pub unreadable: Option<String>,
}

impl fmt::Display for CorruptionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { torn, skipped, unreadable } = self;
        if let Some(why) = unreadable {
            return write!(
                f,
                "{NAME} cannot be read: {why}: put aside as {UNREADABLE}, what it holds is not taken up"
            );
        }
        write!(f, "{torn} bytes cut off at the end, {skipped} passed over")
    }
}

#[derive(Debug, thiserror::Error)]
#[error("journal: {doing}: {source}")]
pub struct JournalError {
    doing: &'static str,
    source: io::Error,
}

/// The open journal, with the state that its records add up to.
pub struct Journal {
    folder: Rc<dyn Storage>,
    file: Box<dyn AppendFile>,
    length: u64,
    compact_at: u64,
    disk: u64,
    owed: BTreeMap<u32, PendingMessage>,
    owed_bytes: u64,
    over: CompletedIds,
    next: u32,
    /// Who wrote last, and where.
    stamp: Option<JournalStamp>,
    /// Moments, with the first number that was not taken on before each; none that nothing owed needs any more.
    not_before: VecDeque<(u32, u64)>,
    /// The latest wall time that any record tells of.
    latest: u64,
    failed_compaction: Option<io::Error>,
    reserved: bool,
    /// A new file is synced before it takes the old one's place.
    synced: bool,
    /// Counts records, and new files in which all of them stand.
    mark: u64,
    new_files: u64,
    /// A record on its way to the file.
    room: Vec<u8>,
}

impl Journal {
    /// Opens the journal in `folder`, or begins one, and brings back what it holds. Damage is reported, and
    /// never keeps a sender from starting: what can still be read is still owed.
    pub fn open(folder: Rc<dyn Storage>, disk: u64) -> Result<(Self, CorruptionReport), JournalError> {
        let error = |doing| move |source| JournalError { doing, source };
        let mut damage = CorruptionReport::default();
        let bytes = match folder.read(NAME) {
            Ok(bytes) => bytes.unwrap_or_default(),
            Err(e) => {
                folder.rename(NAME, UNREADABLE).map_err(error("putting an unreadable one aside"))?;
                damage.unreadable = Some(e.to_string());
                Vec::new()
            }
        };
        let file = folder.open(NAME).map_err(error("opening"))?;
        let mut store = Journal {
            folder,
            file,
            length: 0,
            compact_at: (disk as f64 * COMPACT_AT) as u64,
            disk,
            owed: BTreeMap::new(),
            owed_bytes: 0,
            over: CompletedIds::new(MOST_OVER, (disk as f64 * OVER_MOST) as u64),
            next: 0,
            stamp: None,
            not_before: VecDeque::new(),
            latest: 0,
            failed_compaction: None,
            reserved: false,
            synced: false,
            mark: 0,
            new_files: 0,
            room: Vec::new(),
        };
        let (mut at, mut sound) = (0, 0);
        while at < bytes.len() {
            match unframe(&bytes[at..]) {
                Some((record, size)) => {
                    damage.skipped += at - sound;
                    at += size;
                    sound = at;
                    store.apply(record);
                }
                None => at += 1,
            }
        }
        damage.torn = bytes.len() - sound;
        store.length = sound as u64;
        if damage.torn > 0 {
            store.file.truncate(store.length).map_err(error("cutting off a torn tail"))?;
        }
        // A new file that was never moved into place only takes up room.
        let _ = store.folder.remove(NEW);
        store.reserve();
        Ok((store, damage))
    }

    /// From now on a new file is synced before it takes the old one's place, and what is held is made to stand now. What is
    /// written from here on outlasts the machine only once [`Store::sync`] says so.
    ///
    /// # Errors
    /// Why it cannot be.
    pub fn enable_durability(&mut self) -> Result<(), JournalError> {
        self.synced = true;
        let done = self.file.sync_now().and_then(|()| self.folder.sync_names());
        done.map_err(|e| self.error("syncing", e))
    }

    /// The number of the last record.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// How often all of it was written anew, which makes all records stand.
    pub fn new_files(&self) -> u64 {
        self.new_files
    }

    /// Lets what is written outlast the machine.
    pub fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        self.file.sync()
    }

    /// Begins a new file, as the old one cannot be relied on.
    ///
    /// # Errors
    /// Why there is none.
    pub fn rewrite(&mut self) -> Result<(), JournalError> {
        self.compact();
        match self.failed_compaction.take() {
            Some(e) => Err(self.error("beginning a new file", e)),
            None => Ok(()),
        }
    }

    /// Puts the journal of another sender aside: it is opened as an empty one next.
    ///
    /// # Errors
    /// What the system says.
    pub fn set_aside(folder: &dyn Storage) -> Result<(), JournalError> {
        let error = |source| JournalError { doing: "setting another sender's aside", source };
        folder.rename(NAME, SET_ASIDE).and_then(|()| folder.sync_names()).map_err(error)
    }

    /// Writes down who writes from here on, and where.
    ///
    /// # Errors
    /// What the system says; this process goes on by it all the same.
    pub fn stamp(&mut self, stamp: JournalStamp) -> Result<(), JournalError> {
        self.append(Record::Stamped(stamp))
    }

    /// Who wrote last, and where.
    pub fn stamped(&self) -> Option<&JournalStamp> {
        self.stamp.as_ref()
    }

    /// Writes down that what is taken on from now on was not taken on before `now`.
    ///
    /// # Errors
    /// What the system says; nothing rests on it but caution.
    pub fn mark_time(&mut self, now: u64) -> Result<(), JournalError> {
        self.append(Record::NotBefore(self.next, now))
    }

    /// The latest moment before which a message was not taken on, as far as was written down.
    pub fn not_before(&self, number: u32) -> Option<u64> {
        let after = self.not_before.partition_point(|(first, _)| *first <= number);
        after.checked_sub(1).map(|place| self.not_before[place].1)
    }

    /// The latest wall time that it tells of.
    pub fn latest(&self) -> u64 {
        self.latest
    }

    /// Whether it has never held anything.
    pub fn is_empty(&self) -> bool {
        self.stamp.is_none() && self.next == 0 && self.over.is_empty()
    }

    /// The clock is another one from `now` on: ids of messages that are over are kept for as long as if they were over now,
    /// and moments by the one before mean nothing any more.
    pub fn new_clock(&mut self, now: u64) {
        self.over.all_from(now);
        self.not_before.clear();
        self.latest = now;
    }

    /// All that is owed, in the order in which it was taken on.
    pub fn pending(&self) -> impl Iterator<Item = (u32, &PendingMessage)> {
        self.owed.iter().map(|(number, owed)| (*number, owed))
    }

    /// The message of that number.
    pub fn get(&self, number: u32) -> Option<&PendingMessage> {
        self.owed.get(&number)
    }

    /// Records a message as taken on, under a new number; an error means that the disk has no room for it.
    pub fn accept(&mut self, owed: PendingMessage) -> Result<u32, JournalError> {
        let after = self.owed_bytes + self.over.bytes() + owed.size();
        if after > self.share(OWED_MOST) || self.length > self.share(FILE_MOST) {
            return Err(self.error("taking on", io::ErrorKind::StorageFull.into()));
        }
        let number = self.next;
        self.append(Record::Taken(number, Box::new(owed)))?;
        Ok(number)
    }

    /// Records that an attempt is about to begin; on an error it has not begun.
    pub fn begin(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::Begun(number, attempt))
    }

    /// Records that a message may have run, first in that attempt, which is over.
    pub fn ran(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::Ran(number, attempt))
    }

    /// Records that a message has time until then, by the clock of now.
    pub fn deadline(&mut self, number: u32, deadline: u64) -> Result<(), JournalError> {
        self.append(Record::Deadline(number, deadline))
    }

    /// Records how the attempt that is out ended.
    pub fn outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.append(Record::Outcome { number, may_have_run })
    }

    /// Records that the attempt that was begun was held back, with nothing written of it.
    pub fn attempt_deferred(&mut self, number: u32) -> Result<(), JournalError> {
        self.append(Record::Withheld(number))
    }

    /// Records that a message is over and its notice owed.
    pub fn end(&mut self, number: u32, end: FinalOutcome) -> Result<(), JournalError> {
        self.append(Record::Ended(number, end))
    }

    /// Records that nothing more is owed `now`: delivered, withdrawn, or its notice acknowledged.
    pub fn over(&mut self, number: u32, now: u64) -> Result<(), JournalError> {
        self.append(Record::OverSince(number, now))
    }

    /// Whether a message of that id is over, as far as is still known.
    pub fn was_over(&self, id: &str) -> bool {
        self.over.holds(id)
    }

    /// A record that cannot be written is applied all the same, but for what must not happen without it, a message that
    /// is taken on or an attempt that begins: this process goes on by what it knows, and the next compaction writes it
    /// down.
    fn append(&mut self, record: Record) -> Result<(), JournalError> {
        let needed = matches!(
            record,
            Record::Outcome { .. }
                | Record::Ended(..)
                | Record::OverSince(..)
                | Record::Ran(..)
                | Record::Withheld(..)
        );
        // The room of a reserve that was given up is for ends alone: what is begun meanwhile would take it from them.
        if !needed {
            self.reserve();
        }
        // One buffer for all records: growing a new one for each cost more than the checksum.
        let mut room = std::mem::take(&mut self.room);
        room.clear();
        let written = frame(&record, room).and_then(|frame| {
            if !needed && !self.reserved {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let done = match self.write(&frame) {
                Err(_) if needed && std::mem::take(&mut self.reserved) => {
                    self.folder.remove(RESERVE)?;
                    self.write(&frame)
                }
                done => done,
            };
            self.room = frame;
            done
        });
        self.mark += 1;
        let refused = written.is_err() && matches!(record, Record::Taken(..) | Record::Begun(..));
        if !refused {
            self.apply(record);
        }
        if self.length > self.compact_at || written.is_err() {
            self.compact();
        }
        written.map_err(|e| self.error("writing", e))
    }

    fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        let done = self.file.append(frame);
        if done.is_err() {
            // Half a record must not stand between whole ones.
            self.file.truncate(self.length)?;
        }
        done.map(|()| self.length += frame.len() as u64)
    }

    /// Sets room aside, if there is any.
    fn reserve(&mut self) {
        if !self.reserved {
            let room = vec![0; self.share(RESERVE_SHARE) as usize];
            let made = self.folder.create(RESERVE).and_then(|mut file| file.append(&room));
            self.reserved = made.is_ok();
            if !self.reserved {
                let _ = self.folder.remove(RESERVE);
            }
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken(number, owed) => {
                self.next = self.next.max(number + 1);
                self.owed_bytes += owed.size();
                if let Some(before) = self.owed.insert(number, *owed) {
                    self.owed_bytes -= before.size();
                }
            }
            Record::Begun(number, attempt) => {
                self.latest = self.latest.max(attempt.at);
                if let Some(owed) = self.owed.get_mut(&number) {
                    owed.attempts += 1;
                    owed.out = Some(attempt);
                }
            }
            Record::Outcome { number, may_have_run } => {
                if let Some(owed) = self.owed.get_mut(&number) {
                    let out = owed.out.take();
                    if may_have_run && owed.ran.is_none() {
                        owed.ran = out;
                    }
                }
            }
            Record::Ran(number, attempt) => {
                if let Some(owed) = self.owed.get_mut(&number) {
                    owed.attempts = owed.attempts.max(1);
                    (owed.ran, owed.out) = (Some(attempt), None);
                }
            }
            Record::Deadline(number, deadline) => {
                if let Some(owed) = self.owed.get_mut(&number) {
                    owed.deadline = deadline;
                }
            }
            Record::Withheld(number) => {
                // Only what stands here as begun: the record of that may not have been written.
                if let Some(owed) = self.owed.get_mut(&number)
                    && owed.out.take().is_some()
                {
                    owed.attempts = owed.attempts.saturating_sub(1);
                }
            }
            Record::Ended(number, end) => {
                if let Some(owed) = self.owed.get_mut(&number) {
                    owed.end = Some(end);
                    self.owed_bytes -= std::mem::take(&mut owed.message.body).len() as u64;
                }
            }
            Record::Over(number) => self.leave(number, 0),
            Record::OverSince(number, at) => self.leave(number, at),
            Record::OverIds(ids) => {
                for (id, until) in ids {
                    self.over.keep(id, until, 0);
                }
            }
            Record::Stamped(stamp) => {
                // Another process may have had another clock.
                self.latest = stamp.wall;
                self.stamp = Some(stamp);
            }
            Record::NotBefore(first, at) => {
                self.latest = self.latest.max(at);
                // Numbers begin anew where a file held no messages.
                while self.not_before.back().is_some_and(|(before, _)| *before >= first) {
                    self.not_before.pop_back();
                }
                self.not_before.push_back((first, at));
            }
        }
    }

    fn leave(&mut self, number: u32, at: u64) {
        self.latest = self.latest.max(at);
        if let Some(owed) = self.owed.remove(&number) {
            self.owed_bytes -= owed.size();
            self.over.add(&owed.message.id, at, owed.deadline);
        }
        let oldest = self.owed.first_key_value().map_or(self.next, |(number, _)| *number);
        while self.not_before.get(1).is_some_and(|(first, _)| *first <= oldest) {
            self.not_before.pop_front();
        }
    }

    /// Whether there is room beside the journal for what is only of use: it has its reserve, and would fit beside itself
    /// written anew.
    pub fn has_capacity(&self) -> bool {
        self.reserved && self.length + self.owed_bytes + self.over.bytes() < self.share(ROOM_BESIDE)
    }

    /// What went wrong when the file was last to be written anew, told once: the old one stays.
    pub fn failed_compaction(&mut self) -> Option<io::Error> {
        self.failed_compaction.take()
    }

    fn share(&self, share: f64) -> u64 {
        (self.disk as f64 * share) as u64
    }

    /// Writes what is owed into a new file and puts it in the old one's place in one move.
    fn compact(&mut self) {
        match self.rewritten() {
            Ok((file, length)) => {
                (self.file, self.length) = (file, length);
                self.new_files += 1;
                self.compact_at = self.share(COMPACT_AT).max(length + self.share(COMPACT_AFTER));
                self.reserve();
            }
            Err(e) => {
                let _ = self.folder.remove(NEW);
                self.compact_at = self.length + self.share(COMPACT_AFTER);
                self.failed_compaction = Some(e);
            }
        }
    }

    fn rewritten(&self) -> io::Result<(Box<dyn AppendFile>, u64)> {
        let mut file = self.folder.create(NEW)?;
        let mut length = 0;
        let mut slice = Vec::new();
        let stamp = self.stamp.iter().map(|stamp| Record::Stamped(stamp.clone()));
        let moments = self.not_before.iter().map(|(first, at)| Record::NotBefore(*first, *at));
        // Nothing else in a new file tells of the latest moment.
        let latest = self.stamp.iter().map(|_| Record::NotBefore(self.next, self.latest));
        let owed = (self.owed.iter()).map(|(number, owed)| Record::Taken(*number, Box::new(owed.clone())));
        let ids: Vec<_> = self.over.iter().map(|(id, until)| (id.clone(), until)).collect();
        // In parts, as no record may be longer than any is read.
        let ids = ids.chunks(OVER_IN_RECORD).map(|part| Record::OverIds(part.to_vec()));
        for record in stamp.chain(moments).chain(latest).chain(owed).chain(ids) {
            slice = frame(&record, slice)?;
            if slice.len() > SLICE {
                length += slice.len() as u64;
                file.append(&slice)?;
                slice.clear();
            }
        }
        length += slice.len() as u64;
        file.append(&slice)?;
        if self.synced {
            file.sync_now()?;
        }
        self.folder.rename(NEW, NAME)?;
        if self.synced {
            self.folder.sync_names()?;
        }
        Ok((file, length))
    }

    fn error(&self, doing: &'static str, source: io::Error) -> JournalError {
        JournalError { doing, source }
    }
}

#[cfg(test)]
mod tests;
