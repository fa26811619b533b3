//! Told waits: a call that was made during one (`Wait`).
use super::{Invariant, InvariantChecker, WAIT_SLACK, Wait, seconds};
use crate::observation::At;

impl InvariantChecker {
    pub(super) fn told_to_wait(&mut self, at: At, sender: u32, line: u32, wait: Wait) {
        let waits = self.waits.entry((sender, line)).or_default();
        waits.retain(|wait| wait.until + 1_000_000 > at);
        waits.push(Wait { from: wait.from + WAIT_SLACK, ..wait });
    }

    pub(super) fn called_in_a_wait(&mut self, at: At, sender: u32, line: u32, first: Option<&str>, sent: At) {
        let waits = self.waits.get(&(sender, line));
        if let Some(Wait { until, call, from }) =
            waits.and_then(|w| w.iter().find(|w| sent > w.from && sent < w.until))
        {
            let what = format!(
                "sender {sender} called line {line} during a wait until {}, told by call {call} and binding from {}",
                seconds(*until),
                seconds(*from)
            );
            self.convict(Invariant::Wait, at, first, what);
        }
    }

    /// A wait whose answer its sender never heard binds nobody.
    pub(super) fn unheard(&mut self, call: u64) {
        self.waits.values_mut().for_each(|waits| waits.retain(|wait| wait.call != call));
    }
}
