//! All messages that the engine holds, with their indices.
//!
//! The table owns the message states, the ordering keys and the pending queues, and keeps them consistent:
//! after a change of a state, [`MessageTable::update_entry`] updates the indices. The policy decides whether
//! a message is sent, retried or ended.
use super::keys::{KeyHead, KeyRelease, OrderingKeys};
use super::message_state::{MessageState, Phase, UncertainAttempt};
use super::pending::{PendingEntry, PendingMessages, Readiness, Timer};
use crate::{
    DeduplicationScope, Idempotency, Message, MessageId, OrderKey, RecoveredMessage, Settings, Timestamp,
    ZoneId,
};
use rustc_hash::FxHashMap;

/// The position of a message in the queue of its ordering key.
#[derive(Clone, Copy)]
struct KeyPosition {
    key: OrderKey,
    sequence: u64,
}

/// The limits of further attempts: the only zone that deduplicates the message, and when its deduplication
/// window closes. `None` means no limit.
#[derive(Clone, Copy)]
struct RetryBounds {
    required_zone: Option<ZoneId>,
    closes_at: Option<Timestamp>,
}

/// Messages by id, by ordering key, by deadline and by readiness.
#[cfg_attr(test, derive(Clone))]
pub struct MessageTable {
    /// Boxed, as a hash table that grows moves all entries at once.
    states: FxHashMap<MessageId, Box<MessageState>>,
    next_sequence: u64,
    keys: OrderingKeys,
    /// The indices of pending messages, and the timers.
    pub pending: PendingMessages,
    /// Messages that may have to end before their deadlines, as their deduplication window has closed or no
    /// attempts are left.
    pub end_candidates: Vec<MessageId>,
    /// Messages that ended undelivered and whose end is not acknowledged yet. They keep their place in the
    /// queue of their key until it is.
    unacknowledged: FxHashMap<MessageId, KeyPosition>,
}

impl MessageTable {
    /// Creates an empty table.
    pub fn new(pending: PendingMessages) -> Self {
        Self {
            states: FxHashMap::default(),
            next_sequence: 0,
            keys: OrderingKeys::default(),
            pending,
            end_candidates: Vec::new(),
            unacknowledged: FxHashMap::default(),
        }
    }

    /// Returns the number of messages held.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the state of a message, or `None` if the message is unknown.
    pub fn get(&self, id: MessageId) -> Option<&MessageState> {
        self.states.get(&id).map(|state| &**state)
    }

    /// Returns the state of a message for modification. The caller must call [`MessageTable::update_entry`]
    /// afterwards.
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut MessageState> {
        self.states.get_mut(&id).map(|state| &mut **state)
    }

    /// Returns all messages in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &MessageState)> {
        self.states.iter().map(|(id, state)| (*id, &**state))
    }

    /// Adds a message that may be sent from `now` on.
    pub fn insert(&mut self, message: Message, now: Timestamp, settings: &Settings) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = message.key.filter(|_| settings.classes[message.class.0].ordered);
        let gained_successor = key.and_then(|key| self.keys.push(key, sequence, message.id));
        let state = MessageState {
            message,
            deadline: Timestamp(now.0 + message.time_to_live.0),
            sequence,
            attempts: 0,
            phase: Phase::Pending(now),
            first_uncertain_attempt: None,
            recovered_untried: false,
            entry: None,
        };
        self.states.insert(message.id, Box::new(state));
        self.update_entry(message.id, now, settings);
        if let Some(first) = gained_successor {
            self.update_entry(first, now, settings);
        }
    }

    /// Restores the attempts that an earlier process recorded for a message that was just inserted. The
    /// message is not sent before `retry_at`.
    pub fn restore(
        &mut self,
        recovered: &RecoveredMessage,
        retry_at: Timestamp,
        now: Timestamp,
        settings: &Settings,
    ) {
        let Some(state) = self.get_mut(recovered.message.id) else { return };
        state.attempts = recovered.attempts;
        state.recovered_untried = recovered.attempts == 0;
        state.phase = Phase::Pending(retry_at);
        state.first_uncertain_attempt =
            recovered.first_uncertain_attempt.map(|(sent_at, zone)| UncertainAttempt { sent_at, zone });
        self.update_entry(recovered.message.id, now, settings);
    }

    /// Updates the entry of a message in the indices to its current state, and removes the entry of a message
    /// that is not pending.
    pub fn update_entry(&mut self, id: MessageId, now: Timestamp, settings: &Settings) {
        let Some(state) = self.states.get_mut(&id) else { return };
        if let Some(entry) = state.entry.take() {
            self.pending.remove(id, &entry);
        }
        let Phase::Pending(not_before) = state.phase else { return };
        let class = &settings.classes[state.message.class.0];
        let key = state.message.key.filter(|_| class.ordered);
        // A message that had no attempt before a restart is sent before new messages, and is never shed.
        let recovered_untried = state.recovered_untried && state.attempts == 0;
        let urgent = recovered_untried || key.is_some_and(|key| self.keys.has_successors(key));
        let exhausted = state.attempts >= settings.max_attempts;
        let head = key.and_then(|key| self.keys.head(key));
        let readiness = readiness(state, not_before, head, exhausted, now);
        let bounds = retry_bounds(state, class.idempotency, settings, now);
        // A message whose window closes before it may be sent again can end now.
        let window_closes_at = bounds.closes_at.filter(|closes| not_before.max(now) < *closes);
        if window_closes_at != bounds.closes_at || exhausted {
            self.end_candidates.push(id);
        }
        let entry = PendingEntry {
            class: state.message.class,
            destination: state.message.destination,
            deadline: state.deadline,
            protected: state.first_uncertain_attempt.is_some() || recovered_untried,
            required_zone: bounds.required_zone,
            window_closes_at,
            urgent,
            readiness,
        };
        self.pending.insert(id, &entry);
        state.entry = Some(entry);
    }

    /// Removes a message. The next message of its key takes its place.
    pub fn forget(&mut self, id: MessageId, now: Timestamp, settings: &Settings) {
        let Some(state) = self.remove(id) else { return };
        if let Some(key) = state.message.key {
            self.release_key(id, KeyPosition { key, sequence: state.sequence }, now, settings);
        }
    }

    /// Removes a message that ended undelivered. If its end has to be acknowledged, it blocks its key until
    /// then.
    pub fn forget_undelivered(&mut self, id: MessageId, now: Timestamp, settings: &Settings) {
        let key_position =
            |state: &MessageState| state.message.key.map(|key| KeyPosition { key, sequence: state.sequence });
        let position = self.get(id).and_then(key_position);
        match position.filter(|_| settings.completion_requires_acknowledgement) {
            Some(position) => {
                self.remove(id);
                self.unacknowledged.insert(id, position);
            }
            None => self.forget(id, now, settings),
        }
    }

    /// Records that the end of a message is acknowledged, and releases its key.
    pub fn acknowledge(&mut self, id: MessageId, now: Timestamp, settings: &Settings) {
        if let Some(position) = self.unacknowledged.remove(&id) {
            self.release_key(id, position, now, settings);
        }
    }

    /// Holds back messages of a key that had no attempt yet until the given time.
    pub fn hold_key(&mut self, key: OrderKey, until: Timestamp, now: Timestamp, settings: &Settings) {
        if let Some(first) = self.keys.hold(key, until) {
            self.update_entry(first, now, settings);
        }
    }

    /// Removes a key that has no messages and is not held any more; sets a timer if it is still held.
    pub fn forget_idle_key(&mut self, key: OrderKey, now: Timestamp) {
        if let Some(held_until) = self.keys.forget(key, now) {
            self.pending.timers.set(held_until, Timer::OrderingHoldElapsed(key));
        }
    }

    /// Returns the first message of a key and until when the key is held, or `None` if the key is unknown.
    pub fn key_head(&self, key: OrderKey) -> Option<KeyHead> {
        self.keys.head(key)
    }

    fn remove(&mut self, id: MessageId) -> Option<Box<MessageState>> {
        let state = self.states.remove(&id)?;
        if let Some(entry) = &state.entry {
            self.pending.remove(id, entry);
        }
        Some(state)
    }

    fn release_key(&mut self, id: MessageId, position: KeyPosition, now: Timestamp, settings: &Settings) {
        match self.keys.release(position.key, position.sequence, id, now) {
            KeyRelease::Unchanged => {}
            KeyRelease::NextMessage(first) => self.update_entry(first, now, settings),
            KeyRelease::HeldUntil(until) => {
                self.pending.timers.set(until, Timer::OrderingHoldElapsed(position.key));
            }
        }
    }
}

/// Returns whether a message may be sent now, at a later time, or only after another event.
fn readiness(
    state: &MessageState,
    not_before: Timestamp,
    head: Option<KeyHead>,
    exhausted: bool,
    now: Timestamp,
) -> Readiness {
    let is_first = head.is_none_or(|head| head.first == Some(state.message.id));
    let held_until = head.map_or(Timestamp(0), |head| head.held_until);
    let ready_at = if state.attempts == 0 { not_before.max(held_until) } else { not_before };
    if !is_first || exhausted {
        Readiness::Blocked
    } else if ready_at > now {
        Readiness::NotBefore(ready_at)
    } else {
        Readiness::Ready
    }
}

/// Returns where and until when the destination deduplicates a further attempt.
fn retry_bounds(
    state: &MessageState,
    idempotency: Idempotency,
    settings: &Settings,
    now: Timestamp,
) -> RetryBounds {
    match (idempotency, state.first_uncertain_attempt) {
        (Idempotency::WithKey { scope, window }, Some(attempt)) => {
            let end = attempt.sent_at.0 + settings.retry_window(window).0;
            RetryBounds {
                required_zone: Some(attempt.zone).filter(|_| scope == DeduplicationScope::Zone),
                closes_at: Some(Timestamp(end)),
            }
        }
        (Idempotency::NonIdempotent, Some(_)) => RetryBounds { required_zone: None, closes_at: Some(now) },
        _ => RetryBounds { required_zone: None, closes_at: None },
    }
}
