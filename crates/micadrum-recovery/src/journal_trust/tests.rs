use super::*;

const PREVIOUS_BOOT: BootId = BootId([1; 16]);
const NOW: u64 = 1_700_000_000_000_000;

fn stamp(survives_machine_crash: bool) -> JournalStamp {
    JournalStamp {
        sender: "n1".to_owned(),
        boot: Some(PREVIOUS_BOOT),
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

/// Guards against trusting a journal that a power loss may have truncated, and against distrust after a
/// process crash.
#[test]
fn trusts_a_journal_only_if_it_survived_the_restart() {
    let cases = [
        (false, Some(PREVIOUS_BOOT), BootComparison::SameBoot, JournalTrust::Complete, ClockTrust::Trusted),
        (true, Some(PREVIOUS_BOOT), BootComparison::SameBoot, JournalTrust::Complete, ClockTrust::Trusted),
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
            "survives_machine_crash={survives} boot={boot:?}"
        );
        let with_trusted_clock = RecoveryInputs { trusts_clock: true, ..inputs(Some(&stamp), boot) };
        assert_eq!(Trust::assess(&with_trusted_clock).clock, ClockTrust::Trusted);
    }
    let stamped = stamp(true);
    assert_eq!(Trust::assess(&inputs(Some(&stamped), None)).findings[0], RecoveryFinding::BootIdMissing);
    let trust = Trust::assess(&inputs(None, Some(PREVIOUS_BOOT)));
    assert_eq!(
        (trust.journal, trust.findings[0].clone()),
        (JournalTrust::Incomplete, RecoveryFinding::StampMissing)
    );
}

/// Guards against sending messages from another sender's journal, and against a missing or wrong finding.
#[test]
fn reports_a_finding_for_each_state_of_the_folder() {
    let other = JournalStamp { sender: "n2".to_owned(), ..stamp(true) };
    let trust = Trust::assess(&inputs(Some(&other), Some(PREVIOUS_BOOT)));
    assert_eq!(
        (trust.journal, &trust.findings[..]),
        (JournalTrust::Foreign, &[RecoveryFinding::Foreign("n2".to_owned())][..])
    );
    let empty = Trust::assess(&RecoveryInputs { is_empty: true, ..inputs(None, Some(PREVIOUS_BOOT)) });
    assert_eq!((empty.journal, &empty.findings[..]), (JournalTrust::Complete, &[RecoveryFinding::Empty][..]));
    assert!(!empty.follows_machine_restart() && empty.has_all_completed_ids());
    let mut lost = empty.clone();
    lost.apply_known_incarnation(3);
    assert!(!lost.has_all_completed_ids());
    let stamp = stamp(false);
    let corrupt = Trust::assess(&RecoveryInputs {
        corrupt_bytes: 9,
        torn_bytes: 3,
        ..inputs(Some(&stamp), Some(PREVIOUS_BOOT))
    });
    assert_eq!(corrupt.findings, [RecoveryFinding::CorruptRecords(9), RecoveryFinding::TornRecord(3)]);
    assert_eq!(corrupt.journal, JournalTrust::Incomplete);
    let torn = Trust::assess(&RecoveryInputs { torn_bytes: 3, ..inputs(Some(&stamp), Some(PREVIOUS_BOOT)) });
    assert_eq!((torn.journal, torn.follows_machine_restart()), (JournalTrust::Complete, false));
    let recovery_steps = |trust: &Trust| (trust.queries_peers(), trust.recovers_in_phases());
    assert_eq!(
        [&torn, &empty, &lost, &corrupt, &trust].map(recovery_steps),
        [(false, false), (false, false), (true, true), (true, true), (false, true),]
    );
    let mut outdated = Trust::assess(&inputs(Some(&stamp), Some(PREVIOUS_BOOT)));
    outdated.apply_known_incarnation(9);
    assert_eq!(
        (outdated.journal, &outdated.findings[..]),
        (JournalTrust::Incomplete, &[RecoveryFinding::OutdatedFolder { known: 9 }][..])
    );
    for finding in outdated.findings.iter().chain(&corrupt.findings).chain(&empty.findings) {
        assert!(!finding.to_string().contains('\n'));
    }
}

/// Guards against trusting a clock that differs from the peers', and against a peer that makes a clock
/// trusted.
#[test]
fn peer_clock_offsets_only_reduce_the_trust_in_the_clock() {
    let stamp = stamp(false);
    let assess_at = |wall, boot, trusts_clock| {
        Trust::assess(&RecoveryInputs { wall, trusts_clock, ..inputs(Some(&stamp), Some(boot)) })
    };
    assert_eq!(assess_at(NOW - 3_600_000_000, PREVIOUS_BOOT, true).clock, ClockTrust::Behind(3_595_000_000));
    assert_eq!(
        assess_at(NOW - 5_500_000, PREVIOUS_BOOT, false).clock,
        ClockTrust::Trusted,
        "a backward step within the limit is accepted"
    );
    let mut unverified = assess_at(NOW, BootId([2; 16]), false);
    unverified.apply_clock_offsets(&[0, 10, -10]);
    assert_eq!(
        (unverified.clock, unverified.clock_offset_us, unverified.journal_time(NOW)),
        (ClockTrust::Unverified, Some(0), Some(NOW))
    );
    let mut trusted = assess_at(NOW, BootId([2; 16]), true);
    trusted.apply_clock_offsets(&[]);
    trusted.apply_clock_offsets(&[3_600_000_000, 0, 100]);
    assert_eq!(trusted.clock, ClockTrust::Trusted, "one outlier of three is ignored");
    trusted.apply_clock_offsets(&[3_600_000_000, 3_600_000_001, 100]);
    assert_eq!(trusted.clock, ClockTrust::Skewed(3_600_000_000));
    assert_eq!(trusted.journal_time(NOW), Some(NOW - 3_600_000_000));
    assert_eq!(
        trusted.findings.iter().filter(|f| matches!(f, RecoveryFinding::ClockUntrusted(_))).count(),
        1
    );
}

/// Guards against misreading a boot id, and against accepting a malformed one.
#[test]
fn parses_only_boot_ids_in_the_kernel_format() {
    let text = "2f6e3c1a-0b4d-4e8f-9a7c-1234567890ab\n";
    assert_eq!(BootId::parse(text).map(|boot| boot.0[..3].to_owned()), Some(vec![0x2f, 0x6e, 0x3c]));
    assert_eq!(BootId::parse(&text.replace('-', "")), BootId::parse(text));
    for malformed in
        ["", "2f6e3c1a", "zf6e3c1a-0b4d-4e8f-9a7c-1234567890ab", "\u{e9}\u{e9}6e3c1a0b4d4e8f9a7c1234567890"]
    {
        assert_eq!(BootId::parse(malformed), None, "{malformed}");
    }
}
