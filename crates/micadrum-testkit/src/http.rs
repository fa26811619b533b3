//! HTTP/1.1 for the stand-ins for destinations, the platform and clients. Messages are read together with the
//! time at which they were sent, and written as raw bytes, so that they can be corrupted.
use crate::test_network::TestConnection;
use std::io;
use std::pin::pin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until};

/// Maximum length of a head or a body.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of header fields of a message.
const MAX_FIELDS: usize = 32;

/// An HTTP/1.1 connection, of a client or of a server.
pub struct HttpConnection {
    connection: Box<dyn TestConnection>,
    buffer: Vec<u8>,
    last_answer: Vec<u8>,
    /// Repetitions of answers that have not been written yet.
    repetitions: Vec<RepeatedAnswer>,
}

/// An answer that is written once more, whether or not there is a request for it.
struct RepeatedAnswer {
    due: Instant,
    bytes: Vec<u8>,
}

/// A request or an answer to one.
#[derive(Debug)]
pub struct Message {
    /// The path of a request; empty in an answer.
    pub path: String,
    /// The status code of an answer; 0 in a request.
    pub status: u16,
    fields: Vec<(String, String)>,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
    /// When its first byte was sent, or read if the network does not know when it was sent.
    pub first_sent_at: Instant,
}

impl Message {
    /// Returns the value of a header field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

fn malformed(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl HttpConnection {
    /// Creates an HTTP connection on an open network connection.
    pub fn new(connection: Box<dyn TestConnection>) -> Self {
        Self { connection, buffer: Vec::new(), last_answer: Vec::new(), repetitions: Vec::new() }
    }

    async fn read_more(&mut self) -> io::Result<bool> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(malformed("message is longer than 1 MiB"));
        }
        loop {
            let due = self.next_repetition();
            tokio::select! {
                biased;
                read = self.connection.read_buf(&mut self.buffer) => return Ok(read? > 0),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.write_due_repetitions().await;
                }
            }
        }
    }

    fn next_repetition(&self) -> Option<Instant> {
        self.repetitions.iter().map(|repetition| repetition.due).min()
    }

    /// Writes the repetitions that are due. Errors are ignored: the next read reports them.
    async fn write_due_repetitions(&mut self) {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.repetitions).into_iter().partition(|repetition| repetition.due <= now);
        self.repetitions = later;
        let due: Vec<RepeatedAnswer> = due;
        for repetition in due {
            let _ = self.write(&repetition.bytes).await;
        }
    }

    /// Writes an answer, and keeps it so that it can be repeated.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub async fn write_answer(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.write(&bytes).await?;
        self.last_answer = bytes;
        Ok(())
    }

    /// Writes the last answer once more at `due`, while the connection is read from. Returns false if there is
    /// none.
    pub fn repeat_last_answer(&mut self, due: Instant) -> bool {
        let has_answered = !self.last_answer.is_empty();
        if has_answered {
            self.repetitions.push(RepeatedAnswer { due, bytes: self.last_answer.clone() });
        }
        has_answered
    }

    fn last_sent_at(&self) -> Instant {
        self.connection.sent_at().unwrap_or_else(Instant::now)
    }

    /// Reads a request, or an answer if `answer` is set; `None` if the peer closed the connection before its
    /// first byte.
    ///
    /// # Errors
    /// Returns an error if the connection fails, or the received bytes are not HTTP/1.1.
    pub async fn read(&mut self, answer: bool) -> io::Result<Option<Message>> {
        let mut first_sent_at = None;
        let (mut message, head) = loop {
            if !self.buffer.is_empty() {
                first_sent_at.get_or_insert_with(|| self.last_sent_at());
                if let Some(parsed) = parse(&self.buffer, answer)? {
                    break parsed;
                }
            }
            if !self.read_more().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let length = message.field("content-length").map_or(Ok(0), str::parse::<usize>).map_err(malformed)?;
        if length > MAX_MESSAGE_BYTES {
            return Err(malformed("message is longer than 1 MiB"));
        }
        while self.buffer.len() < head + length {
            if !self.read_more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[head..head + length].to_vec();
        self.buffer.drain(..head + length);
        message.first_sent_at = first_sent_at.unwrap_or_else(Instant::now);
        Ok(Some(message))
    }

    /// Waits until the peer closes the connection or sends unexpected bytes, and returns when it did so.
    pub async fn wait_for_close(&mut self) -> Instant {
        let mut discarded = [0; 512];
        loop {
            let due = self.next_repetition();
            tokio::select! {
                biased;
                _ = self.connection.read(&mut discarded) => break,
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.write_due_repetitions().await;
                }
            }
        }
        // The simulated network knows this time even if the close itself was lost on the link.
        self.connection.closed_at().unwrap_or_else(|| self.last_sent_at())
    }

    /// Writes and flushes all bytes.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.connection.write_all(bytes).await?;
        self.connection.flush().await
    }

    /// Returns when the peer closed the connection, even if the close has not arrived yet; `None` if it did
    /// not, or that is not known.
    pub fn closed_at(&self) -> Option<Instant> {
        self.connection.closed_at()
    }

    /// Returns the time that bytes written now take to reach the peer.
    pub fn delay(&self) -> std::time::Duration {
        self.connection.delay()
    }

    /// Returns whether bytes written now reach the peer, as far as the network knows.
    pub fn reaches_peer(&self) -> bool {
        self.connection.reaches_peer()
    }

    /// Returns whether the peer has closed the connection or sent bytes that have not been read.
    pub async fn is_closed(&mut self) -> bool {
        let mut reading = pin!(self.read_more());
        std::future::poll_fn(|cx| std::task::Poll::Ready(reading.as_mut().poll(cx).is_ready())).await
    }
}

fn parse(bytes: &[u8], answer: bool) -> io::Result<Option<(Message, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let collect = |fields: &[httparse::Header<'_>]| -> Vec<(String, String)> {
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        fields.iter().map(|field| (field.name.to_ascii_lowercase(), text(field.value))).collect()
    };
    let now = Instant::now();
    let (status, parsed) = if answer {
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(bytes).map_err(malformed)?;
        let fields = collect(parsed.headers);
        let status_code = parsed.code.unwrap_or(0);
        (
            status,
            Message {
                path: String::new(),
                status: status_code,
                fields,
                body: Vec::new(),
                first_sent_at: now,
            },
        )
    } else {
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(bytes).map_err(malformed)?;
        let fields = collect(parsed.headers);
        let path = parsed.path.unwrap_or("").to_owned();
        (status, Message { path, status: 0, fields, body: Vec::new(), first_sent_at: now })
    };
    Ok(match status {
        httparse::Status::Complete(head) => Some((parsed, head)),
        httparse::Status::Partial => None,
    })
}

/// Returns the bytes of an answer.
pub fn answer(status: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
