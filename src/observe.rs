//! What others may read of the decision module. Nothing here decides.
use crate::decision::Sender;
use crate::decision::line::{Health, Line};
use crate::{EndpointId, Listing, Time};

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
