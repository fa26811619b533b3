//! What senders believe of each other: wrong for too long (`View`), and deaths without a cause (`Accused`).
use super::{Invariant, MOST_KEPT, Verdict, Violation, seconds};
use crate::history::History;
use crate::observation::At;

/// Views must be right so long after the last thing that happened to the fleet ...
const SETTLE: At = 5_000_000;
/// ... and nobody may be held for dead later than this after it.
const GRACE: At = 4_000_000;

/// Adds to a verdict what a history of senders that know each other shows; `end` is when it ends.
pub fn look_at_views(history: &History, end: At, verdict: &mut Verdict) {
    let mut convict = |rule, at, what| {
        *verdict.counts.entry(rule).or_default() += 1;
        if verdict.breaks.len() < MOST_KEPT {
            verdict.breaks.push(Violation { rule, at, id: None, what, history: Vec::new() });
        }
    };
    for (at, by, of) in history.false_deaths(GRACE) {
        convict(
            Invariant::Accused,
            at,
            format!("sender {by} held sender {of} for dead, which ran, with nothing wrong"),
        );
    }
    let Some(last) = history.last_happening().filter(|last| last + SETTLE < end) else { return };
    match history.right_after(last, end) {
        Ok(took) if took <= SETTLE => {}
        Ok(took) => {
            let what =
                format!("views were right {} s after the last thing that happened to senders", seconds(took));
            convict(Invariant::View, last + took, what);
        }
        Err(wrong) => {
            for (by, of, status) in wrong {
                convict(
                    Invariant::View,
                    end,
                    format!("sender {by} holds sender {of} for {status:?} at the end"),
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
