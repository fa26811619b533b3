//! Endpoints that operators have taken out of service, by name, stored in the state folder.
use super::ports::Storage;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

/// The file in the state folder.
const FILE: &str = "maintenance.json";
/// The name of that file until it is complete.
const NEW_FILE: &str = "maintenance.json.new";
/// How many names are stored at most: names stay until they are put back, also those of endpoints that are no
/// longer listed.
const MAX_ENDPOINTS: usize = 4096;

/// Why an endpoint could not be taken out of service or put back; everything stays as it was.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceError {
    /// No more names can be stored.
    #[error("{MAX_ENDPOINTS} endpoints are out already")]
    TooMany,
    /// The change could not be written down.
    #[error("writing {FILE}: {0}")]
    Write(#[from] io::Error),
}

/// Why the names of an earlier process are lost.
#[derive(Debug, thiserror::Error)]
pub enum UnreadableMaintenance {
    /// The file cannot be read.
    #[error("maintenance: cannot read {FILE}, no endpoint is out of service error={0}")]
    Read(#[from] io::Error),
    /// The file is damaged.
    #[error("maintenance: cannot parse {FILE}, no endpoint is out of service error={0}")]
    Parse(#[from] serde_json::Error),
}

/// The endpoints that are out of service.
pub struct Maintenance {
    folder: Rc<dyn Storage>,
    endpoints: BTreeSet<String>,
}

impl Maintenance {
    /// Reads what an earlier process wrote down. A file that cannot be read never stops a start: the error is
    /// returned beside an empty set.
    pub fn open(folder: Rc<dyn Storage>) -> (Self, Option<UnreadableMaintenance>) {
        let (endpoints, unreadable) = match read(&*folder) {
            Ok(endpoints) => (endpoints, None),
            Err(unreadable) => (BTreeSet::new(), Some(unreadable)),
        };
        (Self { folder, endpoints }, unreadable)
    }

    /// Whether an endpoint is out of service.
    pub fn contains(&self, name: &str) -> bool {
        self.endpoints.contains(name)
    }

    /// Takes an endpoint out of service; false if it is out already.
    ///
    /// # Errors
    /// The change cannot be stored; the endpoint stays in service.
    pub fn enter(&mut self, name: &str) -> Result<bool, MaintenanceError> {
        if self.contains(name) {
            return Ok(false);
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(MaintenanceError::TooMany);
        }
        self.endpoints.insert(name.to_owned());
        let written = self.write();
        if written.is_err() {
            self.endpoints.remove(name);
        }
        written.map(|()| true)
    }

    /// Puts an endpoint back into service; false if it is in service already.
    ///
    /// # Errors
    /// The change cannot be stored; the endpoint stays out of service.
    pub fn exit(&mut self, name: &str) -> Result<bool, MaintenanceError> {
        if !self.endpoints.remove(name) {
            return Ok(false);
        }
        let written = self.write();
        if written.is_err() {
            self.endpoints.insert(name.to_owned());
        }
        written.map(|()| true)
    }

    fn write(&self) -> Result<(), MaintenanceError> {
        replace_json_file(&*self.folder, FILE, NEW_FILE, &self.endpoints).map_err(MaintenanceError::Write)
    }
}

fn read(folder: &dyn Storage) -> Result<BTreeSet<String>, UnreadableMaintenance> {
    match folder.read(FILE)? {
        Some(bytes) => Ok(serde_json::from_slice(&bytes)?),
        None => Ok(BTreeSet::new()),
    }
}

/// Replaces a JSON file in one step; `new` is its name until it is complete.
///
/// # Errors
/// The system's error; the file is then as before.
pub fn replace_json_file(
    folder: &dyn Storage,
    name: &str,
    new: &str,
    value: &impl serde::Serialize,
) -> io::Result<()> {
    replace_file(folder, name, new, &serde_json::to_vec(value).map_err(io::Error::other)?)
}

/// Replaces the bytes of a file in one step; `new` is its name until it is complete.
///
/// # Errors
/// The system's error; the file is then as before.
pub fn replace_file(folder: &dyn Storage, name: &str, new: &str, bytes: &[u8]) -> io::Result<()> {
    let written = folder.create(new).and_then(|mut file| file.append(bytes));
    written.and_then(|()| folder.rename(new, name)).inspect_err(|_| drop(folder.remove(new)))
}

#[cfg(test)]
mod tests;
