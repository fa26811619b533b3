//! What another sender says to one that is back: waits that it was told, endpoints that drain or are gone, outages, ramps.
//!
//! A word may only add caution. Each thing it can say costs a liar little: a wait is cut to [`MOST_TOLD`], an outage ends
//! with the first trial, and what the list tells this sender itself counts before any of it.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// No wait that a peer tells of binds for longer.
pub const MOST_TOLD: Duration = Duration::from_secs(60);
/// Endpoints that one word tells of at the most, and bytes of an id.
pub const MOST_ENDPOINTS: usize = 4096;
const MOST_ID: usize = 1024;

/// One sender's word. Spans run to the moment it was said, so no clock need agree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// For how long its process has been at full service, in microseconds; none while it is itself coming back.
    pub steady_for: Option<u64>,
    /// Its wall clock, microseconds.
    pub wall: u64,
    /// Endpoints of which it has something to say, by id.
    pub endpoints: BTreeMap<String, OfEndpoint>,
}

/// What it says of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfEndpoint {
    /// The list has it draining or gone.
    pub out: bool,
    /// A told wait has so long to go, in microseconds.
    pub told: u64,
    /// Whether it answers.
    pub health: Health,
}

/// Whether an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It does, as far as is known.
    #[default]
    Up,
    /// It does not.
    Down,
    /// It does again, for so many microseconds.
    Returning(u64),
}

impl OfEndpoint {
    /// Whether there is anything to say.
    #[must_use]
    pub fn says_nothing(&self) -> bool {
        *self == Self::default()
    }
}

impl Word {
    /// The word without what is past its bounds.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        self.endpoints.retain(|id, of| id.len() <= MOST_ID && !of.says_nothing());
        while self.endpoints.len() > MOST_ENDPOINTS {
            self.endpoints.pop_last();
        }
        self
    }
}

/// What several words add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caution {
    /// By endpoint.
    pub endpoints: BTreeMap<String, OfEndpoint>,
}

/// Adds up the words of those that never stopped, each with how long ago it was said.
///
/// A drain or a wait that one tells of is heeded. That an endpoint does not answer is one sender's impression, and may be
/// of its own links: it needs half of those that say anything of that endpoint's destination to be alike, which with two
/// or more words no single one is.
#[must_use]
pub fn add_up(words: &[(Word, Duration)]) -> Caution {
    let steady: Vec<_> = words.iter().filter(|(word, _)| word.steady_for.is_some()).collect();
    let ids: BTreeSet<&String> = steady.iter().flat_map(|(word, _)| word.endpoints.keys()).collect();
    let mut caution = Caution::default();
    for id in ids {
        let said: Vec<(OfEndpoint, u64)> = steady
            .iter()
            .map(|(word, ago)| (word.endpoints.get(id).copied().unwrap_or_default(), ago.as_micros() as u64))
            .collect();
        let told =
            said.iter().map(|(of, ago)| of.told.min(MOST_TOLD.as_micros() as u64).saturating_sub(*ago));
        let down = said.iter().filter(|(of, _)| of.health == Health::Down).count();
        let ramps = said.iter().filter_map(|(of, ago)| match of.health {
            Health::Returning(since) => Some(since.saturating_add(*ago)),
            Health::Up | Health::Down => None,
        });
        let ramps: Vec<u64> = ramps.collect();
        let enough = (said.len() / 2).max(1).max(usize::from(said.len() > 1) * 2);
        let health = if down >= enough {
            Health::Down
        } else if down + ramps.len() >= enough {
            // Of whom some see it down, it has only just come back.
            Health::Returning(if down > 0 { 0 } else { ramps.iter().copied().min().unwrap_or(0) })
        } else {
            Health::Up
        };
        let of = OfEndpoint { out: said.iter().any(|(of, _)| of.out), told: told.max().unwrap_or(0), health };
        if !of.says_nothing() {
            caution.endpoints.insert(id.clone(), of);
        }
    }
    caution
}

/// How far this sender's clock stands from those of others, in microseconds: of each word with when it was heard here.
#[must_use]
pub fn offsets(words: &[(u64, u64)]) -> Vec<i64> {
    words.iter().map(|(theirs, here)| here.wrapping_sub(*theirs) as i64).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    fn word(steady: bool, of: &[(&str, OfEndpoint)]) -> (Word, Duration) {
        let endpoints = of.iter().map(|(id, of)| ((*id).to_owned(), *of)).collect();
        (Word { steady_for: steady.then_some(100 * S), wall: 0, endpoints }, Duration::ZERO)
    }

    fn told(seconds: u64) -> OfEndpoint {
        OfEndpoint { told: seconds * S, ..OfEndpoint::default() }
    }

    fn health(health: Health) -> OfEndpoint {
        OfEndpoint { health, ..OfEndpoint::default() }
    }

    /// Guards against a wait that nobody heeds any more because its sender lost power, and against one that a liar makes
    /// last for ever.
    #[test]
    fn a_wait_or_a_drain_that_one_tells_of_is_heeded() {
        let drain = OfEndpoint { out: true, ..OfEndpoint::default() };
        let mut words =
            [word(true, &[("a", told(4)), ("b", drain)]), word(true, &[("a", told(9))]), word(true, &[])];
        words[1].1 = Duration::from_secs(3);
        let caution = add_up(&words);
        assert_eq!(caution.endpoints["a"], told(6), "less what has passed since");
        assert!(caution.endpoints["b"].out);
        let endless = add_up(&[word(true, &[("a", told(u64::MAX / S))])]);
        assert_eq!(endless.endpoints["a"].told, 60 * S);
    }

    /// Guards against one sender whose own links are cut, or that lies, taking endpoints out of service for others.
    #[test]
    fn one_of_several_makes_no_outage() {
        let down = || word(true, &[("a", health(Health::Down))]);
        let up = || word(true, &[]);
        assert_eq!(add_up(&[down()]).endpoints["a"].health, Health::Down, "the only one there is");
        assert!(add_up(&[down(), up()]).endpoints.is_empty());
        assert!(add_up(&[down(), up(), up()]).endpoints.is_empty());
        assert_eq!(add_up(&[down(), down(), up()]).endpoints["a"].health, Health::Down);
        let back = |since| word(true, &[("a", health(Health::Returning(since)))]);
        assert_eq!(add_up(&[back(5), back(3), up()]).endpoints["a"].health, Health::Returning(3));
        assert_eq!(add_up(&[back(5), down(), up()]).endpoints["a"].health, Health::Returning(0));
    }

    /// Guards against those that lost power themselves passing on what they do not know either.
    #[test]
    fn who_comes_back_too_says_nothing() {
        assert!(add_up(&[word(false, &[("a", told(4))])]).endpoints.is_empty());
        assert_eq!(add_up(&[]), Caution::default());
    }

    /// Guards against a word that takes up memory without end.
    #[test]
    fn a_word_is_bounded() {
        let endpoints = (0..MOST_ENDPOINTS + 9).map(|n| (format!("{n:06}"), told(1)));
        let long = ("x".repeat(MOST_ID + 1), told(1));
        let word = Word { endpoints: endpoints.chain([long]).collect(), ..Word::default() };
        assert_eq!(word.bounded().endpoints.len(), MOST_ENDPOINTS);
    }

    /// Guards against clocks that are compared the wrong way round.
    #[test]
    fn an_offset_is_ours_less_theirs() {
        assert_eq!(offsets(&[(10, 17), (17, 10)]), [7, -7]);
    }
}
