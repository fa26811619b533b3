//! Files of framed records: length (4 bytes), CRC-32 of length and payload (4 bytes), payload. Integers are
//! little-endian.
use crate::postcard::Shape;
use serde_json::{Value, json};
use std::path::Path;

/// The length of a record's header.
const HEADER_BYTES: usize = 8;

/// Returns the payloads of all valid records and the number of bytes after the last one.
pub fn payloads(bytes: &[u8]) -> (Vec<&[u8]>, usize) {
    let (mut found, mut rest) = (Vec::new(), bytes);
    while let Some((payload, after)) = first_payload(rest) {
        found.push(payload);
        rest = after;
    }
    (found, rest.len())
}

fn first_payload(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let (payload, after) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    (checksum(length, payload) == u32::from_le_bytes(*sum)).then_some((payload, after))
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(length);
    sum.update(payload);
    sum.finalize()
}

/// Returns `payload` with the header of a record.
pub fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend(length);
    bytes.extend(checksum(&length, payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Returns the decoded records of a file.
///
/// # Panics
/// Panics if the file contains anything but valid records.
pub fn decoded(file: &Path, shape: &Shape) -> Vec<Value> {
    let bytes = std::fs::read(file).unwrap();
    let (payloads, trailing_bytes) = payloads(&bytes);
    assert_eq!(trailing_bytes, 0, "{}: the bytes at the end are not a valid record", file.display());
    payloads.iter().map(|payload| shape.read_all(payload).unwrap_or_else(|e| json!({"unread": e}))).collect()
}

/// Returns the kind of a decoded record, or an empty string if it has none.
pub fn kind(record: &Value) -> &str {
    record.as_object().and_then(|record| record.keys().next()).map_or("", String::as_str)
}
