//! The states that the failure detector assigns to members. JSON names are part of the `/status/peers`
//! format.
use serde::{Deserialize, Serialize};

/// The status of another member, as this sender believes it to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// No datagram that proves the member alive has been received yet.
    Unknown,
    /// The member answers probes.
    Live,
    /// The member has stopped answering and is probed repeatedly.
    Suspect,
    /// The member stayed silent for the suspicion timeout, while other members answered.
    Dead,
    /// The member announced that it leaves the fleet.
    Left,
}

impl Status {
    /// Returns whether a member in this state takes part in the regular probe rounds. Dead and departed
    /// members are probed separately.
    pub(crate) fn is_probed_in_rounds(self) -> bool {
        !matches!(self, Self::Dead | Self::Left)
    }
}

/// The path on which a member was last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// The last datagram arrived directly from the member.
    Direct,
    /// The last datagram arrived through another member.
    Relayed,
}

/// The state of this sender's own membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LocalStatus {
    /// The incarnation is not persisted yet: nothing is sent.
    #[serde(rename = "writing")]
    PersistingIncarnation,
    /// Other members are being asked whether they know a higher incarnation of this sender.
    #[serde(rename = "asking")]
    ConfirmingIncarnation,
    /// A majority of members knows this incarnation as the highest.
    #[serde(rename = "settled")]
    Confirmed,
    /// A later process uses this sender's name: nothing is sent.
    Superseded,
    /// No higher incarnation number is left: nothing is sent.
    Exhausted,
    /// This sender has announced that it leaves.
    Left,
}

impl LocalStatus {
    /// Returns whether datagrams are sent and accepted in this state.
    pub(crate) fn is_communicating(self) -> bool {
        matches!(self, Self::ConfirmingIncarnation | Self::Confirmed)
    }
}
