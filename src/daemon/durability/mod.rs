//! Tracks which journal records are durable, and holds back effects until they are.
//!
//! # Problem
//! An answer, a call or a notification must not leave the sender before the record that it depends on is
//! durable. After a crash, the record would be missing: an accepted message could be lost, or a call
//! repeated.
//!
//! # Guarantees
//! With the setting `process`, a record is durable once it is written: it survives a crash of the process,
//! but not of the machine. With `machine`, it is durable once it is synced. An effect is released only when
//! all records before it are durable, and effects are released in the order in which they were deferred.
//!
//! # Mechanism
//! [`GroupCommit`] decides when to sync and which records are durable; [`DeferredEffects`] holds the effects.
//! Both are state machines without I/O, driven by the event loop. [`DurableStorage`] durably replaces files
//! other than the journal, and [`TracedStorage`] logs which data is durable, for tests that simulate a power
//! loss.
mod deferred_effects;
mod durable_storage;
mod group_commit;
mod traced_storage;

pub use deferred_effects::DeferredEffects;
pub use durable_storage::DurableStorage;
pub use group_commit::{GroupCommit, NextStep, SyncResult};
use std::time::Duration;
pub use traced_storage::TracedStorage;

/// Delay between a failed attempt to replace the journal's file and the next attempt.
pub const REPLACEMENT_RETRY_DELAY: Duration = Duration::from_secs(1);
