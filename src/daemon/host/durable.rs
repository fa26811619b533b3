//! What goes out only once the records before it outlast the machine: answers, calls, notices.
use super::Host;
use crate::daemon::call::Call;
use crate::daemon::durability::{AGAIN, Gate, Held, Wanted};
use crate::daemon::input::{Answer, Input};
use crate::daemon::notices::Notice;
use crate::{MessageId, Outcome};
use micadrum_config::{Durability, Operator};
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Something that a record must stand before.
pub(super) enum Act {
    Answer(oneshot::Sender<Answer>, Answer),
    Call(Call),
    Notice(Notice),
}

/// What is held, and why.
pub(super) struct Durable {
    gate: Gate,
    held: Held<Act>,
    new_files: u64,
    origin: Instant,
}

impl Durable {
    /// None where a record stands as soon as it is written.
    pub fn new(operator: &Operator) -> Option<Self> {
        let Durability::Machine { delay } = operator.durability else { return None };
        let gate = Gate::new(Duration::from_micros(delay.0));
        Some(Self { gate, held: Held::default(), new_files: 0, origin: Instant::now() })
    }

    /// When the gate wants to be asked again.
    pub fn due(&self) -> Option<Instant> {
        match self.gate.wanted(self.origin.elapsed()) {
            Wanted::Wait(at) => at.map(|at| self.origin + at),
            Wanted::Sync | Wanted::NewFile => Some(Instant::now()),
        }
    }
}

impl Host {
    /// Does something once all records up to now stand.
    pub(super) fn act(&mut self, act: Act) {
        match &mut self.durable {
            Some(durable) => durable.held.hold(self.store.mark(), act),
            None => self.do_now(act),
        }
    }

    /// Tells a client. Only a yes is a promise.
    pub(super) fn answer(&mut self, to: oneshot::Sender<Answer>, said: Answer) {
        match said {
            Answer::TakenOn => self.act(Act::Answer(to, said)),
            // A client that has gone comes again under a new id.
            said => drop(to.send(said)),
        }
    }

    fn do_now(&mut self, act: Act) {
        match act {
            Act::Answer(to, said) => drop(to.send(said)),
            Act::Call(call) => self.go_out(call),
            Act::Notice(notice) => drop(self.notices.send(notice)),
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
            durable.gate.sync_ended(file, done.is_ok(), durable.origin.elapsed());
        }
    }

    /// Syncs what waits to be, and does what waited for what stands by now.
    pub(super) fn let_go(&mut self) {
        let Some(durable) = &mut self.durable else { return };
        let now = durable.origin.elapsed();
        durable.gate.written(self.store.mark(), now);
        if durable.new_files != self.store.new_files() {
            durable.new_files = self.store.new_files();
            durable.gate.new_file();
        }
        match durable.gate.wanted(now) {
            Wanted::Wait(_) => {}
            Wanted::Sync => {
                let (file, sync) = (durable.gate.sync_begins(), self.store.sync());
                let host = self.outside.host.clone();
                self.tasks.spawn_local(async move {
                    let _ = host.send(Input::Synced(file, sync.await));
                });
            }
            Wanted::NewFile => match self.store.begin_anew() {
                Ok(()) => {
                    durable.new_files = self.store.new_files();
                    durable.gate.new_file();
                }
                Err(e) => {
                    durable.gate.no_new_file(now + AGAIN);
                    self.outside.ports.log.line(&format!("{e}; newcomers are refused until there is one"));
                }
            },
        }
        while let Some(act) = self.durable.as_mut().and_then(|d| d.held.next(d.gate.standing())) {
            match act {
                Act::Call(call) => self.go_out_late(call),
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
            .all(|parcel| self.sender.may_begin(now, MessageId(parcel.number), call.endpoint));
        let there = self.endpoints.get(&call.endpoint).is_some_and(|at| at.member.host_port == call.address);
        if may && there && Instant::now() < call.expires {
            self.go_out(call);
            return;
        }
        self.calls.remove(&call.number);
        let unsent = call.parcels.iter().map(|parcel| (parcel.number, Outcome::Withheld, false)).collect();
        self.ended(now, now, unsent, None);
    }
}
