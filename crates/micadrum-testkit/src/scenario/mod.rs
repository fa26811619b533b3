//! Scenario files, which describe runs. They are validated completely before a run starts.
mod fault;
mod fault_fields;
mod fault_validation;
mod schema;
mod validation;

pub use fault::{
    CutDirection, Fault, FaultKind, FolderContent, FolderError, RepeatTrigger, StopMethod, SystemCall,
    WritePoint,
};
pub use fault_validation::FaultError;
pub use schema::{AdminSnapshotPlan, Discovery, Peak, Scenario};
pub use validation::{ScenarioError, ScenarioProblem};

use crate::units::Span;
use toml::Spanned;
use validation::{LocatedProblem, validate};

/// Minimum length of a run.
pub const MIN_LENGTH: Span = Span::seconds(1);
/// Maximum length of a run.
pub const MAX_LENGTH: Span = Span::seconds(7 * 24 * 3600);

impl Scenario {
    /// Parses and validates a scenario. `file` is the file name for error messages.
    ///
    /// # Errors
    /// Returns the first problem, with its file, line and column: for example an unknown field, a wrong unit,
    /// or a fault that ends after the run or names a target that does not exist.
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self =
            toml::from_str(text).map_err(|error| LocatedProblem::syntax(&error).in_file(file, text))?;
        validate(&scenario).map_err(|problem| problem.in_file(file, text))?;
        Ok(scenario)
    }

    /// Returns whether the senders are members of a cluster, that is, whether `[operator.peers]` is given.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        self.operator.as_ref().is_some_and(|operator| operator.get_ref().contains_key("peers"))
    }

    /// Sets the length of the run, clamped to the range from [`MIN_LENGTH`] to [`MAX_LENGTH`].
    pub fn set_length(&mut self, length: Span) {
        *self.length.get_mut() = length.clamp(MIN_LENGTH, MAX_LENGTH);
    }

    /// Returns the faults, in the order of the file.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.fault.iter().map(Spanned::get_ref)
    }
}

#[cfg(test)]
mod tests;
