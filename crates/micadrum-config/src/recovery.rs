//! `[recovery]`: what a sender does after its machine has begun anew.
use crate::diagnostics::{FileError, Text};
use crate::units::{Rate, Span};
use serde::Deserialize;
use toml::Spanned;

/// The longest that a stage may take: a sender that stays away for longer is of no use to anybody.
const MOST_STAGE: Span = Span::seconds(30);
const MOST_FULL_AFTER: Span = Span::seconds(120);
const MOST_WAIT_OUT: Span = Span::seconds(3600);

/// The whole part, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// How long peers are asked at the most.
    pub ask_for: Span,
    /// How long the list is waited for.
    pub list_for: Span,
    /// How long what is owed from before goes before newcomers.
    pub finish_for: Span,
    /// Newcomers a second when the door opens.
    pub newcomers: f64,
    /// When their rate has no limit any more.
    pub full_after: Span,
    /// For so long after a start at which the ids of messages that are over may be missing, newcomers of which a second copy
    /// does harm are turned away.
    pub wait_out: Span,
    /// The clock is set before a sender starts, after every loss of power.
    pub clock_vouched: bool,
    /// The file in which the machine says which run of it this is.
    pub boot_id: String,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Clock {
    Unchecked,
    Vouched,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    ask_for: Option<Spanned<Span>>,
    list_for: Option<Spanned<Span>>,
    finish_for: Option<Spanned<Span>>,
    newcomers: Option<Rate>,
    full_after: Option<Spanned<Span>>,
    wait_out: Option<Spanned<Span>>,
    clock: Option<Clock>,
    boot_id: Option<String>,
}

impl Raw {
    pub fn check(self, text: &Text<'_>) -> Result<Recovery, FileError> {
        let up_to = |given: Option<Spanned<Span>>, usual: Span, most: Span, name: &str| {
            let Some(given) = given else { return Ok(usual) };
            let span = *given.get_ref();
            let what = || format!("`{name}` must lie between 0 s and {most}");
            if span <= most { Ok(span) } else { Err(text.wrong(given.span(), what())) }
        };
        Ok(Recovery {
            ask_for: up_to(self.ask_for, Span::seconds(1), MOST_STAGE, "ask_for")?,
            list_for: up_to(self.list_for, Span::seconds(2), MOST_STAGE, "list_for")?,
            finish_for: up_to(self.finish_for, Span::millis(500), MOST_STAGE, "finish_for")?,
            newcomers: self.newcomers.map_or(100.0, |rate| rate.0),
            full_after: up_to(self.full_after, Span::seconds(5), MOST_FULL_AFTER, "full_after")?,
            wait_out: up_to(self.wait_out, Span(0), MOST_WAIT_OUT, "wait_out")?,
            clock_vouched: matches!(self.clock, Some(Clock::Vouched)),
            boot_id: self.boot_id.unwrap_or_else(|| "/proc/sys/kernel/random/boot_id".to_owned()),
        })
    }
}
