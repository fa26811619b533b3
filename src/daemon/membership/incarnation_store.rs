//! The persisted incarnation record: the file `lives` in the state folder.
use crate::daemon::maintenance::replace_file;
use crate::daemon::ports::Storage;
use micadrum_membership::{IncarnationRecord, IncarnationRecordError, MemberId};
use std::io;
use std::rc::Rc;

const FILE: &str = "lives";
const TEMPORARY_FILE: &str = "lives.new";
/// Upper bound on the size of a record without its entries for members.
const FIXED_BYTES: u64 = 128;
/// Upper bound on the size of an entry for one member.
const BYTES_PER_MEMBER: u64 = 64;

/// Returns the upper bound on the disk space, in bytes, of the record and its temporary replacement.
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

/// Reads and writes the incarnation record in the state folder.
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
    /// Returns the storage error. The previous record is then unchanged.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        replace_file(&*self.0, FILE, TEMPORARY_FILE, bytes)
    }
}
