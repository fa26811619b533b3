//! Datagrams between members, byte by byte.
//!
//! ```text
//!  0  2  "mp"          who this is meant for
//!  2  1  version       2
//!  3  1  flags         bit 0: the sender has forgotten earlier lives
//!  4  8  from          id of the member that says it
//! 12  8  to            id of the member that it is said to
//! 20  8  life          its life's number, little-endian as all that follows
//! 28  8  run           and its run
//! 36  8  to_run        the run of the receiver that is spoken to; 0 or an old one where it is not known
//! 44  8  number        counts the datagrams of this life, from 1
//! 52 16  tag           keyed BLAKE3 of all else, under the key of this way between the two
//! 68     body          postcard
//! ```
use crate::gossip::GossipUpdate;
use crate::incarnation::{Heard, Incarnation, IncarnationProof};
use crate::member::MemberId;
use crate::sealing::{same, tag};
use serde::{Deserialize, Serialize};

/// No datagram is longer, in bytes: it passes every link unbroken.
pub const MOST_DATAGRAM: usize = 1200;
const VERSION: u8 = 2;
const FORGOT: u8 = 1;
const TAG: std::ops::Range<usize> = 52..68;

/// What stands before the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub forgot: bool,
    pub from: MemberId,
    pub to: MemberId,
    pub life: Incarnation,
    pub to_run: u64,
    pub number: u64,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Are you there? My list of members is this one.
    Ping { nonce: u32, stamp: IncarnationProof, list: u64, rumours: Vec<GossipUpdate> },
    /// I am; this is the highest life that I know of you.
    Ack { nonce: u32, stamp: IncarnationProof, known: Option<Heard>, rumours: Vec<GossipUpdate> },
    /// Pass this on to a third, as it is.
    Relay { to: MemberId, sealed: Vec<u8> },
    /// Passed on for a third, as it came.
    Passed { sealed: Vec<u8> },
    /// I end, in good order.
    Leave,
}

/// Why a datagram counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// It is none of ours, or of another version.
    Foreign,
    /// Its tag is not that of who it says it is from.
    Forged,
    /// Sealed rightly, and yet no body.
    Garbled,
}

fn word(bytes: &[u8], at: usize) -> [u8; 8] {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    word
}

/// Who says that it is from whom, not believed yet.
pub(crate) fn header(bytes: &[u8]) -> Result<Header, Unread> {
    if bytes.len() < TAG.end
        || bytes.len() > MOST_DATAGRAM
        || &bytes[..3] != b"mp\x02"
        || bytes[3] & !FORGOT != 0
    {
        return Err(Unread::Foreign);
    }
    let number = |at| u64::from_le_bytes(word(bytes, at));
    Ok(Header {
        forgot: bytes[3] & FORGOT != 0,
        from: MemberId(word(bytes, 4)),
        to: MemberId(word(bytes, 12)),
        life: Incarnation { number: number(20), run: number(28) },
        to_run: number(36),
        number: number(44),
    })
}

fn tag_of(key: &[u8; 32], bytes: &[u8]) -> [u8; 16] {
    let mut all = Vec::with_capacity(bytes.len());
    all.extend_from_slice(&bytes[..TAG.start]);
    all.extend_from_slice(&bytes[TAG.end..]);
    tag(key, &all)
}

/// The body, once it is shown that only the other of the pair can have sealed it.
pub(crate) fn open(bytes: &[u8], key: &[u8; 32]) -> Result<Body, Unread> {
    let mut told = [0; 16];
    told.copy_from_slice(&bytes[TAG]);
    if !same(&told, &tag_of(key, bytes)) {
        return Err(Unread::Forged);
    }
    postcard::from_bytes(&bytes[TAG.end..]).map_err(|_| Unread::Garbled)
}

/// A datagram, sealed.
pub(crate) fn seal(header: &Header, body: &Body, key: &[u8; 32]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&[b'm', b'p', VERSION, u8::from(header.forgot)]);
    bytes.extend_from_slice(&header.from.0);
    bytes.extend_from_slice(&header.to.0);
    for number in [header.life.number, header.life.run, header.to_run, header.number] {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.extend_from_slice(&[0; 16]);
    // Numbers and bytes always have a form.
    bytes.extend(postcard::to_allocvec(body).unwrap_or_default());
    let tag = tag_of(key, &bytes);
    bytes[TAG].copy_from_slice(&tag);
    bytes
}

#[cfg(test)]
mod tests;
