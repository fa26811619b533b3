//! Checks [`Invariant::OutOfOrder`].
use super::state::Finding;
use super::{Invariant, InvariantChecker};
use crate::observation::Micros;

/// The result of checking an attempt against the order of its key.
#[derive(Default)]
pub(super) struct OrderCheck {
    pub(super) findings: Vec<Finding>,
    /// Calls in flight with earlier messages of the key; each must have ended before the attempt was sent.
    pub(super) earlier_calls: Vec<u64>,
}

impl InvariantChecker {
    /// Checks an attempt to send the message `id` at `sent_at` against the earlier messages of its ordering
    /// key.
    pub(super) fn check_order(&self, id: &str, sent_at: Micros) -> OrderCheck {
        let mut check = OrderCheck::default();
        for earlier in self.earlier_messages(id) {
            let Some(message) = self.messages.get(earlier).filter(|message| message.is_accepted()) else {
                continue;
            };
            if message.ended_at.is_none_or(|ended_at| ended_at > sent_at) {
                let description = format!("it was sent before the earlier message {earlier} had ended");
                check.findings.push(Finding { invariant: Invariant::OutOfOrder, description });
            } else {
                check.earlier_calls.extend(&message.calls);
            }
        }
        check
    }

    /// Returns the ids of the messages that were submitted before `id` under the same ordering key.
    fn earlier_messages<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a String> {
        let message = self.messages.get(id);
        let key = message.and_then(|message| Some((message.sender, message.vehicle?)));
        let queue = key.and_then(|key| self.ordering_keys.get(&key));
        queue.into_iter().flatten().take_while(move |other| *other != id)
    }
}
