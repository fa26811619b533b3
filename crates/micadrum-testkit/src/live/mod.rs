//! Live runs: the built daemon as processes on loopback, with real signals, kills and restarts.
mod fleet;
mod links;
mod loopback;
mod power;
mod process;
mod relays;
mod system_faults;

use crate::link_faults::LinkFaults;
use crate::plan::Plan;
use crate::report::Report;
use crate::scenario::FaultKind;
use crate::world::{World, run_scenario};
use fleet::{LiveFleet, Node};
use loopback::Loopback;
use relays::Relays;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Runs a plan in real time with the daemon's binary at `daemon`; if that is `None`, with the binary
/// `micadrum` in the directory of this executable.
///
/// # Errors
/// Returns an error if the binary does not exist, if a process or a stand-in cannot be started, or if the
/// plan has faults of system calls and none was injected.
pub fn run(plan: Plan, daemon: Option<PathBuf>) -> io::Result<Report> {
    let daemon = match daemon {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("micadrum"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let plan = Rc::new(plan);
    LocalSet::new().block_on(&runtime, async move {
        let has_system_call_faults = plan.faults.iter().any(|fault| fault.kind.affects_system_calls());
        let node_seed =
            |number: u32| has_system_call_faults.then(|| plan.seed.wrapping_add(u64::from(number)));
        let nodes = (plan.senders.iter().map(|sender| Node::new(node_seed(sender.number))))
            .collect::<io::Result<_>>()?;
        let link_faults = Rc::new(RefCell::new(LinkFaults::new(&plan)));
        let relayed_senders = if plan.scenario.has_peers() { plan.senders.len() } else { 0 };
        let relays = Rc::new(Relays::open(relayed_senders, &link_faults).await?);
        let loses_power = plan.faults.iter().any(|fault| fault.kind == FaultKind::PowerLoss);
        let traces = if loses_power { "peers,recovery,storage" } else { "peers,recovery" };
        let fleet = Rc::new(LiveFleet { daemon, nodes, relays, traces });
        let world = World::new(plan.clone(), Rc::new(Loopback), fleet.clone(), link_faults).await?;
        run_scenario(&world, |_, _| {}).await?;
        let now = world.now();
        let repeated_answers = world.repeated_answers();
        let cut_requests = world.cut_requests();
        let mut recorder = world.into_recorder();
        let verdict = recorder.verdict(now, plan.scenario.has_peers());
        let mut injected = injected_counts(&fleet.nodes)?;
        if has_system_call_faults && injected.values().all(|count| *count == 0) {
            return Err(io::Error::other("the plan has faults of system calls, but none was injected"));
        }
        if repeated_answers > 0 {
            injected.insert("repeated-answer", repeated_answers);
        }
        if cut_requests > 0 {
            injected.insert("cut-request", cut_requests);
        }
        let mut report = Report::new(&plan, &recorder, verdict, true);
        report.results.injected = injected;
        Ok(report)
    })
}

/// Returns how often each kind of system call was made to fail, summed over all senders.
fn injected_counts(nodes: &[Node]) -> io::Result<BTreeMap<&'static str, u64>> {
    let mut injected = BTreeMap::new();
    for faults in nodes.iter().filter_map(|node| node.system_faults.as_ref()) {
        for (kind, count) in faults.counts()?.into_iter().filter(|(_, count)| count.injected > 0) {
            *injected.entry(kind.name()).or_default() += count.injected;
        }
    }
    Ok(injected)
}
