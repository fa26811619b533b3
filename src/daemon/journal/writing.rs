//! Appends records to the file. Any write may fail, and nothing may be appended after an incomplete record.
use super::error::Operation;
use super::record::Record;
use super::{Journal, JournalError};
use crate::daemon::frame::append_frame;
use std::io;

/// Known defects of the file. The default is a file without defects.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FileHealth {
    /// The last complete record may be followed by a part of an incomplete one.
    pub is_tail_torn: bool,
    /// The folder could not be synced after the file was created or renamed, which a machine crash may undo.
    pub is_rename_unsynced: bool,
    /// Records of ends could not be written, and are applied only to the state in memory.
    pub lacks_records: bool,
    /// An unreadable file still has the journal's name, and must be renamed before a new file takes that
    /// name.
    pub must_rename_unreadable: bool,
}

impl Journal {
    /// Writes a record and applies it to the state. If the write fails, a record for which
    /// [`Record::must_be_written`] holds is not applied, any other record is, and a compaction that writes
    /// the whole state is tried at once.
    pub(super) fn append(&mut self, record: Record) -> Result<(), JournalError> {
        // A record that may not use the reserve is written only while the reserve is held.
        if !record.uses_reserve() {
            self.acquire_reserve();
        }
        let written = self.write_record(&record);
        self.last_sequence += 1;
        if written.is_ok() || !record.must_be_written() {
            self.health.lacks_records |= written.is_err();
            self.state.apply(record);
        }
        if self.length > self.compact_at || written.is_err() || self.needs_rewrite() {
            self.compact();
        }
        written.map_err(Operation::Append.failed())
    }

    fn write_record(&mut self, record: &Record) -> io::Result<()> {
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let frame = append_frame(record, buffer)?;
        let written = if record.uses_reserve() {
            self.write_with_reserve(&frame)
        } else if self.reserve.is_held() {
            self.write(&frame)
        } else {
            Err(io::ErrorKind::StorageFull.into())
        };
        self.buffer = frame;
        written
    }

    /// Writes a frame; if that fails, releases the reserve and tries once more.
    fn write_with_reserve(&mut self, frame: &[u8]) -> io::Result<()> {
        let written = self.write(frame);
        if written.is_err() && self.reserve.release(&*self.folder)? {
            return self.write(frame);
        }
        written
    }

    fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        self.cut_torn_tail()?;
        let file = self.file.as_mut().ok_or_else(no_file)?;
        let written = file.append(frame);
        match written {
            Ok(()) => self.length += frame.len() as u64,
            Err(_) => {
                self.health.is_tail_torn = true;
                // If this fails, the next write tries it again.
                let _ = self.cut_torn_tail();
            }
        }
        written
    }

    /// Truncates the file to the end of the last complete record, if an incomplete one may follow.
    pub(super) fn cut_torn_tail(&mut self) -> io::Result<()> {
        if !self.health.is_tail_torn {
            return Ok(());
        }
        self.file.as_mut().ok_or_else(no_file)?.truncate(self.length)?;
        self.health.is_tail_torn = false;
        Ok(())
    }

    /// Syncs the folder, if that failed after the last rename.
    pub(super) fn sync_rename(&mut self) -> io::Result<()> {
        if self.health.is_rename_unsynced {
            self.folder.sync_directory()?;
            self.health.is_rename_unsynced = false;
        }
        Ok(())
    }

    pub(super) fn acquire_reserve(&mut self) {
        self.reserve.acquire(&*self.folder, &self.limits);
    }
}

/// Returns the error of an operation that needs the file while none is open.
pub(super) fn no_file() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "the file could not be opened")
}
