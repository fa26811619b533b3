use super::*;
use crate::gossip::{GossipStatus, MOST_IN_ONE};

fn sample() -> (Header, Body) {
    let id = |n| MemberId([n; 8]);
    let rumour = GossipUpdate { about: id(255), life: u64::MAX, word: GossipStatus::Back };
    let known = Some(Heard { life: Incarnation { number: u64::MAX, run: u64::MAX }, stamp: [7; 16] });
    let body = Body::Ack { nonce: u32::MAX, stamp: [9; 16], known, rumours: vec![rumour; MOST_IN_ONE] };
    let life = Incarnation { number: 1, run: 2 };
    (Header { forgot: true, from: id(1), to: id(2), life, to_run: 3, number: 4 }, body)
}

/// Guards against a datagram that is believed though it was cut or changed, at every length and byte, and against
/// one that is too long for a link.
#[test]
fn what_was_cut_or_changed_is_not_read() {
    let (told, body) = sample();
    let key = [5; 32];
    let bytes = seal(&told, &body, &key);
    assert!(bytes.len() <= MOST_DATAGRAM, "{}", bytes.len());
    assert_eq!((header(&bytes), open(&bytes, &key)), (Ok(told), Ok(body)));
    assert_eq!(open(&bytes, &[6; 32]), Err(Unread::Forged));
    for at in 0..bytes.len() {
        let read = |bytes: &[u8]| header(bytes).and_then(|_| open(bytes, &key));
        assert!(read(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(read(&changed).is_err(), "byte {at} bit {bit}");
        }
    }
}
