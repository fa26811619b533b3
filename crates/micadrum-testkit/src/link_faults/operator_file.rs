//! The operator's file of each sender, with the members and their keys filled in.
use crate::plan::SeededRng;
use micadrum_config::OperatorConfig;
use micadrum_membership::Secret;
use std::net::SocketAddr;
use toml::{Table, Value};

/// Keys of `[peers]` that are filled in here.
const FILLED_IN_KEYS: [&str; 3] = ["member", "secret", "listen"];

/// Why the `[operator]` of a scenario is no operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The table cannot be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The daemon's check of the file found a fault.
    #[error("{0}")]
    Rejected(String),
    /// `peers` is something else than a table.
    #[error("`peers` is a table")]
    PeersNotTable,
    /// The scenario sets a key that is filled in here.
    #[error("`{0}` is filled in by the kit")]
    FilledIn(&'static str),
}

/// A sender as a member of the operator's file.
pub struct MemberEntry {
    /// Its name.
    pub name: String,
    /// The address at which the sender whose file this is reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its secret.
    pub secret: [u8; 32],
}

/// Returns the secret of a sender.
#[must_use]
pub fn secret(seed: u64, sender: u32) -> [u8; 32] {
    let mut random = SeededRng::new(seed, &format!("secret of sender {sender}"));
    let mut secret = [0; 32];
    for bytes in secret.chunks_mut(8) {
        bytes.copy_from_slice(&random.number().to_le_bytes());
    }
    secret
}

/// Returns bytes in hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the operator's file of one sender, with its members filled in; without members, with two that stand for them.
///
/// # Errors
/// Returns what is wrong with the scenario's `[operator]`.
pub fn operator_file(table: &Table, members: &[MemberEntry]) -> Result<String, OperatorFileError> {
    let mut table = table.clone();
    let Some(peers) = table.get_mut("peers") else {
        let text = toml::to_string(&table)?;
        check(&text)?;
        return Ok(text);
    };
    let Value::Table(peers) = peers else { return Err(OperatorFileError::PeersNotTable) };
    if let Some(key) = FILLED_IN_KEYS.into_iter().find(|key| peers.contains_key(*key)) {
        return Err(OperatorFileError::FilledIn(key));
    }
    let placeholders = [placeholder(0), placeholder(1)];
    let named = if members.is_empty() { &placeholders } else { members };
    peers.insert("secret".to_owned(), Value::from("peers.secret"));
    peers.insert("member".to_owned(), Value::Array(named.iter().map(member).collect()));
    let text = toml::to_string(&table)?;
    if members.is_empty() {
        check(&text)?;
    }
    Ok(text)
}

fn check(text: &str) -> Result<(), OperatorFileError> {
    OperatorConfig::parse("", text, "n0").map_err(|error| OperatorFileError::Rejected(error.message))?;
    Ok(())
}

/// Returns a member for a file that is only checked.
fn placeholder(number: u8) -> MemberEntry {
    MemberEntry {
        name: format!("n{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + u16::from(number))),
        zone: "a".to_owned(),
        secret: [number + 1; 32],
    }
}

/// Returns the entry of a member in the file.
fn member(named: &MemberEntry) -> Value {
    let fields = [
        ("name", named.name.clone()),
        ("address", named.address.to_string()),
        ("building", named.zone.clone()),
        ("key", hex(&Secret::new(named.secret).public_key())),
    ];
    Value::Table(fields.into_iter().map(|(field, text)| (field.to_owned(), Value::from(text))).collect())
}
