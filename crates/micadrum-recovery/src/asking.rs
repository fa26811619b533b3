//! Whom a sender that is back asks, and when it has asked enough.
//!
//! A few at a time, those in other buildings and its own in turn, as a power loss mostly takes a building. It ends when
//! enough that never stopped have answered, when there is nobody left to ask, or with its time: whatever it has by then
//! is all there is.
use crate::words::Word;
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
pub struct Asking {
    waiting: VecDeque<String>,
    out: BTreeSet<String>,
    heard: BTreeMap<String, (Word, Duration)>,
    failed: usize,
    left: usize,
    until: Duration,
}

impl Asking {
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
    pub fn answered(&mut self, name: &str, word: Option<Word>, now: Duration) {
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
    pub fn words(&self, now: Duration) -> Vec<(Word, Duration)> {
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
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn candidates(count: usize) -> Vec<Candidate> {
        let of = |n: usize| Candidate { name: format!("n{n}"), building: ["a", "b"][n % 2].to_owned() };
        (0..count).map(of).collect()
    }

    fn steady() -> Word {
        Word { steady_for: Some(1), ..Word::default() }
    }

    /// Guards against asking the whole fleet, or first those whom the same power loss took.
    #[test]
    fn a_few_are_asked_in_both_buildings() {
        let mut asking = Asking::new(candidates(300), "a", ms(1000));
        let first: Vec<String> = std::iter::from_fn(|| asking.next_to_ask(ms(0))).collect();
        assert_eq!(first, ["n1", "n0", "n3", "n2"]);
        let mut asked = first.len();
        let mut out: VecDeque<String> = first.into();
        while let Some(name) = out.pop_front() {
            asking.answered(&name, Some(Word::default()), ms(1));
            while let Some(next) = asking.next_to_ask(ms(1)) {
                asked += 1;
                out.push_back(next);
            }
        }
        assert_eq!((asked, asking.ended(ms(1))), (MOST_ASKED, Some(Ended::Nobody)));
        assert_eq!(asking.counts(), (MOST_ASKED, 0, 0));
    }

    /// Guards against waiting on when enough is known, and for ever when nobody answers.
    #[test]
    fn it_ends_with_enough_or_with_its_time() {
        let mut asking = Asking::new(candidates(9), "a", ms(1000));
        let names: Vec<String> = std::iter::from_fn(|| asking.next_to_ask(ms(0))).collect();
        for name in &names[..ENOUGH] {
            assert_eq!(asking.ended(ms(5)), None);
            asking.answered(name, Some(steady()), ms(5));
        }
        assert_eq!(asking.ended(ms(5)), Some(Ended::Heard));
        assert_eq!(asking.next_to_ask(ms(5)), None);
        assert_eq!(asking.words(ms(9))[0].1, ms(4));
        let mut silent = Asking::new(candidates(9), "a", ms(1000));
        while silent.next_to_ask(ms(0)).is_some() {}
        assert_eq!((silent.ended(ms(999)), silent.ended(ms(1000))), (None, Some(Ended::Late)));
        assert_eq!(silent.counts(), (0, 0, 4));
        assert_eq!(Asking::new([], "a", ms(1000)).ended(ms(0)), Some(Ended::Nobody), "alone in the dark");
    }

    /// Guards against an answer that nobody asked for, or that comes twice.
    #[test]
    fn only_answers_to_questions_count() {
        let mut asking = Asking::new(candidates(9), "a", ms(1000));
        asking.answered("n1", Some(steady()), ms(0));
        let name = asking.next_to_ask(ms(0)).unwrap();
        asking.answered(&name, None, ms(1));
        asking.answered(&name, Some(steady()), ms(2));
        assert_eq!(asking.counts(), (0, 0, 1));
    }
}
