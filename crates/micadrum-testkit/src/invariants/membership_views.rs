//! Checks [`Invariant::WrongView`] and [`Invariant::FalseDeath`].
use super::{Invariant, Verdict, Violation, seconds};
use crate::history::{FalseDeath, History, WrongView};
use crate::observation::Micros;

/// Maximum time from the last change of the fleet until all views are correct, in microseconds.
const MAX_CONVERGENCE_MICROS: Micros = 5_000_000;
/// Time after the last change of the fleet during which a sender may still be declared dead, in microseconds.
const MAX_DETECTION_MICROS: Micros = 4_000_000;

/// Checks the membership views in a history that ends at `end`, and adds the violations to the verdict.
pub fn check_membership_views(history: &History, end: Micros, verdict: &mut Verdict) {
    let mut report = |invariant, at, description| {
        verdict.add(Violation { invariant, at, id: None, description, history: Vec::new() });
    };
    for FalseDeath { at, observer, subject } in history.false_deaths(MAX_DETECTION_MICROS) {
        let description = format!(
            "sender {observer} declared sender {subject} dead while it was running and no fault was active"
        );
        report(Invariant::FalseDeath, at, description);
    }
    let Some(last_change) = history.last_change_or_recovery() else { return };
    if last_change + MAX_CONVERGENCE_MICROS >= end {
        return;
    }
    match history.convergence_time(last_change, end) {
        Ok(delay) if delay <= MAX_CONVERGENCE_MICROS => {}
        Ok(delay) => {
            let delay_text = seconds(delay);
            let description =
                format!("views were not correct until {delay_text} s after the last change of the fleet");
            report(Invariant::WrongView, last_change + delay, description);
        }
        Err(wrong_views) => {
            for WrongView { observer, subject, status } in wrong_views {
                let description =
                    format!("sender {observer} has sender {subject} as {status:?} at the end of the run");
                report(Invariant::WrongView, end, description);
            }
        }
    }
}

#[cfg(test)]
mod tests;
