//! The checkpoint file in the state folder: a log of records in which the last record of an endpoint wins.
//!
//! Reading stops at the first unreadable record and keeps the records before it. A file of another sender or
//! in another format is ignored. Neither prevents a start.
//!
//! A new file is written in slices while the current one stays in use, and replaces it once complete. Until
//! then, updates from discovery are written to both files, so that the current one stays up to date.
use super::{Checkpoint, Coverage, DiscoveryVersion, EndpointCheckpoint};
use crate::daemon::frame::{append_frame, read_frame};
use crate::daemon::ports::{AppendFile, Storage};
use serde::{Deserialize, Serialize};
use std::io;
use std::rc::Rc;

const NAME: &str = "memory.log";
const NEW_NAME: &str = "memory.log.new";
/// The version of the record format. A file in another version is ignored and replaced.
const FORMAT_VERSION: u32 = 1;

/// A record of the file. Stored by position: variants and fields may be renamed but not reordered, and new
/// variants are added at the end.
#[derive(Serialize, Deserialize)]
enum Record {
    /// The first record of a file.
    Header { format_version: u32, sender: String },
    /// The state of an endpoint; replaces earlier records of the same endpoint.
    Endpoint(Box<EndpointCheckpoint>),
    /// The records so far contain every change up to this version of the list.
    Version(DiscoveryVersion),
    /// Whether the file holds every endpoint of the list.
    IsComplete(bool),
}

/// Why a checkpoint file was ignored, or read only in part.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CheckpointReadError {
    /// The file cannot be read.
    #[error("checkpoint: read failed file={NAME} error={0}")]
    Read(String),
    /// The file does not start with a header of the supported format version.
    #[error("checkpoint: ignored file={NAME} reason=unknown_format")]
    UnknownFormat,
    /// The file was written by the named other sender.
    #[error("checkpoint: ignored file={NAME} reason=other_sender sender={0:?}")]
    OtherSender(String),
    /// The file is truncated or damaged, and this many bytes at its end cannot be read.
    #[error("checkpoint: truncated file={NAME} unread_bytes={0}")]
    Truncated(usize),
}

/// The result of [`CheckpointFile::open`].
pub struct OpenedCheckpoint {
    pub file: CheckpointFile,
    pub checkpoint: Checkpoint,
    /// Why the file was ignored or read only in part; `None` if it was read in full or does not exist.
    pub error: Option<CheckpointReadError>,
}

/// The kind of a write, which selects the files that it goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckpointWrite {
    /// A part of the current state; goes to the new file if there is one, and to the current file otherwise.
    Snapshot,
    /// An update from discovery; goes to both files. Holds the version of the updated list, or `None` if
    /// other processes cannot compare it.
    Update(Option<DiscoveryVersion>),
}

/// The current checkpoint file, and the new file that is to replace it.
pub struct CheckpointFile {
    folder: Rc<dyn Storage>,
    sender: String,
    file: Option<Box<dyn AppendFile>>,
    new_file: Option<Box<dyn AppendFile>>,
}

impl CheckpointFile {
    /// Reads the file that an earlier process of this sender wrote. The file is kept, but not appended to,
    /// until this process has replaced it: new updates must not be mixed with the state of an older list.
    pub fn open(folder: Rc<dyn Storage>, sender: &str) -> OpenedCheckpoint {
        let (checkpoint, error) = match folder.read(NAME) {
            Ok(Some(bytes)) => read_checkpoint(&bytes, sender),
            Ok(None) => (Checkpoint::default(), None),
            Err(error) => (Checkpoint::default(), Some(CheckpointReadError::Read(error.to_string()))),
        };
        let _ = folder.remove(NEW_NAME);
        let file = Self { folder, sender: sender.to_owned(), file: None, new_file: None };
        OpenedCheckpoint { file, checkpoint, error }
    }

    /// Creates a new file and returns its length in bytes.
    ///
    /// # Errors
    /// The file cannot be created or written.
    pub fn start_new(&mut self) -> io::Result<u64> {
        let header = Record::Header { format_version: FORMAT_VERSION, sender: self.sender.clone() };
        let header = append_frame(&header, Vec::new())?;
        let mut file = self.folder.create(NEW_NAME)?;
        file.append(&header)?;
        self.new_file = Some(file);
        Ok(header.len() as u64)
    }

    /// Writes endpoints and returns the number of bytes written to each file. `fits` is called with the total
    /// length of the write including the next endpoint; an endpoint for which it returns false is left out,
    /// and the version of an update is then not written.
    ///
    /// # Errors
    /// The write failed. The file may then end with an incomplete record.
    pub fn write(
        &mut self,
        endpoints: impl Iterator<Item = EndpointCheckpoint>,
        write: CheckpointWrite,
        mut fits: impl FnMut(u64) -> bool,
    ) -> io::Result<u64> {
        let mut bytes = Vec::new();
        let mut coverage = Coverage::Complete;
        for endpoint in endpoints {
            let length_before = bytes.len();
            bytes = append_frame(&Record::Endpoint(Box::new(endpoint)), bytes)?;
            if !fits(bytes.len() as u64) {
                bytes.truncate(length_before);
                coverage = Coverage::Partial;
            }
        }
        if let CheckpointWrite::Update(Some(version)) = write
            && coverage == Coverage::Complete
        {
            bytes = append_frame(&Record::Version(version), bytes)?;
        }
        self.append(&bytes, write)?;
        Ok(bytes.len() as u64)
    }

    fn append(&mut self, bytes: &[u8], write: CheckpointWrite) -> io::Result<()> {
        if let Some(new_file) = &mut self.new_file {
            new_file.append(bytes)?;
            if write == CheckpointWrite::Snapshot {
                return Ok(());
            }
        }
        self.file.as_mut().map_or(Ok(()), |file| file.append(bytes))
    }

    /// Completes the new file and replaces the current file with it.
    ///
    /// # Errors
    /// The new file cannot be completed or renamed. The current file is unchanged.
    pub fn finish_new(&mut self, version: Option<DiscoveryVersion>, coverage: Coverage) -> io::Result<()> {
        let Some(mut new_file) = self.new_file.take() else { return Ok(()) };
        let mut bytes = Vec::new();
        if let Some(version) = version {
            bytes = append_frame(&Record::Version(version), bytes)?;
        }
        let is_complete = Record::IsComplete(coverage == Coverage::Complete);
        new_file.append(&append_frame(&is_complete, bytes)?)?;
        self.folder.rename(NEW_NAME, NAME)?;
        self.file = Some(new_file);
        Ok(())
    }

    /// Returns whether a current or a new file is open for writing.
    pub fn is_open(&self) -> bool {
        self.file.is_some() || self.new_file.is_some()
    }

    /// Removes both files to free their space for the journal.
    pub fn remove(&mut self) {
        (self.file, self.new_file) = (None, None);
        for name in [NEW_NAME, NAME] {
            let _ = self.folder.remove(name);
        }
    }
}

/// Decodes the `bytes` of a file, and returns why they were ignored or read only in part.
fn read_checkpoint(bytes: &[u8], sender: &str) -> (Checkpoint, Option<CheckpointReadError>) {
    let mut checkpoint = Checkpoint::default();
    let Some((Record::Header { format_version: FORMAT_VERSION, sender: writer }, mut position)) =
        read_frame(bytes)
    else {
        return (checkpoint, Some(CheckpointReadError::UnknownFormat));
    };
    if writer != sender {
        return (checkpoint, Some(CheckpointReadError::OtherSender(writer)));
    }
    while let Some((record, frame_bytes)) = read_frame(&bytes[position..]) {
        position += frame_bytes;
        match record {
            Record::Header { .. } => {}
            Record::Endpoint(state) => {
                checkpoint.endpoints.insert(state.endpoint.id.clone(), *state);
            }
            Record::Version(version) => checkpoint.version = Some(version),
            Record::IsComplete(is_complete) => checkpoint.is_complete = is_complete,
        }
    }
    let unread_bytes = bytes.len() - position;
    (checkpoint, (unread_bytes > 0).then_some(CheckpointReadError::Truncated(unread_bytes)))
}

#[cfg(test)]
mod tests;
