//! The run-time check of an attempt before it is recorded in the journal.
use super::EventLoop;
use crate::daemon::runtime_checks::{PriorAttempt, SendContext, SendViolation, check_send};
use crate::{EndpointId, Idempotency, MessageId, Timestamp};

impl EventLoop {
    /// Checks an attempt against the journal and the endpoint list, independently of the engine's own checks.
    pub(super) fn check_attempt(
        &self,
        number: u32,
        endpoint: EndpointId,
        now: Timestamp,
    ) -> Result<(), SendViolation> {
        let Some(pending) = self.messages.journal.get(number) else { return Err(SendViolation::Finished) };
        let tracked = self.endpoints.get(endpoint);
        let class = self.engine.class_of(MessageId(number));
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| {
            self.configuration.settings.classes[class.0].idempotency
        });
        let uncertain = pending.first_uncertain_attempt.as_ref().map(|attempt| PriorAttempt {
            started_at: Timestamp(attempt.started_at),
            is_same_zone: tracked.is_some_and(|tracked| tracked.listed.zone == attempt.zone),
        });
        check_send(&SendContext {
            now,
            is_finished: pending.final_outcome.is_some(),
            is_in_flight: pending.active_attempt.is_some(),
            is_endpoint_serving: tracked.is_some_and(|tracked| tracked.is_serving),
            idempotency,
            uncertain,
        })
    }
}
