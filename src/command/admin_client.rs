//! A client for the admin endpoint of a running sender.
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The timeout of connecting, and of each read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum length of a response; a longer one is cut off and fails to parse.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// The connection could not be established, or failed.
    #[error("request to the admin endpoint {0} failed: {1}")]
    Connection(SocketAddr, io::Error),
    /// The sender rejected the request.
    #[error("the admin endpoint {0} rejected the request: {1}")]
    Rejected(SocketAddr, String),
    /// The response cannot be parsed.
    #[error("invalid response from the admin endpoint {0}: {1}")]
    Malformed(SocketAddr, String),
}

/// Sends a GET request for a path, and parses the JSON body of the response.
///
/// # Errors
/// Returns an error if the connection fails, the status is not 200, or the response cannot be parsed.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AdminClientError> {
    let response = request(address, path).map_err(|error| AdminClientError::Connection(address, error))?;
    let text = String::from_utf8_lossy(&response);
    let malformed = |reason: &str| AdminClientError::Malformed(address, reason.to_owned());
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| malformed("the header is incomplete"))?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(AdminClientError::Rejected(address, body.trim().to_owned()));
    }
    serde_json::from_str(body).map_err(|error| malformed(&error.to_string()))
}

/// Sends a GET request, and returns the whole HTTP response.
fn request(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    Ok(response)
}
