//! A link on its network stream: moves bytes between the [`Link`] state machine and the stream.
use crate::daemon::ports::Stream;
use micadrum_membership::{Link, LinkError, LinkEvent, MAX_PAYLOAD_BYTES};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until, timeout};

/// Time limit for a write, so that a member that does not read cannot keep a link open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why an exchange over a link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkFailure {
    /// Connecting, reading or writing the stream failed.
    #[error("{0}")]
    Stream(#[from] std::io::Error),
    /// The link state machine reported an error.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// The answer did not arrive in time.
    #[error("timed out while waiting for the other side")]
    TimedOut,
    /// The other side closed the stream.
    #[error("the other side closed the link")]
    Closed,
    /// The other side sent something that cannot be decoded.
    #[error("received a message that cannot be decoded")]
    Malformed,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong,
}

/// A link and the byte stream that carries it.
pub struct LinkStream {
    link: Link,
    stream: Box<dyn Stream>,
    /// The instant at which the link's clock is zero.
    origin: Instant,
}

impl LinkStream {
    /// Combines a link with its stream.
    pub fn new(link: Link, stream: Box<dyn Stream>, origin: Instant) -> Self {
        Self { link, stream, origin }
    }

    /// Sends a payload as soon as the link accepts it.
    pub async fn send(&mut self, payload: &[u8]) -> Result<(), LinkFailure> {
        while self.link.send(payload.to_vec()).is_err() {
            if payload.len() > MAX_PAYLOAD_BYTES {
                return Err(LinkFailure::PayloadTooLong);
            }
            self.advance().await?;
        }
        self.flush().await
    }

    /// Receives the next payload.
    pub async fn receive(&mut self) -> Result<Vec<u8>, LinkFailure> {
        loop {
            match self.link.poll_event() {
                Some(LinkEvent::Payload(payload)) => {
                    self.link.release_credit(payload.len());
                    self.flush().await?;
                    return Ok(payload);
                }
                Some(LinkEvent::Open { .. }) => {}
                None => self.advance().await?,
            }
        }
    }

    async fn flush(&mut self) -> Result<(), LinkFailure> {
        while let Some(bytes) = self.link.poll_transmit() {
            let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await;
            written.map_err(|_| LinkFailure::TimedOut)??;
        }
        Ok(())
    }

    /// Waits for bytes from the stream, or for the link's next timer.
    async fn advance(&mut self) -> Result<(), LinkFailure> {
        self.flush().await?;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let due = self.origin + self.link.due();
        tokio::select! {
            biased;
            read = self.stream.read(&mut buffer) => match read? {
                0 => return Err(LinkFailure::Closed),
                length => self.link.handle_received(&buffer[..length], self.origin.elapsed())?,
            },
            () = sleep_until(due) => self.link.handle_timeout(self.origin.elapsed())?,
        }
        self.flush().await
    }
}
