use super::*;

const BEFORE: Boot = Boot([1; 16]);
const NOW: u64 = 1_700_000_000_000_000;

fn stamp(outlasts_machine: bool) -> JournalStamp {
    JournalStamp { sender: "n1".to_owned(), boot: Some(BEFORE), wall: NOW - 60_000_000, outlasts_machine }
}

fn found(stamp: Option<&JournalStamp>, boot: Option<Boot>) -> RecoveryInputs<'_> {
    RecoveryInputs {
        own: "n1",
        boot,
        wall: NOW,
        clock_vouched: false,
        stamp,
        latest: NOW - 5_000_000,
        empty: false,
        skipped: 0,
        torn: 0,
    }
}

/// Guards against trusting what a power loss may have taken, and against distrust after a mere crash.
#[test]
fn a_journal_binds_as_far_as_what_was_written_is_there() {
    let cases = [
        (false, Some(BEFORE), Machine::Same, JournalTrust::Binds, Clock::Believed),
        (true, Some(BEFORE), Machine::Same, JournalTrust::Binds, Clock::Believed),
        (false, Some(Boot([2; 16])), Machine::Another, JournalTrust::Hint, Clock::Unchecked),
        (true, Some(Boot([2; 16])), Machine::Another, JournalTrust::Binds, Clock::Unchecked),
        (false, None, Machine::Unknown, JournalTrust::Hint, Clock::Unchecked),
        (true, None, Machine::Unknown, JournalTrust::Binds, Clock::Unchecked),
    ];
    for (outlasts, boot, machine, journal, clock) in cases {
        let stamp = stamp(outlasts);
        let trust = Trust::judge(&found(Some(&stamp), boot));
        assert_eq!(
            (trust.machine, trust.journal, trust.clock),
            (machine, journal, clock),
            "{outlasts} {boot:?}"
        );
        let vouched = RecoveryInputs { clock_vouched: true, ..found(Some(&stamp), boot) };
        assert_eq!(Trust::judge(&vouched).clock, Clock::Believed);
    }
    let stamped = stamp(true);
    assert_eq!(Trust::judge(&found(Some(&stamped), None)).findings[0], RecoveryFinding::NoBoot);
    let trust = Trust::judge(&found(None, Some(BEFORE)));
    assert_eq!((trust.journal, trust.findings[0].clone()), (JournalTrust::Hint, RecoveryFinding::Unstamped));
}

/// Guards against sending what another sender owes, and against a folder that is not named for what it is.
#[test]
fn each_kind_of_folder_is_named_once() {
    let other = JournalStamp { sender: "n2".to_owned(), ..stamp(true) };
    let trust = Trust::judge(&found(Some(&other), Some(BEFORE)));
    assert_eq!(
        (trust.journal, &trust.findings[..]),
        (JournalTrust::Void, &[RecoveryFinding::Foreign("n2".to_owned())][..])
    );
    let empty = Trust::judge(&RecoveryInputs { empty: true, ..found(None, Some(BEFORE)) });
    assert_eq!((empty.journal, &empty.findings[..]), (JournalTrust::Binds, &[RecoveryFinding::Empty][..]));
    assert!(!empty.is_return() && empty.knows_ids());
    let mut lost = empty.clone();
    lost.others_know(3);
    assert!(!lost.knows_ids());
    let stamp = stamp(false);
    let damaged = Trust::judge(&RecoveryInputs { skipped: 9, torn: 3, ..found(Some(&stamp), Some(BEFORE)) });
    assert_eq!(damaged.findings, [RecoveryFinding::Damaged(9), RecoveryFinding::Torn(3)]);
    assert_eq!(damaged.journal, JournalTrust::Hint);
    let torn = Trust::judge(&RecoveryInputs { torn: 3, ..found(Some(&stamp), Some(BEFORE)) });
    assert_eq!((torn.journal, torn.is_return()), (JournalTrust::Binds, false));
    let both = |trust: &Trust| (trust.asks(), trust.takes_stages());
    assert_eq!(
        [&torn, &empty, &lost, &damaged, &trust].map(both),
        [(false, false), (false, false), (true, true), (true, true), (false, true),]
    );
    let mut older = Trust::judge(&found(Some(&stamp), Some(BEFORE)));
    older.others_know(9);
    assert_eq!(
        (older.journal, &older.findings[..]),
        (JournalTrust::Hint, &[RecoveryFinding::Older { known: 9 }][..])
    );
    for finding in older.findings.iter().chain(&damaged.findings).chain(&empty.findings) {
        assert!(!finding.to_string().contains('\n'));
    }
}

/// Guards against believing a clock that others show to be wrong, and against a peer that makes one believed.
#[test]
fn others_can_only_take_the_clock_away() {
    let stamp = stamp(false);
    let at = |wall, boot, vouched| {
        Trust::judge(&RecoveryInputs { wall, clock_vouched: vouched, ..found(Some(&stamp), Some(boot)) })
    };
    assert_eq!(at(NOW - 3_600_000_000, BEFORE, true).clock, Clock::Behind(3_595_000_000));
    assert_eq!(at(NOW - 5_500_000, BEFORE, false).clock, Clock::Believed, "set right by a step");
    let mut unchecked = at(NOW, Boot([2; 16]), false);
    unchecked.others_have(&[0, 10, -10]);
    assert_eq!(
        (unchecked.clock, unchecked.offset, unchecked.now(NOW)),
        (Clock::Unchecked, Some(0), Some(NOW))
    );
    let mut vouched = at(NOW, Boot([2; 16]), true);
    vouched.others_have(&[]);
    vouched.others_have(&[3_600_000_000, 0, 100]);
    assert_eq!(vouched.clock, Clock::Believed, "one of three lies");
    vouched.others_have(&[3_600_000_000, 3_600_000_001, 100]);
    assert_eq!(vouched.clock, Clock::Off(3_600_000_000));
    assert_eq!(vouched.now(NOW), Some(NOW - 3_600_000_000));
    assert_eq!(vouched.findings.iter().filter(|f| matches!(f, RecoveryFinding::Clock(_))).count(), 1);
}

/// Guards against a boot id that reads as another one, or as none.
#[test]
fn a_boot_id_is_read_as_the_kernel_writes_it() {
    let text = "2f6e3c1a-0b4d-4e8f-9a7c-1234567890ab\n";
    assert_eq!(Boot::parse(text).map(|boot| boot.0[..3].to_owned()), Some(vec![0x2f, 0x6e, 0x3c]));
    assert_eq!(Boot::parse(&text.replace('-', "")), Boot::parse(text));
    for wrong in
        ["", "2f6e3c1a", "zf6e3c1a-0b4d-4e8f-9a7c-1234567890ab", "\u{e9}\u{e9}6e3c1a0b4d4e8f9a7c1234567890"]
    {
        assert_eq!(Boot::parse(wrong), None, "{wrong}");
    }
}
