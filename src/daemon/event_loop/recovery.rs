//! Recovery of the journal's messages after a restart: which ones end immediately, and in which phase the
//! others are sent.
use super::EventLoop;
use super::configuration::recovered_class;
use crate::daemon::clock::ClockContinuity;
use crate::daemon::events::{InvalidMessage, ListenerState};
use crate::daemon::journal::{Attempt, AttemptEffect, FinalOutcome, PendingMessage};
use crate::daemon::notifications::Notification;
use crate::daemon::recovery::{RecoveryStatus, TimeMarker};
use crate::{ClassId, Event, Idempotency, Message, RecoveredMessage, TimeDelta, Timestamp, ZoneId};
use micadrum_recovery::JournalStamp;
use micadrum_recovery::message_recovery::{JournaledMessage, MessageTimes, RecoveryAction, Redelivery};
use micadrum_recovery::phases::Input;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The start of an attempt at an unknown time, in microseconds: every deduplication window since then has
/// expired.
const UNKNOWN_START: u64 = 0;
/// Placeholder for a zone that is no longer in the settings.
const UNKNOWN_ZONE: ZoneId = ZoneId(usize::MAX);

/// The progress of the recovery, and the messages that wait for its next phase.
pub(super) struct RecoveryProgress {
    pub(super) status: RecoveryStatus,
    pub(super) time_marker: TimeMarker,
    /// The latest time in the journal when it was opened, in microseconds of wall time.
    last_journal_time: u64,
    /// Recovered messages that must not be sent yet, by deadline (in microseconds of wall time) and number.
    held_messages: BTreeMap<(u64, u32), RecoveredMessage>,
}

impl RecoveryProgress {
    /// Creates the state of a recovery that starts. `last_journal_time` is the latest time in the journal, in
    /// microseconds of wall time.
    pub(super) fn new(status: RecoveryStatus, last_journal_time: u64) -> Self {
        Self { status, time_marker: TimeMarker::default(), last_journal_time, held_messages: BTreeMap::new() }
    }

    /// Returns the recovered messages that must not be sent yet.
    pub(super) fn held_messages(&self) -> impl Iterator<Item = &Message> {
        self.held_messages.values().map(|recovered| &recovered.message)
    }

    /// Returns the earliest deadline of the held messages.
    fn first_deadline(&self) -> Option<Timestamp> {
        self.held_messages.first_key_value().map(|((deadline, _), _)| Timestamp(*deadline))
    }

    fn is_finished(&self) -> bool {
        self.status.is_at_full_service() && self.held_messages.is_empty()
    }
}

impl EventLoop {
    /// Returns the effect of delivering a message of the class twice.
    pub(super) fn redelivery(&self, class: ClassId) -> Redelivery {
        match self.configuration.settings.classes[class.0].idempotency {
            Idempotency::Idempotent => Redelivery::Harmless,
            Idempotency::WithKey { .. } => Redelivery::HarmlessWithinWindow,
            Idempotency::NonIdempotent => Redelivery::Harmful,
        }
    }

    /// Recovers all messages that earlier processes left in the journal.
    pub(super) fn recover_messages(&mut self) {
        let recovered: Vec<(u32, PendingMessage)> =
            self.messages.journal.pending().map(|(number, pending)| (number, pending.clone())).collect();
        if !recovered.is_empty() {
            let count = |is_counted: fn(&PendingMessage) -> bool| {
                recovered.iter().filter(|(_, pending)| is_counted(pending)).count()
            };
            let untried = count(|pending| pending.final_outcome.is_none() && pending.attempts_started == 0);
            let ended = count(|pending| pending.final_outcome.is_some());
            self.log(format_args!(
                "recovery: resuming messages={} untried={untried} ended_unacknowledged={ended}",
                recovered.len()
            ));
        }
        for (number, pending) in recovered {
            self.recover_message(number, pending);
        }
    }

    /// Recovers one message: ends it immediately, or passes it to the engine.
    fn recover_message(&mut self, number: u32, mut pending: PendingMessage) {
        self.messages.register(pending.message.id.clone(), number);
        let class = self.recovered_class(&pending);
        let immediate_outcome =
            class.as_ref().ok().and_then(|class| self.assess_recovered(number, *class, &mut pending));
        if let Some(outcome) = immediate_outcome {
            self.finish_message(number, outcome);
            return;
        }
        let message = match class.and_then(|class| self.engine_message(number, class, &pending)) {
            Ok(message) => message,
            Err(invalid) => {
                self.log(format_args!("recovery: message failed id={} error={invalid}", pending.message.id));
                self.finish_message(number, pending.final_outcome.unwrap_or(FinalOutcome::Failed));
                return;
            }
        };
        if pending.active_attempt.is_some() {
            // The process ended during the call, so it is unknown whether the message was delivered.
            let recorded = self.messages.journal.end_attempt(number, AttemptEffect::Uncertain);
            self.log_journal_errors(recorded);
        }
        let recovered = self.recovered_message(message, &pending);
        self.enqueue_or_hold(recovered);
        if let Some(end) = pending.final_outcome {
            self.messages.register_unacknowledged();
            let _ = self.notifications.send(Notification { number, id: pending.message.id, outcome: end });
        }
    }

    fn recovered_class(&self, pending: &PendingMessage) -> Result<ClassId, InvalidMessage> {
        let recovered = recovered_class(&pending.message);
        let class_id = self.configuration.classes.recovered(&recovered);
        class_id.ok_or(InvalidMessage::UnknownClass(recovered.name))
    }

    fn recovered_message(&self, message: Message, pending: &PendingMessage) -> RecoveredMessage {
        let first_uncertain_attempt =
            pending.first_uncertain_attempt.as_ref().or(pending.active_attempt.as_ref()).map(|attempt| {
                let zone = self.configuration.names.zones.get(&attempt.zone).copied();
                (Timestamp(attempt.started_at), zone.unwrap_or(UNKNOWN_ZONE))
            });
        let (attempts, ended) = (pending.attempts_started, pending.final_outcome.is_some());
        RecoveredMessage { message, attempts, first_uncertain_attempt, ended }
    }

    /// Corrects the recorded state of a message where the journal cannot be trusted. Returns the outcome if
    /// the message has to end immediately.
    fn assess_recovered(
        &mut self,
        number: u32,
        class: ClassId,
        pending: &mut PendingMessage,
    ) -> Option<FinalOutcome> {
        let first_attempt =
            pending.first_uncertain_attempt.as_ref().or(pending.active_attempt.as_ref()).cloned();
        let journaled = JournaledMessage {
            is_completed: pending.final_outcome.is_some(),
            first_attempt_at: first_attempt.as_ref().map(|attempt| attempt.started_at),
            not_accepted_before: self.messages.journal.accepted_not_before(number),
        };
        match self.recovery.status.assess_message(self.redelivery(class), journaled) {
            RecoveryAction::Unchanged => {}
            RecoveryAction::Uncertain(at) => {
                let zone = first_attempt.map(|attempt| attempt.zone).unwrap_or_default();
                self.record_uncertain_attempt(number, Attempt { started_at: at, zone }, pending);
            }
            RecoveryAction::Return => return Some(FinalOutcome::Returned(None)),
            // `Discard` is not expected here: the journal of another sender is set aside when it is opened.
            RecoveryAction::Fail | RecoveryAction::Discard => return Some(FinalOutcome::Failed),
        }
        self.convert_deadline(number, class, pending);
        if self.has_unknown_journal_times() {
            self.assume_worst_case_times(number, class, pending);
        }
        None
    }

    /// Returns whether the age of the journal's times is unknown and no configured recovery assesses them.
    pub(super) fn has_unknown_journal_times(&self) -> bool {
        let is_assessed_by_recovery = self.configuration.config.operator.recovery.is_some();
        self.clock.continuity() == ClockContinuity::Unknown && !is_assessed_by_recovery
    }

    /// Assumes the worst case for the times of a message: its destination no longer knows its idempotency
    /// key, and it has no more time left than a new message of its class.
    fn assume_worst_case_times(&mut self, number: u32, class: ClassId, pending: &mut PendingMessage) {
        if pending.final_outcome.is_some() {
            return;
        }
        let time_to_live = self.configuration.settings.classes[class.0].deadline.0;
        let latest_deadline = self.clock.now().0.saturating_add(time_to_live);
        if pending.deadline > latest_deadline {
            pending.deadline = latest_deadline;
            let recorded = self.messages.journal.set_deadline(number, latest_deadline);
            self.log_journal_errors(recorded);
        }
        let attempt = pending.first_uncertain_attempt.as_ref().or(pending.active_attempt.as_ref()).cloned();
        if let Some(attempt) = attempt.filter(|_| self.redelivery(class) == Redelivery::HarmlessWithinWindow)
        {
            self.record_uncertain_attempt(number, Attempt { started_at: UNKNOWN_START, ..attempt }, pending);
        }
    }

    /// Continues the journal on the clock of this process. Runs after the times of all messages are on this
    /// clock.
    pub(super) fn continue_journal_clock(&mut self) {
        if self.has_unknown_journal_times() {
            self.messages.journal.reset_clock(self.clock.now().0);
            self.rewrite_on_new_clock();
        }
        if let Some(anchor) = self.clock.new_anchor() {
            let recorded = self.messages.journal.anchor_clock(anchor);
            self.log_journal_errors(recorded);
        }
    }

    fn rewrite_on_new_clock(&mut self) {
        if let Err(error) = self.messages.journal.rewrite() {
            self.log(format_args!(
                "journal: rewrite on the new clock failed, IDs of completed messages may expire early error={error}"
            ));
        }
    }

    /// Records that a message may have taken effect. The record is needed because later processes on this
    /// boot of the machine trust the journal to be complete.
    fn record_uncertain_attempt(&mut self, number: u32, attempt: Attempt, pending: &mut PendingMessage) {
        pending.attempts_started = pending.attempts_started.max(1);
        (pending.first_uncertain_attempt, pending.active_attempt) = (Some(attempt.clone()), None);
        let recorded = self.messages.journal.set_uncertain_attempt(number, attempt);
        self.log_journal_errors(recorded);
    }

    /// Converts a recovered deadline to the current clock, and records it. Later processes on this boot of
    /// the machine trust the clock and do not convert the deadline again.
    fn convert_deadline(&mut self, number: u32, class: ClassId, pending: &mut PendingMessage) {
        if self.recovery.status.trusts_clock() || pending.final_outcome.is_some() {
            return;
        }
        let now = self.clock.now().0;
        let times = MessageTimes {
            deadline: pending.deadline,
            latest_wall: self.recovery.last_journal_time,
            wall: now,
            time_to_live: self.configuration.settings.classes[class.0].deadline.0,
        };
        pending.deadline = now + self.recovery.status.time_left(times);
        let recorded = self.messages.journal.set_deadline(number, pending.deadline);
        self.log_journal_errors(recorded);
    }

    /// Records that this process continues the journal. Runs after all corrections are recorded: if the
    /// process ends earlier, the next one assesses the journal in the same state.
    pub(super) fn stamp_journal(&mut self, stamp: Option<JournalStamp>) {
        let Some(stamp) = stamp else { return };
        if !self.recovery.status.trusts_clock() {
            self.messages.journal.reset_clock(self.clock.now().0);
            self.rewrite_on_new_clock();
        }
        let recorded = self.messages.journal.stamp(stamp);
        self.log_journal_errors(recorded);
        // Makes the stamp durable regardless of the durability setting, so that a state folder emptied by a
        // power failure can be distinguished from a new one.
        if let Err(error) = self.messages.journal.enable_durability() {
            self.log(format_args!(
                "journal: sync of the stamp failed, the start after a power failure may look like a first start error={error}"
            ));
        }
    }

    /// Passes a recovered message to the engine if this phase sends recovered messages or if the message ends
    /// without a call. Holds it otherwise.
    fn enqueue_or_hold(&mut self, recovered: RecoveredMessage) {
        let needs_no_call = recovered.ended || recovered.message.time_to_live == TimeDelta(0);
        if needs_no_call || self.can_send_recovered() {
            self.queue.push(self.clock.now(), Event::Recovered(recovered));
        } else {
            let deadline = self.clock.now().0 + recovered.message.time_to_live.0;
            self.recovery.held_messages.insert((deadline, recovered.message.id.0), recovered);
        }
    }

    fn can_send_recovered(&self) -> bool {
        self.recovery.status.sends_backlog() || self.lifecycle.is_shutting_down()
    }

    /// Returns when the recovery has work without another event: at the end of a phase, or at the deadline of
    /// a held message.
    pub(super) fn recovery_due(&self) -> Option<Instant> {
        let first_deadline = self.recovery.first_deadline().map(|deadline| self.clock.instant(deadline));
        self.recovery.status.due().into_iter().chain(first_deadline).min()
    }

    /// Advances the phase of the recovery, and releases held messages whose phase or deadline has come.
    pub(super) fn advance_recovery(&mut self) {
        if self.recovery.is_finished() {
            return;
        }
        let has_phase_changed = self.recovery.status.handle(Input::Backlog(self.messages.len()));
        self.release_held_messages();
        if has_phase_changed && self.recovery.status.admits_messages() && !self.lifecycle.is_shutting_down() {
            self.lifecycle.listener.set(ListenerState::Accepting);
        }
    }

    /// Passes held messages to the engine in the order in which they were accepted: all of them if this phase
    /// sends recovered messages, otherwise those whose deadline has passed.
    fn release_held_messages(&mut self) {
        let now = self.clock.now();
        let still_held = match self.can_send_recovered() {
            true => BTreeMap::new(),
            false => self.recovery.held_messages.split_off(&(now.0 + 1, 0)),
        };
        let released = std::mem::replace(&mut self.recovery.held_messages, still_held);
        let mut released: Vec<((u64, u32), RecoveredMessage)> = released.into_iter().collect();
        released.sort_by_key(|((_, number), _)| *number);
        for ((deadline, _), mut recovered) in released {
            recovered.message.time_to_live = TimeDelta(deadline.saturating_sub(now.0));
            self.queue.push(now, Event::Recovered(recovered));
        }
    }
}
