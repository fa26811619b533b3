//! Checks one attempt against the journal and the endpoint list. No I/O and no clock.
use crate::{DeduplicationScope, Idempotency, Timestamp};
use std::fmt;

/// The first attempt of a message that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub struct UncertainSend {
    /// When the attempt started.
    pub started_at: Timestamp,
    /// Whether its endpoint is in the zone of the one that is about to be called.
    pub is_same_zone: bool,
}

/// What the journal and the endpoint list say of an attempt that is about to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The present time.
    pub now: Timestamp,
    /// Whether the message has its final outcome.
    pub is_finished: bool,
    /// Whether an attempt of the message is out.
    pub is_in_flight: bool,
    /// Whether the endpoint is listed as in service, and no operator has taken it out.
    pub is_endpoint_serving: bool,
    /// What makes repeating the message harmless.
    pub idempotency: Idempotency,
    /// The attempt that may have taken effect.
    pub uncertain: Option<UncertainSend>,
}

/// Why an attempt must not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendViolation {
    /// The message has its final outcome.
    Finished,
    /// Another attempt of the message is out.
    InFlight,
    /// The endpoint drains, is deleted, or was taken out of service.
    EndpointOut,
    /// The message may have taken effect, and could take effect once more.
    Repeated,
}

impl fmt::Display for SendViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Finished => "finished",
            Self::InFlight => "in_flight",
            Self::EndpointOut => "endpoint_out_of_service",
            Self::Repeated => "may_take_effect_twice",
        })
    }
}

/// Checks an attempt.
///
/// # Errors
/// The rule that the attempt would break.
pub fn check_send(facts: &SendFacts) -> Result<(), SendViolation> {
    if facts.is_finished {
        return Err(SendViolation::Finished);
    }
    if facts.is_in_flight {
        return Err(SendViolation::InFlight);
    }
    if !facts.is_endpoint_serving {
        return Err(SendViolation::EndpointOut);
    }
    match facts.uncertain {
        Some(uncertain) if !is_repeatable(facts, uncertain) => Err(SendViolation::Repeated),
        _ => Ok(()),
    }
}

fn is_repeatable(facts: &SendFacts, uncertain: UncertainSend) -> bool {
    match facts.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let elapsed = facts.now.0.saturating_sub(uncertain.started_at.0);
            let is_in_scope = scope == DeduplicationScope::Destination || uncertain.is_same_zone;
            is_in_scope && elapsed < window.0
        }
    }
}

#[cfg(test)]
mod tests;
