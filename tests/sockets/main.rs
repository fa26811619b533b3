//! Runs the sender as a process against test endpoints, a test platform and test clients on loopback sockets.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod admin;
mod calls;
mod checker;
mod clients;
mod connection_races;
mod durability;
mod handover;
mod harness;
mod hostile_clients;
mod notifications;
mod peers;
mod persisted_state;
mod random_scenarios;
mod raw_connections;
mod recovery;
mod repeated_handovers;
mod restarts;
mod second_answers;
mod signals;
mod startup;
mod system_calls;
mod unanswered_requests;
mod watch;
