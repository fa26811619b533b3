//! Keys and message authentication. Each member has a key pair; each pair of members derives two session
//! keys, one for each direction.
//!
//! X25519 (RFC 7748) yields a secret that only the two members share; BLAKE3 derives the session keys from it
//! and authenticates datagrams with them. No third party, not even another member, can forge a datagram, and
//! verifying one costs a single hash.
use crate::incarnation::{Incarnation, IncarnationProof};
use crate::member::MemberId;
use x25519_dalek::{PublicKey, StaticSecret};

/// The error returned for a degenerate public key, with which every secret key yields the same shared secret.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("the public key is degenerate: every secret key yields the same shared secret with it")]
pub struct WeakKey;

/// A member's secret key.
#[derive(Clone)]
pub struct Secret {
    key: StaticSecret,
    incarnation_key: [u8; 32],
}

/// The session keys of one pair of members, as seen from one side.
#[derive(Clone, Copy)]
pub(crate) struct SessionKeys {
    /// Authenticates what this side sends.
    pub sending: [u8; 32],
    /// Authenticates what this side receives.
    pub receiving: [u8; 32],
}

impl Secret {
    /// Creates a secret key from 32 random bytes.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        // The context strings of derive_key are part of the protocol and never change.
        let incarnation_key = blake3::derive_key("micadrum peers 1: lives", &bytes);
        Self { key: StaticSecret::from(bytes), incarnation_key }
    }

    /// Returns the public key.
    #[must_use]
    pub fn public_key(&self) -> [u8; 32] {
        PublicKey::from(&self.key).to_bytes()
    }

    /// Derives the session keys between the member `own` and the member `other`, whose public key is `key`.
    pub(crate) fn session_keys(
        &self,
        own: MemberId,
        other: MemberId,
        key: &[u8; 32],
    ) -> Result<SessionKeys, WeakKey> {
        let shared = self.key.diffie_hellman(&PublicKey::from(*key));
        if !shared.was_contributory() {
            return Err(WeakKey);
        }
        let direction_key = |from: MemberId, to: MemberId| {
            let material = [shared.as_bytes().as_slice(), &from.0, &to.0].concat();
            blake3::derive_key("micadrum peers 1: datagrams", &material)
        };
        Ok(SessionKeys { sending: direction_key(own, other), receiving: direction_key(other, own) })
    }

    /// Creates the proof of one of this member's own incarnations, which only this secret key can verify.
    pub(crate) fn prove(&self, incarnation: Incarnation) -> IncarnationProof {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&incarnation.number.to_le_bytes());
        bytes[8..].copy_from_slice(&incarnation.run.to_le_bytes());
        keyed_tag(&self.incarnation_key, &bytes)
    }
}

/// Returns the first 16 bytes of the keyed hash of `bytes`.
pub(crate) fn keyed_tag(key: &[u8; 32], bytes: &[u8]) -> [u8; 16] {
    let mut tag = [0; 16];
    tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..16]);
    tag
}

/// Compares two tags in constant time, so that timing does not reveal where they differ.
pub(crate) fn tags_match(a: &[u8; 16], b: &[u8; 16]) -> bool {
    a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

#[cfg(test)]
mod tests;
