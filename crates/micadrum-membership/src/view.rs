//! What a sender believes of its peers, for the layers above and for people. It may be wrong at any moment.
use crate::detector::Standing;
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Not heard yet.
    Unknown,
    /// It answers.
    Live,
    /// It does not, for a while.
    Suspect,
    /// It has not for as long as the settings want, while others answered.
    Dead,
    /// It said that it ends.
    Left,
}

/// How it was last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// Straight.
    Direct,
    /// Passed on by others alone.
    Relayed,
}

/// One member, as it is seen from here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// Its name.
    pub name: String,
    /// Where it is spoken to.
    pub address: SocketAddr,
    /// Its building.
    pub building: String,
    /// What is believed.
    pub status: Status,
    /// Since when, on the clock of the view.
    pub since: Duration,
    /// When it last gave a sign itself.
    pub heard: Option<Duration>,
    /// How it was last heard.
    pub reach: Option<Reach>,
    /// When it last answered a question that went to it straight.
    pub answered: Option<Duration>,
    /// There and back, smoothed.
    pub round_trip: Option<Duration>,
    /// The highest life that was heard.
    pub life: Option<Incarnation>,
    /// It said that it has forgotten earlier lives: its promises and copies no longer count.
    pub forgot: bool,
    /// Its list of members is another than this sender's.
    pub other_list: bool,
}

/// What came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that the ceiling held back.
    pub held_back: u64,
    /// Datagrams that came.
    pub came: u64,
    /// Of them, none of ours.
    pub foreign: u64,
    /// Of them, sealed by nobody who may.
    pub forged: u64,
    /// Of them, come before, or meant for an earlier run of this sender.
    pub stale: u64,
    /// Of them, more than a member may send.
    pub flooded: u64,
    /// Members that were held for dead, so far.
    pub deaths: u64,
}

/// The whole of it at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// When, on a clock that never goes back and begins where the process chose.
    pub at: Duration,
    /// This sender's name.
    pub own: String,
    /// Its life.
    pub life: Incarnation,
    /// How it stands itself.
    pub standing: Standing,
    /// It has forgotten earlier lives.
    pub forgot: bool,
    /// Nobody answers: what it believes of others says nothing.
    pub cut_off: bool,
    /// How far it doubts itself, 0 to 8.
    pub doubt: u32,
    /// The others, by name.
    pub peers: Vec<PeerView>,
    /// What came and went.
    pub counts: Counts,
}
