//! Files of framed records: length (4 bytes), CRC-32 over length and payload (4 bytes), payload; little-endian.
use crate::postcard::Shape;
use serde_json::{Value, json};
use std::path::Path;

const HEADER: usize = 8;

/// The payloads that stand in a file, and how many bytes at its end are none.
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

/// A payload with its frame.
pub fn framed(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend(length);
    bytes.extend(checksum(&length, payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The records of a file, decoded; it must hold nothing else.
pub fn decoded(file: &Path, shape: &Shape) -> Vec<Value> {
    let bytes = std::fs::read(file).unwrap();
    let (payloads, torn) = payloads(&bytes);
    assert_eq!(torn, 0, "{} holds bytes that are no record", file.display());
    payloads.iter().map(|payload| shape.read_all(payload).unwrap_or_else(|e| json!({"unread": e}))).collect()
}

/// The kind of a decoded record.
pub fn kind(record: &Value) -> &str {
    record.as_object().and_then(|record| record.keys().next()).map_or("", String::as_str)
}
