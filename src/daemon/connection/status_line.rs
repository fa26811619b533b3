//! The status line of a response, as far as it has arrived: hyper does not report it where the rest of the head cannot be
//! read.

/// The length of `HTTP/1.1 200` with the byte that ends the status.
const STATUS_LINE_BYTES: usize = 13;

/// A reader of the first status line that is not of an interim response.
#[derive(Default)]
pub struct StatusLine {
    received: Vec<u8>,
    /// Line breaks in a row while the head of an interim response is passed over.
    interim_breaks: Option<u8>,
    /// Set once a status line has arrived: its status, if it can be read.
    result: Option<Option<u16>>,
}

impl StatusLine {
    /// Takes in bytes of the response.
    pub fn receive(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.result.is_some() {
                return;
            }
            match &mut self.interim_breaks {
                Some(_) => self.skip_interim(*byte),
                None => self.receive_byte(*byte),
            }
        }
    }

    /// Returns whether a status line has arrived.
    pub fn has_arrived(&self) -> bool {
        self.result.is_some()
    }

    /// Returns the status; the inner option is none where the line cannot be read, the outer one before it arrives.
    pub fn result(&self) -> Option<Option<u16>> {
        self.result
    }

    fn skip_interim(&mut self, byte: u8) {
        let breaks = self.interim_breaks.unwrap_or(0);
        let breaks = match byte {
            b'\n' => breaks + 1,
            b'\r' => breaks,
            _ => 0,
        };
        self.interim_breaks = (breaks < 2).then_some(breaks);
    }

    fn receive_byte(&mut self, byte: u8) {
        self.received.push(byte);
        if self.received.len() < STATUS_LINE_BYTES && byte != b'\n' {
            return;
        }
        match parse(&std::mem::take(&mut self.received)) {
            // An interim response; the one that counts follows it.
            Some(Some(100..=199)) => self.interim_breaks = Some(0),
            status => self.result = Some(status.flatten()),
        }
    }
}

/// Parses the start of a status line: none if it is no such line, and no status if that is no number.
fn parse(line: &[u8]) -> Option<Option<u16>> {
    let line = line.strip_prefix(b"HTTP/1.")?;
    let [b'0' | b'1', b' ', status @ .., b' ' | b'\r' | b'\n'] = line else { return None };
    Some(std::str::from_utf8(status).ok().and_then(|status| status.parse().ok()))
}
