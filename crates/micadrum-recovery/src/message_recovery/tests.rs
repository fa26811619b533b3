use super::*;
use crate::journal_trust::BootComparison;

fn trust(journal: JournalTrust, clock: ClockTrust) -> Trust {
    Trust {
        machine: BootComparison::Rebooted,
        journal,
        clock,
        clock_offset_us: Some(0),
        findings: Vec::new(),
    }
}

fn times(deadline: u64, latest_wall: u64, wall: u64, time_to_live: u64) -> MessageTimes {
    MessageTimes { deadline, latest_wall, wall, time_to_live }
}

/// Guards against less caution where less is known: what is sent again then is also sent again where more is known.
#[test]
fn less_knowledge_never_leads_to_more_sends() {
    let clocks = [ClockTrust::Trusted, ClockTrust::Unverified, ClockTrust::Behind(9), ClockTrust::Skewed(9)];
    let caution = |verdict| match verdict {
        RecoveryAction::Unchanged => 0,
        RecoveryAction::Uncertain(_) => 1,
        RecoveryAction::Return => 2,
        RecoveryAction::Fail => 3,
        RecoveryAction::Discard => 4,
    };
    for redelivery in [Redelivery::Harmless, Redelivery::HarmlessWithinWindow, Redelivery::Harmful] {
        for (first_attempt_at, not_accepted_before) in
            [(None, None), (Some(7), None), (None, Some(5)), (Some(7), Some(5))]
        {
            let left = JournaledMessage { is_completed: false, first_attempt_at, not_accepted_before };
            for clock in clocks {
                for clock_offset_us in [Some(0), None] {
                    let trust = |journal| Trust { clock_offset_us, ..trust(journal, clock) };
                    let of = |journal| caution(assess_message(&trust(journal), redelivery, left));
                    assert!(
                        of(JournalTrust::Complete) <= of(JournalTrust::Incomplete)
                            && of(JournalTrust::Incomplete) <= of(JournalTrust::Foreign)
                    );
                }
                for journal in [JournalTrust::Complete, JournalTrust::Incomplete] {
                    let [best, here] = [ClockTrust::Trusted, clock]
                        .map(|clock| caution(assess_message(&trust(journal, clock), redelivery, left)));
                    assert!(best <= here, "{journal:?} {redelivery:?} {left:?} {clock:?}");
                }
            }
        }
    }
}

/// Guards against code that deviates from the table in the module documentation.
#[test]
fn verdicts_match_the_documented_table() {
    let of = |journal, clock, redelivery, first_attempt_at, not_accepted_before| {
        assess_message(
            &trust(journal, clock),
            redelivery,
            JournaledMessage { is_completed: false, first_attempt_at, not_accepted_before },
        )
    };
    use ClockTrust::{Trusted, Unverified};
    use JournalTrust::{Complete, Foreign, Incomplete};
    use RecoveryAction::{Discard, Fail, Uncertain, Unchanged};
    use Redelivery::{Harmful, Harmless, HarmlessWithinWindow};
    assert_eq!(of(Complete, Trusted, HarmlessWithinWindow, Some(7), None), Unchanged);
    assert_eq!(of(Complete, Unverified, HarmlessWithinWindow, Some(7), None), Fail);
    assert_eq!(of(Complete, Unverified, HarmlessWithinWindow, None, Some(5)), Unchanged);
    assert_eq!(
        of(Complete, Unverified, Harmful, Some(7), None),
        Unchanged,
        "the module fails what may have run"
    );
    assert_eq!(of(Incomplete, Trusted, Harmless, None, None), Uncertain(0));
    assert_eq!(of(Incomplete, Trusted, HarmlessWithinWindow, Some(7), Some(5)), Uncertain(5));
    assert_eq!(of(Incomplete, Trusted, HarmlessWithinWindow, Some(7), None), Fail);
    assert_eq!(of(Incomplete, Unverified, HarmlessWithinWindow, None, Some(5)), Fail);
    assert_eq!(of(Incomplete, Trusted, Harmful, None, Some(5)), Fail);
    assert_eq!(of(Foreign, Trusted, Harmless, None, None), Discard);
    let dark = |journal, redelivery, first_attempt_at| {
        let trust = Trust { clock_offset_us: None, ..trust(journal, Unverified) };
        assess_message(
            &trust,
            redelivery,
            JournaledMessage { is_completed: false, first_attempt_at, not_accepted_before: Some(5) },
        )
    };
    use RecoveryAction::Return;
    assert_eq!((dark(Complete, Harmless, Some(7)), dark(Incomplete, Harmless, Some(7))), (Return, Return));
    assert_eq!((dark(Complete, HarmlessWithinWindow, None), dark(Complete, Harmful, None)), (Return, Return));
    assert_eq!(
        (dark(Complete, HarmlessWithinWindow, Some(7)), dark(Complete, Harmful, Some(7))),
        (Fail, Fail)
    );
    assert_eq!((dark(Incomplete, HarmlessWithinWindow, None), dark(Incomplete, Harmful, None)), (Fail, Fail));
    let over = JournaledMessage { is_completed: true, first_attempt_at: None, not_accepted_before: None };
    assert_eq!(assess_message(&trust(Incomplete, Unverified), Harmful, over), Unchanged);
}

/// Guards against resubmissions of messages that were delivered before the journal was lost, where the operators want to
/// wait for those, and against needless rejections.
#[test]
fn resubmissions_are_rejected_during_the_hold() {
    let secs = Duration::from_secs;
    let complete = trust(JournalTrust::Complete, ClockTrust::Trusted);
    let incomplete = trust(JournalTrust::Incomplete, ClockTrust::Trusted);
    for redelivery in [Redelivery::HarmlessWithinWindow, Redelivery::Harmful] {
        assert_eq!(rejection_time_left(&incomplete, redelivery, secs(12), secs(5)), Some(secs(7)));
        assert_eq!(rejection_time_left(&incomplete, redelivery, secs(12), secs(12)), None);
        assert_eq!(rejection_time_left(&complete, redelivery, secs(12), secs(5)), None);
        assert_eq!(rejection_time_left(&incomplete, redelivery, secs(0), secs(0)), None);
    }
    assert_eq!(rejection_time_left(&incomplete, Redelivery::Harmless, secs(12), secs(5)), None);
}

/// Guards against a message that is sent past its deadline because the clock was set back or has jumped.
#[test]
fn no_message_gains_time() {
    let believed = trust(JournalTrust::Complete, ClockTrust::Trusted);
    assert_eq!(time_left(&believed, times(100, 0, 40, 30)), 60, "as ever");
    assert_eq!(time_left(&believed, times(100, 0, 140, 30)), 0);
    let told = |offset| Trust {
        clock_offset_us: Some(offset),
        ..trust(JournalTrust::Complete, ClockTrust::Unverified)
    };
    // Its clock stands 1000 ahead, or behind; it is 60 by the others.
    assert_eq!(time_left(&told(1_000), times(100, 50, 1_060, 500)), 40);
    assert_eq!(time_left(&told(-40), times(100, 50, 20, 500)), 40);
    // A liar makes it no more than there was when the journal ended.
    assert_eq!(time_left(&told(1_000_000), times(100, 50, 60, 500)), 50);
    assert_eq!(time_left(&told(1_000_000), times(1_000_000, 50, 60, 500)), 500);
    let dark = Trust { clock_offset_us: None, ..trust(JournalTrust::Complete, ClockTrust::Unverified) };
    assert_eq!(time_left(&dark, times(100, 50, 60, 500)), 0);
}
