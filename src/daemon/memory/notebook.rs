//! The memory's file in the folder that lasts: records one after the other, of which the last of an endpoint counts.
//!
//! It ends anywhere: what stands before the first record that cannot be read counts. A file of another sender or another
//! form counts for nothing. Neither ever stops a start.
use super::{Known, Memory, Version};
use crate::daemon::frame::{frame, unframe};
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
    Known(Box<Known>),
    /// The list that was heard by now.
    Heard(Version),
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
pub struct Notebook {
    folder: Rc<dyn Storage>,
    sender: String,
    file: Option<Box<dyn AppendFile>>,
    new: Option<Box<dyn AppendFile>>,
}

impl Notebook {
    /// Reads what an earlier process of this sender wrote down. It stays until this one's own is in its place: what is
    /// heard from now on must not stand beside what was true of another list.
    pub fn open(folder: Rc<dyn Storage>, sender: &str) -> (Self, Memory, Option<Unread>) {
        let (memory, wrong) = match folder.read(NAME) {
            Ok(Some(bytes)) => read(&bytes, sender),
            Ok(None) => (Memory::default(), None),
            Err(e) => (Memory::default(), Some(Unread::Read(e.to_string()))),
        };
        let _ = folder.remove(NEW);
        (Self { folder, sender: sender.to_owned(), file: None, new: None }, memory, wrong)
    }

    /// Begins a new file; the old one stays until that is in its place. Bytes in it.
    ///
    /// # Errors
    /// What the system says.
    pub fn begin(&mut self) -> io::Result<u64> {
        let head = frame(&Record::Head { form: FORM, sender: self.sender.clone() }, Vec::new())?;
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
        known: impl Iterator<Item = Known>,
        news: bool,
        version: Option<Version>,
        mut fits: impl FnMut(u64) -> bool,
    ) -> io::Result<u64> {
        let (mut bytes, mut all) = (Vec::new(), true);
        for known in known {
            let before = bytes.len();
            bytes = frame(&Record::Known(Box::new(known)), bytes)?;
            if !fits(bytes.len() as u64) {
                bytes.truncate(before);
                all = false;
            }
        }
        if let Some(version) = version.filter(|_| all) {
            bytes = frame(&Record::Heard(version), bytes)?;
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
    pub fn finish(&mut self, version: Option<Version>, whole: bool) -> io::Result<()> {
        let Some(mut new) = self.new.take() else { return Ok(()) };
        let mut bytes = Vec::new();
        if let Some(version) = version {
            bytes = frame(&Record::Heard(version), bytes)?;
        }
        new.append(&frame(&Record::Whole(whole), bytes)?)?;
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
fn read(bytes: &[u8], sender: &str) -> (Memory, Option<Unread>) {
    let mut memory = Memory::default();
    let Some((Record::Head { form: FORM, sender: of }, mut at)) = unframe(bytes) else {
        return (memory, Some(Unread::Form));
    };
    if of != sender {
        return (memory, Some(Unread::Foreign(of)));
    }
    while let Some((record, size)) = unframe(&bytes[at..]) {
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
mod tests {
    use super::*;
    use crate::Time;
    use crate::daemon::system::Folder;
    use crate::daemon::targets::{Member, Phase};
    use std::net::SocketAddr;
    use std::path::Path;

    fn open(folder: &Path, sender: &str) -> (Notebook, Memory, Option<Unread>) {
        Notebook::open(Rc::new(Folder(folder.to_owned())), sender)
    }

    fn known(id: &str, phase: Phase) -> Known {
        let member = Member {
            id: id.to_owned(),
            host_port: SocketAddr::from(([127, 0, 0, 1], 9)),
            locality: "a".to_owned(),
            flavor: "bank".to_owned(),
            cell: 1,
            phase,
            size: 1.0,
            up_since_ms: 0,
        };
        Known { member, heard: Time(5), learned: [None, None], written: Time(6) }
    }

    fn version(revision: u64) -> Version {
        Version { agent: SocketAddr::from(([127, 0, 0, 1], 1)), revision }
    }

    /// A file with two endpoints at version 1, and the news of one more and a drain at version 2.
    fn written(folder: &Path) -> Notebook {
        let (mut notebook, ..) = open(folder, "n1");
        notebook.begin().unwrap();
        let two = ["a", "b"].map(|id| known(id, Phase::Serving));
        notebook.write(two.into_iter(), false, None, |_| true).unwrap();
        notebook.finish(Some(version(1)), true).unwrap();
        let news = [known("a", Phase::Draining), known("c", Phase::Serving)];
        notebook.write(news.into_iter(), true, Some(version(2)), |_| true).unwrap();
        notebook
    }

    fn phases(memory: &Memory) -> Vec<(&str, Phase)> {
        memory.endpoints.iter().map(|(id, known)| (id.as_str(), known.member.phase)).collect()
    }

    /// Guards against a file that stops a start, wherever it ends, or tells of a version without what led to it.
    #[test]
    fn a_file_cut_at_any_byte_tells_what_stands_before() {
        let folder = tempfile::tempdir().unwrap();
        drop(written(folder.path()));
        let (_, memory, wrong) = open(folder.path(), "n1");
        let last = [("a", Phase::Draining), ("b", Phase::Serving), ("c", Phase::Serving)];
        assert_eq!((phases(&memory), memory.version, memory.whole), (last.into(), Some(version(2)), true));
        assert_eq!(wrong, None);
        let path = folder.path().join(NAME);
        let whole = std::fs::read(&path).unwrap();
        let mut between = 0;
        for cut in 0..whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            let (_, memory, wrong) = open(folder.path(), "n1");
            assert!(memory.version != Some(version(2)), "{cut}: all of it stands before the version");
            if memory.version.is_some() {
                assert!(memory.endpoints.len() >= 2, "{cut}");
            }
            between += usize::from(wrong.is_none());
            let mut damaged = whole.clone();
            damaged[cut] ^= 0x55;
            std::fs::write(&path, &damaged).unwrap();
            let (_, memory, wrong) = open(folder.path(), "n1");
            assert!(wrong.is_some() && memory.version != Some(version(2)), "byte {cut}");
        }
        // After the head, a, b, version 1, that this is all, a, c; everywhere else it is told that something is cut off.
        assert_eq!(between, 7);
    }

    /// Guards against taking up what is of another sender or another form.
    #[test]
    fn foreign_files_tell_nothing() {
        let folder = tempfile::tempdir().unwrap();
        drop(written(folder.path()));
        let (_, memory, wrong) = open(folder.path(), "n2");
        assert_eq!((memory.endpoints.len(), wrong), (0, Some(Unread::Foreign("n1".to_owned()))));
        let head = Record::Head { form: FORM + 1, sender: "n1".to_owned() };
        let other = frame(&Record::Whole(true), frame(&head, Vec::new()).unwrap()).unwrap();
        for bytes in [&other[..], b"", b"{\"json\": true}"] {
            std::fs::write(folder.path().join(NAME), bytes).unwrap();
            let (_, memory, wrong) = open(folder.path(), "n1");
            assert_eq!((memory.endpoints.len(), wrong), (0, Some(Unread::Form)));
        }
    }

    /// Guards against a file that is half of one time and half of another: what is written anew counts only when it is
    /// whole, and news goes to both until then.
    #[test]
    fn the_old_file_counts_until_the_new_one_is_whole() {
        let folder = tempfile::tempdir().unwrap();
        let mut notebook = written(folder.path());
        notebook.begin().unwrap();
        notebook.write([known("a", Phase::Serving)].into_iter(), false, None, |_| true).unwrap();
        notebook.write([known("b", Phase::Draining)].into_iter(), true, Some(version(3)), |_| true).unwrap();
        let (_, memory, _) = open(folder.path(), "n1");
        let old = [("a", Phase::Draining), ("b", Phase::Draining), ("c", Phase::Serving)];
        assert_eq!((phases(&memory), memory.version), (old.into(), Some(version(3))));
        // That look has removed the new file, as a start does: begun again.
        notebook.begin().unwrap();
        let all = ["a", "b"].map(|id| known(id, Phase::Serving));
        notebook.write(all.into_iter(), false, None, |_| true).unwrap();
        notebook.finish(Some(version(4)), false).unwrap();
        let (_, memory, _) = open(folder.path(), "n1");
        let new = [("a", Phase::Serving), ("b", Phase::Serving)];
        assert_eq!((phases(&memory), memory.version, memory.whole), (new.into(), Some(version(4)), false));
    }

    /// Guards against a version whose news had no room: the next process would never ask for it.
    #[test]
    fn a_version_is_told_of_only_with_all_that_led_to_it() {
        let folder = tempfile::tempdir().unwrap();
        let mut notebook = written(folder.path());
        let mut room = [true, false].into_iter();
        let news = [known("b", Phase::Draining), known("d", Phase::Serving)];
        notebook.write(news.into_iter(), true, Some(version(3)), |_| room.next().unwrap()).unwrap();
        let (_, memory, _) = open(folder.path(), "n1");
        assert_eq!(memory.version, Some(version(2)));
        assert_eq!(memory.endpoints["b"].member.phase, Phase::Draining);
        notebook.give_up();
        assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0, "its room is the journal's");
        notebook.write([known("b", Phase::Serving)].into_iter(), true, Some(version(4)), |_| true).unwrap();
    }
}
