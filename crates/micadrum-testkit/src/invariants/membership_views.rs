//! Checks [`Invariant::WrongView`] and [`Invariant::FalseDeath`].
use super::{Invariant, Verdict, Violation, seconds};
use crate::history::{FalseDeath, History, WrongView};
use crate::observation::Micros;

/// Views must be right this long after the last change of the fleet, in microseconds.
const MAX_CONVERGENCE_MICROS: Micros = 5_000_000;
/// No sender may be declared dead later than this after the last change of the fleet, in microseconds.
const MAX_DETECTION_MICROS: Micros = 4_000_000;

/// Checks the history of a membership, which ends at `end`, and adds the violations to the verdict.
pub fn look_at_views(history: &History, end: Micros, verdict: &mut Verdict) {
    let mut report = |rule, at, what| {
        verdict.add(Violation { rule, at, id: None, what, history: Vec::new() });
    };
    for FalseDeath { at, observer, subject } in history.false_deaths(MAX_DETECTION_MICROS) {
        let what = format!("sender {observer} held sender {subject} for dead, which ran, with nothing wrong");
        report(Invariant::FalseDeath, at, what);
    }
    let Some(last_change) = history.last_happening() else { return };
    if last_change + MAX_CONVERGENCE_MICROS >= end {
        return;
    }
    match history.right_after(last_change, end) {
        Ok(delay) if delay <= MAX_CONVERGENCE_MICROS => {}
        Ok(delay) => {
            let delay_text = seconds(delay);
            let what =
                format!("views were right {delay_text} s after the last thing that happened to senders");
            report(Invariant::WrongView, last_change + delay, what);
        }
        Err(wrong_views) => {
            for WrongView { observer, subject, status } in wrong_views {
                let what = format!("sender {observer} holds sender {subject} for {status:?} at the end");
                report(Invariant::WrongView, end, what);
            }
        }
    }
}

#[cfg(test)]
mod tests;
