//! Snapshots of the membership state, for the layers above and for operators. A snapshot can be wrong at any
//! moment.
//!
//! Field names in JSON are part of the formats of `/status/peers` and of the links between members.
use crate::incarnation::Incarnation;
use crate::status::{LocalStatus, Reach, Status};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One other member, as seen by this sender. Times are on the clock of the enclosing [`View`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// The member's name.
    pub name: String,
    /// The address to which datagrams for the member are sent.
    pub address: SocketAddr,
    /// The zone in which the member runs.
    #[serde(rename = "building")]
    pub zone: String,
    /// The status of the member, as this sender believes it to be.
    pub status: Status,
    /// When `status` last changed.
    pub since: Duration,
    /// When the member was last heard, or `None` if it never was.
    #[serde(rename = "heard")]
    pub last_heard: Option<Duration>,
    /// The path on which the member was last heard, or `None` if it never was.
    pub reach: Option<Reach>,
    /// When the member last answered a direct ping, or `None` if it never did.
    #[serde(rename = "answered")]
    pub last_direct_ack: Option<Duration>,
    /// The smoothed round-trip time, or `None` before the first sample.
    pub round_trip: Option<Duration>,
    /// The highest known incarnation, or `None` if none is known.
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    /// Whether the member has lost the state of earlier incarnations, including any replicas that it held.
    #[serde(rename = "forgot")]
    pub lost_state: bool,
    /// Whether the member's roster differs from this sender's.
    #[serde(rename = "other_list")]
    pub roster_differs: bool,
}

/// Datagrams sent and received since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Bytes in datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams not sent because the send budget was exhausted.
    #[serde(rename = "held_back")]
    pub over_budget: u64,
    /// Number of datagrams received.
    #[serde(rename = "came")]
    pub received: u64,
    /// Datagrams received that do not belong to this protocol or fleet.
    pub foreign: u64,
    /// Datagrams received whose authentication failed.
    pub forged: u64,
    /// Datagrams received that were replayed, or addressed to an earlier run of this sender.
    pub stale: u64,
    /// Datagrams received beyond the rate limit of their sender.
    #[serde(rename = "flooded")]
    pub over_limit: u64,
    /// Number of members declared dead.
    pub deaths: u64,
}

/// The whole membership state at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The time of the snapshot, on a monotonic clock whose origin the process chose.
    pub at: Duration,
    /// This sender's name.
    #[serde(rename = "own")]
    pub own_name: String,
    /// This sender's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The state of this sender's own membership.
    #[serde(rename = "standing")]
    pub local_status: LocalStatus,
    /// Whether this sender has lost the state of earlier incarnations.
    #[serde(rename = "forgot")]
    pub lost_state: bool,
    /// Whether no member answers; the statuses of other members are then not meaningful.
    #[serde(rename = "cut_off")]
    pub isolated: bool,
    /// The local health score, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_score: u32,
    /// The other members, sorted by name.
    pub peers: Vec<PeerView>,
    /// Datagrams sent and received.
    pub counts: Counts,
}
