use super::*;
use crate::gossip::{GossipStatus, MAX_UPDATES_PER_DATAGRAM};

fn sample() -> (Header, Body) {
    let id = |n| MemberId([n; 8]);
    let update = GossipUpdate { about: id(255), incarnation: u64::MAX, status: GossipStatus::Recovered };
    let known = Some(KnownIncarnation {
        incarnation: Incarnation { number: u64::MAX, run: u64::MAX },
        proof: [7; 16],
    });
    let updates = vec![update; MAX_UPDATES_PER_DATAGRAM];
    let body = Body::Ack { nonce: u32::MAX, proof: [9; 16], known, updates };
    let incarnation = Incarnation { number: 1, run: 2 };
    (Header { lost_state: true, from: id(1), to: id(2), incarnation, to_run: 3, sequence: 4 }, body)
}

/// Guards against accepting a datagram that is truncated at any length or modified in any bit, and against a
/// full datagram that exceeds the length limit.
#[test]
fn a_truncated_or_modified_datagram_is_rejected() {
    let (header, body) = sample();
    let key = [5; 32];
    let bytes = seal(&header, &body, &key);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!((parse_header(&bytes), open(&bytes, &key)), (Ok(header), Ok(body)));
    assert_eq!(open(&bytes, &[6; 32]), Err(DatagramError::Forged));
    for at in 0..bytes.len() {
        let read = |bytes: &[u8]| parse_header(bytes).and_then(|_| open(bytes, &key));
        assert!(read(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(read(&changed).is_err(), "byte {at} bit {bit}");
        }
    }
}
