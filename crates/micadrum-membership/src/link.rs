//! A framed stream between two members, free of I/O and clocks: each frame is whole, from the other, and in its turn, or
//! the link ends. What a broken link had not carried over, the layer above sends again on the next one.
//!
//! ```text
//! hello    "ml" 1 role(1)  from(8) to(8) life(8) run(8) nonce(16) echo(16) tag(16)      both sides, the dialer first
//! frame    length(4) kind(1) payload tag(16)      length counts kind, payload and tag
//! ```
//! The hello's tag is made with a key of the pair, that of frames with one that both nonces went into: nothing that was
//! said on another link fits. Frames are counted; the count is under the tag.
use crate::incarnation::Incarnation;
use crate::member::{MemberId, Roster};
use crate::sealing::{Secret, same, tag};
use std::collections::VecDeque;
use std::time::Duration;

/// Bytes that one side sends before the other says that it has taken some: so much waits at the other at the most.
const WINDOW: usize = 256 * 1024;
/// Bytes of payload that wait to be sent.
const MOST_QUEUED: usize = 256 * 1024;
/// Bytes of one payload.
pub const MOST_PAYLOAD: usize = 64 * 1024;
/// A link that has nothing to say says so this often ...
const BEAT: Duration = Duration::from_secs(1);
/// ... and one that says nothing for so long is gone, though the stream is open.
const SILENT: Duration = Duration::from_millis(3500);
/// The two must know each other by then.
const MEET: Duration = Duration::from_secs(2);

const HELLO: usize = 84;
const TAG: usize = 16;
const DIALER: u8 = 1;
const ACCEPTOR: u8 = 2;
const DATA: u8 = 1;
const CREDIT: u8 = 2;
const ALIVE: u8 = 3;

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// Who came is no member, or cannot show that it is.
    #[error("whoever is there cannot show which member it is")]
    Stranger,
    /// What came is not what the other sent, or not in its turn.
    #[error("a frame is damaged, forged or out of its turn")]
    Damaged,
    /// The other sent more than it may.
    #[error("the other sends more than it may")]
    Flood,
    /// Nothing came for too long.
    #[error("the other says nothing")]
    Silent,
}

/// Not now: so much waits already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too much waits to be sent")]
pub struct QueueFull;

/// What a link tells.
#[derive(Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The other has shown who it is.
    Open {
        /// Who.
        peer: MemberId,
        /// Under which life.
        life: Incarnation,
    },
    /// A payload came whole.
    Payload(Vec<u8>),
}

enum Stage {
    /// The other's hello has not come.
    Meeting,
    Open {
        out: [u8; 32],
        back: [u8; 32],
    },
}

/// One side of a link.
pub struct Link {
    secret: Secret,
    roster: Roster,
    life: Incarnation,
    /// Whom this side dialed.
    dialed: Option<MemberId>,
    nonce: [u8; 16],
    stage: Stage,
    begun: Duration,
    came: Duration,
    said: Duration,
    buffer: Vec<u8>,
    sent: u64,
    received: u64,
    /// Bytes that may still be sent, and that the other may still send.
    may_send: usize,
    may_come: usize,
    /// Bytes that were taken, and of which the other was not told yet.
    taken: usize,
    queue: VecDeque<Vec<u8>>,
    queued: usize,
    out: VecDeque<Vec<u8>>,
    events: VecDeque<LinkEvent>,
}

impl Link {
    /// A link to `to`, over a stream that was just connected.
    #[must_use]
    pub fn dial(
        secret: Secret,
        roster: Roster,
        life: Incarnation,
        to: MemberId,
        nonce: [u8; 16],
        now: Duration,
    ) -> Self {
        let mut link = Self::new(secret, roster, life, Some(to), nonce, now);
        link.hello(to, &[0; 16]);
        link
    }

    /// A link with whoever connected.
    #[must_use]
    pub fn accept(secret: Secret, roster: Roster, life: Incarnation, nonce: [u8; 16], now: Duration) -> Self {
        Self::new(secret, roster, life, None, nonce, now)
    }

    fn new(
        secret: Secret,
        roster: Roster,
        life: Incarnation,
        dialed: Option<MemberId>,
        nonce: [u8; 16],
        now: Duration,
    ) -> Self {
        Self {
            secret,
            roster,
            life,
            dialed,
            nonce,
            stage: Stage::Meeting,
            begun: now,
            came: now,
            said: now,
            buffer: Vec::new(),
            sent: 0,
            received: 0,
            may_send: WINDOW,
            may_come: WINDOW,
            taken: 0,
            queue: VecDeque::new(),
            queued: 0,
            out: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Bytes came.
    ///
    /// # Errors
    /// Why the link is to be closed.
    pub fn received(&mut self, bytes: &[u8], now: Duration) -> Result<(), LinkError> {
        self.came = now;
        self.buffer.extend_from_slice(bytes);
        let mut at = 0;
        loop {
            let left = &self.buffer[at..];
            let took = match self.stage {
                Stage::Meeting if left.len() >= HELLO => {
                    let hello = left[..HELLO].to_vec();
                    self.meet(&hello)?;
                    HELLO
                }
                Stage::Open { back, .. } if left.len() >= 4 => {
                    let length = u32::from_le_bytes([left[0], left[1], left[2], left[3]]) as usize;
                    if !(1 + TAG..=1 + TAG + MOST_PAYLOAD).contains(&length) {
                        return Err(LinkError::Damaged);
                    }
                    let Some(frame) = left.get(4..4 + length).map(<[u8]>::to_vec) else { break };
                    self.frame(&frame, &back)?;
                    4 + length
                }
                Stage::Meeting | Stage::Open { .. } => break,
            };
            at += took;
        }
        self.buffer.drain(..at);
        Ok(())
    }

    /// Time has passed.
    ///
    /// # Errors
    /// The link is to be closed: the other says nothing.
    pub fn timer(&mut self, now: Duration) -> Result<(), LinkError> {
        let patience = if self.is_open() { self.came + SILENT } else { self.begun + MEET };
        if now >= patience {
            return Err(LinkError::Silent);
        }
        if self.is_open() && now >= self.said + BEAT {
            self.said = now;
            self.put(ALIVE, &[]);
        }
        Ok(())
    }

    /// When to come back at the latest.
    #[must_use]
    pub fn due(&self) -> Duration {
        if self.is_open() { (self.came + SILENT).min(self.said + BEAT) } else { self.begun + MEET }
    }

    /// Sends a payload, now or when the other has room.
    ///
    /// # Errors
    /// Too much waits already, or this is too long: the layer above comes again once something was sent.
    pub fn send(&mut self, payload: Vec<u8>) -> Result<(), QueueFull> {
        if payload.len() > MOST_PAYLOAD || self.queued + payload.len() > MOST_QUEUED {
            return Err(QueueFull);
        }
        self.queued += payload.len();
        self.queue.push_back(payload);
        self.flush();
        Ok(())
    }

    /// The layer above has done with so many bytes of payload: the other may send as many more.
    pub fn done_with(&mut self, bytes: usize) {
        self.taken += bytes;
        if self.taken >= WINDOW / 4 && self.is_open() {
            let taken = std::mem::take(&mut self.taken);
            self.may_come += taken;
            self.put(CREDIT, &(taken as u32).to_le_bytes());
        }
    }

    /// The next bytes for the stream.
    pub fn poll_transmit(&mut self) -> Option<Vec<u8>> {
        self.out.pop_front()
    }

    /// What the link tells next.
    pub fn poll_event(&mut self) -> Option<LinkEvent> {
        self.events.pop_front()
    }

    fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open { .. })
    }

    fn hello(&mut self, to: MemberId, echo: &[u8; 16]) {
        let key =
            self.roster.get(to).and_then(|member| self.secret.pair(self.roster.own(), to, &member.key).ok());
        let Some(pair) = key else { return };
        let role = if self.dialed.is_some() { DIALER } else { ACCEPTOR };
        let mut hello = vec![b'm', b'l', 1, role];
        hello.extend_from_slice(&self.roster.own().0);
        hello.extend_from_slice(&to.0);
        hello.extend_from_slice(&self.life.number.to_le_bytes());
        hello.extend_from_slice(&self.life.run.to_le_bytes());
        hello.extend_from_slice(&self.nonce);
        hello.extend_from_slice(echo);
        let tag = tag(&blake3::derive_key("micadrum peers 1: hello", &pair.out), &hello);
        hello.extend_from_slice(&tag);
        self.out.push_back(hello);
    }

    fn meet(&mut self, hello: &[u8]) -> Result<(), LinkError> {
        let word = |at: usize| {
            let mut word = [0; 8];
            word.copy_from_slice(&hello[at..at + 8]);
            word
        };
        let long = |at: usize| {
            let mut long = [0; 16];
            long.copy_from_slice(&hello[at..at + 16]);
            long
        };
        let (from, to) = (MemberId(word(4)), MemberId(word(12)));
        let life = Incarnation { number: u64::from_le_bytes(word(20)), run: u64::from_le_bytes(word(28)) };
        let (nonce, echo, told) = (long(36), long(52), long(68));
        let expected = if self.dialed.is_some() { ACCEPTOR } else { DIALER };
        let member = self.roster.get(from).ok_or(LinkError::Stranger)?;
        let pair = self.secret.pair(self.roster.own(), from, &member.key).map_err(|_| LinkError::Stranger)?;
        let right = tag(&blake3::derive_key("micadrum peers 1: hello", &pair.back), &hello[..68]);
        let known = hello[..3] == *b"ml\x01"
            && hello[3] == expected
            && to == self.roster.own()
            && self.dialed.is_none_or(|dialed| dialed == from)
            && same(&right, &told);
        // Its answer shows that it is there now; its first frame shows the same to the other side.
        if !known || self.dialed.is_some() && !same(&echo, &self.nonce) {
            return Err(LinkError::Stranger);
        }
        if self.dialed.is_none() {
            self.hello(from, &nonce);
        }
        let (dialer, acceptor) =
            if self.dialed.is_some() { (self.nonce, nonce) } else { (nonce, self.nonce) };
        let key = |way: &[u8; 32]| {
            blake3::derive_key("micadrum peers 1: frames", &[way.as_slice(), &dialer, &acceptor].concat())
        };
        self.stage = Stage::Open { out: key(&pair.out), back: key(&pair.back) };
        self.put(ALIVE, &[]);
        self.events.push_back(LinkEvent::Open { peer: from, life });
        self.flush();
        Ok(())
    }

    fn frame(&mut self, frame: &[u8], key: &[u8; 32]) -> Result<(), LinkError> {
        let (said, told) = frame.split_at(frame.len() - TAG);
        let mut short = [0; 16];
        short.copy_from_slice(told);
        if !same(&short, &tag_of(key, self.received, said)) {
            return Err(LinkError::Damaged);
        }
        self.received += 1;
        match (said[0], &said[1..]) {
            (DATA, payload) => {
                self.may_come = self.may_come.checked_sub(payload.len()).ok_or(LinkError::Flood)?;
                self.events.push_back(LinkEvent::Payload(payload.to_vec()));
            }
            (CREDIT, &[a, b, c, d]) => {
                let credit = u32::from_le_bytes([a, b, c, d]) as usize;
                self.may_send = (self.may_send + credit).min(WINDOW);
                self.flush();
            }
            (ALIVE, []) => {}
            _ => return Err(LinkError::Damaged),
        }
        Ok(())
    }

    fn flush(&mut self) {
        while self.is_open()
            && self.queue.front().is_some_and(|payload| payload.len() <= self.may_send)
            && let Some(payload) = self.queue.pop_front()
        {
            self.may_send -= payload.len();
            self.queued -= payload.len();
            self.put(DATA, &payload);
        }
    }

    fn put(&mut self, kind: u8, payload: &[u8]) {
        let Stage::Open { out, .. } = self.stage else { return };
        let mut frame = ((1 + payload.len() + TAG) as u32).to_le_bytes().to_vec();
        frame.push(kind);
        frame.extend_from_slice(payload);
        let tag = tag_of(&out, self.sent, &frame[4..]);
        frame.extend_from_slice(&tag);
        self.sent += 1;
        self.out.push_back(frame);
    }
}

fn tag_of(key: &[u8; 32], count: u64, said: &[u8]) -> [u8; 16] {
    let mut all = count.to_le_bytes().to_vec();
    all.extend_from_slice(said);
    tag(key, &all)
}
