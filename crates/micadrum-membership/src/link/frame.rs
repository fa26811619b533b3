//! The frames that follow the hellos.
//!
//! ```text
//! length(4) kind(1) payload tag(16)      length covers kind, payload and tag
//! ```
//! The tag also covers the number of frames sent before in this direction, so a frame cannot be replayed,
//! dropped or reordered.
use super::{LinkError, MAX_PAYLOAD_BYTES, Nonce};
use crate::sealing::{SessionKeys, keyed_tag, tags_match};

const LENGTH_BYTES: usize = 4;
const KIND_BYTES: usize = 1;
const TAG_BYTES: usize = 16;
const DATA: u8 = 1;
const CREDIT: u8 = 2;
const KEEP_ALIVE: u8 = 3;

/// A decoded frame.
pub(super) enum Frame {
    /// A payload of the layer above.
    Data(Vec<u8>),
    /// Permission to send this number of further payload bytes.
    Credit(usize),
    /// Shows that the sending side is alive.
    KeepAlive,
}

/// The keys of one link.
pub(super) struct FrameKeys {
    pub sending: [u8; 32],
    pub receiving: [u8; 32],
}

impl FrameKeys {
    /// Derives the keys of one link from the session keys and both nonces, so that a frame is valid on one
    /// link only.
    pub fn derive(session_keys: &SessionKeys, dialer: &Nonce, acceptor: &Nonce) -> Self {
        let derive = |session_key: &[u8; 32]| {
            let material = [session_key.as_slice(), dialer, acceptor].concat();
            blake3::derive_key("micadrum peers 1: frames", &material)
        };
        Self { sending: derive(&session_keys.sending), receiving: derive(&session_keys.receiving) }
    }
}

/// Encodes a frame; `frame_number` counts the frames sent before.
pub(super) fn encode(key: &[u8; 32], frame_number: u64, frame: &Frame) -> Vec<u8> {
    let credit_bytes;
    let (kind, payload): (u8, &[u8]) = match frame {
        Frame::Data(payload) => (DATA, payload),
        Frame::Credit(bytes) => {
            credit_bytes = (*bytes as u32).to_le_bytes();
            (CREDIT, &credit_bytes)
        }
        Frame::KeepAlive => (KEEP_ALIVE, &[]),
    };
    let length = KIND_BYTES + payload.len() + TAG_BYTES;
    let mut bytes = (length as u32).to_le_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    let tag = compute_tag(key, frame_number, &bytes[LENGTH_BYTES..]);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Returns the first frame in a buffer, without its length prefix, or `None` if the frame is incomplete.
///
/// # Errors
/// Returns [`LinkError::InvalidFrame`] if the length is out of bounds.
pub(super) fn split_first(buffer: &[u8]) -> Result<Option<&[u8]>, LinkError> {
    let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    let min_length = KIND_BYTES + TAG_BYTES;
    if !(min_length..=min_length + MAX_PAYLOAD_BYTES).contains(&length) {
        return Err(LinkError::InvalidFrame);
    }
    Ok(rest.get(..length))
}

/// Returns the number of bytes that a frame from [`split_first`] takes up in the buffer.
pub(super) fn encoded_length(frame: &[u8]) -> usize {
    LENGTH_BYTES + frame.len()
}

/// Authenticates and decodes a frame from [`split_first`]; `frame_number` counts the frames received before.
///
/// # Errors
/// Returns [`LinkError::InvalidFrame`] if the frame is damaged, forged, out of order, or of an unknown kind.
pub(super) fn decode(key: &[u8; 32], frame_number: u64, frame: &[u8]) -> Result<Frame, LinkError> {
    let (content, received_tag) = frame.split_last_chunk::<TAG_BYTES>().ok_or(LinkError::InvalidFrame)?;
    if !tags_match(received_tag, &compute_tag(key, frame_number, content)) {
        return Err(LinkError::InvalidFrame);
    }
    match content {
        [DATA, payload @ ..] => Ok(Frame::Data(payload.to_vec())),
        [CREDIT, b0, b1, b2, b3] => Ok(Frame::Credit(u32::from_le_bytes([*b0, *b1, *b2, *b3]) as usize)),
        [KEEP_ALIVE] => Ok(Frame::KeepAlive),
        _ => Err(LinkError::InvalidFrame),
    }
}

fn compute_tag(key: &[u8; 32], frame_number: u64, content: &[u8]) -> [u8; 16] {
    let mut authenticated = frame_number.to_le_bytes().to_vec();
    authenticated.extend_from_slice(content);
    keyed_tag(key, &authenticated)
}
