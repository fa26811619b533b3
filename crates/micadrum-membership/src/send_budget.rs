//! A fixed upper bound on the traffic that a member sends, even while many members fail at once.
use std::time::Duration;

/// The capacity of a token bucket, in seconds of traffic at the permitted rate.
const BURST_SECONDS: f64 = 0.25;

/// The priority of a datagram while the budget does not suffice for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPriority {
    /// Acks to fresh pings, and probes of suspects: sent as long as any budget is left.
    High,
    /// Regular probes, and datagrams relayed for other members.
    Normal,
    /// Gossip pushed in large fleets, attempts to reach dead members, and acks to pings that may be replayed.
    Low,
}

impl SendPriority {
    /// Returns the share of the bucket that has to remain after a datagram of this priority is sent.
    fn reserved_share(self) -> f64 {
        match self {
            Self::High => 0.0,
            Self::Normal => 0.2,
            Self::Low => 0.5,
        }
    }
}

/// A rate limit on datagrams and on bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendBudget {
    /// Datagrams per second.
    pub datagrams_per_second: f64,
    /// Bytes per second of datagram payload, without UDP and IP headers.
    pub bytes_per_second: f64,
}

/// The tokens in a bucket.
struct Tokens {
    datagrams: f64,
    bytes: f64,
}

/// A token bucket that enforces a [`SendBudget`].
pub(crate) struct TokenBucket {
    budget: SendBudget,
    available: Tokens,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(budget: SendBudget, now: Duration) -> Self {
        let available = Tokens {
            datagrams: budget.datagrams_per_second * BURST_SECONDS,
            bytes: budget.bytes_per_second * BURST_SECONDS,
        };
        Self { budget, available, refilled_at: now }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refilled = |available: f64, rate: f64| (available + rate * elapsed).min(rate * BURST_SECONDS);
        self.available.datagrams = refilled(self.available.datagrams, self.budget.datagrams_per_second);
        self.available.bytes = refilled(self.available.bytes, self.budget.bytes_per_second);
    }

    /// Takes the tokens for a datagram of `bytes` bytes if its priority permits it now, and returns whether
    /// it does.
    pub fn try_take(&mut self, now: Duration, bytes: usize, priority: SendPriority) -> bool {
        self.refill(now);
        let reserve = |rate: f64| rate * BURST_SECONDS * priority.reserved_share();
        let datagrams_left = self.available.datagrams - 1.0;
        let bytes_left = self.available.bytes - bytes as f64;
        let permitted = datagrams_left >= reserve(self.budget.datagrams_per_second)
            && bytes_left >= reserve(self.budget.bytes_per_second);
        if permitted {
            self.available = Tokens { datagrams: datagrams_left, bytes: bytes_left };
        }
        permitted
    }
}

#[cfg(test)]
mod tests;
