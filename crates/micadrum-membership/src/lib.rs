//! Senders that know each other: who may be there, and under which life.
//!
//! [`Peers`] is a state machine free of I/O and clocks. Its host hands it what happened and the time
//! ([`Peers::handle`]), carries out what it says ([`Peers::poll_output`]), and comes back at [`Peers::due`]. Times are
//! spans from a start of the host's choosing, on a clock that never goes back; chance is handed in.
//!
//! **A view may be wrong at any moment.** It says what this sender believes of others and since when; nothing that a
//! rule rests on may be decided by it alone. What binds are lives: they only grow, and a sender whose folder was lost
//! or put back is recognised by what its peers heard before.
//!
//! Nobody's word decides about a third: a rumour points at whom to ask, and what a member itself answers, straight or
//! passed on under its own seal, is all the evidence there is.
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
mod sealing;
mod send_budget;
mod view;

pub use datagram::MOST_DATAGRAM;
pub use detector::{Event, Input, Membership, Output, Settings, Standing};
pub use incarnation::{Incarnation, IncarnationRecord, IncarnationRecordError};
pub use link::{Link, LinkError, LinkEvent, MOST_PAYLOAD, QueueFull};
pub use member::{Member, MemberId, Roster, RosterError};
pub use sealing::{Secret, WeakKey};
pub use send_budget::SendBudget;
pub use view::{Counts, PeerView, Reach, Status, View};
