//! What happens to a pending message from before the restart, depending on the trust in the journal and the
//! clock.
//!
//! | journal | clock | idempotent | idempotent within a window | not idempotent |
//! | --- | --- | --- | --- | --- |
//! | complete | trusted | unchanged | unchanged | unchanged |
//! | complete | offset known | unchanged | attempted: fails; else unchanged | unchanged |
//! | complete | unknown | returned | attempted: fails; else returned | attempted: fails; else returned |
//! | incomplete | trusted | uncertain | uncertain if its acceptance time is bounded; else fails | fails |
//! | incomplete | offset known | uncertain | fails | fails |
//! | incomplete | unknown | returned | fails | fails |
//! | foreign | any | discarded | discarded | discarded |
//!
//! "Offset known" means that the clock is not trusted, but peers reported its offset; "unknown", that they
//! did not. A message that fails may have been delivered; a returned one was not delivered or is idempotent,
//! so its client can submit it again safely. "Uncertain" means that it may have been delivered at any time
//! since it was accepted. If the time is unknown, a message fails or is returned immediately: the downtime is
//! unknown too, and its deadline may have passed. A completed message keeps its outcome, as only its
//! notification is pending.
use crate::journal_trust::{ClockTrust, JournalTrust, Trust};
use std::time::Duration;

/// The effect of delivering a message twice. It mirrors the idempotency of the decision core, without the
/// deduplication scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redelivery {
    /// A second delivery has no effect.
    Harmless,
    /// A second delivery has no effect within a window after the first one. The decision core tracks the
    /// window.
    HarmlessWithinWindow,
    /// A second delivery repeats the effect.
    Harmful,
}

/// The state of a message in the journal. Times are wall times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournaledMessage {
    /// Whether the message is completed, so that only its notification is pending.
    pub is_completed: bool,
    /// The start of the first attempt that may have delivered the message; `None` if the journal has none.
    pub first_attempt_at: Option<u64>,
    /// A lower bound on the time at which the message was accepted; `None` if unknown.
    pub not_accepted_before: Option<u64>,
}

/// The action that recovery takes on a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// The message keeps its state in the journal.
    Unchanged,
    /// The message may have been delivered. Holds the earliest wall time at which that can have happened, in
    /// microseconds.
    Uncertain(u64),
    /// The message fails immediately.
    Fail,
    /// The message is returned to its client immediately.
    Return,
    /// The message is discarded because it belongs to another sender.
    Discard,
}

/// Returns the action to take on a message. See the table in the module documentation.
#[must_use]
pub fn assess_message(trust: &Trust, redelivery: Redelivery, message: JournaledMessage) -> RecoveryAction {
    match trust.journal {
        JournalTrust::Foreign => RecoveryAction::Discard,
        _ if message.is_completed => RecoveryAction::Unchanged,
        JournalTrust::Complete => assess_in_complete_journal(trust, redelivery, message),
        JournalTrust::Incomplete => assess_in_incomplete_journal(trust, redelivery, message),
    }
}

fn assess_in_complete_journal(
    trust: &Trust,
    redelivery: Redelivery,
    message: JournaledMessage,
) -> RecoveryAction {
    let was_attempted = message.first_attempt_at.is_some();
    if !trust.knows_time() {
        return match redelivery {
            Redelivery::Harmless => RecoveryAction::Return,
            _ if was_attempted => RecoveryAction::Fail,
            _ => RecoveryAction::Return,
        };
    }
    let is_within_window_unknown = trust.clock != ClockTrust::Trusted && was_attempted;
    match redelivery {
        Redelivery::HarmlessWithinWindow if is_within_window_unknown => RecoveryAction::Fail,
        _ => RecoveryAction::Unchanged,
    }
}

fn assess_in_incomplete_journal(
    trust: &Trust,
    redelivery: Redelivery,
    message: JournaledMessage,
) -> RecoveryAction {
    let earliest = message.first_attempt_at.into_iter().chain(message.not_accepted_before).min();
    let uncertain = RecoveryAction::Uncertain(earliest.unwrap_or(0));
    match redelivery {
        Redelivery::Harmless if !trust.knows_time() => RecoveryAction::Return,
        Redelivery::Harmless => uncertain,
        // The record of an earlier attempt may be missing, so only the time of acceptance is a lower bound.
        Redelivery::HarmlessWithinWindow
            if trust.clock == ClockTrust::Trusted && message.not_accepted_before.is_some() =>
        {
            uncertain
        }
        Redelivery::HarmlessWithinWindow | Redelivery::Harmful => RecoveryAction::Fail,
    }
}

/// Returns how much longer new messages of a class are rejected, or `None` if they are admitted. Messages are
/// rejected while ids of completed messages may be missing, because a resubmitted message cannot be
/// distinguished from a new one.
///
/// `hold` is the configured duration of the rejection, counted from startup; `elapsed` is the time since
/// startup.
#[must_use]
pub fn rejection_time_left(
    trust: &Trust,
    redelivery: Redelivery,
    hold: Duration,
    elapsed: Duration,
) -> Option<Duration> {
    let is_at_risk = redelivery != Redelivery::Harmless && !trust.has_all_completed_ids();
    is_at_risk.then(|| hold.saturating_sub(elapsed)).filter(|remaining| *remaining > Duration::ZERO)
}

/// The times that limit the time left to a message from before the restart, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageTimes {
    /// The deadline of the message, on the clock with which the journal was written.
    pub deadline: u64,
    /// The latest wall time in the journal.
    pub latest_wall: u64,
    /// The current wall time.
    pub wall: u64,
    /// The time to live of the message's class.
    pub time_to_live: u64,
}

/// Returns the time left to a message from before the restart, in microseconds; 0 if the current time is
/// unknown.
#[must_use]
pub fn time_left(trust: &Trust, times: MessageTimes) -> u64 {
    let MessageTimes { deadline, latest_wall, wall, time_to_live } = times;
    let now = trust.journal_time(wall).unwrap_or(u64::MAX);
    if trust.clock == ClockTrust::Trusted {
        return deadline.saturating_sub(now);
    }
    deadline.saturating_sub(now.max(latest_wall)).min(time_to_live)
}

#[cfg(test)]
mod tests;
