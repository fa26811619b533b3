//! The sender on real sockets: everything round the decision module that does I/O or reads a clock.
pub mod budget;
pub mod discovery;
pub mod host;
pub mod notices;
pub mod pool;
pub mod server;
pub mod store;
