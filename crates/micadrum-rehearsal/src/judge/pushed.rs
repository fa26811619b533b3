//! Partners that were pushed over (`PushedOver`): by senders that had seen them fail.
use super::{Judge, Rule, seconds};
use crate::observation::At;

impl Judge {
    pub(super) fn saw_failure(&mut self, line: u32, sender: u32) {
        if let Some(outage) = self.outages.get_mut(&line).filter(|outage| outage.on) {
            outage.saw.insert(sender);
        }
    }

    pub(super) fn fell(&mut self, at: At, line: u32, senders: &[u32], budget: f64) {
        let saw = self
            .outages
            .get(&line)
            .map_or(0, |outage| senders.iter().filter(|sender| outage.saw.contains(sender)).count());
        let what = format!(
            "line {line} fell by {} calls where it bore {budget:.1}: {saw} by senders that knew",
            senders.len()
        );
        self.verdict.fell.push(format!("{} {what}", seconds(at)));
        if saw * 3 >= senders.len() * 2 {
            self.convict(Rule::PushedOver, at, None, what);
        }
    }
}
