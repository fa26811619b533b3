//! Durable replacement of whole files: incarnations, the maintenance state and classes.
//!
//! Such a file is written under a temporary name and then renamed. The rename may become durable before the
//! content, in which case a crash leaves an empty file under the final name. The file is therefore synced
//! before the rename, and the folder after it.
use crate::daemon::ports::{AppendFile, Storage};
use std::io;
use std::rc::Rc;

/// A folder in which a rename, and the content of the renamed file, are durable when `rename` returns.
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
