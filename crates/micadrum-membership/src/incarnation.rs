//! Lives: a number that grows with every start of a sender, and what is kept of everybody's.
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lives of members that the list no longer names are kept for so many at the most: they may come back.
const MOST_HEARD: usize = 4000;
/// What a book begins with: its form.
const MAGIC: &[u8; 8] = b"mdlives1";
const CHECK: usize = 32;

/// One life of a sender: of two, the one with the higher number is the later one. Two with one number are of two
/// processes, of which one has forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Grows with every start; 0 for none.
    pub number: u64,
    /// Drawn by chance at the start: tells two processes apart that took the same number from copies of one folder.
    pub run: u64,
}

/// Proof that a life was spoken by its own sender: only that one can make it and check it, so nobody can invent a life
/// that somebody else is to have had.
pub type IncarnationProof = [u8; 16];

/// A life that was heard of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The highest.
    pub life: Incarnation,
    /// Its proof.
    pub stamp: IncarnationProof,
}

/// Why a book cannot be read; its sender then begins as one that has forgotten.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum IncarnationRecordError {
    /// It ends too soon, or its checksum is not that of what it holds.
    #[error("it is damaged")]
    Damaged,
    /// It has a form that this version does not know.
    #[error("it is of another version")]
    Version,
    /// It is that of another sender.
    #[error("it belongs to another sender")]
    Another,
}

/// What outlasts the process: this sender's last life, and the highest that it heard of each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    owner: Option<MemberId>,
    pub(crate) own: u64,
    pub(crate) heard: BTreeMap<MemberId, Heard>,
}

impl IncarnationRecord {
    /// An empty one.
    #[must_use]
    pub fn new(owner: MemberId) -> Self {
        Self { owner: Some(owner), ..Self::default() }
    }

    /// One whose owner's last life had this number.
    #[must_use]
    pub fn starting_at(owner: MemberId, last: u64) -> Self {
        Self { own: last, ..Self::new(owner) }
    }

    /// Its bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        // Numbers and arrays always have a form.
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        let check = blake3::hash(&bytes);
        bytes.extend_from_slice(check.as_bytes());
        bytes
    }

    /// Reads the book of `owner`.
    ///
    /// # Errors
    /// Why it cannot be used.
    pub fn parse(bytes: &[u8], owner: MemberId) -> Result<Self, IncarnationRecordError> {
        let at = bytes.len().checked_sub(CHECK).ok_or(IncarnationRecordError::Damaged)?;
        let (held, check) = bytes.split_at(at);
        if blake3::hash(held).as_bytes() != check {
            return Err(IncarnationRecordError::Damaged);
        }
        let held = held.strip_prefix(MAGIC).ok_or(IncarnationRecordError::Version)?;
        let book: Self = postcard::from_bytes(held).map_err(|_| IncarnationRecordError::Damaged)?;
        if book.owner == Some(owner) { Ok(book) } else { Err(IncarnationRecordError::Another) }
    }

    /// Notes a life of a member; whether it is a higher one than was known. Of one number the first that was heard stays:
    /// the other was taken without knowing of it.
    pub(crate) fn note(&mut self, of: MemberId, heard: Heard, kept: impl Fn(MemberId) -> bool) -> bool {
        let higher = self.heard.get(&of).is_none_or(|known| heard.life.number > known.life.number);
        if higher {
            self.heard.insert(of, heard);
            if self.heard.len() > MOST_HEARD {
                // Whoever the list names no more goes first, the shortest-lived among them.
                let gone =
                    self.heard.iter().filter(|(id, _)| !kept(**id)).min_by_key(|(_, heard)| heard.life);
                if let Some(id) = gone.map(|(id, _)| *id) {
                    self.heard.remove(&id);
                }
            }
        }
        higher
    }
}

#[cfg(test)]
mod tests;
