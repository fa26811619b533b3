//! Validates `[[fault]]` tables.
use super::{Fault, Scenario};
use crate::units::Span;

/// What is wrong with a fault.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FaultError {
    /// A field is given that faults of this kind do not have.
    #[error("`{field}` means nothing for a fault of kind \"{kind}\"")]
    UnusedField {
        /// The field.
        field: &'static str,
        /// The kind of fault.
        kind: String,
    },
    /// A field is not given that faults of this kind need.
    #[error("a fault of kind \"{kind}\" needs `{field}`")]
    MissingField {
        /// The field.
        field: &'static str,
        /// The kind of fault.
        kind: String,
    },
    /// The zone is not one of the scenario's.
    #[error("there is no building {0:?}")]
    UnknownZone(String),
    /// A destination or sender does not exist.
    #[error("there is no {role} {number}: they are numbered from 0 to {}", .count - 1)]
    UnknownNumber {
        /// What is numbered: `partner` or `sender`.
        role: &'static str,
        /// The number.
        number: u32,
        /// How many there are.
        count: u32,
    },
    /// A number that counts from 1 is 0.
    #[error("`nth` and `batch` count from 1")]
    ZeroCount,
    /// A time that must be positive is 0.
    #[error("`every` and `for` must be longer than nothing")]
    ZeroDuration,
    /// A pause lasts until the next one begins.
    #[error("`pause` must be shorter than `every`")]
    PauseTooLong,
    /// The fault affects the traffic between senders, and there is none.
    #[error("a fault of kind \"{0}\" needs `[operator.peers]`: else nothing passes between senders")]
    NoPeers(String),
    /// The fault ends after the run.
    #[error("the fault ends at {end}, outside the day of {length}")]
    OutsideRun {
        /// When the fault ends.
        end: Span,
        /// The length of the run.
        length: Span,
    },
}

/// Validates a fault of `scenario`.
pub(super) fn validate_fault(fault: &Fault, scenario: &Scenario) -> Result<(), FaultError> {
    validate_fields(fault)?;
    validate_targets(fault, scenario)?;
    validate_times(fault)?;
    if fault.kind.affects_peers() && !scenario.has_peers() {
        return Err(FaultError::NoPeers(fault.name()));
    }
    let end = Span(fault.at.get_ref().0 + fault.duration.unwrap_or(Span(0)).0);
    let length = *scenario.length.get_ref();
    if end > length {
        return Err(FaultError::OutsideRun { end, length });
    }
    Ok(())
}

fn validate_fields(fault: &Fault) -> Result<(), FaultError> {
    let fields = fault.kind.fields();
    for (field, is_given) in fault.given_fields() {
        let is_required = fields.required.contains(&field);
        if is_given && !is_required && !fields.optional.contains(&field) {
            return Err(FaultError::UnusedField { field, kind: fault.name() });
        }
        if !is_given && is_required {
            return Err(FaultError::MissingField { field, kind: fault.name() });
        }
    }
    Ok(())
}

fn validate_targets(fault: &Fault, scenario: &Scenario) -> Result<(), FaultError> {
    if let Some(zone) = &fault.zone
        && !scenario.buildings.get_ref().contains(zone)
    {
        return Err(FaultError::UnknownZone(zone.clone()));
    }
    let (destinations, senders) = (*scenario.destinations.get_ref(), *scenario.senders.get_ref());
    validate_numbers(fault.destinations.as_deref(), "partner", destinations)?;
    validate_numbers(fault.senders.as_deref(), "sender", senders)?;
    validate_numbers(fault.cut_peers.as_deref(), "sender", senders)
}

fn validate_numbers(numbers: Option<&[u32]>, role: &'static str, count: u32) -> Result<(), FaultError> {
    match numbers.unwrap_or_default().iter().find(|number| **number >= count) {
        Some(number) => Err(FaultError::UnknownNumber { role, number: *number, count }),
        None => Ok(()),
    }
}

fn validate_times(fault: &Fault) -> Result<(), FaultError> {
    if fault.nth == Some(0) || fault.batch == Some(0) {
        return Err(FaultError::ZeroCount);
    }
    if fault.interval == Some(Span(0)) || fault.duration == Some(Span(0)) {
        return Err(FaultError::ZeroDuration);
    }
    if let (Some(pause), Some(interval)) = (fault.pause, fault.interval)
        && pause >= interval
    {
        return Err(FaultError::PauseTooLong);
    }
    Ok(())
}
