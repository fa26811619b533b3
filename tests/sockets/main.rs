//! The sender as a process, with endpoints, platform and clients on loopback sockets.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod calls;
mod clients;
mod crossings;
mod durability;
mod generated;
mod handover;
mod ledger;
mod memory;
mod notices;
mod operators;
mod peers;
mod raw;
mod recovery;
mod restarts;
mod resumed;
mod system_calls;
mod terminated;
mod watch;
mod world;
