//! Tests of the journal's disk space limits, on a disk of its own and on a disk that other processes fill.
use super::{DISK_BYTES, NOW, attempt, message, open};
use crate::daemon::journal::{AttemptEffect, FinalOutcome, Journal};
use crate::daemon::ports::{AppendFile, LocalFuture, Storage};
use crate::daemon::system::Folder;
use std::cell::Cell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A folder on a disk that other processes fill. While `max_bytes` is set, the folder cannot grow beyond it.
struct SharedDisk {
    folder: Folder,
    path: PathBuf,
    max_bytes: Rc<Cell<Option<u64>>>,
}

/// A file in a [`SharedDisk`].
struct SharedDiskFile {
    file: Box<dyn AppendFile>,
    folder: PathBuf,
    max_bytes: Rc<Cell<Option<u64>>>,
}

impl SharedDisk {
    fn file(&self, file: Box<dyn AppendFile>) -> Box<dyn AppendFile> {
        Box::new(SharedDiskFile { file, folder: self.path.clone(), max_bytes: self.max_bytes.clone() })
    }
}

fn bytes_in(path: &Path) -> u64 {
    std::fs::read_dir(path).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum()
}

impl AppendFile for SharedDiskFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.max_bytes.get().is_some_and(|max| bytes_in(&self.folder) + bytes.len() as u64 > max) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.append(bytes)
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        Box::pin(async { Ok(()) })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
}

impl Storage for SharedDisk {
    fn sync_directory(&self) -> io::Result<()> {
        Ok(())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(self.file(self.folder.open(name)?))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(self.file(self.folder.create(name)?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }
}

/// Guards against new messages that use the space of the reserve: on a disk that stays full every end must be
/// written, or the message is sent again after a kill (scenario full-disk-restart, seed 15186626001).
#[test]
fn reserve_has_space_for_every_end_on_a_full_disk() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().to_owned();
    let max_bytes = Rc::new(Cell::new(None));
    let shared =
        || SharedDisk { folder: Folder(path.clone()), path: path.clone(), max_bytes: max_bytes.clone() };
    let (mut journal, _) = Journal::open(Rc::new(shared()), DISK_BYTES).unwrap();
    let numbers: Vec<u32> = (0..500).map(|n| journal.accept(message(&n.to_string(), 300)).unwrap()).collect();
    for number in &numbers {
        journal.start_attempt(*number, attempt(1)).unwrap();
    }
    max_bytes.set(Some(bytes_in(&path)));
    for (n, number) in numbers.iter().enumerate() {
        assert!(journal.end_attempt(*number, AttemptEffect::Uncertain).is_ok(), "{n}");
        // Later compactions omit the bodies of finished messages, which leaves space for a new reserve.
        if n < 300 {
            assert!(journal.accept(message("late", 300)).is_err(), "{n}: message accepted without a reserve");
            assert!(
                journal.start_attempt(*number, attempt(2)).is_err(),
                "{n}: attempt started without a reserve"
            );
        }
        assert!(journal.finish(*number, FinalOutcome::Failed).is_ok(), "{n}");
    }
    drop(journal);
    let (mut journal, _) = Journal::open(Rc::new(shared()), DISK_BYTES).unwrap();
    assert_eq!(
        journal.pending().filter(|(_, pending)| pending.final_outcome == Some(FinalOutcome::Failed)).count(),
        500
    );
    max_bytes.set(None);
    assert!(
        journal.accept(message("later", 300)).is_ok() && journal.reserve.is_held(),
        "there is space again"
    );
}

/// Guards against a folder that exceeds its limit, in particular while the old and the new file coexist, and
/// against rejecting messages long before the limit is reached.
#[test]
fn folder_stays_under_its_limit() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let size = || {
        let files = std::fs::read_dir(folder.path()).unwrap();
        files.map(|f| f.unwrap().metadata().unwrap().len()).sum::<u64>()
    };
    for n in 0..500 {
        let number = journal.accept(message(&n.to_string(), 50_000)).unwrap();
        journal.complete(number, NOW).unwrap();
        assert!(size() < DISK_BYTES / 2, "{}", size());
    }
    let compacted = |journal: &Journal| journal.length + journal.state.pending.bytes();
    let mut accepted = 0;
    while journal.accept(message(&format!("m{accepted}"), 50_000)).is_ok() {
        accepted += 1;
        assert!(
            compacted(&journal) < DISK_BYTES * 95 / 100 && size() < DISK_BYTES,
            "{accepted} accepted, {} bytes",
            compacted(&journal)
        );
    }
    assert_eq!(accepted, (DISK_BYTES * 2 / 5 / 50_300) as usize);
    // Records of attempts also make the file grow; compaction keeps it below the same limit.
    for n in 0..20_000 {
        let (number, _) = journal.pending().nth(n % accepted).unwrap();
        journal.start_attempt(number, attempt(1)).unwrap();
        assert!(compacted(&journal) < DISK_BYTES * 95 / 100, "{} bytes", compacted(&journal));
    }
    drop(journal);
    let (journal, _) = open(folder.path());
    assert_eq!(journal.pending().count(), accepted);
}
