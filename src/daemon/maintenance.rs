//! The IDs of the endpoints that operators have taken out of service, stored in the state folder.
use super::ports::Storage;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

/// The name of the file in the state folder.
const FILE: &str = "maintenance.json";
/// The temporary name of the file while it is written.
const NEW_FILE: &str = "maintenance.json.new";
/// The maximum number of stored endpoints. An endpoint that is no longer listed remains stored until an
/// operator puts it back.
const MAX_ENDPOINTS: usize = 4096;

/// An error of taking an endpoint out of service or putting it back. The state is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceError {
    /// The maximum number of endpoints is already out of service.
    #[error("{MAX_ENDPOINTS} endpoints are out already")]
    TooMany,
    /// The change could not be stored.
    #[error("writing {FILE}: {0}")]
    Write(#[from] io::Error),
}

/// An error of reading the state that an earlier process stored.
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
    /// Reads the state that an earlier process stored. If the file cannot be read, returns an empty set
    /// together with the error, so that the process can start.
    pub fn open(folder: Rc<dyn Storage>) -> (Self, Option<UnreadableMaintenance>) {
        let (endpoints, unreadable) = match read(&*folder) {
            Ok(endpoints) => (endpoints, None),
            Err(unreadable) => (BTreeSet::new(), Some(unreadable)),
        };
        (Self { folder, endpoints }, unreadable)
    }

    /// Returns whether an endpoint is out of service.
    pub fn contains(&self, name: &str) -> bool {
        self.endpoints.contains(name)
    }

    /// Takes an endpoint out of service. Returns false if it already was.
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

    /// Puts an endpoint back into service. Returns false if it was not out of service.
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

/// Atomically replaces a file by the JSON form of `value`, which is first written to `temporary_name`.
///
/// # Errors
/// The system's error; the file is then unchanged.
pub fn replace_json_file(
    folder: &dyn Storage,
    name: &str,
    temporary_name: &str,
    value: &impl serde::Serialize,
) -> io::Result<()> {
    replace_file(folder, name, temporary_name, &serde_json::to_vec(value).map_err(io::Error::other)?)
}

/// Atomically replaces the content of a file by `bytes`, which are first written to `temporary_name`.
///
/// # Errors
/// The system's error; the file is then unchanged.
pub fn replace_file(folder: &dyn Storage, name: &str, temporary_name: &str, bytes: &[u8]) -> io::Result<()> {
    let written = folder.create(temporary_name).and_then(|mut file| file.append(bytes));
    written
        .and_then(|()| folder.rename(temporary_name, name))
        .inspect_err(|_| drop(folder.remove(temporary_name)))
}

#[cfg(test)]
mod tests;
