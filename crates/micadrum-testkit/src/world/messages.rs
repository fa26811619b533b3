//! The messages that clients have submitted, as destinations and clients know them.
use crate::observation::Micros;
use crate::plan::Class;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A message is remembered for this long after its deadline.
const RETENTION_AFTER_DEADLINE_US: Micros = 70_000_000;

/// The outcome of a message, as its client learns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOutcome {
    /// A destination accepted the message.
    Delivered,
    /// The message failed; whether it took effect is not known.
    Failed,
    /// The message may be submitted again, after the Retry-After if there is one.
    Returned(Option<Duration>),
    /// The machine of its sender is lost, and the message was not attempted.
    Lost,
}

/// A message that a client submitted.
pub struct SubmittedMessage {
    /// Its class.
    pub class: Class,
    /// Its idempotency key.
    pub key: String,
    /// Its destination.
    pub destination: u32,
    /// Its body.
    pub body: Rc<[u8]>,
    /// The sender that it was submitted to.
    pub sender: u32,
    /// Whether a call with this message has arrived at an endpoint.
    pub attempted: bool,
    /// The client that waits for the outcome.
    pub outcome_listener: Option<oneshot::Sender<MessageOutcome>>,
}

struct Expiry {
    at: Micros,
    id: String,
}

/// The messages that were submitted recently.
#[derive(Default)]
pub struct SubmittedMessages {
    by_id: BTreeMap<String, SubmittedMessage>,
    expiries: VecDeque<Expiry>,
}

impl SubmittedMessages {
    /// Adds a message, and forgets those that have expired.
    pub(super) fn add(&mut self, now: Micros, id: String, message: SubmittedMessage) {
        while let Some(expiry) = self.expiries.front()
            && expiry.at < now
        {
            self.by_id.remove(&expiry.id);
            self.expiries.pop_front();
        }
        let at = now + message.class.deadline().0 + RETENTION_AFTER_DEADLINE_US;
        self.expiries.push_back(Expiry { at, id: id.clone() });
        self.by_id.insert(id, message);
    }

    /// Returns the message with an id.
    pub fn get(&mut self, id: &str) -> Option<&mut SubmittedMessage> {
        self.by_id.get_mut(id)
    }

    /// Reports the outcome of a message to its client, unless that has an outcome already.
    pub fn complete(&mut self, id: &str, outcome: MessageOutcome) {
        let message = self.by_id.get_mut(id);
        if let Some(listener) = message.and_then(|message| message.outcome_listener.take()) {
            let _ = listener.send(outcome);
        }
    }

    /// Completes the messages that a lost machine held. Those that may have taken effect fail, as a person has to
    /// examine them; clients submit the others again.
    pub(super) fn complete_lost(&mut self, sender: u32) {
        let of_sender = self.by_id.values_mut().filter(|message| message.sender == sender);
        for message in of_sender {
            let Some(listener) = message.outcome_listener.take() else { continue };
            let outcome = if message.attempted { MessageOutcome::Failed } else { MessageOutcome::Lost };
            let _ = listener.send(outcome);
        }
    }
}
