//! Calls to endpoints: starting them, recording the outcomes of their attempts, and ending messages.
use super::EventLoop;
use super::durable_effects::DeferredEffect;
use crate::daemon::connection_pool::ConnectionPool;
use crate::daemon::endpoint_connection::EndpointConnection;
use crate::daemon::events::{AttemptOutcome, CallCompletion, LoopEvent, UnsolicitedResponse};
use crate::daemon::journal::{Attempt, AttemptEffect, FinalOutcome, JournalError, SubmittedMessage};
use crate::daemon::notifications::Notification;
use crate::daemon::outbound_call::{BatchedMessage, Call, CallContext};
use crate::daemon::request_trace::CloseReason;
use crate::daemon::trace;
use crate::{EndpointId, Event, LoadReport, MessageId, Outcome, TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The calls in flight, and the idle connections that further calls may use.
pub(super) struct CallTable {
    /// The start time of each call, by call number.
    started: BTreeMap<u64, Timestamp>,
    next_number: u64,
    pub(super) pool: ConnectionPool<EndpointConnection>,
    pub(super) context: CallContext,
}

impl CallTable {
    /// Creates an empty table.
    pub(super) fn new(pool: ConnectionPool<EndpointConnection>, context: CallContext) -> Self {
        Self { started: BTreeMap::new(), next_number: 0, pool, context }
    }

    /// Returns the number of calls in flight.
    pub(super) fn len(&self) -> usize {
        self.started.len()
    }

    /// Returns whether no call is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// Returns the number of messages that were completely written to endpoints.
    pub(super) fn messages_written(&self) -> u64 {
        self.context.written_messages.load(Ordering::Relaxed)
    }

    /// Registers a call that begins at `now`, and returns its number.
    fn register(&mut self, now: Timestamp) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.started.insert(number, now);
        number
    }

    /// Removes a call, and returns its start time.
    pub(super) fn remove(&mut self, number: u64) -> Option<Timestamp> {
        self.started.remove(&number)
    }

    /// Spawns a task that performs a call, on an idle connection if there is one.
    fn spawn(&mut self, call: Call, tasks: &mut JoinSet<()>) {
        let (endpoint, address) = (call.endpoint, call.address);
        let now = Instant::now();
        let may_reuse = self.context.trust.borrow().permits_reuse(now);
        let idle = if may_reuse { self.pool.take(endpoint, address, now) } else { None };
        let context = self.context.clone();
        tasks.spawn_local(async move {
            if let Some(connection) = call.run(idle, &context).await {
                let _ = context.events.send(LoopEvent::ConnectionIdle { endpoint, address, connection });
            }
        });
    }
}

impl EventLoop {
    /// Records an attempt for each message, and starts a call with the messages whose attempts were recorded.
    pub(super) fn begin_call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Timestamp) {
        let now = self.clock.now();
        // Always present: the engine does not forget an endpoint that it sends to.
        let Some(tracked) = self.endpoints.get(endpoint) else { return };
        let (address, zone) = (tracked.listed.address, tracked.listed.zone.clone());
        let mut batch = Vec::with_capacity(messages.len());
        let mut deferred = Vec::new();
        for MessageId(number) in messages {
            if let Err(violation) = self.check_attempt(number, endpoint, now) {
                self.violations.record_blocked_send(violation);
                let attempts =
                    self.messages.journal.get(number).map_or(0, |pending| pending.attempts_started);
                deferred.push((MessageId(number), attempts));
                self.log_rate_limited(format_args!(
                    "violation: attempt blocked reason={violation} number={number}"
                ));
                continue;
            }
            let recorded = self
                .messages
                .journal
                .start_attempt(number, Attempt { started_at: now.0, zone: zone.clone() });
            let Some(pending) = self.messages.journal.get(number) else { continue };
            if let Err(error) = recorded {
                // An attempt without a record must not be made: it would be unknown after a restart. It is
                // not counted, and the message waits until the journal can be written.
                deferred.push((MessageId(number), pending.attempts_started));
                self.log_rate_limited(format_args!(
                    "calls: attempt deferred, journal write failed error={error}"
                ));
                continue;
            }
            batch.push(BatchedMessage {
                number,
                id: pending.message.id.clone(),
                attempt: pending.attempts_started.saturating_sub(1),
                idempotency_key: pending.message.idempotency_key.clone(),
                body: pending.message.body.clone(),
            });
        }
        for (message, attempt) in deferred {
            self.queue.push(now, deferred_attempt_event(message, attempt));
        }
        if batch.is_empty() {
            return;
        }
        let number = self.calls.register(now);
        let expires = self.clock.instant(expires);
        let connect_timeout = self.configuration.connect_timeout();
        let started = Instant::now();
        let call = Call { number, endpoint, address, messages: batch, started, expires, connect_timeout };
        self.perform_when_durable(DeferredEffect::Call(call));
    }

    /// Starts a call whose journal records are durable, unless its messages may no longer be sent.
    pub(super) fn start_call(&mut self, call: Call) {
        let numbers: Vec<u32> = call.messages.iter().map(|message| message.number).collect();
        if self.may_send(call.endpoint, call.address, &numbers) {
            self.calls.spawn(call, &mut self.tasks);
        } else {
            call.withdraw(&self.calls.context);
        }
    }

    /// Traces that a call has opened a connection.
    pub(super) fn trace_connected(&self, endpoint: EndpointId) {
        if let Some(tracked) = self.endpoints.get(endpoint) {
            self.trace.connected(self.clock.now(), tracked.listed.destination, &tracked.listed.id);
        }
    }

    /// Returns whether messages that were scheduled for a call may still be sent to the endpoint at the address.
    /// Another endpoint may have taken the address since.
    pub(super) fn may_send(&self, endpoint: EndpointId, address: SocketAddr, messages: &[u32]) -> bool {
        let now = self.clock.now();
        let is_at_address =
            self.endpoints.get(endpoint).is_some_and(|tracked| tracked.listed.address == address);
        let is_allowed = |number: &u32| self.engine.is_call_still_allowed(now, MessageId(*number), endpoint);
        is_at_address && messages.iter().all(is_allowed)
    }

    /// Adds an idle connection to the pool, unless its endpoint is draining, removed, or has another address, or
    /// connections are used for one call each.
    pub(super) fn pool_connection(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        connection: EndpointConnection,
    ) {
        let (now, tracked) = (Instant::now(), self.endpoints.get(endpoint));
        if !tracked.is_some_and(|tracked| tracked.is_serving && tracked.listed.address == address) {
            connection.close(CloseReason::EndpointOutOfService);
        } else if !self.calls.context.trust.borrow().permits_reuse(now) {
            connection.close(CloseReason::ReuseSuspended);
        } else {
            let quiet_period = self.calls.context.trust.borrow().quiet_period();
            self.calls.pool.put(endpoint, address, connection, now, quiet_period);
        }
    }

    /// Handles something that an endpoint sent while no request was in progress on the connection. Its
    /// Retry-After applies, as it may answer a call that got the answer to another one.
    pub(super) fn record_unsolicited_response(&mut self, unsolicited: UnsolicitedResponse) {
        let UnsolicitedResponse { endpoint, received_at, retry_after, suspends_reuse } = unsolicited;
        let id = self.endpoints.get(endpoint).map_or("unknown", |tracked| &tracked.listed.id).to_owned();
        if suspends_reuse {
            self.calls.pool.close_all(CloseReason::ReuseSuspended);
            self.log(format_args!(
                "calls: unsolicited response, connections are used for one call each endpoint={id}"
            ));
        }
        self.log_rate_limited(format_args!(
            "calls: unsolicited response on an idle connection, connection closed endpoint={id}"
        ));
        if let Some(wait) = retry_after {
            self.apply_retry_after(endpoint, wait, received_at);
        }
    }

    /// Queues a Retry-After that was received at `received_at`.
    pub(super) fn apply_retry_after(&mut self, endpoint: EndpointId, wait: TimeDelta, received_at: Instant) {
        self.queue.push(self.clock.timestamp(received_at), Event::RetryAfter { endpoint, wait });
    }

    /// Processes the completion of a call.
    pub(super) fn complete_call(&mut self, completion: CallCompletion) {
        let CallCompletion { number, endpoint, completed_at, outcomes, retry_after, report } = completion;
        let ended = self.clock.timestamp(completed_at);
        let started = self.calls.remove(number).unwrap_or(ended);
        self.trace_call(endpoint, started, ended, &outcomes, report);
        self.checkpointing.schedule.mark_changed(endpoint);
        let has_retry_after =
            |attempt: &AttemptOutcome| matches!(attempt.outcome, Outcome::Rejected { retry_after: Some(_) });
        let is_wait_known = outcomes.iter().any(has_retry_after);
        self.record_outcomes(started, ended, outcomes, report);
        if let Some(wait) = retry_after.filter(|_| !is_wait_known) {
            self.queue.push(ended, Event::RetryAfter { endpoint, wait });
        }
    }

    fn trace_call(
        &self,
        endpoint: EndpointId,
        started: Timestamp,
        ended: Timestamp,
        outcomes: &[AttemptOutcome],
        report: Option<LoadReport>,
    ) {
        let (Some(tracked), Some(first)) = (self.endpoints.get(endpoint), outcomes.first()) else { return };
        let completed = trace::CompletedCall {
            destination: tracked.listed.destination,
            endpoint: &tracked.listed.id,
            messages: outcomes.len(),
            outcome: first.outcome,
            elapsed: TimeDelta(ended.0.saturating_sub(started.0)),
            report,
        };
        self.trace.call(ended, &completed);
    }

    /// Records the outcomes of a call's attempts in the journal, and queues them for the engine.
    pub(super) fn record_outcomes(
        &mut self,
        started: Timestamp,
        ended: Timestamp,
        outcomes: Vec<AttemptOutcome>,
        report: Option<LoadReport>,
    ) {
        for AttemptOutcome { message: number, outcome, completes } in outcomes {
            let attempts = self.messages.journal.get(number).map_or(1, |pending| pending.attempts_started);
            if completes {
                self.complete_message(number, outcome);
            } else {
                self.record_attempt(number, outcome);
            }
            let event = Event::AttemptEnded {
                message: MessageId(number),
                attempt: attempts.saturating_sub(1),
                outcome,
                elapsed: TimeDelta(ended.0.saturating_sub(started.0)),
                completes,
                report,
            };
            self.queue.push(ended, event);
        }
    }

    fn complete_message(&mut self, number: u32, outcome: Outcome) {
        let pending = self.messages.journal.get(number);
        if let Some(pending) = pending.filter(|_| outcome == Outcome::Success) {
            self.metrics.counts.record_delivered(&pending.message.class);
        }
        self.remove_message(number);
    }

    fn record_attempt(&mut self, number: u32, outcome: Outcome) {
        let effect = match outcome {
            Outcome::Failure | Outcome::TimedOut | Outcome::Reset => AttemptEffect::Uncertain,
            _ => AttemptEffect::None,
        };
        let journal = &mut self.messages.journal;
        let recorded = match outcome {
            Outcome::Deferred => journal.defer_attempt(number),
            _ => journal.end_attempt(number, effect),
        };
        self.log_journal_errors(recorded);
    }

    /// Ends an undelivered message, and notifies the platform of its outcome.
    pub(super) fn finish_message(&mut self, number: u32, outcome: FinalOutcome) {
        let Some(pending) = self.messages.journal.get(number) else { return };
        let id = pending.message.id.clone();
        let SubmittedMessage { destination, class, .. } = &pending.message;
        self.metrics.counts.record_undelivered(class, outcome);
        self.trace.message_ended(
            self.clock.now(),
            *destination,
            outcome.into(),
            class,
            pending.attempts_started,
        );
        let deadline = Timestamp(pending.deadline);
        let recorded = self.messages.finish(number, outcome);
        let is_recorded = recorded.is_ok() || !self.messages.journal.lacks_records();
        self.log_journal_errors(recorded);
        let notification = Notification { number, id, outcome };
        if is_recorded {
            self.perform_when_durable(DeferredEffect::Notification(notification));
        } else {
            self.journal_repair.hold_notification(deadline, notification);
        }
    }

    /// Removes a message that was delivered, or whose notification was acknowledged.
    pub(super) fn remove_message(&mut self, number: u32) {
        let Some(recorded) = self.messages.remove(number, self.clock.now().0) else { return };
        self.log_journal_errors(recorded);
    }

    /// Logs an error if a journal write or a compaction failed. The next compaction writes the missing
    /// record.
    pub(super) fn log_journal_errors(&mut self, recorded: Result<(), JournalError>) {
        if let Err(error) = recorded {
            self.log_rate_limited(format_args!("{error}"));
        }
        if let Some(error) = self.messages.journal.take_compaction_error() {
            self.log_rate_limited(format_args!(
                "journal: compaction failed, keeping the old file error={error}"
            ));
        }
    }
}

/// Returns the event for an attempt that the engine requested and that was not made.
fn deferred_attempt_event(message: MessageId, attempt: u32) -> Event {
    let (outcome, elapsed) = (Outcome::Deferred, TimeDelta(0));
    Event::AttemptEnded { message, attempt, outcome, elapsed, completes: false, report: None }
}
