//! Effects that wait until the journal's records before them are durable: responses, calls, notifications.
use super::EventLoop;
use crate::daemon::durability::{
    DeferredEffects, GroupCommit, NextStep, REPLACEMENT_RETRY_DELAY, SyncResult,
};
use crate::daemon::events::{AttemptOutcome, LoopEvent, SubmitResponse};
use crate::daemon::notifications::Notification;
use crate::daemon::outbound_call::Call;
use crate::{MessageId, Outcome};
use micadrum_config::{Durability, OperatorConfig};
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An effect that a record has to precede.
pub(super) enum DeferredEffect {
    /// Accepts a message towards its client.
    Accept(oneshot::Sender<SubmitResponse>),
    /// Makes a call.
    Call(Call),
    /// Notifies the platform.
    Notification(Notification),
}

/// The group commit of the journal, and the effects that wait for it.
pub(super) struct DurableEffects {
    group_commit: GroupCommit,
    deferred: DeferredEffects<DeferredEffect>,
    /// How many files the journal had begun when the group commit last heard of one.
    journal_files: u64,
    /// The instant from which the group commit counts time.
    origin: Instant,
}

impl DurableEffects {
    /// Returns `None` where a record counts as soon as it is written.
    pub(super) fn new(operator: &OperatorConfig) -> Option<Self> {
        let Durability::Machine { delay } = operator.durability else { return None };
        let group_commit = GroupCommit::new(Duration::from_micros(delay.0));
        let deferred = DeferredEffects::default();
        Some(Self { group_commit, deferred, journal_files: 0, origin: Instant::now() })
    }

    /// Returns when the group commit has something to do.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.group_commit.next_step(self.origin.elapsed()) {
            NextStep::Wait(at) => at.map(|at| self.origin + at),
            NextStep::Sync | NextStep::ReplaceFile => Some(Instant::now()),
        }
    }

    /// Takes note that the journal has begun so many files in all.
    fn note_new_files(&mut self, files: u64) {
        self.journal_files = files;
        self.group_commit.file_replaced();
    }

    /// Returns the next effect whose records are durable.
    fn next_released(&mut self) -> Option<DeferredEffect> {
        self.deferred.pop_ready(self.group_commit.durable_sequence())
    }
}

impl EventLoop {
    /// Performs an effect once all records up to now are durable.
    pub(super) fn perform_when_durable(&mut self, effect: DeferredEffect) {
        match &mut self.durable_effects {
            Some(durable) => durable.deferred.push(self.messages.journal.last_sequence(), effect),
            None => self.perform(effect),
        }
    }

    /// Responds to a client. Only an acceptance is a promise, and waits for its record.
    pub(super) fn respond(&mut self, client: oneshot::Sender<SubmitResponse>, response: SubmitResponse) {
        match response {
            SubmitResponse::Accepted => self.perform_when_durable(DeferredEffect::Accept(client)),
            // A client that has gone submits again under a new ID.
            response => drop(client.send(response)),
        }
    }

    fn perform(&mut self, effect: DeferredEffect) {
        match effect {
            DeferredEffect::Accept(client) => drop(client.send(SubmitResponse::Accepted)),
            DeferredEffect::Call(call) => self.start_call(call),
            DeferredEffect::Notification(notification) => drop(self.notifications.send(notification)),
        }
    }

    /// Whether effects wait for their records.
    pub(super) fn has_deferred_effects(&self) -> bool {
        self.durable_effects.as_ref().is_some_and(|durable| !durable.deferred.is_empty())
    }

    /// Whether the journal's file is lost and has no replacement yet: nothing can be promised then.
    pub(super) fn is_journal_lost(&self) -> bool {
        self.durable_effects.as_ref().is_some_and(|durable| durable.group_commit.has_failed())
    }

    /// Takes in how a sync of one of the journal's files ended.
    pub(super) fn journal_synced(&mut self, file: u64, result: io::Result<()>) {
        if let Err(error) = &result {
            self.log(format_args!(
                "journal: sync failed, unsynced records count as unwritten and a new file is begun error={error}"
            ));
        }
        if let Some(durable) = &mut self.durable_effects {
            durable.group_commit.sync_ended(file, SyncResult::from(&result), durable.origin.elapsed());
        }
    }

    /// Syncs the journal if that is due, and performs the effects whose records are durable by now.
    pub(super) fn release_durable_effects(&mut self) {
        let Some(durable) = &mut self.durable_effects else { return };
        let journal = &mut self.messages.journal;
        let now = durable.origin.elapsed();
        durable.group_commit.records_written(journal.last_sequence(), now);
        if durable.journal_files != journal.compactions() {
            durable.note_new_files(journal.compactions());
        }
        match durable.group_commit.next_step(now) {
            NextStep::Wait(_) => {}
            NextStep::Sync => self.begin_sync(),
            NextStep::ReplaceFile => self.replace_lost_journal(now),
        }
        while let Some(effect) = self.durable_effects.as_mut().and_then(DurableEffects::next_released) {
            match effect {
                DeferredEffect::Call(call) => self.start_deferred_call(call),
                effect => self.perform(effect),
            }
        }
    }

    fn begin_sync(&mut self) {
        let Some(durable) = &mut self.durable_effects else { return };
        let (file, sync) = (durable.group_commit.sync_started(), self.messages.journal.sync());
        let events = self.events.clone();
        self.tasks.spawn_local(async move {
            let _ = events.send(LoopEvent::JournalSynced { file, result: sync.await });
        });
    }

    /// Begins a new journal file at `now`, as the group commit counts time, or tries again later.
    fn replace_lost_journal(&mut self, now: Duration) {
        let rewritten = self.messages.journal.rewrite();
        let Some(durable) = &mut self.durable_effects else { return };
        match rewritten {
            Ok(()) => durable.note_new_files(self.messages.journal.compactions()),
            Err(error) => {
                durable.group_commit.replacement_failed(now + REPLACEMENT_RETRY_DELAY);
                self.log(format_args!(
                    "journal: no new file, new messages are rejected until there is one error={error}"
                ));
            }
        }
    }

    /// Makes a call that waited for its records, unless what it was decided on has changed meanwhile.
    fn start_deferred_call(&mut self, call: Call) {
        let now = self.clock.now();
        let is_allowed = call
            .messages
            .iter()
            .all(|message| self.engine.is_call_still_allowed(now, MessageId(message.number), call.endpoint));
        let tracked = self.endpoints.get(call.endpoint);
        let is_reachable = tracked.is_some_and(|tracked| tracked.listed.address == call.address);
        if is_allowed && is_reachable && Instant::now() < call.expires {
            self.start_call(call);
            return;
        }
        self.calls.remove(call.number);
        let deferred =
            |message: u32| AttemptOutcome { message, outcome: Outcome::Deferred, completes: false };
        let outcomes = call.messages.iter().map(|message| deferred(message.number)).collect();
        self.record_outcomes(now, now, outcomes, None);
    }
}
