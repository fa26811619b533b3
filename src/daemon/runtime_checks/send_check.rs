//! The check of an attempt against the state of the journal and the endpoint list. Performs no I/O and reads
//! no clock.
use crate::{DeduplicationScope, Idempotency, Timestamp};
use std::fmt;

/// The first attempt of a message that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// When the attempt started.
    pub started_at: Timestamp,
    /// Whether its endpoint is in the same zone as the endpoint of the checked attempt.
    pub is_same_zone: bool,
}

/// The state of the journal and the endpoint list for an attempt that is about to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct SendContext {
    /// The current time.
    pub now: Timestamp,
    /// Whether the message has its final outcome.
    pub is_finished: bool,
    /// Whether an attempt of the message is in flight.
    pub is_in_flight: bool,
    /// Whether the endpoint is listed as serving and is not in maintenance.
    pub is_endpoint_serving: bool,
    /// Under which conditions the message may be sent again.
    pub idempotency: Idempotency,
    /// The first attempt that may have taken effect; `None` if there is none.
    pub uncertain: Option<PriorAttempt>,
}

/// Why an attempt is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendViolation {
    /// The message has its final outcome.
    Finished,
    /// Another attempt of the message is in flight.
    InFlight,
    /// The endpoint is unknown, draining, deleted, or in maintenance.
    EndpointOutOfService,
    /// The message may have taken effect, and another attempt could take effect again.
    UnsafeRetry,
}

impl fmt::Display for SendViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Finished => "finished",
            Self::InFlight => "in_flight",
            Self::EndpointOutOfService => "endpoint_out_of_service",
            Self::UnsafeRetry => "may_take_effect_twice",
        })
    }
}

/// Checks an attempt against the delivery rules.
///
/// # Errors
/// Returns the first rule that the attempt would break.
pub fn check_send(context: &SendContext) -> Result<(), SendViolation> {
    if context.is_finished {
        return Err(SendViolation::Finished);
    }
    if context.is_in_flight {
        return Err(SendViolation::InFlight);
    }
    if !context.is_endpoint_serving {
        return Err(SendViolation::EndpointOutOfService);
    }
    match context.uncertain {
        Some(uncertain) if !is_safe_to_retry(context, uncertain) => Err(SendViolation::UnsafeRetry),
        _ => Ok(()),
    }
}

fn is_safe_to_retry(context: &SendContext, uncertain: PriorAttempt) -> bool {
    match context.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let elapsed = context.now.0.saturating_sub(uncertain.started_at.0);
            let is_in_scope = scope == DeduplicationScope::Destination || uncertain.is_same_zone;
            is_in_scope && elapsed < window.0
        }
    }
}

#[cfg(test)]
mod tests;
