//! Cluster membership: which senders of a fleet are alive, and under which incarnation.
//!
//! [`Membership`] is a failure detector and gossip protocol in the style of SWIM (Das et al., 2002) with the
//! local health multiplier of Lifeguard (Dadgar et al., 2018). It is a state machine free of I/O, clocks and
//! global randomness: its driver reports inputs together with the current time ([`Membership::handle`]),
//! performs the requested effects ([`Membership::poll_output`]), and reports [`Input::Timer`] at
//! [`Membership::due`]. Times are durations since an origin that the driver chooses, on a monotonic clock;
//! the random number generator is passed in.
//!
//! **A membership view can be wrong at any moment.** It states what this sender believes about other members
//! and since when; no safety decision may rely on it alone. Incarnations are reliable: their numbers only
//! increase, and a sender whose state folder was lost or restored from an older copy is detected through the
//! incarnations that its peers have recorded.
//!
//! A gossip update about a third member never changes the status of that member: it only triggers a probe.
//! The only evidence of liveness is an authenticated datagram from the member itself, received directly or
//! through a relay.
#![forbid(unsafe_code)]

mod datagram;
mod detector;
mod gossip;
mod incarnation;
mod link;
mod local_health;
mod member;
mod remote_member;
mod replay_window;
mod round_trip;
mod sealing;
mod send_budget;
mod status;
mod view;

pub use datagram::MAX_DATAGRAM_BYTES;
pub use detector::{Event, Input, Membership, Output, Settings};
pub use incarnation::{Incarnation, IncarnationRecord, IncarnationRecordError};
pub use link::{Link, LinkError, LinkEvent, LinkIdentity, MAX_PAYLOAD_BYTES, QueueFull};
pub use member::{Member, MemberId, Roster, RosterError};
pub use sealing::{Secret, WeakKey};
pub use send_budget::SendBudget;
pub use status::{LocalStatus, Reach, Status};
pub use view::{Counts, PeerView, View};
