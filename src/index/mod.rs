//! The data structures that the policy works on: messages by key, deadline and readiness, calls in flight,
//! and endpoints.
//!
//! They contain no policy, read no clock and perform no I/O. An operation takes time logarithmic in the
//! number of items held, or linear in the size of its result.
pub(crate) mod calls;
pub(crate) mod deadline_index;
pub(crate) mod directory;
pub(crate) mod keys;
pub(crate) mod message_state;
pub(crate) mod message_table;
pub(crate) mod pending;
pub(crate) mod timers;
pub(crate) mod weight;
