//! The members of the fleet, as listed in the operator's configuration.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A member's identifier, short enough for every datagram: the first 64 bits of the BLAKE3 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub [u8; 8]);

impl MemberId {
    /// Returns the identifier of the member called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        Self(id)
    }
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name, which stays the same while it belongs to the fleet.
    pub name: String,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The zone in which the member runs.
    pub zone: String,
    /// The member's X25519 public key.
    pub key: [u8; 32],
}

/// The error returned when a roster cannot be created from a list of members.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RosterError {
    /// The list does not contain this process's own member.
    #[error("{0:?} is not listed as a member")]
    OwnNameMissing(String),
    /// Two members have the same name, or different names with the same identifier.
    #[error("the member names {0:?} and {1:?} have the same identifier: rename one of them")]
    IdCollision(String, String),
}

fn digest(members: &BTreeMap<MemberId, Member>) -> u64 {
    // The context string is part of the protocol and never changes.
    let mut hasher = blake3::Hasher::new_derive_key("micadrum peers 2: list of members");
    for member in members.values() {
        for part in [member.name.as_bytes(), member.zone.as_bytes(), &member.key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

/// All members of the fleet, independent of their order in the configuration.
#[derive(Clone, Debug)]
pub struct Roster {
    own: MemberId,
    members: BTreeMap<MemberId, Member>,
    digest: u64,
}

impl Roster {
    /// Creates a roster from a list of members, for the process of the member called `own`.
    ///
    /// # Errors
    /// Returns an error if `own` is not listed, or if two names have the same identifier.
    pub fn new(own: &str, list: impl IntoIterator<Item = Member>) -> Result<Self, RosterError> {
        let mut members = BTreeMap::new();
        for member in list {
            let name = member.name.clone();
            if let Some(other) = members.insert(MemberId::of(&name), member) {
                return Err(RosterError::IdCollision(other.name, name));
            }
        }
        let id = MemberId::of(own);
        if members.contains_key(&id) {
            let digest = digest(&members);
            Ok(Self { own: id, members, digest })
        } else {
            Err(RosterError::OwnNameMissing(own.to_owned()))
        }
    }

    /// Returns a digest of the members' names, zones and keys, which members compare to detect that their
    /// rosters differ. Addresses are excluded, as a member behind network address translation has different
    /// addresses for different peers.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the identifier of this process's own member.
    #[must_use]
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Returns the member with the identifier `id`, or `None` if it is not listed. The process's own member
    /// is included.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns an iterator over all members other than this process's own one.
    pub fn others(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().filter(|(id, _)| **id != self.own).map(|(id, member)| (*id, member))
    }

    /// Returns the number of members, including this process's own one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.members.len()
    }
}
