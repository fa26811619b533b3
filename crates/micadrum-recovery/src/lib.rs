//! After a restart: what a sender trusts of the folder that it finds, what it asks other senders, and the order in which
//! service returns.
//!
//! Four parts, each by itself and free of I/O and clocks: [`journal_trust`] says what a kept fact is worth, [`message_recovery`] what follows
//! from that for a message, [`peer_report`] what others can add to it, [`phases`] when what may happen. Wall times are
//! microseconds since 1970, as the journal has them; spans and moments of this process are [`std::time::Duration`]s on a
//! clock that never goes back.
//!
//! All of it only ever adds caution. A sender of which nobody knows anything, and that is alone, serves all the same.
#![forbid(unsafe_code)]

pub mod admission;
pub mod journal_trust;
pub mod message_recovery;
pub mod peer_query;
pub mod peer_report;
pub mod phases;

use serde::{Deserialize, Serialize};

/// What a process says of its return, for programs that judge it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// What it found, and what it makes of it.
    Trust(Trust),
    /// A stage is over.
    Step(phases::Step),
}

pub use admission::Admission;
pub use journal_trust::{Boot, JournalStamp, Trust};
pub use peer_query::PeerQuery;
pub use peer_report::{EndpointRestrictions, PeerReport};
pub use phases::{Phases, RecoveryPhase};
