//! What the decision module looks things up in: ordered containers and the books of who waits, which keys are
//! taken and which endpoints are listed. They decide nothing, read no clock and do no I/O; every look costs the
//! logarithm of what they hold, or what it returns.
pub(crate) mod calls;
pub(crate) mod deadline_index;
pub(crate) mod directory;
pub(crate) mod keys;
pub(crate) mod message_state;
pub(crate) mod message_table;
pub(crate) mod pending;
pub(crate) mod timers;
pub(crate) mod weight;
