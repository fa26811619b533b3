//! Keys: each member has one of its own, and each pair of members agrees on two more, one for each way.
//!
//! X25519 (RFC 7748) gives what only the two of them know; BLAKE3 derives a key for each way from it and seals with
//! it. So a datagram can come from no third, not even a member, and checking one costs a hash.
use crate::incarnation::{Incarnation, IncarnationProof};
use crate::member::MemberId;
use x25519_dalek::{PublicKey, StaticSecret};

/// The other's public key is one that gives every secret the same answer.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("its key is none: every secret agrees with it")]
pub struct WeakKey;

/// A member's secret key.
#[derive(Clone)]
pub struct Secret {
    key: StaticSecret,
    lives: [u8; 32],
}

/// What one pair of members seals with.
#[derive(Clone, Copy)]
pub(crate) struct SessionKeys {
    pub out: [u8; 32],
    pub back: [u8; 32],
}

impl Secret {
    /// From 32 bytes of chance.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        let lives = blake3::derive_key("micadrum peers 1: lives", &bytes);
        Self { key: StaticSecret::from(bytes), lives }
    }

    /// The public key that goes with it.
    #[must_use]
    pub fn public(&self) -> [u8; 32] {
        PublicKey::from(&self.key).to_bytes()
    }

    pub(crate) fn pair(
        &self,
        own: MemberId,
        other: MemberId,
        key: &[u8; 32],
    ) -> Result<SessionKeys, WeakKey> {
        let shared = self.key.diffie_hellman(&PublicKey::from(*key));
        if !shared.was_contributory() {
            return Err(WeakKey);
        }
        let way = |from: MemberId, to: MemberId| {
            let material = [shared.as_bytes().as_slice(), &from.0, &to.0].concat();
            blake3::derive_key("micadrum peers 1: datagrams", &material)
        };
        Ok(SessionKeys { out: way(own, other), back: way(other, own) })
    }

    pub(crate) fn stamp(&self, life: Incarnation) -> IncarnationProof {
        let mut spoken = [0; 16];
        spoken[..8].copy_from_slice(&life.number.to_le_bytes());
        spoken[8..].copy_from_slice(&life.run.to_le_bytes());
        tag(&self.lives, &spoken)
    }
}

/// The first 16 bytes of a keyed hash.
pub(crate) fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..16]);
    short
}

/// Whether two tags are the same, in a time that tells nothing of where they differ.
pub(crate) fn same(a: &[u8; 16], b: &[u8; 16]) -> bool {
    a.iter().zip(b).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
}

#[cfg(test)]
mod tests;
