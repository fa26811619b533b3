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

/// A subcommand. The comments of variants and fields are the help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Reads an operator's file, and says what is wrong with it
    Check {
        /// The file
        file: PathBuf,
        /// The sender that is to read it; the name in PROXY_CONFIG's file if not given
        #[arg(long)]
        name: Option<String>,
    },
    /// Makes a secret key for a member of [peers], and prints the public key that goes with it
    Key {
        /// Where the secret is written; there must be nothing yet
        file: PathBuf,
    },
    /// Shows what a running sender believes of its peers
    Peers {
        /// Its operators' door; the one in PROXY_CONFIG's file if not given
        #[arg(long, value_name = "ADDRESS")]
        door: Option<SocketAddr>,
        /// Has it ask all of them, and shows who sees whom
        #[arg(long)]
        all: bool,
    },
    /// Shows how far service has returned since the start, and what is trusted of the folder
    Recovery {
        /// Its operators' door; the one in PROXY_CONFIG's file if not given
        #[arg(long, value_name = "ADDRESS")]
        door: Option<SocketAddr>,
    },
}

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration file cannot be used.
    #[error(transparent)]
    File(#[from] StartError),
    /// Random bytes are not available, or a file cannot be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The request to the admin endpoint failed.
    #[error(transparent)]
    AdminClient(#[from] admin_client::AdminClientError),
    /// The address of the admin endpoint is not known.
    #[error("the configuration names no `management`: say where with --door")]
    AdminAddressMissing,
}

impl Command {
    /// Executes the subcommand.
    ///
    /// # Errors
    /// Returns why the subcommand failed.
    pub fn execute(self) -> Result<(), CommandError> {
        match self {
            Self::Check { file, name } => check(&file, name),
            Self::Key { file } => create_key(&file),
            Self::Recovery { door } => {
                let report = admin_client::get(admin_address(door)?, "/status/recovery")?;
                print!("{}", recovery::format(&report));
                Ok(())
            }
            Self::Peers { door, all } => {
                let address = admin_address(door)?;
                if all {
                    print!("{}", peers::matrix(&admin_client::get(address, "/status/peers/all")?));
                } else {
                    print!("{}", peers::table(&admin_client::get(address, "/status/peers")?));
                }
                Ok(())
            }
        }
    }
}

/// Returns the address of the admin endpoint: the given one, or that in the platform configuration.
fn admin_address(given: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
    match given {
        Some(address) => Ok(address),
        None => read_platform_config()?.admin_listen.ok_or(CommandError::AdminAddressMissing),
    }
}

/// Validates an operator's file.
fn check(file: &Path, name: Option<String>) -> Result<(), CommandError> {
    let name = match name {
        Some(name) => name,
        None => read_platform_config()?.name,
    };
    let operator = read_operator_config(file, &name)?;
    match &operator.peers {
        Some(peers) => println!("{}: fine: {} of {} members", file.display(), name, peers.members.len()),
        None => println!("{}: fine: peers are off", file.display()),
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
