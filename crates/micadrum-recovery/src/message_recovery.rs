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
use crate::journal_trust::{Clock, JournalTrust, Trust};
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
pub struct LeftoverMessage {
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
pub fn judge(trust: &Trust, repeats: Repeats, left: LeftoverMessage) -> Verdict {
    let believed = trust.clock == Clock::Believed;
    let earliest = || left.begun.into_iter().chain(left.not_before).min();
    match (trust.journal, repeats) {
        (JournalTrust::Void, _) => Verdict::NotOurs,
        _ if left.ended => Verdict::AsWritten,
        (JournalTrust::Binds | JournalTrust::Hint, Repeats::Freely) if !trust.tells_time() => {
            Verdict::Returns
        }
        (JournalTrust::Binds, _) if !trust.tells_time() && left.begun.is_none() => Verdict::Returns,
        (JournalTrust::Binds, _) if !trust.tells_time() => Verdict::Fails,
        (JournalTrust::Binds, Repeats::Within) if !believed && left.begun.is_some() => Verdict::Fails,
        (JournalTrust::Binds, _) => Verdict::AsWritten,
        (JournalTrust::Hint, Repeats::Never) => Verdict::Fails,
        (JournalTrust::Hint, Repeats::Freely) => Verdict::MayHaveRun(earliest().unwrap_or(0)),
        (JournalTrust::Hint, Repeats::Within) => match left.not_before {
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
mod tests;
