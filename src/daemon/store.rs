//! The write-ahead journal in the folder that outlasts the process: what was taken on, and how far it got.
//!
//! Each record is framed by its length and a checksum over both. `write` is enough, without a sync: the
//! folder is lost only with the machine, and then its messages are handed to others.
use super::frame::{frame, unframe};
use super::over::Over;
use super::ports::{AppendFile, LocalFuture, Storage};
use bytes::Bytes;
use micadrum_recovery::Stamp;
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
pub enum End {
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
pub struct Handed {
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
pub struct Owed {
    pub message: Handed,
    /// Wall clock, microseconds: it binds across processes.
    pub deadline: u64,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Attempt>,
    /// The attempt that is out, or was when the process ended.
    pub out: Option<Attempt>,
    /// Set once it is over and only the notice is owed.
    pub end: Option<End>,
}

impl Owed {
    /// A message that nobody has tried to deliver yet.
    pub fn new(message: Handed, deadline: u64) -> Self {
        Self { message, deadline, attempts: 0, ran: None, out: None, end: None }
    }

    fn size(&self) -> u64 {
        let Handed { id, class, tenant, key, idempotency_key, body, .. } = &self.message;
        let optional = [tenant, key, idempotency_key].map(|text| text.as_ref().map_or(0, String::len));
        (id.len() + class.len() + optional.iter().sum::<usize>() + body.len()) as u64 + OVERHEAD
    }
}

/// Only ever grows at its end: files of before are read by the same numbers.
#[derive(Serialize, Deserialize)]
enum Record {
    Taken(u32, Box<Owed>),
    Begun(u32, Attempt),
    Outcome {
        number: u32,
        may_have_run: bool,
    },
    Ended(u32, End),
    /// As files of before had it: over, nobody knows when.
    Over(u32),
    /// Over since then.
    OverSince(u32, u64),
    /// Ids of messages that are over, with until when they are kept.
    OverIds(Vec<(Arc<str>, u64)>),
    /// Who writes from here on, and where.
    Stamped(Stamp),
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
pub struct Damage {
    /// Bytes cut off at the end: a record whose writing the process's end broke off.
    pub torn: usize,
    /// Bytes passed over before a record that could be read.
    pub skipped: usize,
    /// Why it could not be read at all; it was put aside, and an empty one begun.
    pub unreadable: Option<String>,
}

impl fmt::Display for Damage {
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
pub struct StoreError {
    doing: &'static str,
    source: io::Error,
}

/// The open journal, with the state that its records add up to.
pub struct Store {
    folder: Rc<dyn Storage>,
    file: Box<dyn AppendFile>,
    length: u64,
    compact_at: u64,
    disk: u64,
    owed: BTreeMap<u32, Owed>,
    owed_bytes: u64,
    over: Over,
    next: u32,
    /// Who wrote last, and where.
    stamp: Option<Stamp>,
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

impl Store {
    /// Opens the journal in `folder`, or begins one, and brings back what it holds. Damage is reported, and
    /// never keeps a sender from starting: what can still be read is still owed.
    pub fn open(folder: Rc<dyn Storage>, disk: u64) -> Result<(Self, Damage), StoreError> {
        let error = |doing| move |source| StoreError { doing, source };
        let mut damage = Damage::default();
        let bytes = match folder.read(NAME) {
            Ok(bytes) => bytes.unwrap_or_default(),
            Err(e) => {
                folder.rename(NAME, UNREADABLE).map_err(error("putting an unreadable one aside"))?;
                damage.unreadable = Some(e.to_string());
                Vec::new()
            }
        };
        let file = folder.open(NAME).map_err(error("opening"))?;
        let mut store = Store {
            folder,
            file,
            length: 0,
            compact_at: (disk as f64 * COMPACT_AT) as u64,
            disk,
            owed: BTreeMap::new(),
            owed_bytes: 0,
            over: Over::new(MOST_OVER, (disk as f64 * OVER_MOST) as u64),
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
    pub fn outlast_the_machine(&mut self) -> Result<(), StoreError> {
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
    pub fn begin_anew(&mut self) -> Result<(), StoreError> {
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
    pub fn set_aside(folder: &dyn Storage) -> Result<(), StoreError> {
        let error = |source| StoreError { doing: "setting another sender's aside", source };
        folder.rename(NAME, SET_ASIDE).and_then(|()| folder.sync_names()).map_err(error)
    }

    /// Writes down who writes from here on, and where.
    ///
    /// # Errors
    /// What the system says; this process goes on by it all the same.
    pub fn stamp(&mut self, stamp: Stamp) -> Result<(), StoreError> {
        self.append(Record::Stamped(stamp))
    }

    /// Who wrote last, and where.
    pub fn stamped(&self) -> Option<&Stamp> {
        self.stamp.as_ref()
    }

    /// Writes down that what is taken on from now on was not taken on before `now`.
    ///
    /// # Errors
    /// What the system says; nothing rests on it but caution.
    pub fn mark_time(&mut self, now: u64) -> Result<(), StoreError> {
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
    pub fn owed(&self) -> impl Iterator<Item = (u32, &Owed)> {
        self.owed.iter().map(|(number, owed)| (*number, owed))
    }

    /// The message of that number.
    pub fn get(&self, number: u32) -> Option<&Owed> {
        self.owed.get(&number)
    }

    /// Records a message as taken on, under a new number; an error means that the disk has no room for it.
    pub fn take_on(&mut self, owed: Owed) -> Result<u32, StoreError> {
        let after = self.owed_bytes + self.over.bytes() + owed.size();
        if after > self.share(OWED_MOST) || self.length > self.share(FILE_MOST) {
            return Err(self.error("taking on", io::ErrorKind::StorageFull.into()));
        }
        let number = self.next;
        self.append(Record::Taken(number, Box::new(owed)))?;
        Ok(number)
    }

    /// Records that an attempt is about to begin; on an error it has not begun.
    pub fn begin(&mut self, number: u32, attempt: Attempt) -> Result<(), StoreError> {
        self.append(Record::Begun(number, attempt))
    }

    /// Records that a message may have run, first in that attempt, which is over.
    pub fn ran(&mut self, number: u32, attempt: Attempt) -> Result<(), StoreError> {
        self.append(Record::Ran(number, attempt))
    }

    /// Records that a message has time until then, by the clock of now.
    pub fn deadline(&mut self, number: u32, deadline: u64) -> Result<(), StoreError> {
        self.append(Record::Deadline(number, deadline))
    }

    /// Records how the attempt that is out ended.
    pub fn outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), StoreError> {
        self.append(Record::Outcome { number, may_have_run })
    }

    /// Records that the attempt that was begun was held back, with nothing written of it.
    pub fn withheld(&mut self, number: u32) -> Result<(), StoreError> {
        self.append(Record::Withheld(number))
    }

    /// Records that a message is over and its notice owed.
    pub fn end(&mut self, number: u32, end: End) -> Result<(), StoreError> {
        self.append(Record::Ended(number, end))
    }

    /// Records that nothing more is owed `now`: delivered, withdrawn, or its notice acknowledged.
    pub fn over(&mut self, number: u32, now: u64) -> Result<(), StoreError> {
        self.append(Record::OverSince(number, now))
    }

    /// Whether a message of that id is over, as far as is still known.
    pub fn was_over(&self, id: &str) -> bool {
        self.over.holds(id)
    }

    /// A record that cannot be written is applied all the same, but for what must not happen without it, a message that
    /// is taken on or an attempt that begins: this process goes on by what it knows, and the next compaction writes it
    /// down.
    fn append(&mut self, record: Record) -> Result<(), StoreError> {
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
    pub fn has_room(&self) -> bool {
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

    fn error(&self, doing: &'static str, source: io::Error) -> StoreError {
        StoreError { doing, source }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::daemon::system::Folder;
    use std::fs::File;
    use std::path::Path;

    const DISK: u64 = 3_000_000;
    const NOW: u64 = 1_700_000_000_000_000;

    fn message(id: &str, body: usize) -> Owed {
        let message = Handed {
            id: id.to_owned(),
            class: "charge".to_owned(),
            tenant: None,
            key: None,
            idempotency_key: None,
            destination: 7,
            body: vec![b'x'; body].into(),
        };
        Owed::new(message, 1)
    }

    fn open(folder: &Path) -> (Store, Damage) {
        Store::open(Rc::new(Folder(folder.to_owned())), DISK).unwrap()
    }

    fn attempt(at: u64) -> Attempt {
        Attempt { at, zone: "a".to_owned() }
    }

    fn ids(store: &Store) -> Vec<&str> {
        store.owed().map(|(_, owed)| owed.message.id.as_str()).collect()
    }

    /// Guards against a stamp, a moment or a deadline that is lost when the file is written anew, and against numbers that begin
    /// anew under old moments.
    #[test]
    fn stamps_and_moments_outlast_a_new_file() {
        let folder = tempfile::tempdir().unwrap();
        let stamp = |wall| Stamp { sender: "n1".to_owned(), boot: None, wall, outlasts_machine: true };
        let (mut store, _) = open(folder.path());
        assert!(store.is_empty() && store.stamped().is_none());
        store.stamp(stamp(NOW)).unwrap();
        assert!(!store.is_empty());
        let first = store.take_on(message("a", 10)).unwrap();
        store.mark_time(NOW + 5).unwrap();
        let second = store.take_on(message("b", 10)).unwrap();
        store.ran(second, Attempt { at: NOW + 6, zone: "z".to_owned() }).unwrap();
        store.deadline(second, NOW + 77).unwrap();
        store.begin_anew().unwrap();
        drop(store);
        let (mut store, _) = open(folder.path());
        assert_eq!((store.stamped(), store.latest()), (Some(&stamp(NOW)), NOW + 5));
        assert_eq!((store.not_before(first), store.not_before(second)), (None, Some(NOW + 5)));
        let owed = store.get(second).unwrap();
        assert_eq!((owed.deadline, owed.ran.as_ref().map(|ran| ran.at)), (NOW + 77, Some(NOW + 6)));
        // The clock goes back: what is said by it counts from its stamp on.
        store.new_clock(NOW - 9_000);
        store.stamp(stamp(NOW - 9_000)).unwrap();
        assert_eq!((store.not_before(second), store.latest()), (None, NOW - 9_000));
        store.mark_time(NOW - 8_000).unwrap();
        let third = store.take_on(message("c", 10)).unwrap();
        assert_eq!((store.not_before(second), store.not_before(third)), (None, Some(NOW - 8_000)));
    }

    /// Guards against forgetting, over a restart, which attempt may have run first.
    #[test]
    fn a_reopened_journal_tells_how_far_each_message_got() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        let numbers: Vec<u32> = ["a", "b", "c"].map(|id| store.take_on(message(id, 10)).unwrap()).into();
        for at in [5, 6, 7] {
            store.begin(numbers[0], attempt(at)).unwrap();
            store.outcome(numbers[0], at > 5).unwrap();
        }
        store.begin(numbers[1], attempt(8)).unwrap();
        store.over(numbers[2], NOW).unwrap();
        drop(store);
        let (mut store, damage) = open(folder.path());
        assert_eq!((ids(&store), damage), (vec!["a", "b"], Damage::default()));
        let a = store.get(numbers[0]).unwrap();
        assert_eq!((a.attempts, &a.ran, &a.out), (3, &Some(attempt(6)), &None));
        assert_eq!(store.get(numbers[1]).unwrap().out, Some(attempt(8)));
        assert!(store.take_on(message("d", 1)).unwrap() > numbers[1]);
    }

    /// Guards against a start that fails, or loses sound records, over a torn tail or a damaged middle.
    #[test]
    fn damage_costs_no_more_than_the_damaged_record() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        let mut ends = vec![];
        for id in ["a", "b", "c"] {
            store.take_on(message(id, 100)).unwrap();
            ends.push(store.length as usize);
        }
        let path = folder.path().join(NAME);
        drop(store);
        let whole = std::fs::read(&path).unwrap();
        for cut in ends[1] + 1..whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            let (mut store, damage) = open(folder.path());
            assert_eq!((ids(&store), damage.torn), (vec!["a", "b"], cut - ends[1]));
            store.take_on(message("d", 1)).unwrap();
            drop(store);
            let (store, damage) = open(folder.path());
            assert_eq!((ids(&store), damage), (vec!["a", "b", "d"], Damage::default()));
        }
        for at in ends[0]..ends[1] {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x55;
            std::fs::write(&path, &bytes).unwrap();
            let (store, damage) = open(folder.path());
            assert_eq!((ids(&store), damage.skipped), (vec!["a", "c"], ends[1] - ends[0]), "byte {at}");
        }
    }

    /// Guards against delivering once more what was over before a restart: its id is known after one, and after
    /// the file was written anew.
    #[test]
    fn ids_that_are_over_outlast_the_process() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        for id in ["a", "b"] {
            let number = store.take_on(message(id, 10)).unwrap();
            store.over(number, NOW).unwrap();
        }
        let open_one = store.take_on(message("c", 10)).unwrap();
        drop(store);
        let (mut store, _) = open(folder.path());
        store.compact();
        drop(store);
        let (mut store, damage) = open(folder.path());
        assert_eq!((ids(&store), damage), (vec!["c"], Damage::default()));
        assert_eq!(["a", "b", "c", "d"].map(|id| store.was_over(id)), [true, true, false, false]);
        store.over(open_one, NOW + 31_000_000).unwrap();
        assert_eq!(["a", "b", "c"].map(|id| store.was_over(id)), [false, false, true], "their time was up");
    }

    /// Guards against an attempt that counts, or goes out, though the disk took no record of it.
    #[test]
    fn an_unwritten_attempt_is_an_error_and_has_not_begun() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        let number = store.take_on(message("a", 10)).unwrap();
        store.file = Box::new(File::open(folder.path().join(NAME)).unwrap());
        folder.close().unwrap();
        assert!(store.begin(number, attempt(5)).is_err());
        let owed = store.get(number).unwrap();
        assert_eq!((owed.attempts, &owed.ran, &owed.out), (0, &None, &None));
        assert!(store.take_on(message("b", 10)).is_err());
        assert_eq!(ids(&store), ["a"]);
    }

    /// Guards against an attempt that was held back and counts in the next process, or that takes an earlier one with it as
    /// the record of its begin is missing.
    #[test]
    fn an_attempt_that_was_held_back_never_was() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        let number = store.take_on(message("a", 10)).unwrap();
        store.begin(number, attempt(5)).unwrap();
        store.outcome(number, false).unwrap();
        store.begin(number, attempt(6)).unwrap();
        store.withheld(number).unwrap();
        // Once more, of one whose begin was never written.
        store.withheld(number).unwrap();
        drop(store);
        let (store, _) = open(folder.path());
        let owed = store.get(number).unwrap();
        assert_eq!((owed.attempts, &owed.ran, &owed.out), (1, &None, &None));
    }

    /// A folder on a disk that others fill: it holds no more than so many bytes, if that is set.
    struct Shared {
        folder: Folder,
        path: std::path::PathBuf,
        most: Rc<std::cell::Cell<Option<u64>>>,
    }

    struct Part(Box<dyn AppendFile>, std::path::PathBuf, Rc<std::cell::Cell<Option<u64>>>);

    fn bytes_in(path: &Path) -> u64 {
        std::fs::read_dir(path).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum()
    }

    impl AppendFile for Part {
        fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
            if self.2.get().is_some_and(|most| bytes_in(&self.1) + bytes.len() as u64 > most) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.0.append(bytes)
        }

        fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
            Box::pin(async { Ok(()) })
        }

        fn sync_now(&mut self) -> io::Result<()> {
            Ok(())
        }

        fn truncate(&mut self, length: u64) -> io::Result<()> {
            self.0.truncate(length)
        }
    }

    impl Storage for Shared {
        fn sync_names(&self) -> io::Result<()> {
            Ok(())
        }

        fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
            self.folder.read(name)
        }

        fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
            Ok(Box::new(Part(self.folder.open(name)?, self.path.clone(), self.most.clone())))
        }

        fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
            Ok(Box::new(Part(self.folder.create(name)?, self.path.clone(), self.most.clone())))
        }

        fn rename(&self, from: &str, to: &str) -> io::Result<()> {
            self.folder.rename(from, to)
        }

        fn remove(&self, name: &str) -> io::Result<()> {
            self.folder.remove(name)
        }
    }

    /// Guards against room that was set aside for ends and goes to newcomers: on a disk that is full for long every end of
    /// what is held has to be in the journal, or it is sent again after a kill (full-disk-restart 15186626001).
    #[test]
    fn on_a_full_disk_the_reserve_holds_every_end() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().to_owned();
        let most = Rc::new(std::cell::Cell::new(None));
        let shared = || Shared { folder: Folder(path.clone()), path: path.clone(), most: most.clone() };
        let (mut store, _) = Store::open(Rc::new(shared()), DISK).unwrap();
        let numbers: Vec<u32> =
            (0..500).map(|n| store.take_on(message(&n.to_string(), 300)).unwrap()).collect();
        for number in &numbers {
            store.begin(*number, attempt(1)).unwrap();
        }
        most.set(Some(bytes_in(&path)));
        for (n, number) in numbers.iter().enumerate() {
            assert!(store.outcome(*number, true).is_ok(), "{n}");
            // Until bodies that ended are left out of a file written anew, and there is room for a reserve.
            if n < 300 {
                assert!(
                    store.take_on(message("late", 300)).is_err(),
                    "{n}: room taken from what is owed its end"
                );
                assert!(
                    store.begin(*number, attempt(2)).is_err(),
                    "{n}: an attempt without room for its end"
                );
            }
            assert!(store.end(*number, End::Failed).is_ok(), "{n}");
        }
        drop(store);
        let (mut store, _) = Store::open(Rc::new(shared()), DISK).unwrap();
        assert_eq!(store.owed().filter(|(_, owed)| owed.end == Some(End::Failed)).count(), 500);
        most.set(None);
        assert!(store.take_on(message("later", 300)).is_ok() && store.reserved, "there is room again");
    }

    /// Guards against a folder over its limit, also while old and new file stand side by side, and against
    /// refusing long before: the journal is written anew in time, and refuses when that can no longer help.
    #[test]
    fn the_folder_stays_under_its_limit() {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = open(folder.path());
        let size = || {
            let files = std::fs::read_dir(folder.path()).unwrap();
            files.map(|f| f.unwrap().metadata().unwrap().len()).sum::<u64>()
        };
        for n in 0..500 {
            let number = store.take_on(message(&n.to_string(), 50_000)).unwrap();
            store.over(number, NOW).unwrap();
            assert!(size() < DISK / 2, "{}", size());
        }
        let most = |store: &Store| store.length + store.owed_bytes;
        let mut taken = 0;
        while store.take_on(message(&format!("m{taken}"), 50_000)).is_ok() {
            taken += 1;
            assert!(most(&store) < DISK * 95 / 100 && size() < DISK, "{taken} taken, {} bytes", most(&store));
        }
        assert_eq!(taken, (DISK * 2 / 5 / 50_300) as usize);
        // Attempts of all that is held make the file grow, and it is written anew under the same limit.
        for n in 0..20_000 {
            let (number, _) = store.owed().nth(n % taken).unwrap();
            store.begin(number, attempt(1)).unwrap();
            assert!(most(&store) < DISK * 95 / 100, "{} bytes", most(&store));
        }
        drop(store);
        let (store, _) = open(folder.path());
        assert_eq!(store.owed().count(), taken);
    }
}
