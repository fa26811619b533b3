//! The `[durability]` section: which failures the journal survives.
use crate::diagnostics::{FileError, SourceText};
use crate::units::Span;
use serde::Deserialize;
use toml::Spanned;

/// The default time that a record waits for others to be synced with it.
const DEFAULT_DELAY: Span = Span(0);
/// The longest configurable delay; responses to clients wait for the sync.
const MAX_DELAY: Span = Span::millis(100);

/// The failures that the journal survives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process: a record is durable once written.
    #[default]
    Process,
    /// A crash of the machine: a record is durable once synced (group commit).
    Machine {
        /// How long a record waits for others to be synced with it.
        delay: Span,
    },
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum SurvivedFailure {
    Process,
    Machine,
}

/// The section as written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDurability {
    #[serde(rename = "outlasts")]
    survives: SurvivedFailure,
    delay: Option<Spanned<Span>>,
}

impl RawDurability {
    /// Validates the section.
    pub fn validate(self, text: &SourceText<'_>) -> Result<Durability, FileError> {
        match (self.survives, self.delay) {
            (SurvivedFailure::Process, None) => Ok(Durability::Process),
            (SurvivedFailure::Process, Some(delay)) => {
                Err(text.error(delay.span(), "`delay` requires `outlasts = \"machine\"`"))
            }
            (SurvivedFailure::Machine, None) => Ok(Durability::Machine { delay: DEFAULT_DELAY }),
            (SurvivedFailure::Machine, Some(delay)) if *delay.get_ref() <= MAX_DELAY => {
                Ok(Durability::Machine { delay: delay.into_inner() })
            }
            (SurvivedFailure::Machine, Some(delay)) => {
                let given = delay.get_ref();
                let message = format!("`delay` must be between 0 ms and {MAX_DELAY}, but is {given}");
                Err(text.error(delay.span(), message))
            }
        }
    }
}
