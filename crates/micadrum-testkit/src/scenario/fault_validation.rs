//! Validates `[[fault]]` tables.
use super::{Fault, Scenario};
use crate::units::Span;

/// A problem of a `[[fault]]` table.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FaultError {
    /// A field is given that faults of this kind do not have.
    #[error("a fault of kind \"{kind}\" has no field `{field}`")]
    UnusedField {
        /// The name of the unexpected field.
        field: &'static str,
        /// The kind of fault, as in scenario files.
        kind: String,
    },
    /// A field that faults of this kind require is not given.
    #[error("a fault of kind \"{kind}\" requires the field `{field}`")]
    MissingField {
        /// The name of the required field.
        field: &'static str,
        /// The kind of fault, as in scenario files.
        kind: String,
    },
    /// The zone is not among the scenario's `buildings`.
    #[error("there is no building {0:?} in `buildings`")]
    UnknownZone(String),
    /// A destination or sender does not exist.
    #[error("there is no {role} {number}: they are numbered from 0 to {}", .count - 1)]
    UnknownNumber {
        /// What is numbered: `partner` or `sender`.
        role: &'static str,
        /// The number of the destination or sender that the fault names.
        number: u32,
        /// The number of destinations or senders in the scenario.
        count: u32,
    },
    /// `nth` or `batch` is 0.
    #[error("`nth` and `batch` must be at least 1")]
    ZeroCount,
    /// `every` or `for` is 0.
    #[error("`every` and `for` must be greater than 0")]
    ZeroDuration,
    /// A pause lasts until the next one begins, or longer.
    #[error("`pause` must be shorter than `every`")]
    PauseTooLong,
    /// The fault affects the traffic between senders, and the scenario does not configure peers.
    #[error("a fault of kind \"{0}\" requires `[operator.peers]`, without which senders exchange no data")]
    NoPeers(String),
    /// The fault ends after the run.
    #[error("the fault ends at {end}, after the end of the run at {length}")]
    OutsideRun {
        /// When the fault ends.
        end: Span,
        /// The length of the run in the scenario.
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
