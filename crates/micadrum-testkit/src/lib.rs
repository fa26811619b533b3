//! The rehearsal kit: stand-in partners, a stand-in platform and clients round the real daemon, in a simulated
//! world or on loopback, from one scenario file and one seed; and a judge of the six rules.
//!
//! A [`plan::Plan`] is drawn from a [`scenario::Scenario`] and a seed. [`sim::run`] plays it on simulated time,
//! network and disk, [`live::run`] with real processes. Both play the same world, whose observations go to
//! the [`judge`] and into the [`report`].
#![forbid(unsafe_code)]

pub mod history;
mod http;
pub mod invariants;
pub mod link_faults;
pub mod live;
pub mod observation;
pub mod plan;
pub mod report;
pub mod scenario;
pub mod seed_search;
pub mod service_metrics;
pub mod sim;
pub mod trace_aggregate;
pub use micadrum_config::units;
mod test_network;
mod world;
