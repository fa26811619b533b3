//! The test kit: runs the real daemon against stand-ins for destinations, platform and clients, in a simulated world or
//! on loopback, from one scenario file and one seed, and checks the invariants of message delivery.
//!
//! A [`plan::Plan`] is drawn from a [`scenario::Scenario`] and a seed. [`sim::run`] plays it on simulated time, network and
//! disk, [`live::run`] with real processes. Both play the same world; its [`observation`]s are checked by the
//! [`invariants`], measured by the [`service_metrics`], and summed up in the [`report`].
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
pub mod soak;
mod test_network;
pub mod trace_aggregate;
mod world;

pub use micadrum_config::units;
