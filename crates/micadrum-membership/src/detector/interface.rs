//! The interface between the driver and the state machine: settings, inputs, outputs and events.
use crate::member::Roster;
use crate::send_budget::SendBudget;
use crate::status::{LocalStatus, Status};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings from the operator's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The time between two regular probes.
    pub probe_interval: Duration,
    /// The minimum time for which a suspect is silent before it is declared dead.
    pub suspicion_timeout: Duration,
    /// The upper bound on the traffic sent.
    pub send_budget: SendBudget,
}

/// An input to the state machine.
#[derive(Debug)]
pub enum Input<'a> {
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The time returned by [`Membership::due`](super::Membership::due) has been reached.
    Timer,
    /// The record of the last [`Output::WriteRecord`] is persisted.
    RecordWritten,
    /// The record of the last [`Output::WriteRecord`] could not be persisted.
    RecordWriteFailed,
    /// The operator's configuration has changed.
    Reconfigured(Settings, Roster),
    /// This sender is shutting down gracefully.
    Leave,
}

/// An effect that the driver performs.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Replaces the persisted incarnation record, and reports [`Input::RecordWritten`] or
    /// [`Input::RecordWriteFailed`].
    WriteRecord(Vec<u8>),
    /// Reports a change of the membership state to the layers above and to the log.
    Event(Event),
}

/// A change of the membership state. JSON names are part of the trace format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The status of a member has changed.
    #[serde(rename = "changed")]
    StatusChanged {
        /// The member's name.
        name: String,
        /// The status before the change.
        #[serde(rename = "was")]
        previous: Status,
        /// The status after the change.
        #[serde(rename = "is")]
        current: Status,
        /// The number of the highest known incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A member runs under a new incarnation.
    #[serde(rename = "life")]
    NewIncarnation {
        /// The member's name.
        name: String,
        /// The number of the new incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Whether the member has lost the state of earlier incarnations.
        #[serde(rename = "forgot")]
        lost_state: bool,
    },
    /// A member's roster differs from this sender's, or matches again.
    #[serde(rename = "other-list")]
    RosterMismatch {
        /// The member's name.
        name: String,
        /// Whether the rosters differ.
        #[serde(rename = "other")]
        differs: bool,
    },
    /// Other members know a higher incarnation of this sender: its state folder was lost, or restored from an
    /// older copy. The sender continues under an incarnation above that one.
    #[serde(rename = "forgotten")]
    StateLossDetected {
        /// The number of the incarnation that the sender has taken.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The number of the incarnation that other members know.
        known: u64,
    },
    /// The state of this sender's own membership has changed.
    #[serde(rename = "stands")]
    LocalStatusChanged(LocalStatus),
    /// The process was suspended; all probes in progress are restarted.
    Stalled {
        /// The delay of the driver's call after the time returned by
        /// [`Membership::due`](super::Membership::due), in milliseconds.
        late_ms: u64,
    },
    /// All other members have stopped answering (`true`), or one answers again (`false`).
    #[serde(rename = "cut-off")]
    IsolationChanged(bool),
}
