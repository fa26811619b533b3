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
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Guards against a replay that is taken, or a late datagram that is not: beside a plain set of all that came.
    #[test]
    fn each_number_counts_once() {
        let (mut window, mut came, mut highest) = (Window::default(), BTreeSet::new(), 0u64);
        let mut chance = 12345u64;
        for _ in 0..200_000 {
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let draw = chance >> 33;
            let jump = if draw.is_multiple_of(97) { draw % 3000 } else { draw % 40 };
            let number = (highest + jump).saturating_sub(20);
            let new = number > 0 && number + BITS > highest && came.insert(number);
            assert_eq!(window.take(number), new, "{number} at {highest}");
            highest = highest.max(number);
        }
        assert!(window.take(u64::MAX) && !window.take(u64::MAX) && window.take(u64::MAX - 1));
    }
}
