//! Whom a sender that is back asks, and when it has asked enough.
//!
//! A few at a time, those in other buildings and its own in turn, as a power loss mostly takes a building. It ends when
//! enough that never stopped have answered, when there is nobody left to ask, or with its time: whatever it has by then
//! is all there is.
use crate::peer_report::PeerReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Asked at once.
pub const AT_ONCE: usize = 4;
/// Words of senders that never stopped that are enough.
pub const ENOUGH: usize = 3;
/// Asked in all: a whole fleet that comes back asks no more of each other than this.
pub const MOST_ASKED: usize = 12;

/// One that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Its building.
    pub building: String,
}

/// How the asking ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Enough that never stopped have answered.
    Heard,
    /// All that could be asked have answered or failed to.
    Nobody,
    /// Its time was over.
    Late,
}

/// The questions of one return.
pub struct PeerQuery {
    waiting: VecDeque<String>,
    out: BTreeSet<String>,
    heard: BTreeMap<String, (PeerReport, Duration)>,
    failed: usize,
    left: usize,
    until: Duration,
}

impl PeerQuery {
    /// Asks some of those, at the most until then. They are asked in their order, those in other buildings than `own`
    /// and those in it in turn.
    #[must_use]
    pub fn new(candidates: impl IntoIterator<Item = Candidate>, own: &str, until: Duration) -> Self {
        let (near, far): (VecDeque<_>, VecDeque<_>) =
            candidates.into_iter().partition(|candidate| candidate.building == own);
        let (mut near, mut far) = (near, far);
        let mut waiting = VecDeque::new();
        while !near.is_empty() || !far.is_empty() {
            waiting
                .extend(far.pop_front().into_iter().chain(near.pop_front()).map(|candidate| candidate.name));
        }
        Self { waiting, out: BTreeSet::new(), heard: BTreeMap::new(), failed: 0, left: MOST_ASKED, until }
    }

    /// The next to be asked now, if anybody is.
    pub fn next_to_ask(&mut self, now: Duration) -> Option<String> {
        if self.left == 0 || self.out.len() >= AT_ONCE || self.ended(now).is_some() {
            return None;
        }
        let name = self.waiting.pop_front()?;
        self.left -= 1;
        self.out.insert(name.clone());
        Some(name)
    }

    /// One has answered, or failed to.
    pub fn answered(&mut self, name: &str, word: Option<PeerReport>, now: Duration) {
        if !self.out.remove(name) {
            return;
        }
        match word {
            Some(word) => drop(self.heard.insert(name.to_owned(), (word.bounded(), now))),
            None => self.failed += 1,
        }
    }

    /// Whether it has ended, and how.
    #[must_use]
    pub fn ended(&self, now: Duration) -> Option<Ended> {
        let steady = self.heard.values().filter(|(word, _)| word.steady_for.is_some()).count();
        if steady >= ENOUGH {
            Some(Ended::Heard)
        } else if self.out.is_empty() && (self.waiting.is_empty() || self.left == 0) {
            Some(Ended::Nobody)
        } else {
            (now >= self.until).then_some(Ended::Late)
        }
    }

    /// When it ends at the latest.
    #[must_use]
    pub fn due(&self) -> Duration {
        self.until
    }

    /// The words so far, each with how long ago it was heard.
    #[must_use]
    pub fn words(&self, now: Duration) -> Vec<(PeerReport, Duration)> {
        self.heard.values().map(|(word, at)| (word.clone(), now.saturating_sub(*at))).collect()
    }

    /// How many answered, of them steady, and how many did not.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        let steady = self.heard.values().filter(|(word, _)| word.steady_for.is_some()).count();
        (self.heard.len(), steady, self.failed + self.out.len())
    }
}

#[cfg(test)]
mod tests;
