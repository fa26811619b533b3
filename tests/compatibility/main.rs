//! What the binary reads and writes, byte by byte: state folders, the handover, the door for operators, and what members
//! say to each other. Nothing here names an item of the library, so code may be renamed beneath it.
//!
//! `UPDATE_FIXTURES=1` writes what is observed in place of the committed fixtures; `fixtures/README.md` tells how.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
mod daemon;
mod handover;
mod http;
mod members;
mod mesh;
mod postcard;
mod reading;
mod records;
mod scenario;
mod schema;
mod snapshot;
mod standin;
mod status;
mod writing;
