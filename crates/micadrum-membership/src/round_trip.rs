//! Round-trip time estimation, after RFC 6298.
use std::time::Duration;

/// A smoothed round-trip time and its variation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTrip {
    smoothed: Duration,
    variation: Duration,
}

impl RoundTrip {
    /// Creates an estimate from the first sample.
    pub fn from_first_sample(sample: Duration) -> Self {
        Self { smoothed: sample, variation: sample / 2 }
    }

    /// Updates the estimate with a further sample.
    pub fn add_sample(&mut self, sample: Duration) {
        let deviation = sample.abs_diff(self.smoothed);
        *self = Self {
            smoothed: (self.smoothed * 7 + sample) / 8,
            variation: (self.variation * 3 + deviation) / 4,
        };
    }

    /// Returns the smoothed round-trip time.
    pub fn smoothed(self) -> Duration {
        self.smoothed
    }

    /// Returns the time to wait for an answer.
    pub fn timeout(self) -> Duration {
        self.smoothed + self.variation * 4
    }
}
