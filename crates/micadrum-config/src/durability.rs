//! `[durability]`: what the journal outlasts.
use crate::diagnostics::{FileError, Text};
use crate::units::Span;
use serde::Deserialize;
use toml::Spanned;

/// The usual time that a record waits for others, and the longest.
const DELAY: Span = Span(0);
const MOST_DELAY: Span = Span::millis(100);

/// What the journal outlasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// The process: a record stands once it is written.
    #[default]
    Process,
    /// The machine: a record stands once it is synced, together with what is written within `delay`.
    Machine {
        /// How long a record waits for others.
        delay: Span,
    },
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Outlasts {
    Process,
    Machine,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    outlasts: Outlasts,
    delay: Option<Spanned<Span>>,
}

impl Raw {
    pub fn check(self, text: &Text<'_>) -> Result<Durability, FileError> {
        match (self.outlasts, self.delay) {
            (Outlasts::Process, None) => Ok(Durability::Process),
            (Outlasts::Process, Some(delay)) => {
                Err(text.wrong(delay.span(), "`delay` means nothing where records are not synced"))
            }
            (Outlasts::Machine, None) => Ok(Durability::Machine { delay: DELAY }),
            (Outlasts::Machine, Some(delay)) => {
                let what = || format!("`delay` must lie between 0 ms and {MOST_DELAY}: answers wait for it");
                let span = *delay.get_ref();
                if span <= MOST_DELAY {
                    Ok(Durability::Machine { delay: span })
                } else {
                    Err(text.wrong(delay.span(), what()))
                }
            }
        }
    }
}
