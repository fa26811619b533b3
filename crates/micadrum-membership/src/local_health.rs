//! How far a sender trusts itself before it doubts others (after Lifeguard, Dadgar et al., 2018).
use std::time::Duration;

/// Doubt grows no further.
const MOST: u32 = 8;
/// A process that comes back so much later than it asked for stood still.
const STALL: Duration = Duration::from_millis(500);
/// ... and one that does so by this much is starved.
const LATE: Duration = Duration::from_millis(100);

/// Doubt in oneself: grows with signs that one is slow or cut off, falls with answers.
#[derive(Default)]
pub(crate) struct Health {
    doubt: u32,
    /// When it last woke from standing still.
    woke: Option<Duration>,
}

impl Health {
    /// The host came back for something that was due then; whether it had stood still.
    pub fn came(&mut self, due: Option<Duration>, now: Duration) -> bool {
        let late = due.map_or(Duration::ZERO, |due| now.saturating_sub(due));
        if late >= STALL {
            self.doubt = (self.doubt + 2).min(MOST);
            self.woke = Some(now);
            return true;
        }
        if late >= LATE {
            self.worse();
        }
        false
    }

    /// Nobody answers, or somebody else doubts this one.
    pub fn worse(&mut self) {
        self.doubt = (self.doubt + 1).min(MOST);
    }

    /// Somebody answered.
    pub fn better(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// How much more time than usual others get: 1 to 3 times.
    pub fn patience(&self, span: Duration) -> Duration {
        span + span * self.doubt / 4
    }

    /// When it last woke from standing still.
    pub fn woke(&self) -> Option<Duration> {
        self.woke
    }

    /// From 0, all is well, to 8.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }
}
