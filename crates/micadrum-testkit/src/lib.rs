//! The test kit: runs the real daemon against stand-ins for destinations, the platform and clients, simulated
//! or on loopback, as one scenario file and one seed define it, and checks the invariants of message
//! delivery.
//!
//! A [`plan::Plan`] is drawn from a [`scenario::Scenario`] and a seed. [`sim::run`] executes it with
//! simulated time, network and disk, [`live::run`] with real processes. Both use the same stand-ins, whose
//! [`observation`]s are checked by the [`invariants`], measured by the [`service_metrics`], and summed up in
//! the [`report`].
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
