//! Ordering keys: the messages of each key in the order in which they were accepted, and until when a key is held.
use crate::{MessageId, OrderKey, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct KeyQueue {
    messages: BTreeSet<(u64, MessageId)>,
    held_until: Timestamp,
}

/// The first message of a key, if it has one, and until when newer messages are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHead {
    /// The message that goes next.
    pub first: Option<MessageId>,
    /// Until then an attempt of this key may still run, and no first attempt begins.
    pub held_until: Timestamp,
}

/// What a message leaves behind in its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRelease {
    /// Nothing that matters to other messages.
    Unchanged,
    /// This message comes first now.
    NextMessage(MessageId),
    /// A key without messages that is held until then.
    HeldUntil(Timestamp),
}

/// All keys that have messages or are held.
///
/// Their numbers come from clients: the map is ordered, so that nobody can slow it down by colliding numbers.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct OrderingKeys(BTreeMap<OrderKey, KeyQueue>);

impl OrderingKeys {
    /// Appends a message to the queue of a key; sequence numbers only grow. Returns the first message if this is the
    /// second, as that one has a successor from now on.
    pub fn push(&mut self, key: OrderKey, sequence: u64, id: MessageId) -> Option<MessageId> {
        let messages = &mut self.0.entry(key).or_default().messages;
        messages.insert((sequence, id));
        messages.first().filter(|_| messages.len() == 2).map(|(_, first)| *first)
    }

    /// Returns whether messages wait behind the first one of a key.
    pub fn has_successors(&self, key: OrderKey) -> bool {
        self.0.get(&key).is_some_and(|queue| queue.messages.len() > 1)
    }

    /// Removes a message from its key. The last one takes the key with it, unless the key is still held at `now`: then
    /// the key has to be forgotten when that is over.
    pub fn release(&mut self, key: OrderKey, sequence: u64, id: MessageId, now: Timestamp) -> KeyRelease {
        let Some(queue) = self.0.get_mut(&key) else { return KeyRelease::Unchanged };
        let was_first = queue.messages.first() == Some(&(sequence, id));
        queue.messages.remove(&(sequence, id));
        match queue.messages.first() {
            Some((_, next)) if was_first => KeyRelease::NextMessage(*next),
            Some(_) => KeyRelease::Unchanged,
            None => self.forget(key, now).map_or(KeyRelease::Unchanged, KeyRelease::HeldUntil),
        }
    }

    /// Holds a known key until the given time; returns its first message, if it has one.
    pub fn hold(&mut self, key: OrderKey, until: Timestamp) -> Option<MessageId> {
        let queue = self.0.get_mut(&key)?;
        queue.held_until = until;
        queue.messages.first().map(|(_, id)| *id)
    }

    /// Returns the head of a known key.
    pub fn head(&self, key: OrderKey) -> Option<KeyHead> {
        let queue = self.0.get(&key)?;
        Some(KeyHead { first: queue.messages.first().map(|(_, id)| *id), held_until: queue.held_until })
    }

    /// Forgets a key without messages whose hold is over at `now`; returns until when a key is held that is not.
    pub fn forget(&mut self, key: OrderKey, now: Timestamp) -> Option<Timestamp> {
        let queue = self.0.get(&key).filter(|queue| queue.messages.is_empty())?;
        if queue.held_until > now {
            return Some(queue.held_until);
        }
        self.0.remove(&key);
        None
    }
}

#[cfg(test)]
mod tests;
