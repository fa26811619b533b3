//! Recovery after a restart: what a sender trusts of the state folder that it finds, what it asks other senders, and the
//! order in which service returns.
//!
//! The parts are free of I/O and clocks: [`journal_trust`] assesses the journal and the clock, [`message_recovery`] derives
//! what happens to each pending message, [`peer_query`] and [`peer_report`] collect what other senders know, [`phases`]
//! decides when what is permitted, and [`admission`] limits the rate of new messages. Wall times are microseconds since
//! 1970, as in the journal; other times are [`std::time::Duration`]s since an origin on a monotonic clock.
//!
//! Recovery only ever adds caution. A sender that no other sender knows anything about, or that is alone, still serves.
#![forbid(unsafe_code)]

pub mod admission;
pub mod journal_trust;
pub mod message_recovery;
pub mod peer_query;
pub mod peer_report;
pub mod phases;

pub use admission::Admission;
pub use journal_trust::{BootId, JournalStamp, Trust};
pub use peer_query::PeerQuery;
pub use peer_report::{EndpointRestrictions, PeerReport};
pub use phases::{Phases, RecoveryPhase};
use serde::{Deserialize, Serialize};

/// A trace record about the recovery of a process. JSON names are part of the trace format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// What the process found and how far it trusts that.
    Trust(Trust),
    /// A phase has ended.
    #[serde(rename = "step")]
    PhaseEnded(phases::PhaseRecord),
}
