use super::*;

fn id(byte: u8) -> MemberId {
    MemberId([byte; 8])
}

fn announced(number: u64) -> KnownIncarnation {
    KnownIncarnation { incarnation: Incarnation { number, run: 1 }, proof: [0; 16] }
}

/// Guards against accepting a record that is truncated at any length, modified in any byte, or that belongs
/// to another sender.
#[test]
fn a_damaged_or_foreign_record_is_rejected() {
    let mut record = IncarnationRecord::with_last_number(id(1), 7);
    assert!(record.record(id(2), announced(3), |_| true));
    let bytes = record.to_bytes();
    assert_eq!(IncarnationRecord::parse(&bytes, id(1)), Ok(record));
    assert_eq!(IncarnationRecord::parse(&bytes, id(2)), Err(IncarnationRecordError::WrongOwner));
    for cut in 0..bytes.len() {
        assert_eq!(
            IncarnationRecord::parse(&bytes[..cut], id(1)),
            Err(IncarnationRecordError::Damaged),
            "cut at {cut}"
        );
        let mut changed = bytes.clone();
        changed[cut] ^= 1;
        assert_eq!(
            IncarnationRecord::parse(&changed, id(1)),
            Err(IncarnationRecordError::Damaged),
            "changed at {cut}"
        );
    }
}

/// Guards against a lower incarnation that replaces a higher one, and against a record that grows without
/// bound or evicts a current member.
#[test]
fn only_higher_incarnations_are_recorded_and_former_members_are_evicted() {
    let mut record = IncarnationRecord::new(id(1));
    assert!(record.record(id(2), announced(5), |_| true));
    assert!(!record.record(id(2), announced(5), |_| true) && !record.record(id(2), announced(4), |_| true));
    let other = KnownIncarnation { incarnation: Incarnation { number: 5, run: 9 }, ..announced(5) };
    assert!(
        !record.record(id(2), other, |_| true),
        "the first of two runs with the same number must be kept"
    );
    let member = |n: usize| MemberId((n as u64 + (1 << 40)).to_le_bytes());
    for n in 0..2 * MAX_KNOWN_INCARNATIONS {
        record.record(member(n), announced(9), |of| of == id(2));
    }
    assert_eq!(record.known.len(), MAX_KNOWN_INCARNATIONS);
    assert_eq!(record.known[&id(2)], announced(5));
}
