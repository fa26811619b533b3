//! The sender as a process, with endpoints, platform and clients on loopback sockets.
mod calls;
mod clients;
mod crossings;
mod durability;
mod generated;
mod handover;
mod ledger;
mod memory;
mod operators;
mod peers;
mod raw;
mod recovery;
mod restarts;
mod resumed;
mod terminated;
mod watch;
mod world;
