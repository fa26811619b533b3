//! Simulated connections, and the streams at their two ends.
use super::SimNetwork;
use super::pipe::{Pipe, Segment, SegmentBody};
use crate::link_faults::LinkEffect;
use crate::sim::process::Process;
use crate::test_network::{Host, TestConnection};
use micadrum::daemon::ports::Stream;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Maximum number of bytes in transit in one direction, like the size of a socket's buffers. Writers wait for
/// space.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// A connection between two hosts.
pub(super) struct Connection {
    pub(super) ends: [Host; 2],
    pub(super) pipes: [Rc<RefCell<Pipe>>; 2],
    /// Whether data was lost. Nothing more arrives after that until the connection is reset.
    pub(super) broken: Cell<bool>,
    /// When a link fault last broke the connection, in microseconds since the start of the network.
    pub(super) last_broken_at: Cell<Option<u64>>,
    /// When each side closed or reset the connection, even if that does not reach the other side.
    pub(super) ended: [Cell<Option<Instant>>; 2],
}

/// The stream at one end of a connection.
pub struct SimStream {
    pub(super) network: Weak<SimNetwork>,
    pub(super) connection: Rc<Connection>,
    pub(super) side: usize,
    pub(super) process: Rc<Process>,
    pub(super) wait: Option<Pin<Box<Sleep>>>,
    pub(super) last_sent: Option<Instant>,
    /// Whether the end of the incoming data has been read.
    pub(super) ended: bool,
    /// Whether the end of the outgoing data has been sent.
    pub(super) finished: bool,
}

impl SimStream {
    fn ends(&self) -> (Host, Host) {
        (self.connection.ends[self.side], self.connection.ends[1 - self.side])
    }

    fn incoming(&self) -> &RefCell<Pipe> {
        &self.connection.pipes[1 - self.side]
    }

    fn outgoing(&self) -> &RefCell<Pipe> {
        &self.connection.pipes[self.side]
    }

    fn send(&self, body: SegmentBody) {
        if !matches!(body, SegmentBody::Data(_)) && self.connection.ended[self.side].get().is_none() {
            self.connection.ended[self.side].set(Some(Instant::now()));
        }
        let Some(network) = self.network.upgrade() else { return };
        let (me, peer) = self.ends();
        let link_effect = network.link_effect(me, peer, &self.connection.last_broken_at);
        if !network.is_reachable(me, peer) || link_effect == Some(LinkEffect::Held) {
            self.connection.broken.set(true);
        }
        // The end of a sender's side arrives even over a broken connection: the test endpoint only records
        // it, and nothing that the endpoint sends after that gets through.
        let always_arrives = matches!((me, &body), (Host::Sender(_), SegmentBody::End | SegmentBody::Reset));
        if self.connection.broken.get() && !always_arrives {
            return;
        }
        let now = Instant::now();
        let due = match link_effect {
            Some(LinkEffect::Delayed(delay)) => now + delay,
            _ => now + network.delay(me, peer),
        };
        let mut outgoing = self.outgoing().borrow_mut();
        if outgoing.reader_closed && matches!(body, SegmentBody::Data(_)) {
            // The other side has stopped reading, so it answers with a reset.
            let back = due + network.delay(me, peer);
            self.incoming().borrow_mut().push(now, back, SegmentBody::Reset);
            return;
        }
        if let (Some(LinkEffect::Breaks), SegmentBody::Data(data)) = (link_effect, &body) {
            // Break the connection in the middle of the data, for both sides.
            outgoing.push(now, due, SegmentBody::Data(data[..data.len() / 2].to_vec()));
            outgoing.push(now, due, SegmentBody::Reset);
            self.incoming().borrow_mut().push(now, due, SegmentBody::Reset);
            return;
        }
        outgoing.push(now, due, body);
    }
}

impl AsyncRead for SimStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.process.is_dead() {
            return Poll::Pending;
        }
        if this.ended {
            return Poll::Ready(Ok(()));
        }
        let now = Instant::now();
        let connection = this.connection.clone();
        let mut pipe = connection.pipes[1 - this.side].borrow_mut();
        // A reset discards unread data that arrived before it, as in the kernel.
        let reset =
            pipe.queue.iter().find(|next| next.due_at <= now && matches!(next.body, SegmentBody::Reset));
        if let Some(reset) = reset {
            this.last_sent = Some(reset.sent_at);
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        pipe.reader = Some(cx.waker().clone());
        let Some(next) = pipe.queue.front_mut() else { return Poll::Pending };
        if next.due_at > now {
            let mut wait = Box::pin(sleep_until(next.due_at));
            let polled = wait.as_mut().poll(cx);
            this.wait = Some(wait);
            if polled.is_pending() {
                return Poll::Pending;
            }
        }
        this.wait = None;
        this.last_sent = Some(next.sent_at);
        match &mut next.body {
            SegmentBody::Data(data) => {
                let count = data.len().min(buf.remaining());
                buf.put_slice(&data[..count]);
                if count == data.len() {
                    pipe.queue.pop_front();
                } else {
                    data.drain(..count);
                }
                pipe.bytes -= count;
                if let Some(writer) = pipe.writer.take() {
                    writer.wake();
                }
            }
            SegmentBody::End => this.ended = true,
            SegmentBody::Reset => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.process.is_dead() {
            return Poll::Pending;
        }
        let now = Instant::now();
        let reset = |next: &Segment| next.due_at <= now && matches!(next.body, SegmentBody::Reset);
        if self.incoming().borrow().queue.iter().any(reset) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let mut outgoing = self.outgoing().borrow_mut();
        if outgoing.bytes >= MAX_BUFFERED_BYTES {
            outgoing.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = buf.len().min(MAX_BUFFERED_BYTES - outgoing.bytes);
        drop(outgoing);
        self.send(SegmentBody::Data(buf[..count].to_vec()));
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.finished && !self.process.is_dead() {
            self.finished = true;
            self.send(SegmentBody::End);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        let has_unread_data = {
            let mut incoming = self.incoming().borrow_mut();
            incoming.reader_closed = true;
            let now = Instant::now();
            incoming.queue.iter().any(|next| next.due_at <= now && matches!(next.body, SegmentBody::Data(_)))
        };
        // Like the kernel, reset the connection if its process has died or left received data unread.
        if self.process.is_dead() || has_unread_data {
            self.send(SegmentBody::Reset);
        } else if !self.finished {
            self.send(SegmentBody::End);
        }
    }
}

impl Stream for SimStream {
    fn check_no_unread_input(&self) -> io::Result<()> {
        let now = Instant::now();
        match self.incoming().borrow().queue.front() {
            Some(next) if next.due_at <= now => Err(io::ErrorKind::ConnectionAborted.into()),
            _ => Ok(()),
        }
    }
}

impl TestConnection for SimStream {
    fn sent_at(&self) -> Option<Instant> {
        self.last_sent
    }

    fn closed_at(&self) -> Option<Instant> {
        self.connection.ended[1 - self.side].get()
    }

    fn delay(&self) -> Duration {
        let (me, peer) = self.ends();
        self.network.upgrade().map_or(Duration::ZERO, |network| network.delay(me, peer))
    }

    fn reaches_peer(&self) -> bool {
        let (me, peer) = self.ends();
        !self.connection.broken.get()
            && self.network.upgrade().is_some_and(|network| network.is_reachable(me, peer))
    }
}
