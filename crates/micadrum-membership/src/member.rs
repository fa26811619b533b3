//! Who belongs to the fleet, as the operator's file says.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A member's name, short enough to stand in every datagram: the first 64 bits of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub [u8; 8]);

impl MemberId {
    /// That of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        Self(id)
    }
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, the same for as long as it belongs to the fleet.
    pub name: String,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// The building that it stands in.
    pub building: String,
    /// Its public key (X25519).
    pub key: [u8; 32],
}

/// Why a list of members cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RosterError {
    /// The list lacks the one whose process this is.
    #[error("{0:?} is no member")]
    NotIn(String),
    /// Two names with one id: one in 2^64 of the pairs.
    #[error("the names {0:?} and {1:?} cannot be told apart: rename one")]
    Alike(String, String),
}

fn mark(members: &BTreeMap<MemberId, Member>) -> u64 {
    let mut hash = blake3::Hasher::new_derive_key("micadrum peers 2: list of members");
    for member in members.values() {
        for part in [member.name.as_bytes(), member.building.as_bytes(), &member.key] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
    }
    let mut short = [0; 8];
    short.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    u64::from_le_bytes(short)
}

/// All members; the order in which they were named means nothing.
#[derive(Clone, Debug)]
pub struct Roster {
    own: MemberId,
    members: BTreeMap<MemberId, Member>,
    mark: u64,
}

impl Roster {
    /// The list as the sender `own` reads it.
    ///
    /// # Errors
    /// Why it cannot be used.
    pub fn new(own: &str, list: impl IntoIterator<Item = Member>) -> Result<Self, RosterError> {
        let mut members = BTreeMap::new();
        for member in list {
            let name = member.name.clone();
            if let Some(other) = members.insert(MemberId::of(&name), member) {
                return Err(RosterError::Alike(other.name, name));
            }
        }
        let id = MemberId::of(own);
        if members.contains_key(&id) {
            let mark = mark(&members);
            Ok(Self { own: id, members, mark })
        } else {
            Err(RosterError::NotIn(own.to_owned()))
        }
    }

    /// The same for all who read the same names, buildings and keys. Addresses may differ: who stands behind a translator is
    /// reached at another one.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Whose process this is.
    #[must_use]
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// A member, this one too.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The others.
    pub fn others(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().filter(|(id, _)| **id != self.own).map(|(id, member)| (*id, member))
    }

    /// Members, this one too.
    #[must_use]
    pub fn size(&self) -> usize {
        self.members.len()
    }
}
