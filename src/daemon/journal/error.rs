//! Errors of journal operations.
use std::fmt;
use std::io;

/// A failed journal operation, with the underlying I/O error.
#[derive(Debug, thiserror::Error)]
#[error("journal: {operation} failed error={source}")]
pub struct JournalError {
    pub(super) operation: Operation,
    pub(super) source: io::Error,
}

impl JournalError {
    /// Returns the underlying I/O error.
    pub fn into_source(self) -> io::Error {
        self.source
    }
}

/// The operation that failed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Operation {
    Read,
    RenameForeign,
    Accept,
    Append,
    Sync,
    Rewrite,
}

impl Operation {
    /// Returns a function that attaches this operation to an I/O error.
    pub(super) fn failed(self) -> impl Fn(io::Error) -> JournalError {
        move |source| JournalError { operation: self, source }
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::RenameForeign => "rename of another sender's file",
            Self::Accept => "accept",
            Self::Append => "append",
            Self::Sync => "sync",
            Self::Rewrite => "rewrite",
        })
    }
}
