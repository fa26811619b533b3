//! Compatibility of the formats that the binary reads and writes: state folders, the handover, the admin
//! endpoint and the protocol between members. The tests use no item of the library, so they are independent
//! of renames in the code.
//!
//! `UPDATE_FIXTURES=1` replaces the committed fixtures with the observed values; see `fixtures/README.md`.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod daemon;
mod handover;
mod http;
mod members;
mod postcard;
mod reading;
mod records;
mod relays;
mod scenario;
mod schema;
mod snapshot;
mod status;
mod test_servers;
mod writing;
