//! Durable replacement of whole files: incarnations, maintenance, classes.
//!
//! Such a file is written under another name and renamed. A rename may become durable before the content does, so that a
//! crash would leave an empty file under the final name. Here the file is synced before its rename, and the folder after.
use crate::daemon::ports::{AppendFile, Storage};
use std::io;
use std::rc::Rc;

/// A folder whose renames are durable when they return.
pub struct DurableStorage(pub Rc<dyn Storage>);

impl Storage for DurableStorage {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.0.open(name)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.0.create(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.open(from)?.sync_now()?;
        self.0.rename(from, to)?;
        self.0.sync_directory()
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.sync_directory()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
}
