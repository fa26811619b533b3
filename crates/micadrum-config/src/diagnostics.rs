//! What is wrong with a file, told so that whoever wrote it finds the place.
use std::fmt;
use std::ops::Range;

/// Names less alike than this are no slip of the pen (Jaro-Winkler, 0 to 1).
const NEAR: f64 = 0.8;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub struct FileError {
    /// The file, as it was named.
    pub file: String,
    /// Line and column, from 1.
    pub place: (usize, usize),
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.place.0, self.place.1, self.what)
    }
}

/// A file's text under its name.
pub(crate) struct Text<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl Text<'_> {
    /// An error at a place in it.
    pub fn wrong(&self, span: Range<usize>, what: impl Into<String>) -> FileError {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.len() - before.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1) + 1;
        FileError { file: self.file.to_owned(), place: (line, column), what: what.into() }
    }

    /// The reader's own error, with the nearest name where a field is not known.
    pub fn toml_error(&self, error: &toml::de::Error) -> FileError {
        let mut what = error.message().replace('\n', " ").trim().to_owned();
        if what.starts_with("unknown field") || what.starts_with("unknown variant") {
            // The names stand in backquotes: what was written first, then what is known.
            let mut names = what.split('`').skip(1).step_by(2);
            if let Some(written) = names.next()
                && let Some(near) = nearest(written, names)
            {
                what = format!("{what}; did you mean `{near}`?");
            }
        }
        self.wrong(error.span().unwrap_or(0..0), what)
    }
}

/// The known name that is most like a written one, if any is alike.
pub(crate) fn nearest<'a>(written: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let alike = known.map(|name| (strsim::jaro_winkler(written, name), name));
    alike.filter(|(alike, _)| *alike >= NEAR).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name)
}
