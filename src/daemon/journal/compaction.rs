//! Compaction: the state is written to a new file, which then replaces the old one by a rename.
//!
//! If the process ends before the rename, the old file remains with all of its records. With durability
//! enabled, the new file is synced before the rename, and the folder after it.
use super::record::{CompletedId, Record};
use super::{FileHealth, Journal, NAME, NEW_NAME, UNREADABLE_NAME};
use crate::daemon::frame::append_frame;
use crate::daemon::ports::AppendFile;
use std::io;

/// The new file is written in chunks of about this size, in bytes.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum number of IDs in one record. An ID has at most 1 KiB, and a record must not exceed the reader's
/// limit.
const MAX_IDS_IN_RECORD: usize = 200;

/// The new file and its length in bytes.
struct NewFile {
    file: Box<dyn AppendFile>,
    length: u64,
}

impl NewFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.length += bytes.len() as u64;
        self.file.append(bytes)
    }
}

impl Journal {
    /// Rewrites the journal. [`Journal::take_compaction_error`] returns the error if this fails; the old file
    /// then stays in use, unless only the sync of the rename failed.
    pub(super) fn compact(&mut self) {
        match self.write_new_file() {
            Ok(NewFile { file, length }) => {
                (self.file, self.length) = (Some(file), length);
                // The new file has replaced the old one, also if the sync of the rename fails.
                self.health = FileHealth { is_rename_unsynced: self.is_durable, ..FileHealth::default() };
                self.compact_at = self.limits.next_compaction_bytes(length);
                match self.sync_rename() {
                    Ok(()) => self.compactions += 1,
                    Err(error) => self.compaction_error = Some(error),
                }
                self.acquire_reserve();
            }
            Err(error) => {
                let _ = self.folder.remove(NEW_NAME);
                self.compact_at = self.limits.retry_compaction_bytes(self.length);
                self.compaction_error = Some(error);
            }
        }
    }

    fn write_new_file(&mut self) -> io::Result<NewFile> {
        let mut new = NewFile { file: self.folder.create(NEW_NAME)?, length: 0 };
        let mut buffer = Vec::new();
        for record in self.state_as_records() {
            buffer = append_frame(&record, buffer)?;
            if buffer.len() > WRITE_CHUNK_BYTES {
                new.append(&buffer)?;
                buffer.clear();
            }
        }
        new.append(&buffer)?;
        if self.is_durable {
            new.file.sync_now()?;
        }
        if self.health.must_rename_unreadable {
            self.folder.rename(NAME, UNREADABLE_NAME)?;
            self.health.must_rename_unreadable = false;
        }
        self.folder.rename(NEW_NAME, NAME)?;
        Ok(new)
    }

    /// Returns records that reproduce the current state.
    fn state_as_records(&self) -> impl Iterator<Item = Record> {
        let state = &self.state;
        let stamp = state.stamp.iter().map(|stamp| Record::Stamped(stamp.clone()));
        let bounds = state.times.iter().map(|bound| Record::AcceptedNotBefore {
            first_number: bound.first_number,
            not_before: bound.not_before,
        });
        // The other records of a rewritten file may all have earlier times.
        let has_times = state.stamp.is_some() || state.clock_anchor.is_some();
        let latest = has_times.then(|| Record::AcceptedNotBefore {
            first_number: state.next_number,
            not_before: state.times.latest(),
        });
        let pending = state
            .pending
            .iter()
            .map(|(number, pending)| Record::Accepted { number, pending: Box::new(pending.clone()) });
        let ids: Vec<CompletedId> = state.completed.iter().collect();
        let ids: Vec<Record> =
            ids.chunks(MAX_IDS_IN_RECORD).map(|ids| Record::CompletedIds(ids.to_vec())).collect();
        let anchor = state.clock_anchor.iter().map(|anchor| Record::ClockAnchored(*anchor));
        stamp.chain(anchor).chain(bounds).chain(latest).chain(pending).chain(ids)
    }
}
