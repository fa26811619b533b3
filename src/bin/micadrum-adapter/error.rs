//! Why the adapter cannot go on.
use micadrum::SettingsError;
use micadrum::profile::ProfileError;
use std::io;

/// Input that cannot be understood, or output that cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("reading standard input: {0}")]
    Read(io::Error),
    /// A reply cannot be encoded.
    #[error("writing a reply: {0}")]
    Write(serde_json::Error),
    /// A line is no batch.
    #[error("{0}")]
    Json(serde_json::Error),
    /// A line cannot be answered.
    #[error("line {number}: {source}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        /// What is wrong with it.
        source: Box<AdapterError>,
    },
    /// An input of a batch cannot be understood.
    #[error("sender {sender}, input {position}: {source}")]
    Input {
        /// The sender that it is for.
        sender: u64,
        /// Its position among the inputs of that sender, from 0.
        position: usize,
        /// What is wrong with it.
        source: Box<AdapterError>,
    },
    /// The settings of a sender cannot be understood, or name something unknown.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// The settings of a sender cannot be acted on.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An input for a sender that was not started.
    #[error("unknown instance")]
    UnknownSender,
    /// A list of endpoints without its page.
    #[error("discovery without a page")]
    MissingPage,
    /// A page that no catalog has announced.
    #[error("unknown catalog page {0}")]
    UnknownPage(u64),
    /// A tenant given by a number other than 0.
    #[error("unknown tenant {0}")]
    UnknownTenant(u64),
    /// An ordering key that is no hexadecimal number.
    #[error("bad key {0:?}")]
    OrderKey(String),
}
