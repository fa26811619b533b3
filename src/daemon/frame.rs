//! Records in files that end anywhere: framed by their length and a checksum over both.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

const HEADER: usize = 8;
/// No record is longer: a message's body is 64 KiB at most, its headers are bounded by the server.
const MOST_RECORD: usize = 256 * 1024;

/// Adds a framed record to `bytes`.
///
/// # Errors
/// The record cannot be written down, or is longer than a length can tell.
pub fn frame(record: &impl Serialize, mut bytes: Vec<u8>) -> io::Result<Vec<u8>> {
    let start = bytes.len();
    bytes.extend([0; HEADER]);
    let mut bytes = postcard::to_extend(record, bytes).map_err(io::Error::other)?;
    let frame = &mut bytes[start..];
    let length = u32::try_from(frame.len() - HEADER).map_err(io::Error::other)?;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    let sum = checksum(&frame[..4], &frame[HEADER..]);
    frame[4..HEADER].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(length);
    sum.update(payload);
    sum.finalize()
}

/// The record at the start of `bytes` and its framed length, if a whole and sound one stands there.
pub fn unframe<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let size = u32::from_le_bytes(*length) as usize;
    let payload = rest.get(..size).filter(|_| size <= MOST_RECORD)?;
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER + size))
}
