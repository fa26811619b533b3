//! Errors that end the adapter.
use micadrum::SettingsError;
use micadrum::profile::ProfileError;
use std::io;

/// Invalid input, or output that cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading standard input failed.
    #[error("failed to read standard input: {0}")]
    Read(io::Error),
    /// Encoding a reply as JSON failed.
    #[error("failed to encode a reply: {0}")]
    Write(serde_json::Error),
    /// A line is not a valid JSON batch.
    #[error("{0}")]
    Json(serde_json::Error),
    /// Processing a line failed.
    #[error("line {number}: {source}")]
    Line {
        /// The line number, starting at 1.
        number: u64,
        /// The error in the line.
        source: Box<AdapterError>,
    },
    /// An input in a batch is invalid.
    #[error("sender {sender}, input {position}: {source}")]
    Input {
        /// The sender to which the input belongs.
        sender: u64,
        /// The index of the input among those of the sender, starting at 0.
        position: usize,
        /// The error in the input.
        source: Box<AdapterError>,
    },
    /// The settings of a sender contain an invalid value or an unknown name.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// The core rejected the settings of a sender.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An input is for a sender that has not been started.
    #[error("the sender has not been started")]
    UnknownSender,
    /// A discovery input has no catalog page.
    #[error("a discovery input requires a catalog page")]
    MissingPage,
    /// A discovery input refers to a catalog page that has not been received.
    #[error("unknown catalog page {0}")]
    UnknownPage(u64),
    /// A tenant is given as a number other than 0.
    #[error("unknown tenant {0}, expected a name or 0")]
    UnknownTenant(u64),
    /// An ordering key is not a 64-bit hexadecimal number.
    #[error("invalid ordering key {0:?}, expected a 64-bit hexadecimal number")]
    OrderKey(String),
}
