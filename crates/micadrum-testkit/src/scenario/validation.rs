//! Validates scenario files beyond what their schema checks.
use super::fault_validation::{FaultError, validate_fault};
use super::schema::{AdminSnapshotPlan, Peak, Scenario};
use super::{MAX_LENGTH, MIN_LENGTH};
use crate::link_faults;
use crate::units::Span;
use std::ops::Range;
use toml::Spanned;

/// Maximum number of senders, and maximum number of destinations.
const MAX_COUNT: u32 = 400;
/// Bounds of `load`, in percent.
const MIN_LOAD_PERCENT: f64 = 5.0;
const MAX_LOAD_PERCENT: f64 = 200.0;
/// Maximum of a peak's `times`.
const MAX_TRAFFIC_FACTOR: f64 = 10.0;

/// A problem in a scenario file, with its position.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{file}:{line}:{column}: {problem}")]
pub struct ScenarioError {
    /// Name of the scenario file.
    pub file: String,
    /// Line of the problem, from 1.
    pub line: usize,
    /// Column of the problem in bytes, from 1.
    pub column: usize,
    /// What is wrong at this position.
    pub problem: ScenarioProblem,
}

/// What is wrong in a scenario file.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ScenarioProblem {
    /// The file is not valid TOML, or does not follow the schema.
    #[error("{0}")]
    Syntax(String),
    /// The run is too short or too long.
    #[error("`length` must lie between 1 s and {MAX_LENGTH}")]
    Length,
    /// The number of senders or destinations is out of bounds.
    #[error("`{0}` must lie between 1 and {MAX_COUNT}")]
    Count(&'static str),
    /// The load is out of bounds.
    #[error("`load` must lie between 5% and 200%")]
    Load,
    /// The list of zones is empty.
    #[error("`buildings` must name at least one building")]
    NoZone,
    /// The operator's configuration is invalid.
    #[error("{0}")]
    Operator(String),
    /// A request for a view of the membership goes to a sender that does not exist, or is made after the run.
    #[error("`look` must give the number of an existing sender, from 0, and a time within the run")]
    Snapshot,
    /// A peak ends after the run.
    #[error("the peak ends at {end}, after the end of the run at {length}")]
    PeakOutsideRun {
        /// When the peak ends.
        end: Span,
        /// The length of the run.
        length: Span,
    },
    /// The traffic of a peak is out of bounds.
    #[error("`times` must lie between 0 and 10")]
    TrafficFactor,
    /// A fault is invalid.
    #[error(transparent)]
    Fault(#[from] FaultError),
}

/// A problem, and the byte offset in the file at which it is reported.
pub(super) struct LocatedProblem {
    offset: usize,
    problem: ScenarioProblem,
}

impl LocatedProblem {
    /// Reports the problem at the start of `span`.
    fn new(span: &Range<usize>, problem: ScenarioProblem) -> Self {
        Self { offset: span.start, problem }
    }

    /// Reports a value that does not follow the schema.
    pub(super) fn syntax(error: &toml::de::Error) -> Self {
        let message = error.message().replace('\n', " ").trim().to_owned();
        Self::new(&error.span().unwrap_or_default(), ScenarioProblem::Syntax(message))
    }

    /// Converts the offset in `text` into a line and a column of `file`.
    pub(super) fn in_file(self, file: &str, text: &str) -> ScenarioError {
        let before = &text.as_bytes()[..self.offset.min(text.len())];
        let line_start =
            before.iter().rposition(|byte| *byte == b'\n').map_or(0, |line_break| line_break + 1);
        ScenarioError {
            file: file.to_owned(),
            line: before.iter().filter(|byte| **byte == b'\n').count() + 1,
            column: before.len() - line_start + 1,
            problem: self.problem,
        }
    }
}

/// Checks everything that the schema does not; returns the first problem.
pub(super) fn validate(scenario: &Scenario) -> Result<(), LocatedProblem> {
    validate_sizes(scenario)?;
    validate_operator(scenario)?;
    scenario.admin_snapshots.iter().try_for_each(|snapshot| validate_snapshot(snapshot, scenario))?;
    scenario.peak.iter().try_for_each(|peak| validate_peak(peak, *scenario.length.get_ref()))?;
    scenario.faults().try_for_each(|fault| {
        validate_fault(fault, scenario)
            .map_err(|problem| LocatedProblem::new(&fault.at.span(), problem.into()))
    })
}

fn validate_sizes(scenario: &Scenario) -> Result<(), LocatedProblem> {
    let length_range = MIN_LENGTH..=MAX_LENGTH;
    check_value(&scenario.length, |length| length_range.contains(length), ScenarioProblem::Length)?;
    for (field, count) in [("senders", &scenario.senders), ("partners", &scenario.destinations)] {
        let is_valid = |count: &u32| (1..=MAX_COUNT).contains(count);
        check_value(count, is_valid, ScenarioProblem::Count(field))?;
    }
    let load_range = MIN_LOAD_PERCENT..=MAX_LOAD_PERCENT;
    check_value(&scenario.load, |load| load_range.contains(&load.0), ScenarioProblem::Load)?;
    check_value(&scenario.buildings, |zones| !zones.is_empty(), ScenarioProblem::NoZone)
}

fn validate_operator(scenario: &Scenario) -> Result<(), LocatedProblem> {
    let Some(operator) = &scenario.operator else { return Ok(()) };
    link_faults::operator_file(operator.get_ref(), &[])
        .map(drop)
        .map_err(|error| LocatedProblem::new(&operator.span(), ScenarioProblem::Operator(error.to_string())))
}

fn validate_snapshot(snapshot: &AdminSnapshotPlan, scenario: &Scenario) -> Result<(), LocatedProblem> {
    let is_known = snapshot.sender < *scenario.senders.get_ref();
    let is_valid = |at: &Span| is_known && at <= scenario.length.get_ref();
    check_value(&snapshot.at, is_valid, ScenarioProblem::Snapshot)
}

fn validate_peak(peak: &Peak, length: Span) -> Result<(), LocatedProblem> {
    let end = Span(peak.at.get_ref().0 + peak.duration.0);
    check_value(&peak.at, |_| end <= length, ScenarioProblem::PeakOutsideRun { end, length })?;
    let factor_range = 0.0..=MAX_TRAFFIC_FACTOR;
    check_value(&peak.at, |_| factor_range.contains(&peak.traffic_factor), ScenarioProblem::TrafficFactor)
}

/// Reports `problem` at `value` unless it is valid.
fn check_value<T>(
    value: &Spanned<T>,
    is_valid: impl FnOnce(&T) -> bool,
    problem: ScenarioProblem,
) -> Result<(), LocatedProblem> {
    if is_valid(value.get_ref()) { Ok(()) } else { Err(LocatedProblem::new(&value.span(), problem)) }
}
