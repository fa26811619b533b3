//! Asks a running sender at its operators' door.
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A door that says nothing for so long is none.
const PATIENCE: Duration = Duration::from_secs(5);
/// No answer is longer, in bytes.
const MOST: u64 = 4 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum DoorError {
    /// Nobody is there, or the link broke.
    #[error("asking {0}: {1}")]
    Link(SocketAddr, io::Error),
    /// The sender says no.
    #[error("{0} says: {1}")]
    No(SocketAddr, String),
    /// What came cannot be read.
    #[error("the answer of {0} cannot be read: {1}")]
    Unreadable(SocketAddr, String),
}

/// What stands at a path.
///
/// # Errors
/// Why there is no answer.
pub fn get<T: DeserializeOwned>(door: SocketAddr, path: &str) -> Result<T, DoorError> {
    let link = |e| DoorError::Link(door, e);
    let mut stream = TcpStream::connect_timeout(&door, PATIENCE).map_err(link)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(link)?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(link)?;
    let mut bytes = Vec::new();
    stream.take(MOST).read_to_end(&mut bytes).map_err(link)?;
    let text = String::from_utf8_lossy(&bytes);
    let unreadable = |what: &str| DoorError::Unreadable(door, what.to_owned());
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| unreadable("it ends too soon"))?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(DoorError::No(door, body.trim().to_owned()));
    }
    serde_json::from_str(body).map_err(|e| unreadable(&e.to_string()))
}
