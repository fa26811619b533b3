//! The book of lives in the folder that lasts.
use crate::daemon::maintenance::put;
use crate::daemon::ports::Storage;
use micadrum_membership::{IncarnationRecord, IncarnationRecordError, MemberId};
use std::io;
use std::rc::Rc;

const NAME: &str = "lives";
const NEW: &str = "lives.new";
/// Bytes of a book beside its members, and for each of them.
const HEAD: u64 = 128;
const EACH: u64 = 64;

/// Bytes that it may take, with the one that takes its place.
pub fn room(members: usize) -> u64 {
    2 * (HEAD + EACH * members as u64)
}

/// Why it cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum IncarnationStoreError {
    /// It cannot be read.
    #[error("{NAME}: {0}")]
    Unreadable(#[from] io::Error),
    /// What it holds is no book of this sender's.
    #[error("{NAME}: {0}")]
    NoBook(#[from] IncarnationRecordError),
}

/// Where the book lies.
pub struct IncarnationStore(Rc<dyn Storage>);

impl IncarnationStore {
    /// In that folder.
    pub fn new(folder: Rc<dyn Storage>) -> Self {
        Self(folder)
    }

    /// The book of a member; an empty one where there is none.
    ///
    /// # Errors
    /// Why it cannot be used.
    pub fn read(&self, owner: MemberId) -> Result<IncarnationRecord, IncarnationStoreError> {
        match self.0.read(NAME)? {
            Some(bytes) => Ok(IncarnationRecord::parse(&bytes, owner)?),
            None => Ok(IncarnationRecord::new(owner)),
        }
    }

    /// Puts another in its place, in one step.
    ///
    /// # Errors
    /// What the system says; the one before stays.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        put(&*self.0, NAME, NEW, bytes)
    }
}
