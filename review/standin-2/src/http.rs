//! A small HTTP/1.1 server and client over blocking sockets.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as it was read.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte had come.
    pub first_byte: Instant,
    /// When its last byte had come.
    pub last_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Answers with status, further header lines and body, and keeps the connection.
    Answer(u16, String, String),
    /// Writes nothing until the peer closes the connection, and then calls the function.
    Silence(Box<dyn FnOnce() + Send>),
    /// Resets the connection.
    Reset,
}

pub fn answer(status: u16) -> Reply {
    Reply::Answer(status, String::new(), String::new())
}

/// Serves a listener until the process ends: a thread for each connection. `handle` is called with each
/// request and may wait before it returns.
pub fn serve<H: Fn(&Request) -> Reply + Send + Sync + 'static>(listener: TcpListener, handle: H) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        match handle(&request) {
            Reply::Answer(status, headers, body) => {
                if write_answer(&mut stream, status, &headers, &body).is_err() {
                    return;
                }
            }
            Reply::Silence(on_close) => {
                drain(&mut stream);
                return on_close();
            }
            Reply::Reset => return reset(stream),
        }
    }
}

fn drain(stream: &mut TcpStream) {
    let mut discarded = [0; 4096];
    while stream.read(&mut discarded).is_ok_and(|count| count > 0) {}
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET and SO_LINGER as on Linux, on x86-64 and on arm64 alike.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    stream.write_all(format!("HTTP/1.1 {status} X\r\n{length}{headers}\r\n{body}").as_bytes())
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut first_byte = (!buffer.is_empty()).then(Instant::now);
    let head_end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer)?;
        first_byte.get_or_insert_with(Instant::now);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        read_more(stream, buffer)?;
    }
    let last_byte = Instant::now();
    let body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    let first_byte = first_byte.unwrap_or(last_byte);
    Some(Request { method, path, headers, body, first_byte, last_byte })
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 65536];
    let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The answer to a request of ours.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub closes: bool,
}

/// Reads one answer. An error if the connection ends or stays silent for the stream's timeout.
pub fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Response> {
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let more = |stream: &mut TcpStream, buffer: &mut Vec<u8>| -> io::Result<()> {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk)? {
            0 => Err(ended()),
            count => {
                buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    };
    let head_end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at + 4;
        }
        more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(ended)?;
    let value = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let length: usize = value("content-length:").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        more(stream, buffer)?;
    }
    buffer.drain(..head_end + length);
    Ok(Response { status, closes: value("connection:").is_some_and(|value| value.contains("close")) })
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    read_response(&mut stream, &mut Vec::new())
}

/// The bytes of a request.
pub fn request_bytes(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nContent-Length: {length}\r\n{headers}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
