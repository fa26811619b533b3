//! Which datagrams of one life have come: each counts once, also out of turn.

/// So many numbers behind the highest are told apart; older ones count as come.
const BITS: u64 = 1024;

/// The numbers that have come.
#[derive(Clone, Default)]
pub(crate) struct Window {
    highest: u64,
    seen: [u64; (BITS / 64) as usize],
}

impl Window {
    /// Takes a number in; whether it had not come before. Numbers begin at 1.
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let gap = number - self.highest;
            if gap >= BITS {
                self.seen = Default::default();
            } else {
                for passed in self.highest + 1..number {
                    self.set(passed, false);
                }
            }
            self.highest = number;
            self.set(number, true);
            return true;
        }
        if number == 0 || self.highest - number >= BITS || self.has(number) {
            return false;
        }
        self.set(number, true);
        true
    }

    fn has(&self, number: u64) -> bool {
        self.seen[(number % BITS / 64) as usize] >> (number % 64) & 1 == 1
    }

    fn set(&mut self, number: u64, came: bool) {
        let bit = 1 << (number % 64);
        let word = &mut self.seen[(number % BITS / 64) as usize];
        if came { *word |= bit } else { *word &= !bit }
    }
}

#[cfg(test)]
mod tests;
