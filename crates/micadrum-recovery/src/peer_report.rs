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
pub struct PeerReport {
    /// For how long its process has been at full service, in microseconds; none while it is itself coming back.
    pub steady_for: Option<u64>,
    /// Its wall clock, microseconds.
    pub wall: u64,
    /// Endpoints of which it has something to say, by id.
    pub endpoints: BTreeMap<String, EndpointReport>,
}

/// What it says of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The list has it draining or gone.
    pub out: bool,
    /// A told wait has so long to go, in microseconds.
    pub told: u64,
    /// Whether it answers.
    pub health: ReportedHealth,
}

/// Whether an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedHealth {
    /// It does, as far as is known.
    #[default]
    Up,
    /// It does not.
    Down,
    /// It does again, for so many microseconds.
    Returning(u64),
}

impl EndpointReport {
    /// Whether there is anything to say.
    #[must_use]
    pub fn says_nothing(&self) -> bool {
        *self == Self::default()
    }
}

impl PeerReport {
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
pub struct EndpointRestrictions {
    /// By endpoint.
    pub endpoints: BTreeMap<String, EndpointReport>,
}

/// Adds up the words of those that never stopped, each with how long ago it was said.
///
/// A drain or a wait that one tells of is heeded. That an endpoint does not answer is one sender's impression, and may be
/// of its own links: it needs half of those that say anything of that endpoint's destination to be alike, which with two
/// or more words no single one is.
#[must_use]
pub fn add_up(words: &[(PeerReport, Duration)]) -> EndpointRestrictions {
    let steady: Vec<_> = words.iter().filter(|(word, _)| word.steady_for.is_some()).collect();
    let ids: BTreeSet<&String> = steady.iter().flat_map(|(word, _)| word.endpoints.keys()).collect();
    let mut caution = EndpointRestrictions::default();
    for id in ids {
        let said: Vec<(EndpointReport, u64)> = steady
            .iter()
            .map(|(word, ago)| (word.endpoints.get(id).copied().unwrap_or_default(), ago.as_micros() as u64))
            .collect();
        let told =
            said.iter().map(|(of, ago)| of.told.min(MOST_TOLD.as_micros() as u64).saturating_sub(*ago));
        let down = said.iter().filter(|(of, _)| of.health == ReportedHealth::Down).count();
        let ramps = said.iter().filter_map(|(of, ago)| match of.health {
            ReportedHealth::Returning(since) => Some(since.saturating_add(*ago)),
            ReportedHealth::Up | ReportedHealth::Down => None,
        });
        let ramps: Vec<u64> = ramps.collect();
        let enough = (said.len() / 2).max(1).max(usize::from(said.len() > 1) * 2);
        let health = if down >= enough {
            ReportedHealth::Down
        } else if down + ramps.len() >= enough {
            // Of whom some see it down, it has only just come back.
            ReportedHealth::Returning(if down > 0 { 0 } else { ramps.iter().copied().min().unwrap_or(0) })
        } else {
            ReportedHealth::Up
        };
        let of =
            EndpointReport { out: said.iter().any(|(of, _)| of.out), told: told.max().unwrap_or(0), health };
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
mod tests;
