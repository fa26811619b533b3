//! The checkpoint's file in the state folder: a log of records, in which the last record of an endpoint counts.
//!
//! A file may end anywhere: the records before the first one that cannot be read count. A file of another sender or in another
//! format is ignored. Neither ever prevents a start.
//!
//! A new file is written beside the old one, a part at a time, and replaces the old one once it is complete. Updates from
//! discovery go to both until then, so that the old one stays current.
use super::{Checkpoint, Coverage, DiscoveryVersion, EndpointCheckpoint};
use crate::daemon::frame::{append_frame, read_frame};
use crate::daemon::ports::{AppendFile, Storage};
use serde::{Deserialize, Serialize};
use std::io;
use std::rc::Rc;

const NAME: &str = "memory.log";
const NEW_NAME: &str = "memory.log.new";
/// The version of the records; a file in another one is ignored and replaced.
const FORMAT_VERSION: u32 = 1;

/// Stored by position: variants and fields may be renamed, but not reordered, and new variants are added at the end.
#[derive(Serialize, Deserialize)]
enum Record {
    /// The first record.
    Header { format_version: u32, sender: String },
    /// The state of an endpoint from here on.
    Endpoint(Box<EndpointCheckpoint>),
    /// All endpoints up to here lead to this version of the list.
    Version(DiscoveryVersion),
    /// Whether the file has all endpoints of the list.
    IsComplete(bool),
}

/// Why nothing was restored from the file, or less than was written.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CheckpointReadError {
    /// The file cannot be read.
    #[error("checkpoint: read failed file={NAME} error={0}")]
    Read(String),
    /// The file does not start with a header of this version.
    #[error("checkpoint: ignored file={NAME} reason=unknown_format")]
    UnknownFormat,
    /// The file was written by another sender.
    #[error("checkpoint: ignored file={NAME} reason=other_sender sender={0:?}")]
    OtherSender(String),
    /// The file is truncated or damaged: that many bytes at its end cannot be read.
    #[error("checkpoint: truncated file={NAME} unread_bytes={0}")]
    Truncated(usize),
}

/// What opening the file gives.
pub struct OpenedCheckpoint {
    pub file: CheckpointFile,
    pub checkpoint: Checkpoint,
    pub error: Option<CheckpointReadError>,
}

/// What a write contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckpointWrite {
    /// A part of the present state: it goes to the new file if there is one, and else to the current one.
    Snapshot,
    /// An update from discovery, which leads to this version if it can be compared: it goes to both files.
    Update(Option<DiscoveryVersion>),
}

/// The current file, and the one that is to replace it.
pub struct CheckpointFile {
    folder: Rc<dyn Storage>,
    sender: String,
    file: Option<Box<dyn AppendFile>>,
    new_file: Option<Box<dyn AppendFile>>,
}

impl CheckpointFile {
    /// Reads what an earlier process of this sender wrote. That file stays in place, and is not appended to, until this
    /// process has replaced it: updates from now on must not be mixed with the state of another list.
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

    /// Creates a new file, and returns its length in bytes.
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

    /// Writes endpoints, and returns how many bytes were written to the file that is being filled. `fits` is asked for each
    /// endpoint whether there is space for that many bytes in all; an endpoint that does not fit is left out, and then the
    /// version of an update is not written.
    ///
    /// # Errors
    /// The write failed; the file may then end within a record.
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

    /// Replaces the current file by the new one.
    ///
    /// # Errors
    /// The new file cannot be completed or renamed; the current one is unchanged.
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

    /// Whether there is a file to write to.
    pub fn is_open(&self) -> bool {
        self.file.is_some() || self.new_file.is_some()
    }

    /// Removes all files, so that their space is free for the journal.
    pub fn remove(&mut self) {
        (self.file, self.new_file) = (None, None);
        for name in [NEW_NAME, NAME] {
            let _ = self.folder.remove(name);
        }
    }
}

/// Returns what the file holds, and what is wrong with it.
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
