//! The persisted incarnation record: the file `lives` in the state folder.
use crate::daemon::maintenance::replace_file;
use crate::daemon::ports::Storage;
use micadrum_membership::{IncarnationRecord, IncarnationRecordError, MemberId};
use std::io;
use std::rc::Rc;

const FILE: &str = "lives";
const TEMPORARY_FILE: &str = "lives.new";
/// Upper bounds on the size of a record: its fixed part, and the part for each member.
const FIXED_BYTES: u64 = 128;
const BYTES_PER_MEMBER: u64 = 64;

/// Returns the disk space in bytes that the record may take, together with the one that replaces it.
pub fn disk_bytes(members: usize) -> u64 {
    2 * (FIXED_BYTES + BYTES_PER_MEMBER * members as u64)
}

/// Why the persisted record cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum IncarnationStoreError {
    /// The file cannot be read.
    #[error("{FILE}: {0}")]
    Unreadable(#[from] io::Error),
    /// The contents are not a record of this sender.
    #[error("{FILE}: {0}")]
    Invalid(#[from] IncarnationRecordError),
}

/// The store of the incarnation record.
pub struct IncarnationStore(Rc<dyn Storage>);

impl IncarnationStore {
    /// Creates a store in the given state folder.
    pub fn new(folder: Rc<dyn Storage>) -> Self {
        Self(folder)
    }

    /// Reads the record of a member, or returns an empty one if there is none.
    ///
    /// # Errors
    /// Returns an error if the record cannot be used.
    pub fn read(&self, owner: MemberId) -> Result<IncarnationRecord, IncarnationStoreError> {
        match self.0.read(FILE)? {
            Some(bytes) => Ok(IncarnationRecord::parse(&bytes, owner)?),
            None => Ok(IncarnationRecord::new(owner)),
        }
    }

    /// Replaces the record atomically.
    ///
    /// # Errors
    /// Returns the storage error; the previous record stays.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        replace_file(&*self.0, FILE, TEMPORARY_FILE, bytes)
    }
}
