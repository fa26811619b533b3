//! The data structures under the policy: messages by key, deadline and readiness; calls in flight; endpoints.
//!
//! They decide nothing, read no clock and do no I/O. Each operation costs the logarithm of what is held, or what it
//! returns.
pub(crate) mod calls;
pub(crate) mod deadline_index;
pub(crate) mod directory;
pub(crate) mod keys;
pub(crate) mod message_state;
pub(crate) mod message_table;
pub(crate) mod pending;
pub(crate) mod timers;
pub(crate) mod weight;
