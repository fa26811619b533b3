//! The subcommands of the command line.
mod admin_client;
mod peers;
mod recovery;

use crate::{StartError, read_operator_config, read_platform_config};
use clap::Subcommand;
use micadrum_membership::Secret;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A subcommand. The doc comments of the variants and fields are the help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Validates an operator's configuration file, and reports the first error
    Check {
        /// The file to validate
        file: PathBuf,
        /// The name of the sender that would use the file; by default the name in the file that PROXY_CONFIG
        /// names
        #[arg(long)]
        name: Option<String>,
    },
    /// Generates a secret key for a member of [peers], and prints the matching public key
    Key {
        /// The file to write the secret key to; it must not exist
        file: PathBuf,
    },
    /// Shows how a running sender sees the members of its fleet
    Peers {
        /// The address of the sender's admin endpoint; by default the one in the file that PROXY_CONFIG names
        #[arg(long = "door", value_name = "ADDRESS")]
        admin_address: Option<SocketAddr>,
        /// Queries all members through this sender, and shows the status of each member as seen by each other
        /// one
        #[arg(long)]
        all: bool,
    },
    /// Shows the progress of a sender's recovery since its start, and how far its journal and clock are
    /// trusted
    Recovery {
        /// The address of the sender's admin endpoint; by default the one in the file that PROXY_CONFIG names
        #[arg(long = "door", value_name = "ADDRESS")]
        admin_address: Option<SocketAddr>,
    },
}

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration file cannot be read or is invalid.
    #[error(transparent)]
    File(#[from] StartError),
    /// Random bytes are not available, or a file cannot be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The request to the admin endpoint failed.
    #[error(transparent)]
    AdminClient(#[from] admin_client::AdminClientError),
    /// The address of the admin endpoint was not given, and the platform configuration has none.
    #[error(
        "the configuration has no `management` address: pass the address of the admin endpoint with --door"
    )]
    AdminAddressMissing,
}

impl Command {
    /// Executes the subcommand.
    ///
    /// # Errors
    /// Returns an error if a file or the admin endpoint cannot be used.
    pub fn execute(self) -> Result<(), CommandError> {
        match self {
            Self::Check { file, name } => check(&file, name),
            Self::Key { file } => create_key(&file),
            Self::Recovery { admin_address } => {
                let report = admin_client::get(resolve_admin_address(admin_address)?, "/status/recovery")?;
                print!("{}", recovery::format_report(&report));
                Ok(())
            }
            Self::Peers { admin_address, all } => {
                let address = resolve_admin_address(admin_address)?;
                if all {
                    print!("{}", peers::format_matrix(&admin_client::get(address, "/status/peers/all")?));
                } else {
                    print!("{}", peers::format_table(&admin_client::get(address, "/status/peers")?));
                }
                Ok(())
            }
        }
    }
}

/// Returns the given address of the admin endpoint, or else the one in the platform configuration.
fn resolve_admin_address(given: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
    match given {
        Some(address) => Ok(address),
        None => read_platform_config()?.admin_listen.ok_or(CommandError::AdminAddressMissing),
    }
}

/// Validates an operator's configuration file, and prints a summary.
fn check(file: &Path, name: Option<String>) -> Result<(), CommandError> {
    let name = match name {
        Some(name) => name,
        None => read_platform_config()?.name,
    };
    let operator = read_operator_config(file, &name)?;
    match &operator.peers {
        Some(peers) => println!("{}: valid: {} of {} members", file.display(), name, peers.members.len()),
        None => println!("{}: valid: membership is disabled", file.display()),
    }
    Ok(())
}

/// Creates a secret key file that only its owner may read, and prints the public key.
fn create_key(file: &Path) -> Result<(), CommandError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(std::io::Error::other)?;
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let mut output = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(file)?;
    writeln!(output, "{}", hex(&secret))?;
    println!("{}", hex(&Secret::new(secret).public_key()));
    Ok(())
}
