//! A folder that tells the log what of it outlasts the machine, for rehearsals that cut it back to that.
use crate::daemon::ports::{AppendFile, LocalFuture, Log, Storage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// One file, under whatever name it has by now.
struct Named {
    name: RefCell<String>,
    length: Cell<u64>,
}

/// A folder of which each file that is begun, synced or renamed is told in a line.
pub struct TracedStorage {
    folder: Rc<dyn Storage>,
    log: Rc<dyn Log>,
    files: RefCell<BTreeMap<String, Rc<Named>>>,
}

struct Handle {
    file: Box<dyn AppendFile>,
    named: Rc<Named>,
    log: Rc<dyn Log>,
}

impl TracedStorage {
    /// That folder, told of in that log.
    pub fn new(folder: Rc<dyn Storage>, log: Rc<dyn Log>) -> Self {
        Self { folder, log, files: RefCell::default() }
    }

    /// A handle of a file, all of which move with its name.
    fn handle(&self, file: Box<dyn AppendFile>, named: Rc<Named>) -> Box<dyn AppendFile> {
        Box::new(Handle { file, named, log: self.log.clone() })
    }

    fn named(&self, name: &str, length: u64) -> Rc<Named> {
        let named = Rc::new(Named { name: RefCell::new(name.to_owned()), length: Cell::new(length) });
        self.files.borrow_mut().insert(name.to_owned(), named.clone());
        named
    }
}

impl Storage for TracedStorage {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let known = self.files.borrow().get(name).cloned();
        let named = match known {
            Some(named) => named,
            None => self.named(name, self.folder.read(name)?.map_or(0, |bytes| bytes.len() as u64)),
        };
        Ok(self.handle(self.folder.open(name)?, named))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let file = self.folder.create(name)?;
        self.log.line(&format!("trace storage begun {name}"));
        Ok(self.handle(file, self.named(name, 0)))
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

    fn sync_names(&self) -> io::Result<()> {
        self.folder.sync_names()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name);
        self.folder.remove(name)
    }
}

fn tell(log: &dyn Log, named: &Named, length: u64) {
    log.line(&format!("trace storage synced {} {length}", named.name.borrow()));
}

impl AppendFile for Handle {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)?;
        self.named.length.set(self.named.length.get() + bytes.len() as u64);
        Ok(())
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        let (sync, named, log) = (self.file.sync(), self.named.clone(), self.log.clone());
        let length = named.length.get();
        Box::pin(async move {
            sync.await?;
            tell(&*log, &named, length);
            Ok(())
        })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.file.sync_now()?;
        tell(&*self.log, &self.named, self.named.length.get());
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)?;
        self.named.length.set(length);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
