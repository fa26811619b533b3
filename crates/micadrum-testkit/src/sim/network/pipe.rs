//! One direction of a connection.
use std::collections::VecDeque;
use std::task::Waker;
use tokio::time::Instant;

/// What a segment carries.
pub(super) enum SegmentBody {
    Data(Vec<u8>),
    End,
    Reset,
}

/// Something on its way in one direction.
pub(super) struct Segment {
    pub(super) sent_at: Instant,
    pub(super) due_at: Instant,
    pub(super) body: SegmentBody,
}

/// One direction of a connection.
#[derive(Default)]
pub(super) struct Pipe {
    pub(super) queue: VecDeque<Segment>,
    pub(super) bytes: usize,
    last_due_at: Option<Instant>,
    pub(super) reader: Option<Waker>,
    pub(super) writer: Option<Waker>,
    /// The reading side is closed: data that arrives is answered by a reset.
    pub(super) reader_closed: bool,
}

impl Pipe {
    /// Sends a segment that arrives at `due_at`, or after the one before.
    pub(super) fn push(&mut self, sent_at: Instant, due_at: Instant, body: SegmentBody) {
        // TCP keeps the order, whatever the delays.
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
