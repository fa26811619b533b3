//! What others may read of the decision module, and what the next process takes up of it. Nothing here decides.
use crate::decision::Sender;
use crate::decision::line::Line;
use crate::pacing::Health;
use crate::{EndpointId, Listing, Time};
use serde::{Deserialize, Serialize};

impl Sender {
    /// Whether nothing is sent to an endpoint at `now`, or nothing but a trial.
    pub fn avoids(&self, now: Time, endpoint: EndpointId) -> bool {
        let Some(at) = self.directory.endpoint(endpoint) else { return true };
        let shut = |line: &Line| {
            matches!(line.flow(now, &self.settings).health, Health::Down(_)) || now < line.told_until
        };
        at.listing != Listing::Active || self.directory.lines(at).any(shut)
    }
}

impl Sender {
    /// Whether a rule follows at `now` from what was learned of an endpoint: it is remembered before what is only of use.
    pub fn binds(&self, now: Time, endpoint: EndpointId) -> bool {
        let at = self.directory.endpoint(endpoint);
        at.is_some_and(|at| self.directory.lines(at).any(|line| line.binds(now)))
    }
}

/// What was learned of one line: of a route, or of a destination whose endpoints share a limit.
#[derive(Clone, Serialize, Deserialize)]
pub struct Learned(pub(crate) Line);

impl Sender {
    /// What was learned of an endpoint's own line, and of the one that it shares, for the next process.
    pub fn learned(&self, endpoint: EndpointId) -> [Option<Learned>; 2] {
        let places = self.directory.endpoint(endpoint).map_or([None; 2], |at| self.directory.places(at));
        places.map(|place| {
            let mut line = self.directory.line(place?).clone();
            // Calls that are out end with their process.
            line.out.clear();
            Some(Learned(line))
        })
    }

    /// Takes up what an earlier process learned of an endpoint that the list has named by now.
    pub fn take_up(&mut self, endpoint: EndpointId, learned: [Option<Learned>; 2]) {
        let places = self.directory.endpoint(endpoint).map_or([None; 2], |at| self.directory.places(at));
        for (place, learned) in places.into_iter().zip(learned) {
            if let (Some(place), Some(Learned(mut line))) = (place, learned) {
                let own = self.directory.line_mut(place);
                (line.destination, line.endpoint) = (own.destination, own.endpoint);
                // What the list hints at is better than nothing known.
                line.limit = if line.limit > 0.0 { line.limit } else { own.limit };
                *own = line;
            }
        }
    }
}
