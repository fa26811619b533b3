//! The operator's configuration file: what the people who run a sender may enable beyond the platform's configuration.
//!
//! One TOML file, identical for every sender of a fleet, named by `MICADRUM_OPERATOR`. A section that the file lacks is
//! disabled. The file is validated completely before any of it takes effect: an unknown field, a missing unit or a
//! duplicate name is rejected with file, line and column, and with the nearest known name where one is similar.
//!
//! This package performs no I/O; the caller passes the text of the file.
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
    /// The members of the fleet; `None` disables membership.
    pub peers: Option<Peers>,
    /// Which failures the journal survives.
    pub durability: Durability,
    /// What a sender does after its machine has restarted; `None` treats that like any other restart.
    pub recovery: Option<Recovery>,
}

/// The file as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    peers: Option<RawPeers>,
    durability: Option<RawDurability>,
    recovery: Option<RawRecovery>,
}

impl OperatorConfig {
    /// Parses and validates a file for the sender `own_name`; `file` only appears in errors.
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
    /// Returns what requires a restart.
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
