//! The sender as a process, with endpoints, platform and clients on loopback sockets.
mod calls;
mod clients;
mod durability;
mod handover;
mod memory;
mod operators;
mod peers;
mod recovery;
mod restarts;
mod watch;
mod world;
