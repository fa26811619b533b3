//! HTTP/1.1 messages over blocking streams: the subset that the daemon uses.
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The timeout of every wait in these tests.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line, without CRLF.
    pub first_line: String,
    /// The lowercase names and the values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body, of the length in `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message. Returns `None` when the stream ends before the message is complete.
    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            read_more(stream, &mut bytes)?;
        };
        let mut body = bytes.split_off(head_end + 4);
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next()?.to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or_default());
        while body.len() < length {
            read_more(stream, &mut body)?;
        }
        Some(Self { first_line, headers, body })
    }

    /// Returns the value of the header with the given lowercase name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    ///
    /// # Panics
    /// Panics if the first line has no status code.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status line with a code")
    }

    /// Returns the body as JSON.
    ///
    /// # Panics
    /// Panics if the body is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
    bytes.extend_from_slice(&buffer[..read]);
    Some(())
}

/// Sends a request on a new connection and returns the response.
pub fn request(at: SocketAddr, line: &str, headers: &str, body: &[u8]) -> Message {
    let mut stream = TcpStream::connect(at).expect("connect to the server");
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let head = format!("{line} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    Message::read(&mut stream).expect("a complete response")
}

/// Returns the bytes of a response as text.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
