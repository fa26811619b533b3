//! After a restart: what a sender trusts of the folder that it finds, what it asks other senders, and the order in which
//! service returns.
//!
//! Four parts, each by itself and free of I/O and clocks: [`trust`] says what a kept fact is worth, [`owed`] what follows
//! from that for a message, [`words`] what others can add to it, [`stages`] when what may happen. Wall times are
//! microseconds since 1970, as the journal has them; spans and moments of this process are [`std::time::Duration`]s on a
//! clock that never goes back.
//!
//! All of it only ever adds caution. A sender of which nobody knows anything, and that is alone, serves all the same.
#![forbid(unsafe_code)]

pub mod admission;
pub mod asking;
pub mod owed;
pub mod stages;
pub mod trust;
pub mod words;

use serde::{Deserialize, Serialize};

/// What a process says of its return, for programs that judge it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// What it found, and what it makes of it.
    Trust(Trust),
    /// A stage is over.
    Step(stages::Step),
}

pub use admission::Admission;
pub use asking::PeerQuery;
pub use stages::{Phases, RecoveryPhase};
pub use trust::{Boot, JournalStamp, Trust};
pub use words::{EndpointRestrictions, PeerReport};
