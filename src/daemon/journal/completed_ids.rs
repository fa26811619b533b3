//! IDs of completed messages, retained for as long as a client may submit one of them again, so that no
//! message is delivered a second time.
//!
//! No I/O and no clock; times are microseconds of engine time, which are valid across processes. The set is
//! bounded in number and in bytes. If it exceeds a bound, the IDs that expire first are dropped first.
use super::record::CompletedId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Minimum retention of an ID after its message was completed, in microseconds.
const MIN_RETENTION_US: u64 = 30_000_000;
/// Minimum retention of an ID after its message's deadline, in microseconds; clients submit it no later.
const RETENTION_PAST_DEADLINE_US: u64 = 1_000_000;
/// Space that an ID takes in addition to its text, in a file and in memory, in bytes.
const ID_OVERHEAD_BYTES: u64 = 24;

/// Bounds of the set.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedIdLimits {
    pub max_ids: usize,
    pub max_bytes: u64,
}

/// The set of retained IDs.
#[derive(Debug)]
pub(super) struct CompletedIds {
    expiry_by_id: BTreeMap<Arc<str>, u64>,
    ids_by_expiry: BTreeSet<(u64, Arc<str>)>,
    bytes: u64,
    limits: CompletedIdLimits,
}

impl CompletedIds {
    /// Creates an empty set.
    pub fn new(limits: CompletedIdLimits) -> Self {
        Self { expiry_by_id: BTreeMap::new(), ids_by_expiry: BTreeSet::new(), bytes: 0, limits }
    }

    /// Returns whether the ID is in the set.
    pub fn contains(&self, id: &str) -> bool {
        self.expiry_by_id.contains_key(id)
    }

    /// Adds the ID of a message that had the given `deadline` and was completed at `completed_at`.
    pub fn complete(&mut self, id: &str, completed_at: u64, deadline: u64) {
        let past_deadline = deadline.saturating_add(RETENTION_PAST_DEADLINE_US);
        self.insert(id.into(), (completed_at + MIN_RETENTION_US).max(past_deadline), completed_at);
    }

    /// Retains an ID until `expires_at`, and drops IDs that have expired by `now`.
    pub fn insert(&mut self, id: Arc<str>, expires_at: u64, now: u64) {
        if let Some(replaced) = self.expiry_by_id.insert(id.clone(), expires_at) {
            self.ids_by_expiry.remove(&(replaced, id.clone()));
        } else {
            self.bytes += stored_bytes(&id);
        }
        self.ids_by_expiry.insert((expires_at, id));
        while self.is_over_limit() || self.first_has_expired(now) {
            let Some((_, id)) = self.ids_by_expiry.pop_first() else { return };
            self.expiry_by_id.remove(&id);
            self.bytes -= stored_bytes(&id);
        }
    }

    fn is_over_limit(&self) -> bool {
        self.ids_by_expiry.len() > self.limits.max_ids || self.bytes > self.limits.max_bytes
    }

    fn first_has_expired(&self, now: u64) -> bool {
        self.ids_by_expiry.first().is_some_and(|(expires_at, _)| *expires_at < now)
    }

    /// Retains every ID for at least as long as if its message had been completed at `now`.
    pub fn extend_all(&mut self, now: u64) {
        let expires_at = now + MIN_RETENTION_US;
        let earlier = self.ids_by_expiry.iter().take_while(|(expiry, _)| *expiry < expires_at);
        for id in earlier.map(|(_, id)| id.clone()).collect::<Vec<_>>() {
            self.insert(id, expires_at, 0);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.ids_by_expiry.is_empty()
    }

    /// Returns the IDs in the order in which they expire.
    pub fn iter(&self) -> impl Iterator<Item = CompletedId> {
        self.ids_by_expiry
            .iter()
            .map(|(expires_at, id)| CompletedId { id: id.clone(), expires_at: *expires_at })
    }

    /// Returns the maximum number of bytes that the IDs take in a file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn stored_bytes(id: &str) -> u64 {
    id.len() as u64 + ID_OVERHEAD_BYTES
}
