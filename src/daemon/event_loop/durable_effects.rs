//! What goes out only once the records before it outlast the machine: answers, calls, notices.
use super::EventLoop;
use crate::daemon::durability::{
    DeferredEffects, GroupCommit, NextStep, REPLACEMENT_RETRY_DELAY, SyncResult,
};
use crate::daemon::events::{LoopEvent, SubmitResponse};
use crate::daemon::notifications::Notification;
use crate::daemon::outbound_call::Call;
use crate::{MessageId, Outcome};
use micadrum_config::{Durability, OperatorConfig};
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Something that a record must stand before.
pub(super) enum DeferredEffect {
    Answer(oneshot::Sender<SubmitResponse>, SubmitResponse),
    Call(Call),
    Notice(Notification),
}

/// What is held, and why.
pub(super) struct DurableEffects {
    gate: GroupCommit,
    held: DeferredEffects<DeferredEffect>,
    new_files: u64,
    origin: Instant,
}

impl DurableEffects {
    /// None where a record stands as soon as it is written.
    pub fn new(operator: &OperatorConfig) -> Option<Self> {
        let Durability::Machine { delay } = operator.durability else { return None };
        let gate = GroupCommit::new(Duration::from_micros(delay.0));
        Some(Self { gate, held: DeferredEffects::default(), new_files: 0, origin: Instant::now() })
    }

    /// When the gate wants to be asked again.
    pub fn due(&self) -> Option<Instant> {
        match self.gate.next_step(self.origin.elapsed()) {
            NextStep::Wait(at) => at.map(|at| self.origin + at),
            NextStep::Sync | NextStep::ReplaceFile => Some(Instant::now()),
        }
    }
}

impl EventLoop {
    /// Does something once all records up to now stand.
    pub(super) fn act(&mut self, act: DeferredEffect) {
        match &mut self.durable {
            Some(durable) => durable.held.push(self.store.last_sequence(), act),
            None => self.do_now(act),
        }
    }

    /// Tells a client. Only a yes is a promise.
    pub(super) fn answer(&mut self, to: oneshot::Sender<SubmitResponse>, said: SubmitResponse) {
        match said {
            SubmitResponse::Accepted => self.act(DeferredEffect::Answer(to, said)),
            // A client that has gone comes again under a new id.
            said => drop(to.send(said)),
        }
    }

    fn do_now(&mut self, act: DeferredEffect) {
        match act {
            DeferredEffect::Answer(to, said) => drop(to.send(said)),
            DeferredEffect::Call(call) => self.go_out(call),
            DeferredEffect::Notice(notice) => drop(self.notices.send(notice)),
        }
    }

    /// Whether something waits for its records.
    pub(super) fn holds_back(&self) -> bool {
        self.durable.as_ref().is_some_and(|durable| !durable.held.is_empty())
    }

    /// Whether nothing new can be promised: the journal's file is lost, and there is no other one yet.
    pub(super) fn cannot_promise(&self) -> bool {
        self.durable.as_ref().is_some_and(|durable| durable.gate.has_failed())
    }

    /// A sync has ended.
    pub(super) fn synced(&mut self, file: u64, done: io::Result<()>) {
        if let Err(e) = &done {
            self.log(&format!(
                "journal: syncing: {e}: what it held counts as unwritten, a new file is begun"
            ));
        }
        if let Some(durable) = &mut self.durable {
            durable.gate.sync_ended(file, SyncResult::from(&done), durable.origin.elapsed());
        }
    }

    /// Syncs what waits to be, and does what waited for what stands by now.
    pub(super) fn let_go(&mut self) {
        let Some(durable) = &mut self.durable else { return };
        let now = durable.origin.elapsed();
        durable.gate.records_written(self.store.last_sequence(), now);
        if durable.new_files != self.store.compactions() {
            durable.new_files = self.store.compactions();
            durable.gate.file_replaced();
        }
        match durable.gate.next_step(now) {
            NextStep::Wait(_) => {}
            NextStep::Sync => {
                let (file, sync) = (durable.gate.sync_started(), self.store.sync());
                let host = self.outside.host.clone();
                self.tasks.spawn_local(async move {
                    let _ = host.send(LoopEvent::JournalSynced(file, sync.await));
                });
            }
            NextStep::ReplaceFile => match self.store.rewrite() {
                Ok(()) => {
                    durable.new_files = self.store.compactions();
                    durable.gate.file_replaced();
                }
                Err(e) => {
                    durable.gate.replacement_failed(now + REPLACEMENT_RETRY_DELAY);
                    self.outside.ports.log.line(&format!("{e}; newcomers are refused until there is one"));
                }
            },
        }
        while let Some(act) = self.durable.as_mut().and_then(|d| d.held.pop_ready(d.gate.durable_sequence()))
        {
            match act {
                DeferredEffect::Call(call) => self.go_out_late(call),
                act => self.do_now(act),
            }
        }
    }

    /// A call that waited: what it was decided on may have changed meanwhile.
    fn go_out_late(&mut self, call: Call) {
        let now = self.now();
        let may = call
            .parcels
            .iter()
            .all(|parcel| self.sender.is_call_still_allowed(now, MessageId(parcel.number), call.endpoint));
        let there = self.endpoints.get(&call.endpoint).is_some_and(|at| at.member.host_port == call.address);
        if may && there && Instant::now() < call.expires {
            self.go_out(call);
            return;
        }
        self.calls.remove(&call.number);
        let unsent = call.parcels.iter().map(|parcel| (parcel.number, Outcome::Deferred, false)).collect();
        self.ended(now, now, unsent, None);
    }
}
