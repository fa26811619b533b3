//! The operator's configuration file, which enables features that the platform's configuration does not
//! cover.
//!
//! It is a single TOML file, identical for every sender of a fleet; the environment variable
//! `MICADRUM_OPERATOR` holds its path. A feature whose section is missing is disabled. The file is validated
//! completely before any of it takes effect: an unknown field, a missing unit or a duplicate name is rejected
//! with file, line and column, and with the nearest known name where one is similar.
//!
//! This crate performs no I/O; the caller passes the text of the file.
#![forbid(unsafe_code)]

mod diagnostics;
mod durability;
mod error;
pub mod peers;
mod recovery;
pub mod units;

use diagnostics::SourceText;
pub use diagnostics::{FileError, Position};
pub use durability::Durability;
use durability::RawDurability;
pub use error::ChangeError;
pub use peers::Peers;
use peers::RawPeers;
use recovery::RawRecovery;
pub use recovery::{DEFAULT_BOOT_ID_FILE, Recovery};
use serde::Deserialize;

/// The operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The members of the fleet and the settings of the failure detector; `None` disables membership.
    pub peers: Option<Peers>,
    /// The failures that the journal survives.
    pub durability: Durability,
    /// The recovery after a restart of the machine; `None` handles it like a restart of the process.
    pub recovery: Option<Recovery>,
}

/// The file as written, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    peers: Option<RawPeers>,
    durability: Option<RawDurability>,
    recovery: Option<RawRecovery>,
}

impl OperatorConfig {
    /// Parses and validates the text of a file for the sender `own_name`; `file` is the path shown in errors.
    ///
    /// # Errors
    /// Returns the first error in the file, with its position.
    pub fn parse(file: &str, text: &str, own_name: &str) -> Result<Self, FileError> {
        let text = SourceText { file, text };
        let raw: RawConfig = toml::from_str(text.text).map_err(|error| text.toml_error(&error))?;
        let peers = raw.peers.map(|raw| raw.validate(&text, own_name)).transpose()?;
        let durability = raw.durability.map(|raw| raw.validate(&text)).transpose()?.unwrap_or_default();
        let recovery = raw.recovery.map(|raw| raw.validate(&text)).transpose()?;
        Ok(Self { peers, durability, recovery })
    }

    /// Checks whether a process that started with this configuration can reload `next` without a restart.
    ///
    /// # Errors
    /// Returns the first change that requires a restart.
    pub fn check_reload(&self, next: &Self) -> Result<(), ChangeError> {
        if self.durability != next.durability {
            return Err(ChangeError::Section("durability"));
        }
        if self.recovery.is_some() != next.recovery.is_some() {
            return Err(ChangeError::Section("recovery"));
        }
        match (&self.peers, &next.peers) {
            (None, None) => Ok(()),
            (Some(current), Some(next)) => current.check_reload(next),
            _ => Err(ChangeError::Section("peers")),
        }
    }
}

#[cfg(test)]
mod tests;
