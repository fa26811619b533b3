//! Writing of records: the file may fail at any write, and nothing may be appended behind what it left incomplete.
use super::error::Operation;
use super::record::Record;
use super::{Journal, JournalError};
use crate::daemon::frame::append_frame;
use std::io;

/// How far the file can be relied on.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FileHealth {
    /// Bytes of an incomplete record may stand behind the last complete one.
    pub is_tail_torn: bool,
    /// The file may lose its name with the machine: the folder could not be synced after the rename.
    pub is_name_unsynced: bool,
    /// Records of ends could not be written, and are part of the state in memory alone.
    pub lacks_records: bool,
    /// A file that could not be read still has the journal's name, and must not be replaced.
    pub must_set_aside: bool,
}

impl Journal {
    /// Writes a record and applies it. A record that cannot be written is applied all the same, except for what must not
    /// happen without it: the next compaction, which is tried at once, writes the state.
    pub(super) fn append(&mut self, record: Record) -> Result<(), JournalError> {
        // What may not use the space of the reserve must not be written while the reserve is released, either.
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
                // Tried again before the next record.
                let _ = self.cut_torn_tail();
            }
        }
        written
    }

    /// Cuts off what may stand behind the last complete record: it must not remain between complete ones.
    pub(super) fn cut_torn_tail(&mut self) -> io::Result<()> {
        if !self.health.is_tail_torn {
            return Ok(());
        }
        self.file.as_mut().ok_or_else(no_file)?.truncate(self.length)?;
        self.health.is_tail_torn = false;
        Ok(())
    }

    /// Makes the name of the file durable, if that failed before.
    pub(super) fn sync_name(&mut self) -> io::Result<()> {
        if self.health.is_name_unsynced {
            self.folder.sync_directory()?;
            self.health.is_name_unsynced = false;
        }
        Ok(())
    }

    pub(super) fn acquire_reserve(&mut self) {
        self.reserve.acquire(&*self.folder, &self.limits);
    }
}

/// The error where there is no file to write to.
pub(super) fn no_file() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "the file could not be opened")
}
