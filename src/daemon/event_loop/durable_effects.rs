//! Effects that are deferred until the preceding journal records are durable: responses, calls and
//! notifications.
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

/// An effect that requires a durable record in the journal.
pub(super) enum DeferredEffect {
    /// Responds to a client that its message is accepted.
    Accept(oneshot::Sender<SubmitResponse>),
    /// Sends a call to its endpoint.
    Call(Call),
    /// Notifies the platform of an outcome.
    Notification(Notification),
}

/// The group commit of the journal, and the effects that wait for it.
pub(super) struct DurableEffects {
    group_commit: GroupCommit,
    deferred: DeferredEffects<DeferredEffect>,
    /// The number of journal rewrites that the group commit knows of.
    known_rewrites: u64,
    /// The instant at which the group commit's time is zero.
    origin: Instant,
}

impl DurableEffects {
    /// Returns `None` if records count as durable as soon as they are written.
    pub(super) fn new(operator: &OperatorConfig) -> Option<Self> {
        let Durability::Machine { delay } = operator.durability else { return None };
        let group_commit = GroupCommit::new(Duration::from_micros(delay.0));
        let deferred = DeferredEffects::default();
        Some(Self { group_commit, deferred, known_rewrites: 0, origin: Instant::now() })
    }

    /// Returns when the next step of the group commit is due.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.group_commit.next_step(self.origin.elapsed()) {
            NextStep::Wait(at) => at.map(|at| self.origin + at),
            NextStep::Sync | NextStep::ReplaceFile => Some(Instant::now()),
        }
    }

    /// Informs the group commit that the journal was rewritten, `rewrites` times in total.
    fn record_rewrites(&mut self, rewrites: u64) {
        self.known_rewrites = rewrites;
        self.group_commit.file_replaced();
    }

    /// Removes and returns the next effect whose records are durable.
    fn pop_durable(&mut self) -> Option<DeferredEffect> {
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

    /// Responds to a client. An acceptance is deferred until its record is durable; other responses are sent
    /// immediately.
    pub(super) fn respond(&mut self, client: oneshot::Sender<SubmitResponse>, response: SubmitResponse) {
        match response {
            SubmitResponse::Accepted => self.perform_when_durable(DeferredEffect::Accept(client)),
            // Sending fails if the client has disconnected; it then submits again under a new ID.
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

    /// Returns whether effects are deferred.
    pub(super) fn has_deferred_effects(&self) -> bool {
        self.durable_effects.as_ref().is_some_and(|durable| !durable.deferred.is_empty())
    }

    /// Returns whether the journal's file has failed and is not replaced yet, so that no message can be
    /// accepted.
    pub(super) fn is_journal_lost(&self) -> bool {
        self.durable_effects.as_ref().is_some_and(|durable| durable.group_commit.has_failed())
    }

    /// Processes the result of a sync of one of the journal's files.
    pub(super) fn complete_sync(&mut self, file: u64, result: io::Result<()>) {
        if let Err(error) = &result {
            self.log(format_args!(
                "journal: sync failed, unsynced records count as unwritten until a new file replaces this one error={error}"
            ));
        }
        if let Some(durable) = &mut self.durable_effects {
            durable.group_commit.sync_ended(file, SyncResult::from(&result), durable.origin.elapsed());
        }
    }

    /// Starts a sync of the journal if one is due, and performs the effects whose records are durable.
    pub(super) fn release_durable_effects(&mut self) {
        let Some(durable) = &mut self.durable_effects else { return };
        let journal = &mut self.messages.journal;
        let now = durable.origin.elapsed();
        durable.group_commit.records_written(journal.last_sequence(), now);
        if durable.known_rewrites != journal.compactions() {
            durable.record_rewrites(journal.compactions());
        }
        match durable.group_commit.next_step(now) {
            NextStep::Wait(_) => {}
            NextStep::Sync => self.begin_sync(),
            NextStep::ReplaceFile => self.replace_lost_journal(now),
        }
        while let Some(effect) = self.durable_effects.as_mut().and_then(DurableEffects::pop_durable) {
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

    /// Replaces the journal's failed file, or schedules another attempt. `now` is in the group commit's time.
    fn replace_lost_journal(&mut self, now: Duration) {
        let rewritten = self.messages.journal.rewrite();
        let Some(durable) = &mut self.durable_effects else { return };
        match rewritten {
            Ok(()) => durable.record_rewrites(self.messages.journal.compactions()),
            Err(error) => {
                durable.group_commit.replacement_failed(now + REPLACEMENT_RETRY_DELAY);
                self.log(format_args!(
                    "journal: replacing the file failed, new messages are rejected until it succeeds error={error}"
                ));
            }
        }
    }

    /// Starts a deferred call. If it has expired, its endpoint has another address or the engine no longer
    /// allows it, ends its attempts as deferred.
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
