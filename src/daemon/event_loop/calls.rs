//! Calls to partners: how they begin, how they end, and how messages end with them.
use super::EventLoop;
use super::durable_effects::DeferredEffect;
use crate::daemon::events::{CallCompletion, LoopEvent};
use crate::daemon::journal::{Attempt, AttemptEffect, FinalOutcome, JournalError, SubmittedMessage};
use crate::daemon::notifications::Notification;
use crate::daemon::outbound_call::{BatchedMessage, Call};
use crate::daemon::trace;
use crate::{EndpointId, Event, LoadReport, MessageId, Outcome, TimeDelta, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

impl EventLoop {
    pub(super) fn call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Timestamp) {
        let now = self.now();
        // The module forgets no endpoint that it sends to.
        let Some(at) = self.endpoints.get(&endpoint) else { return };
        let (address, zone) = (at.member.host_port, at.member.locality.clone());
        let mut parcels = Vec::with_capacity(messages.len());
        let mut unsent = Vec::new();
        for MessageId(number) in messages {
            let begun = self.store.start_attempt(number, Attempt { started_at: now.0, zone: zone.clone() });
            let Some(owed) = self.store.get(number) else { continue };
            if let Err(e) = begun {
                // An attempt that a restart would not know of must not go out. It is none, and waits for room.
                let attempt = owed.attempts_started;
                self.log(&format!("held back: {e}"));
                unsent.push((MessageId(number), attempt));
                continue;
            }
            parcels.push(BatchedMessage {
                number,
                id: owed.message.id.clone(),
                idempotency_key: owed.message.idempotency_key.clone(),
                body: owed.message.body.clone(),
            });
        }
        for (message, attempt) in unsent {
            let (outcome, elapsed) = (Outcome::Deferred, TimeDelta(0));
            let event =
                Event::AttemptEnded { message, attempt, outcome, elapsed, completes: false, report: None };
            self.pending.push((now, event));
        }
        if parcels.is_empty() {
            return;
        }
        let number = self.next_call;
        self.next_call += 1;
        self.calls.insert(number, now);
        let call = Call {
            number,
            endpoint,
            address,
            parcels,
            expires: self.clock.instant(expires),
            connect_timeout: Duration::from_micros(self.settings.connect_timeout.0),
        };
        self.act(DeferredEffect::Call(call));
    }

    /// Lets a call go out.
    pub(super) fn go_out(&mut self, call: Call) {
        let (endpoint, address) = (call.endpoint, call.address);
        let (kept, outside) = (self.pool.take(endpoint, address, Instant::now()), self.outside.clone());
        self.tasks.spawn_local(async move {
            if let Some(connection) = call.run(kept, &outside).await {
                let _ = outside.host.send(LoopEvent::ConnectionIdle(endpoint, address, connection));
            }
        });
    }

    pub(super) fn called(&mut self, called: CallCompletion) {
        let at = self.clock.at(called.completed_at);
        let sent = self.calls.remove(&called.number).unwrap_or(at);
        if let (Some(at_end), Some((_, outcome, _))) =
            (self.endpoints.get(&called.endpoint), called.ends.first())
        {
            let ended = trace::Ended {
                destination: at_end.member.cell,
                endpoint: &at_end.member.id,
                messages: called.ends.len(),
                outcome: *outcome,
                elapsed: TimeDelta(at.0.saturating_sub(sent.0)),
                report: called.report,
            };
            self.trace.call(at, &ended);
        }
        self.slices.mark_changed(called.endpoint);
        let heeded = called
            .ends
            .iter()
            .any(|(_, outcome, _)| matches!(outcome, Outcome::Rejected { retry_after: Some(_) }));
        self.ended(sent, at, called.ends, called.report);
        if let Some(wait) = called.retry_after.filter(|_| !heeded) {
            self.pending.push((at, Event::RetryAfter { endpoint: called.endpoint, wait }));
        }
    }

    /// Books how the attempts of a call ended.
    pub(super) fn ended(
        &mut self,
        sent: Timestamp,
        at: Timestamp,
        ends: Vec<(u32, Outcome, bool)>,
        report: Option<LoadReport>,
    ) {
        for (number, outcome, last) in ends {
            let attempts = self.store.get(number).map_or(1, |owed| owed.attempts_started);
            if last {
                if let Some(owed) = self.store.get(number).filter(|_| outcome == Outcome::Success) {
                    self.figures.delivered(&owed.message.class);
                }
                self.over(number);
            } else {
                let effect = match outcome {
                    Outcome::Failure | Outcome::TimedOut | Outcome::Reset => AttemptEffect::Uncertain,
                    _ => AttemptEffect::None,
                };
                let booked = match outcome {
                    Outcome::Deferred => self.store.defer_attempt(number),
                    _ => self.store.end_attempt(number, effect),
                };
                self.booked(booked);
            }
            let event = Event::AttemptEnded {
                message: MessageId(number),
                attempt: attempts.saturating_sub(1),
                outcome,
                elapsed: TimeDelta(at.0.saturating_sub(sent.0)),
                completes: last,
                report,
            };
            self.pending.push((at, event));
        }
    }

    pub(super) fn end(&mut self, number: u32, end: FinalOutcome) {
        let Some(owed) = self.store.get(number) else { return };
        let id = owed.message.id.clone();
        self.figures.ended(&owed.message.class, end);
        let how = if matches!(end, FinalOutcome::Failed) { "failed" } else { "returned" };
        let SubmittedMessage { destination, class, .. } = &owed.message;
        self.trace.ended(self.now(), *destination, how, class, owed.attempts_started);
        let booked = self.store.finish(number, end);
        self.booked(booked);
        self.unnoticed += 1;
        self.act(DeferredEffect::Notice(Notification { number, id, outcome: end }));
    }

    /// Nothing more is owed.
    pub(super) fn over(&mut self, number: u32) {
        let Some(owed) = self.store.get(number) else { return };
        self.numbers.remove(&owed.message.id);
        if owed.final_outcome.is_some() {
            self.unnoticed -= 1;
        }
        let booked = self.store.complete(number, self.now().0);
        self.booked(booked);
    }

    /// A record that cannot be written is made good by the next compaction; the sender goes on.
    pub(super) fn booked(&mut self, written: Result<(), JournalError>) {
        if let Err(e) = written {
            self.log(&e.to_string());
        }
        if let Some(e) = self.store.take_compaction_error() {
            self.log(&format!("journal: compaction failed, the old file stays: {e}"));
        }
    }
}
