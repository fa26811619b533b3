//! Generates the operator's file of each sender from a scenario's `[operator]` table, the members and their
//! keys.
use crate::plan::SeededRng;
use micadrum_config::OperatorConfig;
use micadrum_membership::Secret;
use std::net::SocketAddr;
use toml::{Table, Value};

/// Keys of `[peers]` that the test kit sets, so that scenarios must not.
const FILLED_IN_KEYS: [&str; 3] = ["member", "secret", "listen"];

/// An `[operator]` table that cannot be made into an operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The table cannot be serialized as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The daemon's parser rejects the file.
    #[error("{0}")]
    Rejected(String),
    /// `peers` is not a table.
    #[error("`peers` must be a table")]
    PeersNotTable,
    /// The scenario sets a key that the test kit sets.
    #[error("`peers.{0}` must not be given: the test kit sets it")]
    FilledIn(&'static str),
}

/// A member in an operator's file.
pub struct MemberEntry {
    /// The name of the member.
    pub name: String,
    /// The address at which the reader of the file reaches the member.
    pub address: SocketAddr,
    /// The zone of the member.
    pub zone: String,
    /// The secret key of the member; the file contains the public key.
    pub secret: [u8; 32],
}

/// Returns the secret key of a sender, which depends on the seed of the run and the sender alone.
#[must_use]
pub fn secret(seed: u64, sender: u32) -> [u8; 32] {
    let mut random = SeededRng::new(seed, &format!("secret of sender {sender}"));
    let mut secret = [0; 32];
    for bytes in secret.chunks_mut(8) {
        bytes.copy_from_slice(&random.number().to_le_bytes());
    }
    secret
}

/// Encodes bytes in lowercase hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the operator's file of one sender.
///
/// If `members` is empty, the file gets two placeholder members, and the daemon's parser validates it.
///
/// # Errors
/// Returns an error if the table sets a key that the test kit sets, cannot be serialized, or is rejected by
/// the daemon's parser.
pub fn operator_file(table: &Table, members: &[MemberEntry]) -> Result<String, OperatorFileError> {
    let mut table = table.clone();
    let Some(peers) = table.get_mut("peers") else {
        let text = toml::to_string(&table)?;
        validate(&text)?;
        return Ok(text);
    };
    let Value::Table(peers) = peers else { return Err(OperatorFileError::PeersNotTable) };
    if let Some(key) = FILLED_IN_KEYS.into_iter().find(|key| peers.contains_key(*key)) {
        return Err(OperatorFileError::FilledIn(key));
    }
    let placeholders = [placeholder(0), placeholder(1)];
    let members_or_placeholders = if members.is_empty() { &placeholders } else { members };
    peers.insert("secret".to_owned(), Value::from("peers.secret"));
    peers.insert(
        "member".to_owned(),
        Value::Array(members_or_placeholders.iter().map(member_table).collect()),
    );
    let text = toml::to_string(&table)?;
    if members.is_empty() {
        validate(&text)?;
    }
    Ok(text)
}

fn validate(text: &str) -> Result<(), OperatorFileError> {
    OperatorConfig::parse("", text, "n0").map_err(|error| OperatorFileError::Rejected(error.message))?;
    Ok(())
}

/// Returns a placeholder member for a file that is validated and not used.
fn placeholder(number: u8) -> MemberEntry {
    MemberEntry {
        name: format!("n{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + u16::from(number))),
        zone: "a".to_owned(),
        secret: [number + 1; 32],
    }
}

/// Returns the `[[peers.member]]` table of a member.
fn member_table(member: &MemberEntry) -> Value {
    let fields = [
        ("name", member.name.clone()),
        ("address", member.address.to_string()),
        ("building", member.zone.clone()),
        ("key", hex(&Secret::new(member.secret).public_key())),
    ];
    Value::Table(fields.into_iter().map(|(field, text)| (field.to_owned(), Value::from(text))).collect())
}
