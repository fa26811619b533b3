//! The `[recovery]` section: what a sender does after its machine has restarted.
use crate::diagnostics::{FileError, SourceText, SpanSetting};
use crate::units::{Rate, Span};
use serde::Deserialize;
use toml::Spanned;

/// The longest configurable timeout of a recovery phase.
const MAX_PHASE: Span = Span::seconds(30);
const MAX_ADMISSION_RAMP: Span = Span::seconds(120);
const MAX_DEDUPLICATION_HOLD: Span = Span::seconds(3600);
const DEFAULT_ADMISSIONS_PER_SECOND: f64 = 100.0;
/// The file from which Linux provides the id of the current boot.
pub const DEFAULT_BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

const PEER_QUERY_TIMEOUT: SpanSetting =
    SpanSetting { key: "ask_for", default: Span::seconds(1), min: Span(0), max: MAX_PHASE };
const ENDPOINT_LIST_TIMEOUT: SpanSetting =
    SpanSetting { key: "list_for", default: Span::seconds(2), min: Span(0), max: MAX_PHASE };
const BACKLOG_TIMEOUT: SpanSetting =
    SpanSetting { key: "finish_for", default: Span::millis(500), min: Span(0), max: MAX_PHASE };
const ADMISSION_RAMP: SpanSetting =
    SpanSetting { key: "full_after", default: Span::seconds(5), min: Span(0), max: MAX_ADMISSION_RAMP };
const DEDUPLICATION_HOLD: SpanSetting =
    SpanSetting { key: "wait_out", default: Span(0), min: Span(0), max: MAX_DEDUPLICATION_HOLD };

/// The validated `[recovery]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// The maximum time to query peers.
    pub peer_query_timeout: Span,
    /// The maximum time to wait for the endpoint list.
    pub endpoint_list_timeout: Span,
    /// The maximum time for which messages from before the restart take precedence over new ones.
    pub backlog_timeout: Span,
    /// The number of new messages per second that are admitted at first.
    pub initial_admissions_per_second: f64,
    /// The time until the admission rate is unlimited.
    pub admission_ramp: Span,
    /// How long new messages that must not be delivered twice are rejected after the start, if ids of
    /// completed messages may have been lost.
    pub deduplication_hold: Span,
    /// Whether the operators guarantee that, after a power loss, the clock is set before a sender starts.
    pub trusts_clock: bool,
    /// The path of the file with the kernel's boot id.
    pub boot_id_file: String,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Clock {
    Unchecked,
    Vouched,
}

/// The section as written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRecovery {
    ask_for: Option<Spanned<Span>>,
    list_for: Option<Spanned<Span>>,
    finish_for: Option<Spanned<Span>>,
    newcomers: Option<Rate>,
    full_after: Option<Spanned<Span>>,
    wait_out: Option<Spanned<Span>>,
    clock: Option<Clock>,
    boot_id: Option<String>,
}

impl RawRecovery {
    /// Validates the section.
    pub fn validate(self, text: &SourceText<'_>) -> Result<Recovery, FileError> {
        Ok(Recovery {
            peer_query_timeout: text.span_within(self.ask_for, &PEER_QUERY_TIMEOUT)?,
            endpoint_list_timeout: text.span_within(self.list_for, &ENDPOINT_LIST_TIMEOUT)?,
            backlog_timeout: text.span_within(self.finish_for, &BACKLOG_TIMEOUT)?,
            initial_admissions_per_second: self
                .newcomers
                .map_or(DEFAULT_ADMISSIONS_PER_SECOND, |rate| rate.0),
            admission_ramp: text.span_within(self.full_after, &ADMISSION_RAMP)?,
            deduplication_hold: text.span_within(self.wait_out, &DEDUPLICATION_HOLD)?,
            trusts_clock: matches!(self.clock, Some(Clock::Vouched)),
            boot_id_file: self.boot_id.unwrap_or_else(|| DEFAULT_BOOT_ID_FILE.to_owned()),
        })
    }
}
