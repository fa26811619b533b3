//! Ordering keys: the messages of each key in the order of acceptance, and the time until which the key is
//! held.
use crate::{MessageId, OrderKey, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct KeyQueue {
    messages: BTreeSet<(u64, MessageId)>,
    held_until: Timestamp,
}

/// The first message of a key, and the time until which messages without an attempt are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHead {
    /// The message that is sent next; `None` if the key has no messages.
    pub first: Option<MessageId>,
    /// An attempt of this key may still be running until this time, so no message starts its first attempt
    /// before it.
    pub held_until: Timestamp,
}

/// The state of a key after a message was released from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRelease {
    /// The first message of the key is the same as before, or the key does not exist any more.
    Unchanged,
    /// This message is the first one now.
    NextMessage(MessageId),
    /// The key has no messages and is held until this time.
    HeldUntil(Timestamp),
}

/// All keys that have messages or are held.
///
/// The numbers of keys come from clients. The map is ordered, as clients could slow down a hash map with
/// colliding numbers.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct OrderingKeys(BTreeMap<OrderKey, KeyQueue>);

impl OrderingKeys {
    /// Appends a message to the queue of a key; sequence numbers must ascend. If the message is the second
    /// one of the queue, returns the first one, which now has a successor.
    pub fn push(&mut self, key: OrderKey, sequence: u64, id: MessageId) -> Option<MessageId> {
        let messages = &mut self.0.entry(key).or_default().messages;
        messages.insert((sequence, id));
        messages.first().filter(|_| messages.len() == 2).map(|(_, first)| *first)
    }

    /// Returns whether a key has messages after its first one.
    pub fn has_successors(&self, key: OrderKey) -> bool {
        self.0.get(&key).is_some_and(|queue| queue.messages.len() > 1)
    }

    /// Removes a message from its key. The key is removed with its last message unless it is still held at
    /// `now`; in that case the caller calls [`OrderingKeys::forget`] when the hold is over.
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

    /// Holds a key until the given time. Returns its first message, or `None` if it has none or the key is
    /// unknown.
    pub fn hold(&mut self, key: OrderKey, until: Timestamp) -> Option<MessageId> {
        let queue = self.0.get_mut(&key)?;
        queue.held_until = until;
        queue.messages.first().map(|(_, id)| *id)
    }

    /// Returns the head of a key, or `None` if the key is unknown.
    pub fn head(&self, key: OrderKey) -> Option<KeyHead> {
        let queue = self.0.get(&key)?;
        Some(KeyHead { first: queue.messages.first().map(|(_, id)| *id), held_until: queue.held_until })
    }

    /// Removes a key that has no messages and is not held at `now`. If the key has no messages but is still
    /// held, returns the time until which it is held.
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
