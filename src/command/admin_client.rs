//! A client for the admin endpoint of a running sender.
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long connecting, and each read, may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound on the length of an answer.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// The connection could not be established, or failed.
    #[error("asking {0}: {1}")]
    Connection(SocketAddr, io::Error),
    /// The sender rejected the request.
    #[error("{0} says: {1}")]
    Rejected(SocketAddr, String),
    /// The answer cannot be parsed.
    #[error("the answer of {0} cannot be read: {1}")]
    Malformed(SocketAddr, String),
}

/// Requests a path, and parses the answer.
///
/// # Errors
/// Returns an error if the request fails, or the answer cannot be parsed.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AdminClientError> {
    let answer = request(address, path).map_err(|error| AdminClientError::Connection(address, error))?;
    let text = String::from_utf8_lossy(&answer);
    let malformed = |reason: &str| AdminClientError::Malformed(address, reason.to_owned());
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| malformed("it ends too soon"))?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(AdminClientError::Rejected(address, body.trim().to_owned()));
    }
    serde_json::from_str(body).map_err(|error| malformed(&error.to_string()))
}

/// Sends a request, and returns the whole HTTP response.
fn request(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut response)?;
    Ok(response)
}
