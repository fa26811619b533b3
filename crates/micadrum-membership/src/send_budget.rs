//! A fixed ceiling of what a member sends, at rest and in a storm.
use std::time::Duration;

/// So much of a second may go out at one moment.
const BURST: f64 = 0.25;

/// What goes first where not all can go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rank {
    /// Answers, and questions to those in doubt: goes as long as there is anything left.
    First,
    /// Rounds of questions, what is passed on for others.
    Usual,
    /// Rumours pushed ahead of their turn, tries to reach the dead.
    Last,
}

impl Rank {
    /// Share of the burst that must be left after it.
    fn leaves(self) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Usual => 0.2,
            Self::Last => 0.5,
        }
    }
}

/// Datagrams and bytes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendBudget {
    /// Datagrams a second.
    pub datagrams: f64,
    /// Bytes a second, of the datagrams themselves.
    pub bytes: f64,
}

/// What is left of a ceiling.
pub(crate) struct Bucket {
    most: SendBudget,
    left: SendBudget,
    at: Duration,
}

impl Bucket {
    pub fn new(most: SendBudget, now: Duration) -> Self {
        let left = SendBudget { datagrams: most.datagrams * BURST, bytes: most.bytes * BURST };
        Self { most, left, at: now }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let fill = |left: f64, rate: f64| (left + rate * passed).min(rate * BURST);
        self.left.datagrams = fill(self.left.datagrams, self.most.datagrams);
        self.left.bytes = fill(self.left.bytes, self.most.bytes);
    }

    /// Takes out one datagram, if its rank allows it now.
    pub fn take(&mut self, now: Duration, bytes: usize, rank: Rank) -> bool {
        self.fill(now);
        let SendBudget { datagrams, bytes: room } = self.left;
        let stays = |most: f64| most * BURST * rank.leaves();
        let fits =
            datagrams - 1.0 >= stays(self.most.datagrams) && room - bytes as f64 >= stays(self.most.bytes);
        if fits {
            self.left.datagrams -= 1.0;
            self.left.bytes -= bytes as f64;
        }
        fits
    }
}

#[cfg(test)]
mod tests;
