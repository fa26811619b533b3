//! Tracks how much of a request has been written to the socket, which decides whether the peer may have
//! processed a failed call.

/// The blank line that ends a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// How much of a request has been written.
#[derive(Default)]
pub struct RequestProgress {
    has_started: bool,
    /// The number of bytes of [`HEAD_END`] that the end of the written bytes matches.
    matched: usize,
    body_bytes_left: usize,
}

impl RequestProgress {
    /// Creates the progress of an unsent request with a body of `body_bytes` bytes.
    pub fn new(body_bytes: usize) -> Self {
        Self { body_bytes_left: body_bytes, ..Self::default() }
    }

    /// Adds bytes that were written.
    pub fn count(&mut self, mut bytes: &[u8]) {
        self.has_started = true;
        while self.matched < HEAD_END.len()
            && let Some((first, rest)) = bytes.split_first()
        {
            if self.matched == 0 && *first != b'\r' {
                // The blank line cannot begin before the next carriage return.
                let next = rest.iter().position(|byte| *byte == b'\r');
                bytes = next.map_or(&[], |at| &rest[at..]);
                continue;
            }
            self.matched = match (self.matched, first) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            bytes = rest;
        }
        self.body_bytes_left = self.body_bytes_left.saturating_sub(bytes.len());
    }

    /// Returns whether any byte was written.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns whether the last byte was written.
    pub fn is_complete(&self) -> bool {
        self.matched == HEAD_END.len() && self.body_bytes_left == 0
    }
}
