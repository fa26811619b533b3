//! Incarnations, whose numbers increase with every start of a sender, and the persisted record of the highest
//! ones known.
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Upper bound on recorded incarnations, including those of members that have left the roster and may return.
const MAX_KNOWN_INCARNATIONS: usize = 4000;
/// The first bytes of a persisted record, naming its format version.
const MAGIC: &[u8; 8] = b"mdlives1";
/// Length of the BLAKE3 checksum at the end of a persisted record.
const CHECKSUM_BYTES: usize = 32;

/// One incarnation of a sender. The higher number is the later incarnation. Two incarnations with equal
/// numbers and different runs belong to two processes that both took the number, as a state folder was lost
/// or copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The incarnation number, which increases with every start; 0 means that no incarnation is known.
    pub number: u64,
    /// A random value drawn when the process starts, which distinguishes processes that took the same number.
    pub run: u64,
}

/// A keyed hash proving that an incarnation was announced by its own sender. Only that sender can create and
/// verify it, so no other member can forge an incarnation that the sender never had.
pub type IncarnationProof = [u8; 16];

/// An incarnation of a member together with its proof, as announced by the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    /// The highest incarnation announced.
    pub incarnation: Incarnation,
    /// The proof for that incarnation.
    pub proof: IncarnationProof,
}

/// The error returned when a persisted record cannot be used. The sender then starts without its earlier
/// state.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum IncarnationRecordError {
    /// The record is truncated, or its checksum does not match its contents.
    #[error("the incarnation record is truncated, or its checksum does not match")]
    Damaged,
    /// The record has a format that this version does not support.
    #[error("the format version of the incarnation record is not supported")]
    UnsupportedVersion,
    /// The record belongs to another sender.
    #[error("the incarnation record belongs to another sender")]
    WrongOwner,
}

/// The part of the membership state that survives a restart: this sender's last incarnation number, and the
/// highest known incarnation of every other member. Persisted as the file `lives`; fields are encoded by
/// position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    owner: Option<MemberId>,
    pub(crate) own_number: u64,
    pub(crate) known: BTreeMap<MemberId, KnownIncarnation>,
}

impl IncarnationRecord {
    /// Creates an empty record of the sender `owner`.
    #[must_use]
    pub fn new(owner: MemberId) -> Self {
        Self { owner: Some(owner), ..Self::default() }
    }

    /// Creates a record of the sender `owner`, whose last incarnation had the number `last`.
    #[must_use]
    pub fn with_last_number(owner: MemberId, last: u64) -> Self {
        Self { own_number: last, ..Self::new(owner) }
    }

    /// Encodes the record for storage.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        // Encoding integers and arrays cannot fail.
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(checksum.as_bytes());
        bytes
    }

    /// Decodes the record of `owner`.
    ///
    /// # Errors
    /// Returns an error if the bytes are damaged, have another format, or belong to another sender.
    pub fn parse(bytes: &[u8], owner: MemberId) -> Result<Self, IncarnationRecordError> {
        let checksum_start =
            bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(IncarnationRecordError::Damaged)?;
        let (content, checksum) = bytes.split_at(checksum_start);
        if blake3::hash(content).as_bytes() != checksum {
            return Err(IncarnationRecordError::Damaged);
        }
        let content = content.strip_prefix(MAGIC).ok_or(IncarnationRecordError::UnsupportedVersion)?;
        let record: Self = postcard::from_bytes(content).map_err(|_| IncarnationRecordError::Damaged)?;
        if record.owner == Some(owner) { Ok(record) } else { Err(IncarnationRecordError::WrongOwner) }
    }

    /// Returns the highest known incarnation of a member, or `None` if none is known.
    pub(crate) fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        self.known.get(&member).map(|known| known.incarnation)
    }

    /// Returns the highest known incarnation number of a member, or 0 if none is known.
    pub(crate) fn number_of(&self, member: MemberId) -> u64 {
        self.incarnation_of(member).map_or(0, |incarnation| incarnation.number)
    }

    /// Records an incarnation of a member, and returns whether its number is higher than the one recorded
    /// before.
    ///
    /// Of two incarnations with equal numbers, the one recorded first is kept. If the record exceeds its size
    /// limit, the former member with the lowest incarnation is evicted: one for which `is_member` returns
    /// `false`.
    pub(crate) fn record(
        &mut self,
        member: MemberId,
        announced: KnownIncarnation,
        is_member: impl Fn(MemberId) -> bool,
    ) -> bool {
        let is_higher = self
            .known
            .get(&member)
            .is_none_or(|known| announced.incarnation.number > known.incarnation.number);
        if is_higher {
            self.known.insert(member, announced);
            if self.known.len() > MAX_KNOWN_INCARNATIONS {
                self.evict_former_member(is_member);
            }
        }
        is_higher
    }

    /// Removes the former member with the lowest incarnation.
    fn evict_former_member(&mut self, is_member: impl Fn(MemberId) -> bool) {
        let former = self.known.iter().filter(|(id, _)| !is_member(**id));
        let lowest = former.min_by_key(|(_, known)| known.incarnation).map(|(id, _)| *id);
        if let Some(id) = lowest {
            self.known.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
