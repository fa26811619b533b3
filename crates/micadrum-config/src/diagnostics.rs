//! Errors in a configuration file, reported with their position and the nearest known name.
use crate::units::Span;
use std::fmt;
use std::ops::Range;
use toml::Spanned;

/// Names less similar than this are not suggested (Jaro-Winkler similarity, 0 to 1).
const MIN_SUGGESTION_SIMILARITY: f64 = 0.8;

/// The position of a character in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in bytes, from 1.
    pub column: usize,
}

/// An error in a configuration file.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub struct FileError {
    /// The file, as the caller named it.
    pub file: String,
    /// The start of the text that is in error.
    pub position: Position,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{}:{line}:{column}: {}", self.file, self.message)
    }
}

/// A file's name and text.
pub(crate) struct SourceText<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl SourceText<'_> {
    /// Creates an error at the start of a byte range of the text.
    pub fn error(&self, span: Range<usize>, message: impl Into<String>) -> FileError {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
        let column = before.len() - line_start + 1;
        FileError { file: self.file.to_owned(), position: Position { line, column }, message: message.into() }
    }

    /// Converts an error of the TOML parser. For an unknown field or variant it suggests the nearest known
    /// name.
    pub fn toml_error(&self, error: &toml::de::Error) -> FileError {
        let mut message = error.message().replace('\n', " ").trim().to_owned();
        if message.starts_with("unknown field") || message.starts_with("unknown variant") {
            // The parser puts names in backquotes: first the unknown one, then the known ones.
            let mut names = message.split('`').skip(1).step_by(2);
            if let Some(written) = names.next()
                && let Some(nearest) = nearest_name(written, names)
            {
                message = format!("{message}; did you mean `{nearest}`?");
            }
        }
        self.error(error.span().unwrap_or(0..0), message)
    }

    /// Returns the given span if it is within the bounds of the setting, or the default if none is given.
    pub fn span_within(
        &self,
        given: Option<Spanned<Span>>,
        setting: &SpanSetting,
    ) -> Result<Span, FileError> {
        let Some(given) = given else { return Ok(setting.default) };
        let span = *given.get_ref();
        let SpanSetting { key, min, max, .. } = setting;
        if (*min..=*max).contains(&span) {
            Ok(span)
        } else {
            Err(self.error(given.span(), format!("`{key}` must be between {min} and {max}, but is {span}")))
        }
    }
}

/// The key, the default and the inclusive bounds of a setting.
pub(crate) struct SpanSetting {
    pub key: &'static str,
    pub default: Span,
    pub min: Span,
    pub max: Span,
}

/// Returns the known name most similar to `written`, or `None` if none is similar enough.
pub(crate) fn nearest_name<'a>(written: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|name| (strsim::jaro_winkler(written, name), name));
    let similar = scored.filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY);
    similar.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name)
}
