//! The memory's file in the folder that lasts: records one after the other, of which the last of an endpoint counts.
//!
//! It ends anywhere: what stands before the first record that cannot be read counts. A file of another sender or another
//! form counts for nothing. Neither ever stops a start.
use super::{Checkpoint, DiscoveryVersion, EndpointCheckpoint};
use crate::daemon::frame::{append_frame, read_frame};
use crate::daemon::ports::{AppendFile, Storage};
use serde::{Deserialize, Serialize};
use std::io;
use std::rc::Rc;

const NAME: &str = "memory.log";
const NEW: &str = "memory.log.new";
/// The form of the records; a file of another one is begun anew.
const FORM: u32 = 1;

#[derive(Serialize, Deserialize)]
enum Record {
    /// First of all: whose it is.
    Head { form: u32, sender: String },
    /// An endpoint as it was from then on.
    Known(Box<EndpointCheckpoint>),
    /// The list that was heard by now.
    Heard(DiscoveryVersion),
    /// Whether all endpoints of the list were written down.
    Whole(bool),
}

/// Why there is nothing to be remembered, or less than was written.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Unread {
    /// The file cannot be read.
    #[error("reading {NAME}: {0}")]
    Read(String),
    /// It does not begin as one.
    #[error("{NAME} is not in the form of this version; nothing is remembered")]
    Form,
    /// It is of another sender.
    #[error("{NAME} is of {0:?}; nothing is remembered")]
    Foreign(String),
    /// It was cut off, or is damaged.
    #[error("{NAME}: {0} bytes at its end cannot be read")]
    Torn(usize),
}

/// The open file, and the one that is to take its place.
pub struct CheckpointFile {
    folder: Rc<dyn Storage>,
    sender: String,
    file: Option<Box<dyn AppendFile>>,
    new: Option<Box<dyn AppendFile>>,
}

impl CheckpointFile {
    /// Reads what an earlier process of this sender wrote down. It stays until this one's own is in its place: what is
    /// heard from now on must not stand beside what was true of another list.
    pub fn open(folder: Rc<dyn Storage>, sender: &str) -> (Self, Checkpoint, Option<Unread>) {
        let (memory, wrong) = match folder.read(NAME) {
            Ok(Some(bytes)) => read(&bytes, sender),
            Ok(None) => (Checkpoint::default(), None),
            Err(e) => (Checkpoint::default(), Some(Unread::Read(e.to_string()))),
        };
        let _ = folder.remove(NEW);
        (Self { folder, sender: sender.to_owned(), file: None, new: None }, memory, wrong)
    }

    /// Begins a new file; the old one stays until that is in its place. Bytes in it.
    ///
    /// # Errors
    /// What the system says.
    pub fn begin(&mut self) -> io::Result<u64> {
        let head = append_frame(&Record::Head { form: FORM, sender: self.sender.clone() }, Vec::new())?;
        let mut file = self.folder.create(NEW)?;
        file.append(&head)?;
        self.new = Some(file);
        Ok(head.len() as u64)
    }

    /// Writes endpoints down: in the new file if there is one, and in the old one too if this is `news`, which leads to
    /// `version` if that can be compared. `fits` is asked of each whether there is room for so many bytes in all; a version of which something was
    /// left out is not told of. Bytes written to the file that is being filled.
    ///
    /// # Errors
    /// What the system says; the file may then end within a record.
    pub fn write(
        &mut self,
        known: impl Iterator<Item = EndpointCheckpoint>,
        news: bool,
        version: Option<DiscoveryVersion>,
        mut fits: impl FnMut(u64) -> bool,
    ) -> io::Result<u64> {
        let (mut bytes, mut all) = (Vec::new(), true);
        for known in known {
            let before = bytes.len();
            bytes = append_frame(&Record::Known(Box::new(known)), bytes)?;
            if !fits(bytes.len() as u64) {
                bytes.truncate(before);
                all = false;
            }
        }
        if let Some(version) = version.filter(|_| all) {
            bytes = append_frame(&Record::Heard(version), bytes)?;
        }
        self.append(&bytes, news)?;
        Ok(bytes.len() as u64)
    }

    fn append(&mut self, bytes: &[u8], both: bool) -> io::Result<()> {
        if let Some(new) = &mut self.new {
            new.append(bytes)?;
            if !both {
                return Ok(());
            }
        }
        self.file.as_mut().map_or(Ok(()), |file| file.append(bytes))
    }

    /// Puts the new file in the old one's place.
    ///
    /// # Errors
    /// What the system says; the old one is then as it was.
    pub fn finish(&mut self, version: Option<DiscoveryVersion>, whole: bool) -> io::Result<()> {
        let Some(mut new) = self.new.take() else { return Ok(()) };
        let mut bytes = Vec::new();
        if let Some(version) = version {
            bytes = append_frame(&Record::Heard(version), bytes)?;
        }
        new.append(&append_frame(&Record::Whole(whole), bytes)?)?;
        self.folder.rename(NEW, NAME)?;
        self.file = Some(new);
        Ok(())
    }

    /// Whether there is a file to write in.
    pub fn is_open(&self) -> bool {
        self.file.is_some() || self.new.is_some()
    }

    /// Gives all of its room up.
    pub fn give_up(&mut self) {
        (self.file, self.new) = (None, None);
        for name in [NEW, NAME] {
            let _ = self.folder.remove(name);
        }
    }
}

/// What the file tells, and what is wrong with it.
fn read(bytes: &[u8], sender: &str) -> (Checkpoint, Option<Unread>) {
    let mut memory = Checkpoint::default();
    let Some((Record::Head { form: FORM, sender: of }, mut at)) = read_frame(bytes) else {
        return (memory, Some(Unread::Form));
    };
    if of != sender {
        return (memory, Some(Unread::Foreign(of)));
    }
    while let Some((record, size)) = read_frame(&bytes[at..]) {
        at += size;
        match record {
            Record::Head { .. } => {}
            Record::Known(known) => drop(memory.endpoints.insert(known.member.id.clone(), *known)),
            Record::Heard(version) => memory.version = Some(version),
            Record::Whole(whole) => memory.whole = whole,
        }
    }
    let torn = Some(bytes.len() - at).filter(|torn| *torn > 0).map(Unread::Torn);
    (memory, torn)
}

#[cfg(test)]
mod tests;
