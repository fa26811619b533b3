//! Fault injection: folder operations fail, singly and several in a row, and the process is then killed.
//! Everything that the journal confirmed must still be there.
use super::{DISK_BYTES, NOW, attempt, message};
use crate::daemon::journal::{AttemptEffect, Journal};
use crate::daemon::ports::{AppendFile, LocalFuture, Storage};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;
use std::rc::Rc;

type Bytes = Rc<RefCell<Vec<u8>>>;

/// An in-memory folder whose operations fail if their numbers are in `failing`. A failing append writes half
/// of its bytes.
#[derive(Clone, Default)]
struct FailingFolder {
    files: Rc<RefCell<BTreeMap<String, Bytes>>>,
    operations: Rc<Cell<u32>>,
    failing: Rc<RefCell<Range<u32>>>,
}

impl FailingFolder {
    fn operation(&self) -> io::Result<()> {
        let number = self.operations.get();
        self.operations.set(number + 1);
        if self.failing.borrow().contains(&number) {
            return Err(io::Error::other("injected"));
        }
        Ok(())
    }

    fn handle(&self, bytes: Bytes) -> Box<dyn AppendFile> {
        Box::new(FailingFile { bytes, folder: self.clone() })
    }

    /// Returns the folder that a process finds after a kill: a copy whose operations do not fail.
    fn after_kill(&self) -> Self {
        let copied =
            |(name, bytes): (&String, &Bytes)| (name.clone(), Rc::new(RefCell::new(bytes.borrow().clone())));
        let files = self.files.borrow().iter().map(copied).collect();
        Self { files: Rc::new(RefCell::new(files)), ..Self::default() }
    }

    fn stop_failing(&self) {
        *self.failing.borrow_mut() = 0..0;
    }
}

struct FailingFile {
    bytes: Bytes,
    folder: FailingFolder,
}

impl AppendFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let outcome = self.folder.operation();
        let written = if outcome.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.bytes.borrow_mut().extend_from_slice(&bytes[..written]);
        outcome
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        let outcome = self.folder.operation();
        Box::pin(async { outcome })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.folder.operation()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.folder.operation()?;
        self.bytes.borrow_mut().truncate(length as usize);
        Ok(())
    }
}

impl Storage for FailingFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.operation()?;
        Ok(self.files.borrow().get(name).map(|bytes| bytes.borrow().clone()))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.operation()?;
        let bytes = self.files.borrow_mut().entry(name.to_owned()).or_default().clone();
        Ok(self.handle(bytes))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.operation()?;
        let bytes = Bytes::default();
        self.files.borrow_mut().insert(name.to_owned(), bytes.clone());
        Ok(self.handle(bytes))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.operation()?;
        let file = self.files.borrow_mut().remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.borrow_mut().insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.operation()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.operation()?;
        self.files.borrow_mut().remove(name);
        Ok(())
    }
}

/// The IDs of the messages whose records a journal has confirmed.
#[derive(Default)]
struct ConfirmedRecords {
    accepted: BTreeSet<String>,
    attempted: BTreeSet<String>,
    completed: BTreeSet<String>,
}

impl ConfirmedRecords {
    /// Accepts messages, starts and ends attempts, and rewrites the file after every third message. Checks
    /// after each message what a kill would leave.
    fn process_messages(&mut self, journal: &mut Journal, first: u32, folder: &FailingFolder, case: &str) {
        for number in first..first + 6 {
            let id = format!("m{number}");
            let Ok(accepted) = journal.accept(message(&id, 40)) else { continue };
            self.accepted.insert(id.clone());
            if journal.start_attempt(accepted, attempt(NOW)).is_ok() {
                self.attempted.insert(id.clone());
            }
            match number % 3 {
                0 => drop(journal.end_attempt(accepted, AttemptEffect::Uncertain)),
                1 => {
                    self.completed.insert(id);
                    drop(journal.complete(accepted, NOW));
                }
                _ => drop(journal.rewrite()),
            }
            self.check(folder, &format!("{case}, killed after {number}"));
        }
    }

    /// Checks that a process started after a kill finds every confirmed record.
    fn check(&self, folder: &FailingFolder, case: &str) {
        let (journal, _) = Journal::open(Rc::new(folder.after_kill()), DISK_BYTES).unwrap();
        for id in &self.accepted {
            let pending = journal.pending().find(|(_, pending)| pending.message.id == *id);
            let is_known = pending.is_some() || (self.completed.contains(id) && journal.is_completed(id));
            assert!(is_known, "{id} is lost, {case}");
            let is_attempted = pending.is_none_or(|(_, pending)| pending.attempts_started > 0);
            assert!(is_attempted || !self.attempted.contains(id), "the attempt of {id} is lost, {case}");
        }
    }
}

/// Runs one case in which the operations in `failing` fail, and returns the number of operations of its first
/// half.
fn run_case(failing: Range<u32>, is_durable: bool) -> u32 {
    let case = format!("failing {failing:?}, durable {is_durable}");
    let folder = FailingFolder::default();
    let (mut journal, _) = Journal::open(Rc::new(folder.clone()), DISK_BYTES).unwrap();
    if is_durable {
        journal.enable_durability().unwrap();
    }
    let begin = folder.operations.get();
    *folder.failing.borrow_mut() = begin + failing.start..begin + failing.end;
    let mut confirmed = ConfirmedRecords::default();
    confirmed.process_messages(&mut journal, 0, &folder, &case);
    let operations = folder.operations.get() - begin;
    folder.stop_failing();
    confirmed.process_messages(&mut journal, 6, &folder, &case);
    operations
}

/// Guards against losing a confirmed record because of a failing write, sync, truncation or rename.
#[test]
fn confirmed_records_survive_every_failure_of_the_folder() {
    for is_durable in [false, true] {
        let operations = run_case(0..0, is_durable);
        for first in 0..operations {
            for length in [1, 2, 3, 5, 8, operations] {
                run_case(first..first + length, is_durable);
            }
        }
    }
}
