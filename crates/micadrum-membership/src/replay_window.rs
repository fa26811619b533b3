//! A sliding replay window (as in RFC 4303, section 3.4.3): each datagram of one incarnation is accepted
//! once, in any order.

/// The number of sequence numbers tracked, up to the highest one accepted; lower ones are rejected.
const WINDOW_BITS: u64 = 1024;
const WORD_BITS: u64 = 64;

/// The sequence numbers accepted so far.
#[derive(Clone, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    bitmap: [u64; (WINDOW_BITS / WORD_BITS) as usize],
}

impl ReplayWindow {
    /// Accepts a sequence number, and returns whether it is within the window and new. Sequence numbers start
    /// at 1.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.advance_to(sequence);
            return true;
        }
        if sequence == 0 || self.highest - sequence >= WINDOW_BITS || self.contains(sequence) {
            return false;
        }
        self.set(sequence);
        true
    }

    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_BITS {
            self.bitmap = Default::default();
        } else {
            for skipped in self.highest + 1..sequence {
                self.clear(skipped);
            }
        }
        self.highest = sequence;
        self.set(sequence);
    }

    fn contains(&self, sequence: u64) -> bool {
        self.bitmap[word_index(sequence)] & bit(sequence) != 0
    }

    fn set(&mut self, sequence: u64) {
        self.bitmap[word_index(sequence)] |= bit(sequence);
    }

    fn clear(&mut self, sequence: u64) {
        self.bitmap[word_index(sequence)] &= !bit(sequence);
    }
}

fn word_index(sequence: u64) -> usize {
    (sequence % WINDOW_BITS / WORD_BITS) as usize
}

fn bit(sequence: u64) -> u64 {
    1 << (sequence % WORD_BITS)
}

#[cfg(test)]
mod tests;
