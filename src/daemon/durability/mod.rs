//! When a record is durable, and what waits until it is.
//!
//! # Problem
//! An answer, a call or a notification must not leave the sender before the record that it rests on is durable: after a
//! crash the record would be missing, and the promise broken or the call repeated.
//!
//! # Guarantees
//! Under the setting `process` a record is durable once it is written: it survives the process, but not the machine. Under
//! `machine` it is durable once it is synced. An effect is released only when all records before it are durable, and
//! effects are released in the order in which they were deferred.
//!
//! # Mechanism
//! [`GroupCommit`] decides when to sync, and which records are durable; [`DeferredEffects`] holds the effects. Both are
//! state machines without I/O, which the event loop drives. [`DurableStorage`] makes replaced files durable that are not
//! part of the journal, and [`TracedStorage`] logs what is durable, for tests that simulate a loss of power.
mod deferred_effects;
mod durable_storage;
mod group_commit;
mod traced_storage;

pub use deferred_effects::DeferredEffects;
pub use durable_storage::DurableStorage;
pub use group_commit::{GroupCommit, NextStep, SyncResult};
use std::time::Duration;
pub use traced_storage::TracedStorage;

/// How long after a failed attempt to replace the journal's file the next one follows.
pub const REPLACEMENT_RETRY_DELAY: Duration = Duration::from_secs(1);
