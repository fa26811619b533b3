//! One direction of a simulated connection.
use std::collections::VecDeque;
use std::task::Waker;
use tokio::time::Instant;

/// The content of a segment.
pub(super) enum SegmentBody {
    Data(Vec<u8>),
    End,
    Reset,
}

/// A unit of transmission in one direction of a connection.
pub(super) struct Segment {
    pub(super) sent_at: Instant,
    pub(super) due_at: Instant,
    pub(super) body: SegmentBody,
}

/// The queue of segments in one direction of a connection.
#[derive(Default)]
pub(super) struct Pipe {
    pub(super) queue: VecDeque<Segment>,
    /// Number of data bytes in `queue`.
    pub(super) bytes: usize,
    last_due_at: Option<Instant>,
    pub(super) reader: Option<Waker>,
    pub(super) writer: Option<Waker>,
    /// Whether the reading side is closed. Data that is sent after that is answered with a reset.
    pub(super) reader_closed: bool,
}

impl Pipe {
    /// Queues a segment that arrives at `due_at`, but not before the segment ahead of it.
    pub(super) fn push(&mut self, sent_at: Instant, due_at: Instant, body: SegmentBody) {
        // TCP delivers in order, even if later segments have shorter delays.
        let due_at = self.last_due_at.map_or(due_at, |last| last.max(due_at));
        self.last_due_at = Some(due_at);
        if let SegmentBody::Data(data) = &body {
            self.bytes += data.len();
        }
        self.queue.push_back(Segment { sent_at, due_at, body });
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
