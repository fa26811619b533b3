use super::*;

const BEFORE: BootId = BootId([1; 16]);
const NOW: u64 = 1_700_000_000_000_000;

fn stamp(survives_machine_crash: bool) -> JournalStamp {
    JournalStamp {
        sender: "n1".to_owned(),
        boot: Some(BEFORE),
        wall: NOW - 60_000_000,
        survives_machine_crash,
    }
}

fn inputs(stamp: Option<&JournalStamp>, boot: Option<BootId>) -> RecoveryInputs<'_> {
    RecoveryInputs {
        own_name: "n1",
        boot,
        wall: NOW,
        trusts_clock: false,
        stamp,
        latest_wall: NOW - 5_000_000,
        is_empty: false,
        corrupt_bytes: 0,
        torn_bytes: 0,
    }
}

/// Guards against trusting what a power loss may have destroyed, and against distrust after a crash of the process.
#[test]
fn a_journal_is_trusted_as_far_as_its_records_survived() {
    let cases = [
        (false, Some(BEFORE), BootComparison::SameBoot, JournalTrust::Complete, ClockTrust::Trusted),
        (true, Some(BEFORE), BootComparison::SameBoot, JournalTrust::Complete, ClockTrust::Trusted),
        (
            false,
            Some(BootId([2; 16])),
            BootComparison::Rebooted,
            JournalTrust::Incomplete,
            ClockTrust::Unverified,
        ),
        (
            true,
            Some(BootId([2; 16])),
            BootComparison::Rebooted,
            JournalTrust::Complete,
            ClockTrust::Unverified,
        ),
        (false, None, BootComparison::Unknown, JournalTrust::Incomplete, ClockTrust::Unverified),
        (true, None, BootComparison::Unknown, JournalTrust::Complete, ClockTrust::Unverified),
    ];
    for (survives, boot, machine, journal, clock) in cases {
        let stamp = stamp(survives);
        let trust = Trust::assess(&inputs(Some(&stamp), boot));
        assert_eq!(
            (trust.machine, trust.journal, trust.clock),
            (machine, journal, clock),
            "{survives} {boot:?}"
        );
        let vouched = RecoveryInputs { trusts_clock: true, ..inputs(Some(&stamp), boot) };
        assert_eq!(Trust::assess(&vouched).clock, ClockTrust::Trusted);
    }
    let stamped = stamp(true);
    assert_eq!(Trust::assess(&inputs(Some(&stamped), None)).findings[0], RecoveryFinding::BootIdMissing);
    let trust = Trust::assess(&inputs(None, Some(BEFORE)));
    assert_eq!(
        (trust.journal, trust.findings[0].clone()),
        (JournalTrust::Incomplete, RecoveryFinding::StampMissing)
    );
}

/// Guards against sending the messages of another sender, and against a missing or wrong finding.
#[test]
fn each_kind_of_folder_has_its_finding() {
    let other = JournalStamp { sender: "n2".to_owned(), ..stamp(true) };
    let trust = Trust::assess(&inputs(Some(&other), Some(BEFORE)));
    assert_eq!(
        (trust.journal, &trust.findings[..]),
        (JournalTrust::Foreign, &[RecoveryFinding::Foreign("n2".to_owned())][..])
    );
    let empty = Trust::assess(&RecoveryInputs { is_empty: true, ..inputs(None, Some(BEFORE)) });
    assert_eq!((empty.journal, &empty.findings[..]), (JournalTrust::Complete, &[RecoveryFinding::Empty][..]));
    assert!(!empty.follows_machine_restart() && empty.has_all_completed_ids());
    let mut lost = empty.clone();
    lost.apply_known_incarnation(3);
    assert!(!lost.has_all_completed_ids());
    let stamp = stamp(false);
    let damaged = Trust::assess(&RecoveryInputs {
        corrupt_bytes: 9,
        torn_bytes: 3,
        ..inputs(Some(&stamp), Some(BEFORE))
    });
    assert_eq!(damaged.findings, [RecoveryFinding::CorruptRecords(9), RecoveryFinding::TornRecord(3)]);
    assert_eq!(damaged.journal, JournalTrust::Incomplete);
    let torn = Trust::assess(&RecoveryInputs { torn_bytes: 3, ..inputs(Some(&stamp), Some(BEFORE)) });
    assert_eq!((torn.journal, torn.follows_machine_restart()), (JournalTrust::Complete, false));
    let both = |trust: &Trust| (trust.queries_peers(), trust.recovers_in_phases());
    assert_eq!(
        [&torn, &empty, &lost, &damaged, &trust].map(both),
        [(false, false), (false, false), (true, true), (true, true), (false, true),]
    );
    let mut older = Trust::assess(&inputs(Some(&stamp), Some(BEFORE)));
    older.apply_known_incarnation(9);
    assert_eq!(
        (older.journal, &older.findings[..]),
        (JournalTrust::Incomplete, &[RecoveryFinding::OutdatedFolder { known: 9 }][..])
    );
    for finding in older.findings.iter().chain(&damaged.findings).chain(&empty.findings) {
        assert!(!finding.to_string().contains('\n'));
    }
}

/// Guards against trusting a clock that peers show to be wrong, and against a peer that makes one trusted.
#[test]
fn peers_can_only_reduce_the_trust_in_the_clock() {
    let stamp = stamp(false);
    let at = |wall, boot, vouched| {
        Trust::assess(&RecoveryInputs { wall, trusts_clock: vouched, ..inputs(Some(&stamp), Some(boot)) })
    };
    assert_eq!(at(NOW - 3_600_000_000, BEFORE, true).clock, ClockTrust::Behind(3_595_000_000));
    assert_eq!(at(NOW - 5_500_000, BEFORE, false).clock, ClockTrust::Trusted, "set right by a step");
    let mut unchecked = at(NOW, BootId([2; 16]), false);
    unchecked.apply_clock_offsets(&[0, 10, -10]);
    assert_eq!(
        (unchecked.clock, unchecked.clock_offset_us, unchecked.journal_time(NOW)),
        (ClockTrust::Unverified, Some(0), Some(NOW))
    );
    let mut vouched = at(NOW, BootId([2; 16]), true);
    vouched.apply_clock_offsets(&[]);
    vouched.apply_clock_offsets(&[3_600_000_000, 0, 100]);
    assert_eq!(vouched.clock, ClockTrust::Trusted, "one of three lies");
    vouched.apply_clock_offsets(&[3_600_000_000, 3_600_000_001, 100]);
    assert_eq!(vouched.clock, ClockTrust::Skewed(3_600_000_000));
    assert_eq!(vouched.journal_time(NOW), Some(NOW - 3_600_000_000));
    assert_eq!(
        vouched.findings.iter().filter(|f| matches!(f, RecoveryFinding::ClockUntrusted(_))).count(),
        1
    );
}

/// Guards against a boot id that reads as another one, or as none.
#[test]
fn a_boot_id_is_parsed_as_the_kernel_writes_it() {
    let text = "2f6e3c1a-0b4d-4e8f-9a7c-1234567890ab\n";
    assert_eq!(BootId::parse(text).map(|boot| boot.0[..3].to_owned()), Some(vec![0x2f, 0x6e, 0x3c]));
    assert_eq!(BootId::parse(&text.replace('-', "")), BootId::parse(text));
    for wrong in
        ["", "2f6e3c1a", "zf6e3c1a-0b4d-4e8f-9a7c-1234567890ab", "\u{e9}\u{e9}6e3c1a0b4d4e8f9a7c1234567890"]
    {
        assert_eq!(BootId::parse(wrong), None, "{wrong}");
    }
}
