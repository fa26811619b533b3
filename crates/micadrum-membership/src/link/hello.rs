//! The hello with which both sides of a link authenticate each other.
//!
//! ```text
//! "ml" 1 role(1) from(8) to(8) number(8) run(8) nonce(16) echo(16) tag(16)
//! ```
use super::{LinkError, LinkIdentity, Nonce};
use crate::incarnation::Incarnation;
use crate::member::MemberId;
use crate::sealing::{SessionKeys, keyed_tag, tags_match};

/// Length of an encoded hello.
pub(super) const HELLO_BYTES: usize = 84;
/// The protocol marker and the version.
const MARKER: &[u8; 3] = b"ml\x01";
const ROLE_OFFSET: usize = 3;
const FROM_OFFSET: usize = 4;
const TO_OFFSET: usize = 12;
const NUMBER_OFFSET: usize = 20;
const RUN_OFFSET: usize = 28;
const NONCE_OFFSET: usize = 36;
const ECHO_OFFSET: usize = 52;
const TAG_OFFSET: usize = 68;

/// The side of a link that a hello comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Dialer = 1,
    Acceptor = 2,
}

impl Role {
    /// Returns the role of the other side.
    pub fn opposite(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

/// The contents of an authentic hello.
pub(super) struct Hello {
    pub from: MemberId,
    pub incarnation: Incarnation,
    pub nonce: Nonce,
    /// The nonce of the side that receives this hello; all zeros in the dialer's hello.
    pub echo: Nonce,
    pub session_keys: SessionKeys,
}

/// Encodes a hello to the member `to`, or returns `None` if no session keys can be derived.
pub(super) fn encode(identity: &LinkIdentity, role: Role, to: MemberId, echo: &Nonce) -> Option<Vec<u8>> {
    let session_keys = session_keys(identity, to)?;
    let mut hello = MARKER.to_vec();
    hello.push(role as u8);
    hello.extend_from_slice(&identity.roster.own().0);
    hello.extend_from_slice(&to.0);
    hello.extend_from_slice(&identity.incarnation.number.to_le_bytes());
    hello.extend_from_slice(&identity.incarnation.run.to_le_bytes());
    hello.extend_from_slice(&identity.nonce);
    hello.extend_from_slice(echo);
    let tag = keyed_tag(&hello_key(&session_keys.sending), &hello);
    hello.extend_from_slice(&tag);
    Some(hello)
}

/// Decodes and authenticates a hello of [`HELLO_BYTES`] bytes.
///
/// # Errors
/// Returns [`LinkError::Unauthenticated`] if the other side is not a member, has another role, or fails
/// authentication.
pub(super) fn decode(identity: &LinkIdentity, expected: Role, hello: &[u8]) -> Result<Hello, LinkError> {
    let integer = |offset| u64::from_le_bytes(bytes_at(hello, offset));
    let from = MemberId(bytes_at(hello, FROM_OFFSET));
    let to = MemberId(bytes_at(hello, TO_OFFSET));
    let session_keys = session_keys(identity, from).ok_or(LinkError::Unauthenticated)?;
    let tag = keyed_tag(&hello_key(&session_keys.receiving), &hello[..TAG_OFFSET]);
    let is_authentic = hello[..ROLE_OFFSET] == *MARKER
        && hello[ROLE_OFFSET] == expected as u8
        && to == identity.roster.own()
        && tags_match(&tag, &bytes_at(hello, TAG_OFFSET));
    if !is_authentic {
        return Err(LinkError::Unauthenticated);
    }
    Ok(Hello {
        from,
        incarnation: Incarnation { number: integer(NUMBER_OFFSET), run: integer(RUN_OFFSET) },
        nonce: bytes_at(hello, NONCE_OFFSET),
        echo: bytes_at(hello, ECHO_OFFSET),
        session_keys,
    })
}

fn session_keys(identity: &LinkIdentity, other: MemberId) -> Option<SessionKeys> {
    let member = identity.roster.get(other)?;
    identity.secret.session_keys(identity.roster.own(), other, &member.key).ok()
}

fn hello_key(session_key: &[u8; 32]) -> [u8; 32] {
    blake3::derive_key("micadrum peers 1: hello", session_key)
}

fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut part = [0; N];
    part.copy_from_slice(&bytes[offset..offset + N]);
    part
}
