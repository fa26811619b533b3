//! An incremental parser for the status line of a response, needed because hyper does not report the status
//! if the rest of the head is invalid.

/// The length of `HTTP/1.1 200` and the byte after it.
const STATUS_LINE_BYTES: usize = 13;

/// A parser for the status line of the first response that is not an interim one (status 100 to 199).
#[derive(Default)]
pub struct StatusLine {
    received: Vec<u8>,
    /// The number of consecutive line breaks while the head of an interim response is skipped; otherwise
    /// `None`.
    interim_line_breaks: Option<u8>,
    /// `None` until a status line has arrived; then its status, or `Some(None)` if the line is invalid.
    result: Option<Option<u16>>,
}

impl StatusLine {
    /// Parses the next bytes of the response. Ignores bytes after the status line.
    pub fn receive(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.result.is_some() {
                return;
            }
            match &mut self.interim_line_breaks {
                Some(_) => self.skip_interim(*byte),
                None => self.receive_byte(*byte),
            }
        }
    }

    /// Returns whether a status line has arrived.
    pub fn has_arrived(&self) -> bool {
        self.result.is_some()
    }

    /// Returns the status. The outer option is `None` before the status line has arrived, and the inner one
    /// if the line is invalid.
    pub fn result(&self) -> Option<Option<u16>> {
        self.result
    }

    fn skip_interim(&mut self, byte: u8) {
        let line_breaks = self.interim_line_breaks.unwrap_or(0);
        let line_breaks = match byte {
            b'\n' => line_breaks + 1,
            b'\r' => line_breaks,
            _ => 0,
        };
        self.interim_line_breaks = (line_breaks < 2).then_some(line_breaks);
    }

    fn receive_byte(&mut self, byte: u8) {
        self.received.push(byte);
        if self.received.len() < STATUS_LINE_BYTES && byte != b'\n' {
            return;
        }
        match parse(&std::mem::take(&mut self.received)) {
            // The final response follows the interim one.
            Some(Some(100..=199)) => self.interim_line_breaks = Some(0),
            status => self.result = Some(status.flatten()),
        }
    }
}

/// Parses the start of a status line. Returns `None` if it is not a status line, and `Some(None)` if its
/// status is not a number.
fn parse(line: &[u8]) -> Option<Option<u16>> {
    let line = line.strip_prefix(b"HTTP/1.")?;
    let [b'0' | b'1', b' ', status @ .., b' ' | b'\r' | b'\n'] = line else { return None };
    Some(std::str::from_utf8(status).ok().and_then(|status| status.parse().ok()))
}
