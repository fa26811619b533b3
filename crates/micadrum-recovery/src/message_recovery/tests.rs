use super::*;
use crate::journal_trust::Machine;

fn trust(journal: JournalTrust, clock: Clock) -> Trust {
    Trust { machine: Machine::Another, journal, clock, offset: Some(0), findings: Vec::new() }
}

/// Guards against less caution with less known: whatever is sent again where little is known, is where more is.
#[test]
fn less_known_never_sends_more() {
    let clocks = [Clock::Believed, Clock::Unchecked, Clock::Behind(9), Clock::Off(9)];
    let caution = |verdict| match verdict {
        Verdict::AsWritten => 0,
        Verdict::MayHaveRun(_) => 1,
        Verdict::Returns => 2,
        Verdict::Fails => 3,
        Verdict::NotOurs => 4,
    };
    for repeats in [Repeats::Freely, Repeats::Within, Repeats::Never] {
        for (begun, not_before) in [(None, None), (Some(7), None), (None, Some(5)), (Some(7), Some(5))] {
            let left = LeftoverMessage { ended: false, begun, not_before };
            for clock in clocks {
                for offset in [Some(0), None] {
                    let trust = |faith| Trust { offset, ..trust(faith, clock) };
                    let of = |faith| caution(judge(&trust(faith), repeats, left));
                    assert!(
                        of(JournalTrust::Binds) <= of(JournalTrust::Hint)
                            && of(JournalTrust::Hint) <= of(JournalTrust::Void)
                    );
                }
                for faith in [JournalTrust::Binds, JournalTrust::Hint] {
                    let [best, here] = [Clock::Believed, clock]
                        .map(|clock| caution(judge(&trust(faith, clock), repeats, left)));
                    assert!(best <= here, "{faith:?} {repeats:?} {left:?} {clock:?}");
                }
            }
        }
    }
}

/// Guards against a table that says one thing and code that does another.
#[test]
fn the_table_holds() {
    let of = |journal, clock, repeats, begun, not_before| {
        judge(&trust(journal, clock), repeats, LeftoverMessage { ended: false, begun, not_before })
    };
    use Clock::{Believed, Unchecked};
    use JournalTrust::{Binds, Hint, Void};
    use Repeats::{Freely, Never, Within};
    use Verdict::{AsWritten, Fails, MayHaveRun, NotOurs};
    assert_eq!(of(Binds, Believed, Within, Some(7), None), AsWritten);
    assert_eq!(of(Binds, Unchecked, Within, Some(7), None), Fails);
    assert_eq!(of(Binds, Unchecked, Within, None, Some(5)), AsWritten);
    assert_eq!(of(Binds, Unchecked, Never, Some(7), None), AsWritten, "the module fails what may have run");
    assert_eq!(of(Hint, Believed, Freely, None, None), MayHaveRun(0));
    assert_eq!(of(Hint, Believed, Within, Some(7), Some(5)), MayHaveRun(5));
    assert_eq!(of(Hint, Believed, Within, Some(7), None), Fails);
    assert_eq!(of(Hint, Unchecked, Within, None, Some(5)), Fails);
    assert_eq!(of(Hint, Believed, Never, None, Some(5)), Fails);
    assert_eq!(of(Void, Believed, Freely, None, None), NotOurs);
    let dark = |journal, repeats, begun| {
        let trust = Trust { offset: None, ..trust(journal, Unchecked) };
        judge(&trust, repeats, LeftoverMessage { ended: false, begun, not_before: Some(5) })
    };
    use Verdict::Returns;
    assert_eq!((dark(Binds, Freely, Some(7)), dark(Hint, Freely, Some(7))), (Returns, Returns));
    assert_eq!((dark(Binds, Within, None), dark(Binds, Never, None)), (Returns, Returns));
    assert_eq!((dark(Binds, Within, Some(7)), dark(Binds, Never, Some(7))), (Fails, Fails));
    assert_eq!((dark(Hint, Within, None), dark(Hint, Never, None)), (Fails, Fails));
    let over = LeftoverMessage { ended: true, begun: None, not_before: None };
    assert_eq!(judge(&trust(Hint, Unchecked), Never, over), AsWritten);
}

/// Guards against a client's second try of what was delivered before the journal was lost, where the operators want
/// that waited out; and against turning away without need.
#[test]
fn what_may_come_a_second_time_is_waited_out() {
    let s = Duration::from_secs;
    for repeats in [Repeats::Within, Repeats::Never] {
        assert_eq!(turned_away_for(repeats, false, s(12), s(5)), Some(s(7)));
        assert_eq!(turned_away_for(repeats, false, s(12), s(12)), None);
        assert_eq!(turned_away_for(repeats, true, s(12), s(5)), None);
        assert_eq!(turned_away_for(repeats, false, s(0), s(0)), None);
    }
    assert_eq!(turned_away_for(Repeats::Freely, false, s(12), s(5)), None);
}

/// Guards against a message that is sent on past its time, or for hours, as the clock was set back or has jumped.
#[test]
fn no_message_has_more_time_than_it_had() {
    let believed = trust(JournalTrust::Binds, Clock::Believed);
    assert_eq!(time_left(&believed, 100, 0, 40, 30), 60, "as ever");
    assert_eq!(time_left(&believed, 100, 0, 140, 30), 0);
    let told = |offset| Trust { offset: Some(offset), ..trust(JournalTrust::Binds, Clock::Unchecked) };
    // Its clock stands 1000 ahead, or behind; it is 60 by the others.
    assert_eq!(time_left(&told(1_000), 100, 50, 1_060, 500), 40);
    assert_eq!(time_left(&told(-40), 100, 50, 20, 500), 40);
    // A liar makes it no more than there was when the journal ended.
    assert_eq!(time_left(&told(1_000_000), 100, 50, 60, 500), 50);
    assert_eq!(time_left(&told(1_000_000), 1_000_000, 50, 60, 500), 500);
    let dark = Trust { offset: None, ..trust(JournalTrust::Binds, Clock::Unchecked) };
    assert_eq!(time_left(&dark, 100, 50, 60, 500), 0);
}
