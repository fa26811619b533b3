//! Recovery after a restart: which messages of the journal end at once, and which are sent in which phase.
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

/// Stands for a moment that nobody knows any more: every window since then is over.
const LONG_AGO: u64 = 0;
/// Stands for a zone that the settings no longer name.
const UNKNOWN_ZONE: ZoneId = ZoneId(usize::MAX);

/// How far the recovery has come.
pub(super) struct RecoveryProgress {
    pub(super) status: RecoveryStatus,
    pub(super) time_marker: TimeMarker,
    /// The latest moment that the journal mentioned when it was opened, in microseconds of wall time.
    last_journal_time: u64,
    /// Recovered messages that must not be sent yet, by deadline (in microseconds of wall time) and number.
    held_messages: BTreeMap<(u64, u32), RecoveredMessage>,
}

impl RecoveryProgress {
    /// The beginning of a recovery from a journal that mentions no later moment than `last_journal_time`.
    pub(super) fn new(status: RecoveryStatus, last_journal_time: u64) -> Self {
        Self { status, time_marker: TimeMarker::default(), last_journal_time, held_messages: BTreeMap::new() }
    }

    /// Returns the earliest deadline among the messages that are held.
    fn first_deadline(&self) -> Option<Timestamp> {
        self.held_messages.first_key_value().map(|((deadline, _), _)| Timestamp(*deadline))
    }

    fn is_finished(&self) -> bool {
        self.status.is_at_full_service() && self.held_messages.is_empty()
    }
}

impl EventLoop {
    /// Returns whether a message of that class may be sent twice.
    pub(super) fn repeats(&self, class: ClassId) -> Redelivery {
        match self.configuration.settings.classes[class.0].idempotency {
            Idempotency::Idempotent => Redelivery::Harmless,
            Idempotency::WithKey { .. } => Redelivery::HarmlessWithinWindow,
            Idempotency::NonIdempotent => Redelivery::Harmful,
        }
    }

    /// Takes over all messages that the journal holds from an earlier process.
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

    /// Takes over one message: ends it at once, or hands it to the engine.
    fn recover_message(&mut self, number: u32, mut pending: PendingMessage) {
        self.messages.register(pending.message.id.clone(), number);
        let class = self.recovered_class(&pending);
        let verdict =
            class.as_ref().ok().and_then(|class| self.judge_recovered(number, *class, &mut pending));
        if let Some(outcome) = verdict {
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
            // The process ended during the call: nobody knows how far the call had come.
            let recorded = self.messages.journal.end_attempt(number, AttemptEffect::Uncertain);
            self.check_recorded(recorded);
        }
        let recovered = self.recovered_message(message, &pending);
        self.hand_over_recovered(recovered);
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

    /// Corrects what the journal says of a message as far as that cannot be trusted. Returns an outcome if
    /// the message has to end at once.
    fn judge_recovered(
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
        match self.recovery.status.assess_message(self.repeats(class), journaled) {
            RecoveryAction::Unchanged => {}
            RecoveryAction::Uncertain(at) => {
                let zone = first_attempt.map(|attempt| attempt.zone).unwrap_or_default();
                self.record_uncertain_attempt(number, Attempt { started_at: at, zone }, pending);
            }
            RecoveryAction::Return => return Some(FinalOutcome::Returned(None)),
            // The journal of another sender is set aside before it is read here.
            RecoveryAction::Fail | RecoveryAction::Discard => return Some(FinalOutcome::Failed),
        }
        self.reset_deadline(number, class, pending);
        if self.doubts_journal_times() {
            self.assume_cautious_times(number, class, pending);
        }
        None
    }

    /// Whether nobody knows how long ago the times in the journal are, and the recovery does not judge them.
    pub(super) fn doubts_journal_times(&self) -> bool {
        let is_judged_elsewhere = self.configuration.config.operator.recovery.is_some();
        self.clock.continuity() == ClockContinuity::Unknown && !is_judged_elsewhere
    }

    /// Takes the cautious side of each time of a message: its destination has forgotten the key, and it has no more time left
    /// than a new message of its class.
    fn assume_cautious_times(&mut self, number: u32, class: ClassId, pending: &mut PendingMessage) {
        if pending.final_outcome.is_some() {
            return;
        }
        let time_to_live = self.configuration.settings.classes[class.0].deadline.0;
        let latest_deadline = self.clock.now().0.saturating_add(time_to_live);
        if pending.deadline > latest_deadline {
            pending.deadline = latest_deadline;
            let recorded = self.messages.journal.set_deadline(number, latest_deadline);
            self.check_recorded(recorded);
        }
        let attempt = pending.first_uncertain_attempt.as_ref().or(pending.active_attempt.as_ref()).cloned();
        if let Some(attempt) = attempt.filter(|_| self.repeats(class) == Redelivery::HarmlessWithinWindow) {
            self.record_uncertain_attempt(number, Attempt { started_at: LONG_AGO, ..attempt }, pending);
        }
    }

    /// Continues the journal's times with those of this process, once all messages have times of this process.
    pub(super) fn adopt_journal_times(&mut self) {
        if self.doubts_journal_times() {
            self.messages.journal.reset_clock(self.clock.now().0);
            self.rewrite_on_new_clock();
        }
        if let Some(anchor) = self.clock.new_anchor() {
            let recorded = self.messages.journal.anchor_clock(anchor);
            self.check_recorded(recorded);
        }
    }

    fn rewrite_on_new_clock(&mut self) {
        if let Err(error) = self.messages.journal.rewrite() {
            self.log(format_args!(
                "journal: not rewritten on the new clock, IDs of completed messages may be forgotten early \
                 error={error}"
            ));
        }
    }

    /// Records that a message may have run: a successor on this boot of the machine trusts the journal to be
    /// complete.
    fn record_uncertain_attempt(&mut self, number: u32, attempt: Attempt, pending: &mut PendingMessage) {
        pending.attempts_started = pending.attempts_started.max(1);
        (pending.first_uncertain_attempt, pending.active_attempt) = (Some(attempt.clone()), None);
        let recorded = self.messages.journal.set_uncertain_attempt(number, attempt);
        self.check_recorded(recorded);
    }

    /// Puts a recovered deadline on the present clock, once and for all: a successor on this boot of the
    /// machine trusts its clock.
    fn reset_deadline(&mut self, number: u32, class: ClassId, pending: &mut PendingMessage) {
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
        self.check_recorded(recorded);
    }

    /// Writes down who continues the journal, once all that follows from its state stands in it: a process
    /// that ends before finds the journal in that state again.
    pub(super) fn stamp_journal(&mut self, stamp: Option<JournalStamp>) {
        let Some(stamp) = stamp else { return };
        if !self.recovery.status.trusts_clock() {
            self.messages.journal.reset_clock(self.clock.now().0);
            self.rewrite_on_new_clock();
        }
        let recorded = self.messages.journal.stamp(stamp);
        self.check_recorded(recorded);
        // The stamp is durable whatever the other records are: a state folder that a loss of power emptied is
        // told from a new one.
        if let Err(error) = self.messages.journal.enable_durability() {
            self.log(format_args!(
                "journal: stamp is not durable, after a loss of power this may look like a first start error={error}"
            ));
        }
    }

    /// Hands a recovered message to the engine if recovered messages are sent in this phase, or if its end
    /// needs no call.
    fn hand_over_recovered(&mut self, recovered: RecoveredMessage) {
        let needs_no_call = recovered.ended || recovered.message.time_to_live == TimeDelta(0);
        if needs_no_call || self.sends_recovered() {
            self.queue.push(self.clock.now(), Event::Recovered(recovered));
        } else {
            let deadline = self.clock.now().0 + recovered.message.time_to_live.0;
            self.recovery.held_messages.insert((deadline, recovered.message.id.0), recovered);
        }
    }

    fn sends_recovered(&self) -> bool {
        self.recovery.status.sends_backlog() || self.lifecycle.is_shutting_down()
    }

    /// Returns when the recovery proceeds by time alone: at the end of a phase, or at the deadline of a held
    /// message.
    pub(super) fn recovery_due(&self) -> Option<Instant> {
        let first_deadline = self.recovery.first_deadline().map(|deadline| self.clock.instant(deadline));
        self.recovery.status.due().into_iter().chain(first_deadline).min()
    }

    /// Proceeds with the recovery if its phase has changed, or the deadline of a held message has passed.
    pub(super) fn advance_recovery(&mut self) {
        if self.recovery.is_finished() {
            return;
        }
        let has_moved = self.recovery.status.handle(Input::Backlog(self.messages.len()));
        self.release_held_messages();
        if has_moved && self.recovery.status.admits_messages() && !self.lifecycle.is_shutting_down() {
            self.lifecycle.listener.set(ListenerState::Accepting);
        }
    }

    /// Hands held messages to the engine in the order in which they were accepted: all of them if their phase
    /// has come, or else those whose deadline has passed.
    fn release_held_messages(&mut self) {
        let now = self.clock.now();
        let still_held = match self.sends_recovered() {
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
