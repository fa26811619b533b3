//! Order keys: the messages of each in the order in which they were taken on, and how long it rests.
use crate::{MessageId, OrderKey, Time};
use std::collections::{BTreeMap, BTreeSet};

#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct Key {
    queue: BTreeSet<(u64, MessageId)>,
    rest_until: Time,
}

/// What a message leaves behind it in its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Nothing that matters to others.
    AsBefore,
    /// This one comes first now.
    First(MessageId),
    /// A key that rests until then.
    Rests(Time),
}

/// All keys that have messages or rest. Their numbers come from strangers: an ordered map, which nobody can make
/// slow by numbers that collide.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
pub struct Keys(BTreeMap<OrderKey, Key>);

impl Keys {
    /// A message takes its place at the end of a key's queue: places only grow. The first one, if this is the second.
    pub fn enter(&mut self, key: OrderKey, place: u64, id: MessageId) -> Option<MessageId> {
        let queue = &mut self.0.entry(key).or_default().queue;
        queue.insert((place, id));
        queue.first().filter(|_| queue.len() == 2).map(|(_, first)| *first)
    }

    /// Whether messages wait behind the first one of a key.
    pub fn crowded(&self, key: OrderKey) -> bool {
        self.0.get(&key).is_some_and(|known| known.queue.len() > 1)
    }

    /// A message leaves its key: what comes first now, if that has changed. The last one takes the key with it, unless
    /// that still rests `now`: then it is to be forgotten when that is over.
    pub fn leave(&mut self, key: OrderKey, place: u64, id: MessageId, now: Time) -> Left {
        let Some(known) = self.0.get_mut(&key) else { return Left::AsBefore };
        let first = known.queue.first() == Some(&(place, id));
        known.queue.remove(&(place, id));
        match known.queue.first() {
            Some((_, next)) if first => Left::First(*next),
            Some(_) => Left::AsBefore,
            None => self.forget(key, now).map_or(Left::AsBefore, Left::Rests),
        }
    }

    /// Lets a known key rest until then; its first message, if it has one.
    pub fn rest(&mut self, key: OrderKey, until: Time) -> Option<MessageId> {
        let known = self.0.get_mut(&key)?;
        known.rest_until = until;
        known.queue.first().map(|(_, id)| *id)
    }

    /// The first message of a known key, and until when the key rests.
    pub fn first(&self, key: OrderKey) -> Option<(Option<MessageId>, Time)> {
        self.0.get(&key).map(|known| (known.queue.first().map(|(_, id)| *id), known.rest_until))
    }

    /// Forgets a key without messages that has rested `now`; one that still rests tells until when.
    pub fn forget(&mut self, key: OrderKey, now: Time) -> Option<Time> {
        let known = self.0.get(&key).filter(|known| known.queue.is_empty())?;
        if known.rest_until > now {
            return Some(known.rest_until);
        }
        self.0.remove(&key);
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a key that is kept for ever, forgotten while it rests, or passed on out of order.
    #[test]
    fn a_key_lasts_as_long_as_its_messages_and_its_rest() {
        let (mut keys, key, [a, b, c]) = (Keys::default(), OrderKey(7), [5, 3, 9].map(MessageId));
        for (place, id) in [(1, a), (2, b), (3, c)] {
            keys.enter(key, place, id);
        }
        assert_eq!(keys.leave(key, 2, b, Time(1)), Left::AsBefore);
        assert_eq!(keys.leave(key, 1, a, Time(1)), Left::First(c));
        assert_eq!(keys.rest(key, Time(50)), Some(c));
        assert_eq!(keys.first(key), Some((Some(c), Time(50))));
        assert_eq!(keys.forget(key, Time(99)), None, "it has a message");
        assert_eq!(keys.leave(key, 3, c, Time(49)), Left::Rests(Time(50)));
        assert_eq!(keys.forget(key, Time(50)), None);
        assert_eq!((keys.first(key), keys.rest(key, Time(9))), (None, None));
    }
}
