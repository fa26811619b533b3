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

/// Guards against a less cautious action when the journal or the clock is trusted less.
#[test]
fn less_trust_never_leads_to_a_less_cautious_action() {
    let clocks = [ClockTrust::Trusted, ClockTrust::Unverified, ClockTrust::Behind(9), ClockTrust::Skewed(9)];
    let caution = |action| match action {
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
            let message = JournaledMessage { is_completed: false, first_attempt_at, not_accepted_before };
            for clock in clocks {
                for clock_offset_us in [Some(0), None] {
                    let trust = |journal| Trust { clock_offset_us, ..trust(journal, clock) };
                    let caution_with =
                        |journal| caution(assess_message(&trust(journal), redelivery, message));
                    assert!(
                        caution_with(JournalTrust::Complete) <= caution_with(JournalTrust::Incomplete)
                            && caution_with(JournalTrust::Incomplete) <= caution_with(JournalTrust::Foreign)
                    );
                }
                for journal in [JournalTrust::Complete, JournalTrust::Incomplete] {
                    let [trusted, actual] = [ClockTrust::Trusted, clock]
                        .map(|clock| caution(assess_message(&trust(journal, clock), redelivery, message)));
                    assert!(trusted <= actual, "{journal:?} {redelivery:?} {message:?} {clock:?}");
                }
            }
        }
    }
}

/// Guards against code that deviates from the table in the module documentation.
#[test]
fn actions_match_the_documented_table() {
    let action_for = |journal, clock, redelivery, first_attempt_at, not_accepted_before| {
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
    assert_eq!(action_for(Complete, Trusted, HarmlessWithinWindow, Some(7), None), Unchanged);
    assert_eq!(action_for(Complete, Unverified, HarmlessWithinWindow, Some(7), None), Fail);
    assert_eq!(action_for(Complete, Unverified, HarmlessWithinWindow, None, Some(5)), Unchanged);
    assert_eq!(
        action_for(Complete, Unverified, Harmful, Some(7), None),
        Unchanged,
        "the decision core itself fails a message that may have been delivered"
    );
    assert_eq!(action_for(Incomplete, Trusted, Harmless, None, None), Uncertain(0));
    assert_eq!(action_for(Incomplete, Trusted, HarmlessWithinWindow, Some(7), Some(5)), Uncertain(5));
    assert_eq!(action_for(Incomplete, Trusted, HarmlessWithinWindow, Some(7), None), Fail);
    assert_eq!(action_for(Incomplete, Unverified, HarmlessWithinWindow, None, Some(5)), Fail);
    assert_eq!(action_for(Incomplete, Trusted, Harmful, None, Some(5)), Fail);
    assert_eq!(action_for(Foreign, Trusted, Harmless, None, None), Discard);
    let with_unknown_time = |journal, redelivery, first_attempt_at| {
        let trust = Trust { clock_offset_us: None, ..trust(journal, Unverified) };
        assess_message(
            &trust,
            redelivery,
            JournaledMessage { is_completed: false, first_attempt_at, not_accepted_before: Some(5) },
        )
    };
    use RecoveryAction::Return;
    assert_eq!(
        (with_unknown_time(Complete, Harmless, Some(7)), with_unknown_time(Incomplete, Harmless, Some(7))),
        (Return, Return)
    );
    assert_eq!(
        (with_unknown_time(Complete, HarmlessWithinWindow, None), with_unknown_time(Complete, Harmful, None)),
        (Return, Return)
    );
    assert_eq!(
        (
            with_unknown_time(Complete, HarmlessWithinWindow, Some(7)),
            with_unknown_time(Complete, Harmful, Some(7))
        ),
        (Fail, Fail)
    );
    assert_eq!(
        (
            with_unknown_time(Incomplete, HarmlessWithinWindow, None),
            with_unknown_time(Incomplete, Harmful, None)
        ),
        (Fail, Fail)
    );
    let completed =
        JournaledMessage { is_completed: true, first_attempt_at: None, not_accepted_before: None };
    assert_eq!(assess_message(&trust(Incomplete, Unverified), Harmful, completed), Unchanged);
}

/// Guards against admitting resubmitted messages during the configured hold, and against rejections that are
/// not needed.
#[test]
fn rejects_new_messages_during_the_hold_if_ids_may_be_missing() {
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

/// Guards against sending a message after its deadline because the clock is wrong or was set back.
#[test]
fn a_wrong_clock_never_extends_a_deadline() {
    let trusted = trust(JournalTrust::Complete, ClockTrust::Trusted);
    assert_eq!(time_left(&trusted, times(100, 0, 40, 30)), 60, "a trusted clock gives the exact time left");
    assert_eq!(time_left(&trusted, times(100, 0, 140, 30)), 0);
    let with_offset = |offset| Trust {
        clock_offset_us: Some(offset),
        ..trust(JournalTrust::Complete, ClockTrust::Unverified)
    };
    // The own clock is 1000 ahead of the peers' or 40 behind it; the time by the peers' clock is 60.
    assert_eq!(time_left(&with_offset(1_000), times(100, 50, 1_060, 500)), 40);
    assert_eq!(time_left(&with_offset(-40), times(100, 50, 20, 500)), 40);
    // A wrong offset leaves at most the time that was left at the latest time in the journal, and the time to
    // live.
    assert_eq!(time_left(&with_offset(1_000_000), times(100, 50, 60, 500)), 50);
    assert_eq!(time_left(&with_offset(1_000_000), times(1_000_000, 50, 60, 500)), 500);
    let with_unknown_time =
        Trust { clock_offset_us: None, ..trust(JournalTrust::Complete, ClockTrust::Unverified) };
    assert_eq!(time_left(&with_unknown_time, times(100, 50, 60, 500)), 0);
}
