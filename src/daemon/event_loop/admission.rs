//! Admission control: which submitted messages are accepted, and which are malformed or shed.
use super::EventLoop;
use crate::daemon::events::{InvalidMessage, SubmitResponse};
use crate::daemon::journal::{PendingMessage, SubmittedMessage};
use crate::daemon::request_trace::RefusalReason;
use crate::daemon::trace::MessageEnd;
use crate::{ClassId, DestinationId, Event, Idempotency, Message, MessageId, OrderKey, TimeDelta};
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::time::Instant;

/// Placeholder for the number of a message until the journal assigns one.
const UNASSIGNED_NUMBER: u32 = 0;

impl EventLoop {
    /// Accepts a message that may be delivered until `deadline`, or returns why it is rejected. Submitting an
    /// accepted message again returns `Accepted` without further effect.
    pub(super) fn submit(&mut self, message: SubmittedMessage, deadline: Instant) -> SubmitResponse {
        if self.messages.has_accepted(&message.id) {
            return SubmitResponse::Accepted;
        }
        let pending = PendingMessage::new(message, self.clock.timestamp(deadline).0);
        let message = match self.validate(&pending) {
            Ok(message) => message,
            Err(invalid) => return SubmitResponse::Malformed(invalid),
        };
        if let Some(rejection) = self.shed(&pending, &message) {
            self.metrics.counts.record_rejected(&pending.message.class);
            return rejection;
        }
        self.accept(pending, message)
    }

    /// Translates a new message into the engine's representation, or returns why it is invalid.
    fn validate(&self, pending: &PendingMessage) -> Result<Message, InvalidMessage> {
        let SubmittedMessage { class, tenant, .. } = &pending.message;
        let class_id = self.configuration.classes.current(class);
        let class_id = class_id.ok_or_else(|| InvalidMessage::UnknownClass(class.clone()))?;
        let tenants = &self.configuration.names.tenants;
        let is_unknown = |name: &&String| !tenants.is_empty() && !tenants.contains_key(*name);
        if let Some(name) = tenant.as_ref().filter(is_unknown) {
            return Err(InvalidMessage::UnknownTenant(name.clone()));
        }
        self.engine_message(UNASSIGNED_NUMBER, class_id, pending)
    }

    /// Returns the rejection of a valid message if there is no capacity for it now, or `None` if there is.
    fn shed(&self, pending: &PendingMessage, message: &Message) -> Option<SubmitResponse> {
        let id = &pending.message.id;
        if self.is_journal_lost() {
            self.calls.context.trace.refused(id, RefusalReason::JournalFailing);
            return Some(SubmitResponse::Rejected);
        }
        let status = &self.recovery.status;
        let wait =
            status.rejection_time_left(self.redelivery(message.class)).or_else(|| status.admit().err());
        if let Some(wait) = wait {
            self.calls.context.trace.refused(id, RefusalReason::Recovering);
            return Some(SubmitResponse::RetryAfter(wait));
        }
        let now = self.clock.now();
        if !self.engine.admits(now, self.messages.unfinished(), message.destination) {
            let SubmittedMessage { destination, class, .. } = &pending.message;
            self.trace.message_ended(now, *destination, MessageEnd::Rejected, class, 0);
            self.calls.context.trace.refused(id, RefusalReason::NoCapacity);
            return Some(SubmitResponse::Rejected);
        }
        None
    }

    /// Records a message in the journal, and hands it to the engine.
    fn accept(&mut self, pending: PendingMessage, mut message: Message) -> SubmitResponse {
        let now = self.clock.now();
        let (id, class) = (pending.message.id.clone(), pending.message.class.clone());
        if self.configuration.config.operator.recovery.is_some() {
            self.recovery.time_marker.record_if_due(&mut self.messages.journal, now.0);
        }
        match self.messages.accept(pending) {
            Ok(number) => {
                message.id = MessageId(number);
                self.trace.message_accepted(now, message.destination.0);
                self.queue.push(now, Event::Message(message));
                SubmitResponse::Accepted
            }
            Err(error) => {
                self.metrics.counts.record_rejected(&class);
                self.calls.context.trace.refused(&id, RefusalReason::JournalWriteFailed);
                self.log_rate_limited(format_args!(
                    "admission: message rejected, journal write failed error={error}"
                ));
                SubmitResponse::Rejected
            }
        }
    }

    /// Translates a message of a known class into the engine's representation.
    ///
    /// # Errors
    /// Returns an error if the class needs an idempotency key and the message has none.
    pub(super) fn engine_message(
        &self,
        number: u32,
        class_id: ClassId,
        pending: &PendingMessage,
    ) -> Result<Message, InvalidMessage> {
        let SubmittedMessage { class, tenant, key, idempotency_key, destination, .. } = &pending.message;
        let settings = &self.configuration.settings.classes[class_id.0];
        if matches!(settings.idempotency, Idempotency::WithKey { .. }) && idempotency_key.is_none() {
            return Err(InvalidMessage::MissingIdempotencyKey(class.clone()));
        }
        // The tenant of a recovered message may no longer be in the settings.
        let tenants = &self.configuration.names.tenants;
        let tenant = tenant.as_ref().and_then(|name| tenants.get(name).copied());
        Ok(Message {
            id: MessageId(number),
            class: class_id,
            tenant,
            key: key.as_ref().filter(|_| settings.ordered).map(|key| order_key(key)),
            destination: DestinationId(*destination),
            time_to_live: TimeDelta(pending.deadline.saturating_sub(self.clock.now().0)),
        })
    }
}

/// Hashes an ordering key. Messages whose keys collide wait for each other, which is harmless.
fn order_key(key: &str) -> OrderKey {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    OrderKey(hasher.finish())
}
