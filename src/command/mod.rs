//! What can be asked for on the command line besides running a sender.
mod door;
mod peers;
mod recovery;

use crate::{StartError, operator, platform};
use clap::Subcommand;
use micadrum_membership::Secret;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// What is asked for.
#[derive(Subcommand)]
pub enum What {
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

/// Why it could not be done.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file cannot be used.
    #[error(transparent)]
    File(#[from] StartError),
    /// Chance, or a file that is to be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The sender says no.
    #[error(transparent)]
    Door(#[from] door::DoorError),
    /// Nothing says where the sender's door is.
    #[error("the configuration names no `management`: say where with --door")]
    NoDoor,
}

impl What {
    /// Does it.
    ///
    /// # Errors
    /// Why it could not be done.
    pub fn carry_out(self) -> Result<(), CommandError> {
        match self {
            Self::Check { file, name } => check(&file, name),
            Self::Key { file } => key(&file),
            Self::Recovery { door } => {
                print!("{}", recovery::told(&door::get(door_of(door)?, "/status/recovery")?));
                Ok(())
            }
            Self::Peers { door, all } => {
                let door = door_of(door)?;
                if all {
                    print!("{}", peers::matrix(&door::get(door, "/status/peers/all")?));
                } else {
                    print!("{}", peers::table(&door::get(door, "/status/peers")?));
                }
                Ok(())
            }
        }
    }
}

fn door_of(given: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
    match given {
        Some(door) => Ok(door),
        None => platform()?.admin_listen.ok_or(CommandError::NoDoor),
    }
}

fn check(file: &Path, name: Option<String>) -> Result<(), CommandError> {
    let name = match name {
        Some(name) => name,
        None => platform()?.name,
    };
    let operator = operator(file, &name)?;
    match &operator.peers {
        Some(peers) => println!("{}: fine: {} of {} members", file.display(), name, peers.members.len()),
        None => println!("{}: fine: peers are off", file.display()),
    }
    Ok(())
}

fn key(file: &Path) -> Result<(), CommandError> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(std::io::Error::other)?;
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let mut to = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(file)?;
    writeln!(to, "{}", hex(&bytes))?;
    println!("{}", hex(&Secret::new(bytes).public()));
    Ok(())
}
