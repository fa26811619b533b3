//! Logs which files of a folder are durable, and up to which length, for tests that simulate a power loss.
//!
//! The test kit reads these lines and truncates each file to its durable length when it simulates a machine
//! crash. A line has the file's name at the end of the sync, as a file that is renamed during a sync is
//! durable under its new name.
use crate::daemon::ports::{AppendFile, LocalFuture, Log, Storage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// The current name and length of a file.
struct TrackedFile {
    name: RefCell<String>,
    /// Length in bytes, including bytes not yet synced.
    length: Cell<u64>,
}

/// A folder that logs a line for each file that is created, synced or renamed.
pub struct TracedStorage {
    folder: Rc<dyn Storage>,
    log: Rc<dyn Log>,
    /// The tracked files, by current name.
    files: RefCell<BTreeMap<String, Rc<TrackedFile>>>,
}

/// An open file; all handles of one file share its name and length.
struct TracedFile {
    file: Box<dyn AppendFile>,
    tracked: Rc<TrackedFile>,
    log: Rc<dyn Log>,
}

impl TracedStorage {
    /// Wraps `folder`, and logs to `log`.
    pub fn new(folder: Rc<dyn Storage>, log: Rc<dyn Log>) -> Self {
        Self { folder, log, files: RefCell::default() }
    }

    fn handle(&self, file: Box<dyn AppendFile>, tracked: Rc<TrackedFile>) -> Box<dyn AppendFile> {
        Box::new(TracedFile { file, tracked, log: self.log.clone() })
    }

    fn track(&self, name: &str, length: u64) -> Rc<TrackedFile> {
        let tracked = Rc::new(TrackedFile { name: RefCell::new(name.to_owned()), length: Cell::new(length) });
        self.files.borrow_mut().insert(name.to_owned(), tracked.clone());
        tracked
    }
}

impl Storage for TracedStorage {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let tracked = self.files.borrow().get(name).cloned();
        let tracked = match tracked {
            Some(tracked) => tracked,
            None => self.track(name, self.folder.read(name)?.map_or(0, |bytes| bytes.len() as u64)),
        };
        Ok(self.handle(self.folder.open(name)?, tracked))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let file = self.folder.create(name)?;
        self.log.line(&format!("trace storage begun {name}"));
        Ok(self.handle(file, self.track(name, 0)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)?;
        self.log.line(&format!("trace storage renamed {from} {to}"));
        let mut files = self.files.borrow_mut();
        if let Some(file) = files.remove(from) {
            to.clone_into(&mut file.name.borrow_mut());
            files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.folder.sync_directory()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name);
        self.folder.remove(name)
    }
}

fn log_sync(log: &dyn Log, file: &TrackedFile, length: u64) {
    log.line(&format!("trace storage synced {} {length}", file.name.borrow()));
}

impl AppendFile for TracedFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)?;
        self.tracked.length.set(self.tracked.length.get() + bytes.len() as u64);
        Ok(())
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        let (sync, tracked, log) = (self.file.sync(), self.tracked.clone(), self.log.clone());
        let length = tracked.length.get();
        Box::pin(async move {
            sync.await?;
            log_sync(&*log, &tracked, length);
            Ok(())
        })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.file.sync_now()?;
        log_sync(&*self.log, &self.tracked, self.tracked.length.get());
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)?;
        self.tracked.length.set(length);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
