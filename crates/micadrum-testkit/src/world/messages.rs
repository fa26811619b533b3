//! The registry of submitted messages, which links the outcome of each message to its client.
use crate::observation::Micros;
use crate::plan::Class;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a message is retained after its deadline.
const RETENTION_AFTER_DEADLINE_US: Micros = 70_000_000;

/// The outcome of a message, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOutcome {
    /// A destination accepted the message.
    Delivered,
    /// The message failed, and may or may not have taken effect.
    Failed,
    /// The sender returned the message unexecuted. It may be submitted again after the Retry-After, if there
    /// is one.
    Returned(Option<Duration>),
    /// The sender's machine was lost before the message was attempted.
    Lost,
}

/// A message that a client submitted.
pub struct SubmittedMessage {
    /// The message's class.
    pub class: Class,
    /// The message's idempotency key.
    pub key: String,
    /// The number of the message's destination.
    pub destination: u32,
    /// The message's body.
    pub body: Rc<[u8]>,
    /// The number of the sender to which the message was submitted.
    pub sender: u32,
    /// Whether a call with this message has arrived at an endpoint.
    pub attempted: bool,
    /// The channel to the client, until the outcome has been reported.
    pub outcome_listener: Option<oneshot::Sender<MessageOutcome>>,
}

struct Expiry {
    at: Micros,
    id: String,
}

/// The submitted messages that have not expired, by id.
#[derive(Default)]
pub struct SubmittedMessages {
    by_id: BTreeMap<String, SubmittedMessage>,
    expiries: VecDeque<Expiry>,
}

impl SubmittedMessages {
    /// Adds a message, and removes those that have expired.
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

    /// Returns the message with the given id, or `None` if it is unknown or has expired.
    pub fn get(&mut self, id: &str) -> Option<&mut SubmittedMessage> {
        self.by_id.get_mut(id)
    }

    /// Reports the outcome of a message to its client, unless an outcome has been reported already.
    pub fn complete(&mut self, id: &str, outcome: MessageOutcome) {
        let message = self.by_id.get_mut(id);
        if let Some(listener) = message.and_then(|message| message.outcome_listener.take()) {
            let _ = listener.send(outcome);
        }
    }

    /// Completes the messages of a sender whose machine was lost. Attempted messages may have taken effect
    /// and fail; clients submit the others again.
    pub(super) fn complete_lost(&mut self, sender: u32) {
        let sender_messages = self.by_id.values_mut().filter(|message| message.sender == sender);
        for message in sender_messages {
            let Some(listener) = message.outcome_listener.take() else { continue };
            let outcome = if message.attempted { MessageOutcome::Failed } else { MessageOutcome::Lost };
            let _ = listener.send(outcome);
        }
    }
}
