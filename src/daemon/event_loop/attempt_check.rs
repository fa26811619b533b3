//! The run-time check of an attempt, right before it is recorded.
use super::EventLoop;
use crate::daemon::runtime_checks::{SendFacts, SendViolation, UncertainSend, check_send};
use crate::{EndpointId, Idempotency, MessageId, Timestamp};

impl EventLoop {
    /// Checks an attempt against the journal and the endpoint list, apart from the engine's own guards.
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
        let uncertain = pending.first_uncertain_attempt.as_ref().map(|attempt| UncertainSend {
            started_at: Timestamp(attempt.started_at),
            is_same_zone: tracked.is_some_and(|tracked| tracked.listed.zone == attempt.zone),
        });
        check_send(&SendFacts {
            now,
            is_finished: pending.final_outcome.is_some(),
            is_in_flight: pending.active_attempt.is_some(),
            is_endpoint_serving: tracked.is_some_and(|tracked| tracked.is_serving),
            idempotency,
            uncertain,
        })
    }
}
