use super::*;

fn id(n: u8) -> MemberId {
    MemberId([n; 8])
}

fn heard(number: u64) -> Heard {
    Heard { life: Incarnation { number, run: 1 }, stamp: [0; 16] }
}

/// Guards against a damaged, foreign or cut book that is believed: cut at every length, changed at every byte.
#[test]
fn a_book_that_is_not_whole_is_not_believed() {
    let mut book = IncarnationRecord::starting_at(id(1), 7);
    assert!(book.note(id(2), heard(3), |_| true));
    let bytes = book.to_bytes();
    assert_eq!(IncarnationRecord::parse(&bytes, id(1)), Ok(book));
    assert_eq!(IncarnationRecord::parse(&bytes, id(2)), Err(IncarnationRecordError::Another));
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

/// Guards against a lower life that takes a higher one's place, and a book that grows without end or drops a member.
#[test]
fn only_higher_lives_are_noted_and_those_gone_make_room() {
    let mut book = IncarnationRecord::new(id(1));
    assert!(book.note(id(2), heard(5), |_| true));
    assert!(!book.note(id(2), heard(5), |_| true) && !book.note(id(2), heard(4), |_| true));
    let other = Heard { life: Incarnation { number: 5, run: 9 }, ..heard(5) };
    assert!(
        !book.note(id(2), other, |_| true),
        "another process took the number without knowing of the first"
    );
    let member = |n: usize| MemberId((n as u64 + (1 << 40)).to_le_bytes());
    for n in 0..2 * MOST_HEARD {
        book.note(member(n), heard(9), |of| of == id(2));
    }
    assert_eq!(book.heard.len(), MOST_HEARD);
    assert_eq!(book.heard[&id(2)], heard(5));
}
