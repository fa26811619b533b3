//! What follows from the folder's worth for one message that it says is owed.
//!
//! | journal | clock | freely | within a window | never |
//! | --- | --- | --- | --- | --- |
//! | binds | believed | as written | as written | as written |
//! | binds | not, others tell the time | as written | begun: fails; else as written | as written |
//! | binds | not, nobody does | returned | begun: fails; else returned | the same |
//! | hint | believed | may have run since it was taken on | the same | fails |
//! | hint | not, others tell the time | may have run since it was taken on | fails | fails |
//! | hint | not, nobody does | returned | fails | fails |
//! | void | any | not sent, nothing said | the same | the same |
//!
//! "Fails" is the final answer that promises nothing, "returned" the one by which a client may safely come again. Where
//! nobody can tell the time, both come at once: nobody knows how long the machine was away, and an answer after a message's
//! time is none. A message that has its end keeps it: only the notice is owed.
use crate::trust::{Clock, Faith, Trust};
use std::time::Duration;

/// What a second copy of a message does (the decision module's `Repeat`, without who drops it).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Nothing.
    Freely,
    /// Nothing, for a while from the first: whether that is over the decision module knows.
    Within,
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
    /// It goes back to its client, at once.
    Returns,
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
        (Faith::Binds | Faith::Hint, Repeats::Freely) if !trust.tells_time() => Verdict::Returns,
        (Faith::Binds, _) if !trust.tells_time() && left.begun.is_none() => Verdict::Returns,
        (Faith::Binds, _) if !trust.tells_time() => Verdict::Fails,
        (Faith::Binds, Repeats::Within) if !believed && left.begun.is_some() => Verdict::Fails,
        (Faith::Binds, _) => Verdict::AsWritten,
        (Faith::Hint, Repeats::Never) => Verdict::Fails,
        (Faith::Hint, Repeats::Freely) => Verdict::MayHaveRun(earliest().unwrap_or(0)),
        (Faith::Hint, Repeats::Within) => match left.not_before {
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

/// The time that is left to a message of before, in microseconds. Its `deadline` is by the clock under which the journal was
/// written, `latest` the last moment that it tells of, `wall` the clock now; its class has `most` in all.
#[must_use]
pub fn time_left(trust: &Trust, deadline: u64, latest: u64, wall: u64, most: u64) -> u64 {
    let now = trust.now(wall).unwrap_or(u64::MAX);
    if trust.clock == Clock::Believed {
        return deadline.saturating_sub(now);
    }
    deadline.saturating_sub(now.max(latest)).min(most)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::trust::Machine;

    fn trust(journal: Faith, clock: Clock) -> Trust {
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
                let left = Left { ended: false, begun, not_before };
                for clock in clocks {
                    for offset in [Some(0), None] {
                        let trust = |faith| Trust { offset, ..trust(faith, clock) };
                        let of = |faith| caution(judge(&trust(faith), repeats, left));
                        assert!(of(Faith::Binds) <= of(Faith::Hint) && of(Faith::Hint) <= of(Faith::Void));
                    }
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
        assert_eq!(of(Binds, Believed, Within, Some(7), None), AsWritten);
        assert_eq!(of(Binds, Unchecked, Within, Some(7), None), Fails);
        assert_eq!(of(Binds, Unchecked, Within, None, Some(5)), AsWritten);
        assert_eq!(
            of(Binds, Unchecked, Never, Some(7), None),
            AsWritten,
            "the module fails what may have run"
        );
        assert_eq!(of(Hint, Believed, Freely, None, None), MayHaveRun(0));
        assert_eq!(of(Hint, Believed, Within, Some(7), Some(5)), MayHaveRun(5));
        assert_eq!(of(Hint, Believed, Within, Some(7), None), Fails);
        assert_eq!(of(Hint, Unchecked, Within, None, Some(5)), Fails);
        assert_eq!(of(Hint, Believed, Never, None, Some(5)), Fails);
        assert_eq!(of(Void, Believed, Freely, None, None), NotOurs);
        let dark = |journal, repeats, begun| {
            let trust = Trust { offset: None, ..trust(journal, Unchecked) };
            judge(&trust, repeats, Left { ended: false, begun, not_before: Some(5) })
        };
        use Verdict::Returns;
        assert_eq!((dark(Binds, Freely, Some(7)), dark(Hint, Freely, Some(7))), (Returns, Returns));
        assert_eq!((dark(Binds, Within, None), dark(Binds, Never, None)), (Returns, Returns));
        assert_eq!((dark(Binds, Within, Some(7)), dark(Binds, Never, Some(7))), (Fails, Fails));
        assert_eq!((dark(Hint, Within, None), dark(Hint, Never, None)), (Fails, Fails));
        let over = Left { ended: true, begun: None, not_before: None };
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
        let believed = trust(Faith::Binds, Clock::Believed);
        assert_eq!(time_left(&believed, 100, 0, 40, 30), 60, "as ever");
        assert_eq!(time_left(&believed, 100, 0, 140, 30), 0);
        let told = |offset| Trust { offset: Some(offset), ..trust(Faith::Binds, Clock::Unchecked) };
        // Its clock stands 1000 ahead, or behind; it is 60 by the others.
        assert_eq!(time_left(&told(1_000), 100, 50, 1_060, 500), 40);
        assert_eq!(time_left(&told(-40), 100, 50, 20, 500), 40);
        // A liar makes it no more than there was when the journal ended.
        assert_eq!(time_left(&told(1_000_000), 100, 50, 60, 500), 50);
        assert_eq!(time_left(&told(1_000_000), 1_000_000, 50, 60, 500), 500);
        let dark = Trust { offset: None, ..trust(Faith::Binds, Clock::Unchecked) };
        assert_eq!(time_left(&dark, 100, 50, 60, 500), 0);
    }
}
