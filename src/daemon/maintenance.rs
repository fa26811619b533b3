//! Endpoints that operators have taken out by hand, by name, kept in the folder that lasts.
use super::ports::Storage;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

const NAME: &str = "maintenance.json";
const NEW: &str = "maintenance.json.new";
/// So many names at the most: they stay until they are put back, also of endpoints that are listed no more.
const MOST: usize = 4096;

/// Why one could not be taken out or put back; all stays as it was.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceError {
    /// There is no room for another.
    #[error("{MOST} endpoints are out already")]
    TooMany,
    /// It could not be written down.
    #[error("writing {NAME}: {0}")]
    Write(#[from] io::Error),
}

/// Their names.
pub struct Maintenance {
    folder: Rc<dyn Storage>,
    out: BTreeSet<String>,
}

impl Maintenance {
    /// Those that an earlier process wrote down. A file that cannot be read never stops a start: what is wrong with it
    /// is told beside.
    pub fn open(folder: Rc<dyn Storage>) -> (Self, Option<String>) {
        let read = folder.read(NAME).map_err(|e| e.to_string()).and_then(|bytes| match bytes {
            Some(bytes) => serde_json::from_slice(&bytes).map_err(|e| e.to_string()),
            None => Ok(BTreeSet::new()),
        });
        let (out, wrong) = match read {
            Ok(out) => (out, None),
            Err(e) => (BTreeSet::new(), Some(format!("{NAME}: {e}; nothing is out by hand"))),
        };
        (Self { folder, out }, wrong)
    }

    /// Whether an endpoint is out.
    pub fn holds(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    /// Takes an endpoint out; whether it was in.
    ///
    /// # Errors
    /// Why not.
    pub fn take_out(&mut self, name: &str) -> Result<bool, MaintenanceError> {
        if self.holds(name) {
            return Ok(false);
        }
        if self.out.len() >= MOST {
            return Err(MaintenanceError::TooMany);
        }
        self.out.insert(name.to_owned());
        let written = self.write();
        if written.is_err() {
            self.out.remove(name);
        }
        written.map(|()| true)
    }

    /// Puts an endpoint back; whether it was out.
    ///
    /// # Errors
    /// Why not.
    pub fn put_back(&mut self, name: &str) -> Result<bool, MaintenanceError> {
        if !self.out.remove(name) {
            return Ok(false);
        }
        let written = self.write();
        if written.is_err() {
            self.out.insert(name.to_owned());
        }
        written.map(|()| true)
    }

    fn write(&self) -> Result<(), MaintenanceError> {
        replace(&*self.folder, NAME, NEW, &self.out).map_err(MaintenanceError::Write)
    }
}

/// Puts a JSON file in the place of another in one step, or leaves that as it was.
pub fn replace(folder: &dyn Storage, name: &str, new: &str, value: &impl serde::Serialize) -> io::Result<()> {
    put(folder, name, new, &serde_json::to_vec(value).map_err(io::Error::other)?)
}

/// Puts bytes in place of a file in one step; `new` is their name until then.
///
/// # Errors
/// What the system says; the file is then as before.
pub fn put(folder: &dyn Storage, name: &str, new: &str, bytes: &[u8]) -> io::Result<()> {
    let written = folder.create(new).and_then(|mut file| file.append(bytes));
    written.and_then(|()| folder.rename(new, name)).inspect_err(|_| drop(folder.remove(new)))
}

#[cfg(test)]
mod tests;
