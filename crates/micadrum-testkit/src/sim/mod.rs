//! Simulates a whole deployment in one process: many instances of the daemon, on simulated time, network and
//! disks.
mod datagrams;
mod disk;
mod fleet;
mod hosts;
mod network;
mod process;
mod process_network;

use crate::link_faults::LinkFaults;
use crate::plan::Plan;
use crate::report::Report;
use crate::test_network::Host;
use crate::world::{World, run_scenario};
use datagrams::DatagramNetwork;
use fleet::{Node, SimFleet};
use network::SimNetwork;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// What a run prints to standard error while it is in progress.
#[derive(Clone, Copy, Default)]
pub struct OutputOptions {
    /// Whether to print the senders' logs.
    pub logs: bool,
    /// Whether to print a line every ten simulated minutes, or every minute of runs of less than ten minutes.
    pub progress: bool,
}

/// Runs a plan in simulated time, and returns the report of the run.
///
/// # Errors
/// Returns an error if the environment cannot be set up, or if a sender does not start.
pub fn run(plan: Plan, output: OutputOptions) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let plan = Rc::new(plan);
    LocalSet::new().block_on(&runtime, async move {
        let mut hosts = BTreeMap::new();
        for sender in &plan.senders {
            hosts.insert(Host::Sender(sender.number), sender.building);
        }
        for (_, endpoint) in plan.endpoints() {
            hosts.insert(Host::Endpoint(endpoint.number), endpoint.building);
        }
        let nodes = plan.senders.iter().map(|_| Node::default()).collect();
        let link_faults = Rc::new(RefCell::new(LinkFaults::new(&plan)));
        let network =
            SimNetwork::new(hosts, Duration::from_micros(plan.scenario.zone_delay.0), link_faults.clone());
        let datagrams = DatagramNetwork::new(link_faults.clone());
        let fleet = SimFleet {
            network: network.clone(),
            datagrams,
            nodes,
            origin: Instant::now(),
            show_logs: output.logs,
        };
        let world = World::new(plan.clone(), network, Rc::new(fleet), link_faults).await?;
        let minutes = plan.length().0 / 60_000_000;
        run_scenario(&world, move |minute, operations| {
            if output.progress && (minute % 10 == 0 || minutes < 10) {
                eprintln!("minute {minute} of {minutes}: {operations} operations");
            }
        })
        .await?;
        let now = world.now();
        let mut recorder = world.into_recorder();
        let verdict = recorder.verdict(now, plan.scenario.has_peers());
        Ok(Report::new(&plan, &recorder, verdict, false))
    })
}
