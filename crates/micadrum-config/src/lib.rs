//! The operator's file: what the people who run a sender may turn on beyond what the platform's configuration says.
//!
//! One TOML file, the same for every sender of a fleet, named by `MICADRUM_OPERATOR`. A part that it does not have is
//! off. It is checked whole before anything of it is acted on: a field that is not known, a unit that is missing, a name
//! that stands twice are refused with file, line and column, and with the nearest name where one is near.
//!
//! This package does no I/O; whoever reads the file hands in its text.
#![forbid(unsafe_code)]

mod diagnostics;
mod durability;
pub mod peers;
mod recovery;
pub mod units;

pub use diagnostics::FileError;
use diagnostics::Text;
pub use durability::Durability;
pub use peers::Peers;
pub use recovery::Recovery;
use serde::Deserialize;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Senders that know each other; off without it.
    pub peers: Option<Peers>,
    /// What the journal outlasts.
    pub durability: Durability,
    /// What a sender does after its machine has begun anew; as after any start without it.
    pub recovery: Option<Recovery>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    peers: Option<peers::Raw>,
    durability: Option<durability::Raw>,
    recovery: Option<recovery::Raw>,
}

/// Why a later file cannot take the place of the one that a process began with.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ChangeError {
    /// Sockets are opened at the start alone.
    #[error("[{0}] cannot be turned on, off or over while a sender runs: restart it")]
    Switched(&'static str),
    /// What others know this sender by.
    #[error("peers: own {0} cannot change while a sender runs: restart it")]
    Own(&'static str),
}

impl OperatorConfig {
    /// Reads and checks a file for the sender `own`; `file` is only named in errors.
    ///
    /// # Errors
    /// The first thing that is wrong, and where.
    pub fn parse(file: &str, text: &str, own: &str) -> Result<Self, FileError> {
        let text = Text { file, text };
        let raw: Raw = toml::from_str(text.text).map_err(|e| text.toml_error(&e))?;
        let peers = raw.peers.map(|raw| raw.check(&text, own)).transpose()?;
        let durability = raw.durability.map(|raw| raw.check(&text)).transpose()?.unwrap_or_default();
        let recovery = raw.recovery.map(|raw| raw.check(&text)).transpose()?;
        Ok(Self { peers, durability, recovery })
    }

    /// Whether a process that began with this file can follow `next`.
    ///
    /// # Errors
    /// What needs a restart.
    pub fn may_become(&self, next: &Self) -> Result<(), ChangeError> {
        if self.durability != next.durability {
            return Err(ChangeError::Switched("durability"));
        }
        if self.recovery.is_some() != next.recovery.is_some() {
            return Err(ChangeError::Switched("recovery"));
        }
        match (&self.peers, &next.peers) {
            (None, None) => Ok(()),
            (Some(now), Some(next)) => now.may_become(next),
            _ => Err(ChangeError::Switched("peers")),
        }
    }
}

#[cfg(test)]
mod tests;
