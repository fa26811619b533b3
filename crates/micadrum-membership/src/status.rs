//! The states that the failure detector assigns to members. JSON names are part of the `/status/peers` format.
use serde::{Deserialize, Serialize};

/// What is believed of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The member has not been heard yet.
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
    /// Whether a member in this state takes part in the regular probe rounds. Dead and departed members are probed apart.
    pub(crate) fn is_probed_in_rounds(self) -> bool {
        !matches!(self, Self::Dead | Self::Left)
    }
}

/// The path on which a member was last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// A datagram arrived directly from the member.
    Direct,
    /// Datagrams arrive only through other members.
    Relayed,
}

/// The state of this sender's own membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LocalStatus {
    /// The incarnation is not persisted yet: nothing is sent.
    #[serde(rename = "writing")]
    PersistingIncarnation,
    /// Members are asked whether any of them knows a higher incarnation of this sender.
    #[serde(rename = "asking")]
    ConfirmingIncarnation,
    /// A majority of members knows this incarnation as the highest.
    #[serde(rename = "settled")]
    Confirmed,
    /// A later process uses this sender's name: nothing is sent any more.
    Superseded,
    /// No higher incarnation number is left: nothing is sent.
    Exhausted,
    /// This sender has announced that it leaves.
    Left,
}

impl LocalStatus {
    /// Whether datagrams may be sent and accepted in this state.
    pub(crate) fn is_communicating(self) -> bool {
        matches!(self, Self::ConfirmingIncarnation | Self::Confirmed)
    }
}
