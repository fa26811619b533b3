//! What happens to a pending message of before the start, by the trust in journal and clock.
//!
//! | journal | clock | idempotent | idempotent within a window | not idempotent |
//! | --- | --- | --- | --- | --- |
//! | complete | trusted | unchanged | unchanged | unchanged |
//! | complete | not trusted, time known from peers | unchanged | attempted: fails; else unchanged | unchanged |
//! | complete | not trusted, time unknown | returned | attempted: fails; else returned | attempted: fails; else returned |
//! | incomplete | trusted | uncertain since its acceptance | uncertain since its acceptance | fails |
//! | incomplete | not trusted, time known from peers | uncertain since its acceptance | fails | fails |
//! | incomplete | not trusted, time unknown | returned | fails | fails |
//! | foreign | any | discarded | discarded | discarded |
//!
//! "Fails" is the final outcome that promises nothing; "returned" is the one after which a client may safely submit again.
//! Where the time is unknown, both happen immediately: nobody knows how long the machine was down, and an outcome after a
//! message's deadline is useless. A completed message keeps its outcome: only its notification is pending.
use crate::journal_trust::{ClockTrust, JournalTrust, Trust};
use std::time::Duration;

/// The effect of delivering a message twice: the decision core's idempotency, without the scope of deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redelivery {
    /// A second delivery has no effect.
    Harmless,
    /// A second delivery has no effect within a window after the first one; the decision core tracks that window.
    HarmlessWithinWindow,
    /// A second delivery has a second effect.
    Harmful,
}

/// What the journal has of a message. Times are wall times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournaledMessage {
    /// The message is completed, and only its notification is pending.
    pub is_completed: bool,
    /// When the first attempt began that may have been delivered.
    pub first_attempt_at: Option<u64>,
    /// A time before which the message was not accepted.
    pub not_accepted_before: Option<u64>,
}

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// The message is kept as the journal has it.
    Unchanged,
    /// The message may have been delivered, first at this wall time in microseconds.
    Uncertain(u64),
    /// The message fails immediately.
    Fail,
    /// The message is returned to its client immediately.
    Return,
    /// The message belongs to another sender.
    Discard,
}

/// Decides what happens to a message.
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
    let is_window_unknown = trust.clock != ClockTrust::Trusted && was_attempted;
    match redelivery {
        Redelivery::HarmlessWithinWindow if is_window_unknown => RecoveryAction::Fail,
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
        // An attempt before the first known one may be among the missing records, so only the acceptance bounds it.
        Redelivery::HarmlessWithinWindow
            if trust.clock == ClockTrust::Trusted && message.not_accepted_before.is_some() =>
        {
            uncertain
        }
        Redelivery::HarmlessWithinWindow | Redelivery::Harmful => RecoveryAction::Fail,
    }
}

/// Returns how much longer new messages of a class are rejected because the ids of completed messages may be missing: a
/// message submitted again cannot be told from a new one then.
///
/// `hold` is how long after the start the operators want such messages to be rejected; `elapsed` is the time since the
/// start.
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

/// The times that bound what is left to a message of before the start, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageTimes {
    /// The deadline, by the clock under which the journal was written.
    pub deadline: u64,
    /// The latest wall time in the journal.
    pub latest_wall: u64,
    /// The current wall clock.
    pub wall: u64,
    /// The time to live of the message's class.
    pub time_to_live: u64,
}

/// Returns the time left to a message of before the start, in microseconds.
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
