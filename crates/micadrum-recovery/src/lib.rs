//! Recovery of a sender after a restart: how far it trusts its state folder, what it queries from other
//! senders, and the order in which it resumes service.
//!
//! The modules perform no I/O and read no clock. [`journal_trust`] assesses the journal and the clock,
//! [`message_recovery`] decides what happens to each pending message, [`peer_query`] and [`peer_report`]
//! collect reports from other senders, [`phases`] defines what is permitted in each recovery phase, and
//! [`admission`] limits the rate of new messages. Wall times are microseconds since the Unix epoch, as in the
//! journal; other times are [`std::time::Duration`]s since an origin on a monotonic clock.
//!
//! Reports from other senders can only make recovery more cautious. A sender without reports still recovers
//! to full service.
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

/// A trace record about the recovery of a process. The JSON names are part of the trace format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// The assessment of the journal and the clock at startup.
    Trust(Trust),
    /// A phase has ended.
    #[serde(rename = "step")]
    PhaseEnded(phases::PhaseRecord),
}
