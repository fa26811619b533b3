//! Errors of the journal: the operation that failed, and what the system said.
use std::fmt;
use std::io;

/// A journal operation failed.
#[derive(Debug, thiserror::Error)]
#[error("journal: {operation} failed error={source}")]
pub struct JournalError {
    pub(super) operation: Operation,
    pub(super) source: io::Error,
}

impl JournalError {
    /// Returns the error of the system.
    pub fn into_source(self) -> io::Error {
        self.source
    }
}

/// What the journal was doing when it failed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Operation {
    Read,
    MoveForeign,
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
            Self::MoveForeign => "rename of another sender's file",
            Self::Accept => "accept",
            Self::Append => "append",
            Self::Sync => "sync",
            Self::Rewrite => "rewrite",
        })
    }
}
