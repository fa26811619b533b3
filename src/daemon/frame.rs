//! Framing of the records in append-only files: a length, a checksum over length and payload, and the
//! payload.
//!
//! A file can end within a record when its process is killed. The checksum distinguishes intact records from
//! partial and damaged ones, so that a reader can stop there or search for the next intact record.
//!
//! A frame is `length: u32 le`, `crc32: u32 le`, then `length` bytes of `postcard`.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// The size of a frame's header: length and checksum.
const HEADER_BYTES: usize = 8;
/// The maximum length of a payload that a reader accepts. The ingress server limits the body of a message to
/// 64 KiB, and its headers too.
const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Appends `record` as one frame to `buffer`, and returns the buffer.
///
/// # Errors
/// The record cannot be serialized, or its length does not fit in the header.
pub fn append_frame(record: &impl Serialize, mut buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    let start = buffer.len();
    buffer.extend([0; HEADER_BYTES]);
    let mut buffer = postcard::to_extend(record, buffer).map_err(io::Error::other)?;
    let frame = &mut buffer[start..];
    let length = u32::try_from(frame.len() - HEADER_BYTES).map_err(io::Error::other)?;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    let sum = checksum(&frame[..4], &frame[HEADER_BYTES..]);
    frame[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(buffer)
}

/// Returns the record at the start of `bytes` and the length of its frame; `None` if the frame is incomplete,
/// its checksum does not match, or the record cannot be deserialized.
pub fn read_frame<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    let payload = rest.get(..payload_bytes).filter(|_| payload_bytes <= MAX_RECORD_BYTES)?;
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER_BYTES + payload_bytes))
}

/// Returns the length of a damaged frame at the start of `bytes` if its length field is plausible: the frame
/// ends at the end of the file, or right before an intact frame. The payload of a damaged frame must not be
/// searched for records, because the body of a message may contain any bytes.
pub fn damaged_frame_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Option<usize> {
    let (length, _) = bytes.split_first_chunk::<4>()?;
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    let frame_bytes = HEADER_BYTES + payload_bytes;
    let rest = bytes.get(frame_bytes..).filter(|_| payload_bytes <= MAX_RECORD_BYTES)?;
    let is_followed = rest.is_empty() || read_frame::<T>(rest).is_some();
    is_followed.then_some(frame_bytes)
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(length);
    sum.update(payload);
    sum.finalize()
}
