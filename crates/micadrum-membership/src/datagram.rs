//! The datagram format between members.
//!
//! ```text
//!  0  2  "mp"          protocol marker
//!  2  1  version       2
//!  3  1  flags         bit 0: the sender has lost the state of earlier incarnations
//!  4  8  from          id of the sending member
//! 12  8  to            id of the receiving member
//! 20  8  number        the sending member's incarnation number, little-endian as all integers below
//! 28  8  run           the sending member's run
//! 36  8  to_run        the receiving member's run as last known to the sending one; 0 if unknown
//! 44  8  sequence      counts the datagrams of this incarnation, from 1
//! 52 16  tag           keyed BLAKE3 hash of all other bytes, under the session key of this direction
//! 68     body          encoded with postcard
//! ```
use crate::gossip::GossipUpdate;
use crate::incarnation::{Incarnation, IncarnationProof, KnownIncarnation};
use crate::member::MemberId;
use crate::sealing::{keyed_tag, tags_match};
use serde::{Deserialize, Serialize};

/// Upper bound on the length of a datagram in bytes, small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const MARKER: &[u8; 2] = b"mp";
const VERSION: u8 = 2;
const LOST_STATE_FLAG: u8 = 1;
const TAG: std::ops::Range<usize> = 52..68;
/// Initial capacity of the encoding buffer, sufficient for most datagrams.
const INITIAL_CAPACITY_BYTES: usize = 256;

/// The datagram header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub lost_state: bool,
    pub from: MemberId,
    pub to: MemberId,
    pub incarnation: Incarnation,
    pub to_run: u64,
    pub sequence: u64,
}

/// The datagram body. Variants and fields are encoded by position and are never reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A probe, with the digest of the sending member's roster.
    Ping { nonce: u32, proof: IncarnationProof, roster_digest: u64, updates: Vec<GossipUpdate> },
    /// The answer to a probe, with the highest incarnation known of the probing member.
    Ack { nonce: u32, proof: IncarnationProof, known: Option<KnownIncarnation>, updates: Vec<GossipUpdate> },
    /// A request to forward a sealed datagram to a third member.
    Relay { to: MemberId, sealed: Vec<u8> },
    /// A sealed datagram forwarded for a third member.
    Relayed { sealed: Vec<u8> },
    /// An announcement that the sending member leaves the fleet.
    Leave,
}

/// The error returned when a datagram cannot be parsed or authenticated. The datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DatagramError {
    /// The datagram belongs to another protocol or version.
    Foreign,
    /// The authentication tag does not match.
    Forged,
    /// The datagram is authentic, but its body cannot be decoded.
    Malformed,
}

fn eight_bytes(bytes: &[u8], offset: usize) -> [u8; 8] {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[offset..offset + 8]);
    word
}

/// Parses the header. Its fields are not authenticated until [`open`] succeeds.
pub(crate) fn parse_header(bytes: &[u8]) -> Result<Header, DatagramError> {
    let has_valid_length = (TAG.end..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !has_valid_length || &bytes[..2] != MARKER || bytes[2] != VERSION || bytes[3] & !LOST_STATE_FLAG != 0 {
        return Err(DatagramError::Foreign);
    }
    let integer = |offset| u64::from_le_bytes(eight_bytes(bytes, offset));
    Ok(Header {
        lost_state: bytes[3] & LOST_STATE_FLAG != 0,
        from: MemberId(eight_bytes(bytes, 4)),
        to: MemberId(eight_bytes(bytes, 12)),
        incarnation: Incarnation { number: integer(20), run: integer(28) },
        to_run: integer(36),
        sequence: integer(44),
    })
}

fn compute_tag(key: &[u8; 32], bytes: &[u8]) -> [u8; 16] {
    let mut authenticated = Vec::with_capacity(bytes.len());
    authenticated.extend_from_slice(&bytes[..TAG.start]);
    authenticated.extend_from_slice(&bytes[TAG.end..]);
    keyed_tag(key, &authenticated)
}

/// Verifies the authentication tag of a datagram whose header has been parsed, and decodes its body.
pub(crate) fn open(bytes: &[u8], key: &[u8; 32]) -> Result<Body, DatagramError> {
    let mut received_tag = [0; 16];
    received_tag.copy_from_slice(&bytes[TAG]);
    if !tags_match(&received_tag, &compute_tag(key, bytes)) {
        return Err(DatagramError::Forged);
    }
    postcard::from_bytes(&bytes[TAG.end..]).map_err(|_| DatagramError::Malformed)
}

/// Encodes and authenticates a datagram.
pub(crate) fn seal(header: &Header, body: &Body, key: &[u8; 32]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
    bytes.extend_from_slice(MARKER);
    bytes.extend_from_slice(&[VERSION, u8::from(header.lost_state)]);
    bytes.extend_from_slice(&header.from.0);
    bytes.extend_from_slice(&header.to.0);
    let Incarnation { number, run } = header.incarnation;
    for integer in [number, run, header.to_run, header.sequence] {
        bytes.extend_from_slice(&integer.to_le_bytes());
    }
    bytes.extend_from_slice(&[0; 16]);
    // Encoding integers and byte strings cannot fail.
    bytes.extend(postcard::to_allocvec(body).unwrap_or_default());
    let tag = compute_tag(key, &bytes);
    bytes[TAG].copy_from_slice(&tag);
    bytes
}

#[cfg(test)]
mod tests;
