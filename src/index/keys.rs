//! Order keys: the messages of each in the order in which they were taken on, and how long it rests.
use crate::{MessageId, OrderKey, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct Key {
    queue: BTreeSet<(u64, MessageId)>,
    rest_until: Timestamp,
}

/// What a message leaves behind it in its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRelease {
    /// Nothing that matters to others.
    Unchanged,
    /// This one comes first now.
    NextMessage(MessageId),
    /// A key that rests until then.
    HeldUntil(Timestamp),
}

/// All keys that have messages or rest. Their numbers come from strangers: an ordered map, which nobody can make
/// slow by numbers that collide.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct OrderingKeys(BTreeMap<OrderKey, Key>);

impl OrderingKeys {
    /// A message takes its place at the end of a key's queue: places only grow. The first one, if this is the second.
    pub fn push(&mut self, key: OrderKey, place: u64, id: MessageId) -> Option<MessageId> {
        let queue = &mut self.0.entry(key).or_default().queue;
        queue.insert((place, id));
        queue.first().filter(|_| queue.len() == 2).map(|(_, first)| *first)
    }

    /// Whether messages wait behind the first one of a key.
    pub fn has_successors(&self, key: OrderKey) -> bool {
        self.0.get(&key).is_some_and(|known| known.queue.len() > 1)
    }

    /// A message leaves its key: what comes first now, if that has changed. The last one takes the key with it, unless
    /// that still rests `now`: then it is to be forgotten when that is over.
    pub fn release(&mut self, key: OrderKey, place: u64, id: MessageId, now: Timestamp) -> KeyRelease {
        let Some(known) = self.0.get_mut(&key) else { return KeyRelease::Unchanged };
        let first = known.queue.first() == Some(&(place, id));
        known.queue.remove(&(place, id));
        match known.queue.first() {
            Some((_, next)) if first => KeyRelease::NextMessage(*next),
            Some(_) => KeyRelease::Unchanged,
            None => self.forget(key, now).map_or(KeyRelease::Unchanged, KeyRelease::HeldUntil),
        }
    }

    /// Lets a known key rest until then; its first message, if it has one.
    pub fn hold(&mut self, key: OrderKey, until: Timestamp) -> Option<MessageId> {
        let known = self.0.get_mut(&key)?;
        known.rest_until = until;
        known.queue.first().map(|(_, id)| *id)
    }

    /// The first message of a known key, and until when the key rests.
    pub fn head(&self, key: OrderKey) -> Option<(Option<MessageId>, Timestamp)> {
        self.0.get(&key).map(|known| (known.queue.first().map(|(_, id)| *id), known.rest_until))
    }

    /// Forgets a key without messages that has rested `now`; one that still rests tells until when.
    pub fn forget(&mut self, key: OrderKey, now: Timestamp) -> Option<Timestamp> {
        let known = self.0.get(&key).filter(|known| known.queue.is_empty())?;
        if known.rest_until > now {
            return Some(known.rest_until);
        }
        self.0.remove(&key);
        None
    }
}

#[cfg(test)]
mod tests;
