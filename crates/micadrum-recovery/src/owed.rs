//! What follows from the folder's worth for one message that it says is owed.
//!
//! | journal | clock | freely | within a window | never |
//! | --- | --- | --- | --- | --- |
//! | binds | believed | as written | as written | as written |
//! | binds | not | as written | begun: fails; else as written | as written |
//! | hint | believed | may have run since it was taken on | the same | fails |
//! | hint | not | may have run since it was taken on | fails | fails |
//! | void | any | not sent, nothing said | the same | the same |
//!
//! "Fails" is the final answer that promises nothing. A message that has its end keeps it: only the notice is owed.
use crate::trust::{Clock, Faith, Trust};
use std::time::Duration;

/// What a second copy of a message does (the decision module's `Repeat`, without who drops it).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Nothing.
    Freely,
    /// Nothing, for so many microseconds from the first.
    Within(u64),
    /// A second effect.
    Never,
}

/// What the journal has of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    /// It is over, and only its notice owed.
    pub ended: bool,
    /// When the first attempt began that may have run, wall clock.
    pub begun: Option<u64>,
    /// It was not taken on before this, wall clock.
    pub not_before: Option<u64>,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As the journal has it.
    AsWritten,
    /// It may have run, first at this wall time.
    MayHaveRun(u64),
    /// It ends as failed, at once.
    Fails,
    /// It is another sender's.
    NotOurs,
}

/// Judges one.
#[must_use]
pub fn judge(trust: &Trust, repeats: Repeats, left: Left) -> Verdict {
    let believed = trust.clock == Clock::Believed;
    let earliest = || left.begun.into_iter().chain(left.not_before).min();
    match (trust.journal, repeats) {
        (Faith::Void, _) => Verdict::NotOurs,
        _ if left.ended => Verdict::AsWritten,
        (Faith::Binds, Repeats::Within(_)) if !believed && left.begun.is_some() => Verdict::Fails,
        (Faith::Binds, _) => Verdict::AsWritten,
        (Faith::Hint, Repeats::Never) => Verdict::Fails,
        (Faith::Hint, Repeats::Freely) => Verdict::MayHaveRun(earliest().unwrap_or(0)),
        (Faith::Hint, Repeats::Within(_)) => match left.not_before {
            // An attempt before the one that is known may be among what is missing.
            Some(_) if believed => Verdict::MayHaveRun(earliest().unwrap_or(0)),
            _ => Verdict::Fails,
        },
    }
}

/// How much longer newcomers of a class are turned away where ids of messages that are over may be missing: one that is
/// handed in a second time cannot be told from a new one then. `wait_out` is how long the operators want to wait after the
/// start for the last of those, `since` how long ago that was.
#[must_use]
pub fn turned_away_for(
    repeats: Repeats,
    knows_ids: bool,
    wait_out: Duration,
    since: Duration,
) -> Option<Duration> {
    let harms = repeats != Repeats::Freely;
    (harms && !knows_ids).then(|| wait_out.saturating_sub(since)).filter(|left| *left > Duration::ZERO)
}

/// The time that is left to a message, in microseconds: never more than its class has in all, as the clock may stand
/// hours before what was written.
#[must_use]
pub fn time_left(deadline: u64, now: u64, most: u64) -> u64 {
    deadline.saturating_sub(now).min(most)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::trust::Machine;

    fn trust(journal: Faith, clock: Clock) -> Trust {
        Trust { machine: Machine::Another, journal, clock, findings: Vec::new() }
    }

    /// Guards against less caution with less known: whatever is sent again where little is known, is where more is.
    #[test]
    fn less_known_never_sends_more() {
        let clocks = [Clock::Believed, Clock::Unchecked, Clock::Behind(9), Clock::Off(9)];
        let caution = |verdict| match verdict {
            Verdict::AsWritten => 0,
            Verdict::MayHaveRun(_) => 1,
            Verdict::Fails => 2,
            Verdict::NotOurs => 3,
        };
        for repeats in [Repeats::Freely, Repeats::Within(30), Repeats::Never] {
            for (begun, not_before) in [(None, None), (Some(7), None), (None, Some(5)), (Some(7), Some(5))] {
                let left = Left { ended: false, begun, not_before };
                for clock in clocks {
                    let of = |faith| caution(judge(&trust(faith, clock), repeats, left));
                    assert!(of(Faith::Binds) <= of(Faith::Hint) && of(Faith::Hint) <= of(Faith::Void));
                    for faith in [Faith::Binds, Faith::Hint] {
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
            judge(&trust(journal, clock), repeats, Left { ended: false, begun, not_before })
        };
        use Clock::{Believed, Unchecked};
        use Faith::{Binds, Hint, Void};
        use Repeats::{Freely, Never, Within};
        use Verdict::{AsWritten, Fails, MayHaveRun, NotOurs};
        assert_eq!(of(Binds, Believed, Within(30), Some(7), None), AsWritten);
        assert_eq!(of(Binds, Unchecked, Within(30), Some(7), None), Fails);
        assert_eq!(of(Binds, Unchecked, Within(30), None, Some(5)), AsWritten);
        assert_eq!(
            of(Binds, Unchecked, Never, Some(7), None),
            AsWritten,
            "the module fails what may have run"
        );
        assert_eq!(of(Hint, Believed, Freely, None, None), MayHaveRun(0));
        assert_eq!(of(Hint, Believed, Within(30), Some(7), Some(5)), MayHaveRun(5));
        assert_eq!(of(Hint, Believed, Within(30), Some(7), None), Fails);
        assert_eq!(of(Hint, Unchecked, Within(30), None, Some(5)), Fails);
        assert_eq!(of(Hint, Believed, Never, None, Some(5)), Fails);
        assert_eq!(of(Void, Believed, Freely, None, None), NotOurs);
        let over = Left { ended: true, begun: None, not_before: None };
        assert_eq!(judge(&trust(Hint, Unchecked), Never, over), AsWritten);
    }

    /// Guards against a client's second try of what was delivered before the journal was lost, where the operators want
    /// that waited out; and against turning away without need.
    #[test]
    fn what_may_come_a_second_time_is_waited_out() {
        let s = Duration::from_secs;
        for repeats in [Repeats::Within(30), Repeats::Never] {
            assert_eq!(turned_away_for(repeats, false, s(12), s(5)), Some(s(7)));
            assert_eq!(turned_away_for(repeats, false, s(12), s(12)), None);
            assert_eq!(turned_away_for(repeats, true, s(12), s(5)), None);
            assert_eq!(turned_away_for(repeats, false, s(0), s(0)), None);
        }
        assert_eq!(turned_away_for(Repeats::Freely, false, s(12), s(5)), None);
    }

    /// Guards against a message that is sent on for hours, as the clock was set back.
    #[test]
    fn no_message_has_more_time_than_its_class() {
        assert_eq!(time_left(100, 40, 1000), 60);
        assert_eq!(time_left(100, 140, 1000), 0);
        assert_eq!(time_left(1_000_000, 40, 1000), 1000);
    }
}
