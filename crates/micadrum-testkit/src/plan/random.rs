//! Seeded random numbers: an independent sequence for each purpose.
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A random number generator for one purpose. The numbers drawn for one purpose do not depend on how many are
/// drawn for another.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// Creates the generator of `purpose` for a run with this seed.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let mut hash = FNV_OFFSET_BASIS;
        for byte in purpose.bytes().chain(seed.to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        Self(ChaCha8Rng::seed_from_u64(hash))
    }

    /// Draws a uniformly distributed 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws a number from the half-open range 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a number from the half-open range `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Draws an index from the half-open range 0 to `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.unit() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws an exponentially distributed number with the given mean. Uses the logarithm of `libm`, which
    /// gives the same result on every platform, unlike the standard library's.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -libm::log(1.0 - self.unit()) * mean
    }

    /// Draws an identifier of 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.number())
    }

    /// Shuffles `items` in place.
    pub(super) fn shuffle<T>(&mut self, items: &mut [T]) {
        for index in (1..items.len()).rev() {
            items.swap(index, self.below(index + 1));
        }
    }

    /// Draws an index with the given probabilities, which add up to 1. Returns `None` if, through rounding
    /// errors, their sum is not greater than the number drawn.
    pub(super) fn weighted_index(&mut self, mut probabilities: impl Iterator<Item = f64>) -> Option<usize> {
        let mut remaining = self.unit();
        probabilities.position(|probability| {
            remaining -= probability;
            remaining < 0.0
        })
    }
}
