//! Links: authenticated framed streams between two members, free of I/O and clocks.
//!
//! A link delivers payloads whole, authentic and in order, or ends with an error. Payloads that a broken link
//! has not delivered are resent by the layer above over a new link. Flow control is by credit: a side sends
//! at most [`WINDOW_BYTES`] of payload before the other side has consumed some.
//!
//! Both sides start with a [`hello`], the dialer first; [`frame`]s follow.
mod frame;
mod hello;

use crate::incarnation::Incarnation;
use crate::member::{MemberId, Roster};
use crate::sealing::Secret;
use frame::{Frame, FrameKeys};
use hello::{HELLO_BYTES, Hello, Role};
use std::collections::VecDeque;
use std::time::Duration;

/// Payload bytes that one side may send before the other has granted further credit.
const WINDOW_BYTES: usize = 256 * 1024;
/// Consumed payload bytes after which credit is granted.
const CREDIT_THRESHOLD_BYTES: usize = WINDOW_BYTES / 4;
/// Upper bound on payload bytes queued for sending.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Upper bound on the length of one payload.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// The interval between two keep-alives.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A link fails if nothing is received for this long, even if its stream is open.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3500);
/// The time within which each side has to receive the hello of the other.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A random value that makes the keys of each link unique.
type Nonce = [u8; 16];

/// The error with which a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The other side is not a member, failed to authenticate, or is not the member that was dialed.
    #[error("the other side failed to authenticate as the expected member")]
    Unauthenticated,
    /// A frame was modified, forged, or received out of order.
    #[error("received an invalid frame: modified, forged or out of order")]
    InvalidFrame,
    /// The other side exceeded its credit.
    #[error("the other side sent more than its credit permits")]
    CreditExceeded,
    /// The handshake was not completed in time, or nothing was received for too long.
    #[error("timed out while waiting for the other side")]
    TimedOut,
}

/// The error returned when a payload is rejected: the send queue is full, or the payload is longer than
/// [`MAX_PAYLOAD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the send queue is full, or the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
pub struct QueueFull;

/// An event on a link.
#[derive(Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The other side has authenticated itself.
    Open {
        /// The member on the other side.
        peer: MemberId,
        /// The member's incarnation.
        incarnation: Incarnation,
    },
    /// A payload was received.
    Payload(Vec<u8>),
}

/// The credentials with which one side of a link authenticates itself.
pub struct LinkIdentity {
    /// This member's secret key.
    pub secret: Secret,
    /// The members of the fleet.
    pub roster: Roster,
    /// This member's incarnation.
    pub incarnation: Incarnation,
    /// 16 random bytes, different for each link.
    pub nonce: [u8; 16],
}

enum Stage {
    /// The other side's hello has not been received yet.
    Handshake,
    Open(FrameKeys),
}

/// When something last happened on a link.
struct Activity {
    connected_at: Duration,
    last_received: Duration,
    last_keep_alive: Duration,
}

/// The credit-based flow control of a link, in payload bytes.
struct FlowControl {
    send_credit: usize,
    receive_credit: usize,
    /// Bytes consumed by the layer above for which no credit has been granted yet.
    consumed: usize,
}

/// One side of a link.
pub struct Link {
    identity: LinkIdentity,
    /// The member that this side has dialed, or `None` on the accepting side.
    dialed: Option<MemberId>,
    stage: Stage,
    activity: Activity,
    flow: FlowControl,
    receive_buffer: Vec<u8>,
    frames_sent: u64,
    frames_received: u64,
    /// Payloads that wait for credit.
    queue: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    transmits: VecDeque<Vec<u8>>,
    events: VecDeque<LinkEvent>,
}

impl Link {
    /// Creates the dialing side of a link to the member `to`, over a stream that was just connected.
    #[must_use]
    pub fn dial(identity: LinkIdentity, to: MemberId, now: Duration) -> Self {
        let mut link = Self::new(identity, Some(to), now);
        link.send_hello(to, &[0; 16]);
        link
    }

    /// Creates the accepting side of a link, over a stream that was just accepted.
    #[must_use]
    pub fn accept(identity: LinkIdentity, now: Duration) -> Self {
        Self::new(identity, None, now)
    }

    fn new(identity: LinkIdentity, dialed: Option<MemberId>, now: Duration) -> Self {
        Self {
            identity,
            dialed,
            stage: Stage::Handshake,
            activity: Activity { connected_at: now, last_received: now, last_keep_alive: now },
            flow: FlowControl { send_credit: WINDOW_BYTES, receive_credit: WINDOW_BYTES, consumed: 0 },
            receive_buffer: Vec::new(),
            frames_sent: 0,
            frames_received: 0,
            queue: VecDeque::new(),
            queued_bytes: 0,
            transmits: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Handles bytes received from the stream.
    ///
    /// # Errors
    /// Returns an error if the other side fails to authenticate, sends an invalid frame or exceeds its
    /// credit. The link then has to be closed.
    pub fn handle_received(&mut self, bytes: &[u8], now: Duration) -> Result<(), LinkError> {
        self.activity.last_received = now;
        self.receive_buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.receive_buffer);
        let mut consumed = 0;
        while let Some(length) = self.handle_next(&buffer[consumed..])? {
            consumed += length;
        }
        self.receive_buffer = buffer;
        self.receive_buffer.drain(..consumed);
        Ok(())
    }

    /// Handles the first hello or frame in a buffer, and returns its length, or `None` if it is incomplete.
    fn handle_next(&mut self, buffer: &[u8]) -> Result<Option<usize>, LinkError> {
        match &self.stage {
            Stage::Handshake => {
                let Some(encoded) = buffer.get(..HELLO_BYTES) else { return Ok(None) };
                self.handle_hello(encoded)?;
                Ok(Some(HELLO_BYTES))
            }
            Stage::Open(keys) => {
                let Some(encoded) = frame::split_first(buffer)? else { return Ok(None) };
                let frame = frame::decode(&keys.receiving, self.frames_received, encoded)?;
                self.frames_received += 1;
                self.handle_frame(frame)?;
                Ok(Some(frame::encoded_length(encoded)))
            }
        }
    }

    /// Fails if the link has timed out, and sends a keep-alive if one is due.
    ///
    /// # Errors
    /// Returns [`LinkError::TimedOut`] if the link has to be closed.
    pub fn handle_timeout(&mut self, now: Duration) -> Result<(), LinkError> {
        if now >= self.timeout() {
            return Err(LinkError::TimedOut);
        }
        if self.is_open() && now >= self.activity.last_keep_alive + KEEP_ALIVE_INTERVAL {
            self.activity.last_keep_alive = now;
            self.send_frame(&Frame::KeepAlive);
        }
        Ok(())
    }

    /// Returns when [`Link::handle_timeout`] has to be called at the latest.
    #[must_use]
    pub fn due(&self) -> Duration {
        if self.is_open() {
            self.timeout().min(self.activity.last_keep_alive + KEEP_ALIVE_INTERVAL)
        } else {
            self.timeout()
        }
    }

    fn timeout(&self) -> Duration {
        if self.is_open() {
            self.activity.last_received + IDLE_TIMEOUT
        } else {
            self.activity.connected_at + HANDSHAKE_TIMEOUT
        }
    }

    /// Sends a payload, immediately or once the other side grants credit.
    ///
    /// # Errors
    /// Returns [`QueueFull`] if the payload is longer than [`MAX_PAYLOAD_BYTES`], or if the queue is full. A
    /// full queue accepts payloads again once queued ones are sent.
    pub fn send(&mut self, payload: Vec<u8>) -> Result<(), QueueFull> {
        let length = payload.len();
        if length > MAX_PAYLOAD_BYTES || self.queued_bytes + length > MAX_QUEUED_BYTES {
            return Err(QueueFull);
        }
        self.queued_bytes += length;
        self.queue.push_back(payload);
        self.flush_queue();
        Ok(())
    }

    /// Reports that the layer above has consumed `bytes` bytes of payload. The credit for them is granted to
    /// the other side once it adds up to a quarter of the window.
    pub fn release_credit(&mut self, bytes: usize) {
        self.flow.consumed += bytes;
        if self.flow.consumed >= CREDIT_THRESHOLD_BYTES && self.is_open() {
            let credit = std::mem::take(&mut self.flow.consumed);
            self.flow.receive_credit += credit;
            self.send_frame(&Frame::Credit(credit));
        }
    }

    /// Returns the next bytes to write to the stream, or `None` if there are none.
    pub fn poll_transmit(&mut self) -> Option<Vec<u8>> {
        self.transmits.pop_front()
    }

    /// Returns the next event, or `None` if there is none.
    pub fn poll_event(&mut self) -> Option<LinkEvent> {
        self.events.pop_front()
    }

    fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open(_))
    }

    fn role(&self) -> Role {
        if self.dialed.is_some() { Role::Dialer } else { Role::Acceptor }
    }

    fn send_hello(&mut self, to: MemberId, echo: &Nonce) {
        self.transmits.extend(hello::encode(&self.identity, self.role(), to, echo));
    }

    fn handle_hello(&mut self, encoded: &[u8]) -> Result<(), LinkError> {
        let hello = hello::decode(&self.identity, self.role().opposite(), encoded)?;
        let Hello { from, incarnation, nonce, echo, session_keys } = hello;
        let own_nonce = self.identity.nonce;
        match self.dialed {
            // The echo proves that the acceptor's hello is not a replay; the dialer proves the same with its
            // first frame.
            Some(dialed) if dialed != from || echo != own_nonce => return Err(LinkError::Unauthenticated),
            Some(_) => {}
            None => self.send_hello(from, &nonce),
        }
        let keys = match self.role() {
            Role::Dialer => FrameKeys::derive(&session_keys, &own_nonce, &nonce),
            Role::Acceptor => FrameKeys::derive(&session_keys, &nonce, &own_nonce),
        };
        self.stage = Stage::Open(keys);
        self.send_frame(&Frame::KeepAlive);
        self.events.push_back(LinkEvent::Open { peer: from, incarnation });
        self.flush_queue();
        Ok(())
    }

    fn handle_frame(&mut self, frame: Frame) -> Result<(), LinkError> {
        match frame {
            Frame::Data(payload) => {
                let credit = self.flow.receive_credit.checked_sub(payload.len());
                self.flow.receive_credit = credit.ok_or(LinkError::CreditExceeded)?;
                self.events.push_back(LinkEvent::Payload(payload));
            }
            Frame::Credit(credit) => {
                self.flow.send_credit = (self.flow.send_credit + credit).min(WINDOW_BYTES);
                self.flush_queue();
            }
            Frame::KeepAlive => {}
        }
        Ok(())
    }

    /// Sends queued payloads as far as the credit permits.
    fn flush_queue(&mut self) {
        while self.is_open()
            && self.queue.front().is_some_and(|payload| payload.len() <= self.flow.send_credit)
            && let Some(payload) = self.queue.pop_front()
        {
            self.flow.send_credit -= payload.len();
            self.queued_bytes -= payload.len();
            self.send_frame(&Frame::Data(payload));
        }
    }

    fn send_frame(&mut self, frame: &Frame) {
        let Stage::Open(keys) = &self.stage else { return };
        let encoded = frame::encode(&keys.sending, self.frames_sent, frame);
        self.frames_sent += 1;
        self.transmits.push_back(encoded);
    }
}
