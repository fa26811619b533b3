//! A whole deployment in one process on simulated time, network and disk: the daemon's own code, several of it.
mod datagrams;
mod disk;
mod net;

use crate::link_faults::LinkFaults;
use crate::plan::{Plan, PlannedFault, SeededRng};
use crate::report::Report;
use crate::scenario::{FaultKind, Where};
use crate::stand_in_network::Host;
use crate::world::senders::{Fleet, Links, LogSink, OperatorFile, ProcessExit, SyncBehavior};
use crate::world::{World, run_scenario};
use datagrams::DatagramNetwork;
use disk::{Disk, ProcessFolder};
use micadrum::daemon::config::{Config, ConfigReadError};
use micadrum::daemon::ports::{LocalFuture, Log, Ports, Traces, WallClock};
use micadrum::daemon::{self, Signal};
use micadrum_config::OperatorConfig;
use micadrum_recovery::Boot;
use net::{LinkState, Process, ProcessNetwork, SimNet, address};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Wall time at the start of every simulated day.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Where clients reach a sender.
const PORT: u16 = 5000;
/// Where its peers do.
const PEERS: u16 = 7000;

/// The clock of a simulated day.
struct SimClock {
    origin: Instant,
    off: i64,
}

impl WallClock for SimClock {
    fn now(&self) -> Duration {
        let micros = (EPOCH + self.origin.elapsed()).as_micros() as u64;
        Duration::from_micros(micros.saturating_add_signed(self.off))
    }
}

/// The log of one sender, for those who want to read it.
struct SimLog {
    sender: u32,
    origin: Instant,
    shown: bool,
    lines: LogSink,
}

impl Log for SimLog {
    fn line(&self, text: &str) {
        (self.lines)(text);
        if self.shown {
            eprintln!("{:10.3} n{}: {text}", self.origin.elapsed().as_secs_f64(), self.sender);
        }
    }
}

struct Running {
    process: Rc<Process>,
    signals: UnboundedSender<Signal>,
    ended: Rc<ProcessExit>,
}

#[derive(Default)]
struct Node {
    disk: Rc<RefCell<Disk>>,
    /// Which run of its machine this is, and how far its clock stands off.
    boot: Cell<u8>,
    off: Cell<i64>,
    running: RefCell<Option<Running>>,
}

struct SimFleet {
    net: Rc<SimNet>,
    mail: Rc<DatagramNetwork>,
    nodes: Vec<Node>,
    origin: Instant,
    show_logs: bool,
}

impl Fleet for SimFleet {
    fn start(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        lines: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>> {
        Box::pin(async move {
            let mut config = Config::parse(config.to_string().as_bytes()).map_err(io::Error::other)?;
            if let Some(OperatorFile { text, secret }) = operator {
                let operator =
                    OperatorConfig::parse("operator.toml", &text, &config.name).map_err(io::Error::other)?;
                config = config.with_operator(operator, Some(secret));
            }
            let listen = config.listen;
            // Each process has a seed of its own.
            let mut chance = SeededRng::new(0, &format!("entropy of {} {}", config.name, config.seed));
            let mut entropy = [0; 32];
            entropy.chunks_mut(8).for_each(|bytes| bytes.copy_from_slice(&chance.number().to_le_bytes()));
            let node = &self.nodes[sender as usize];
            let process = Rc::<Process>::default();
            let ports = Ports {
                wall: Rc::new(SimClock { origin: self.origin, off: node.off.get() }),
                network: Rc::new(ProcessNetwork {
                    net: self.net.clone(),
                    mail: self.mail.clone(),
                    host: Host::Sender(sender),
                    process: process.clone(),
                }),
                storage: Rc::new(ProcessFolder { disk: node.disk.clone(), process: process.clone() }),
                log: Rc::new(SimLog { sender, origin: self.origin, shown: self.show_logs, lines }),
                handover: None,
                traces: Traces { calls: self.show_logs, peers: true, recovery: true, storage: false },
                boot: Some(Boot([node.boot.get(); 16])),
                entropy,
            };
            let (signals, from_world) = unbounded_channel();
            let ended = Rc::<ProcessExit>::default();
            let running = Running { process: process.clone(), signals, ended: ended.clone() };
            *node.running.borrow_mut() = Some(running);
            spawn_local(async move {
                // All tasks of the process live in a set of their own: dropping it ends them on the spot.
                let tasks = LocalSet::new();
                let running = process.clone();
                let ran = running.unless_paused(tasks.run_until(daemon::run(config, ports, from_world)));
                let in_order = tokio::select! {
                    biased;
                    () = process.died() => false,
                    ran = ran => match ran {
                        Ok(()) => true,
                        Err(e) => {
                            eprintln!("sender {sender}: {e}");
                            false
                        }
                    },
                };
                drop(tasks);
                process.kill();
                ended.set(in_order);
            });
            Ok(listen)
        })
    }

    fn listen_address(&self, sender: u32) -> SocketAddr {
        SocketAddr::new(address(Host::Sender(sender)), PORT)
    }

    fn peer_address(&self, _: u32, other: u32) -> SocketAddr {
        SocketAddr::new(address(Host::Sender(other)), PEERS)
    }

    fn pause(&self, sender: u32, paused: bool) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            running.process.pause(paused);
        }
    }

    fn admin_address(&self) -> Option<SocketAddr> {
        None
    }

    fn admin_status(&self, _: u32) -> LocalFuture<'_, Option<String>> {
        // Links between simulated senders are not struck: a look at them would show nothing.
        Box::pin(async { None })
    }

    fn save_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().copy(false);
    }

    fn restore_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().copy(true);
    }

    fn terminate(&self, sender: u32) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            let _ = running.signals.send(Signal::Shutdown);
        }
    }

    fn reload(&self, sender: u32, config: serde_json::Value) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            let config = Config::parse(config.to_string().as_bytes()).map(Box::new);
            let _ = running.signals.send(Signal::Reload(config.map_err(ConfigReadError::new)));
        }
    }

    fn kill(&self, sender: u32) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            running.process.kill();
        }
    }

    fn wait_for_exit(&self, sender: u32) -> LocalFuture<'_, bool> {
        let running = self.nodes[sender as usize].running.borrow();
        let ended = running.as_ref().map(|running| running.ended.clone());
        Box::pin(async move {
            match ended {
                Some(ended) => ended.wait().await,
                None => std::future::pending().await,
            }
        })
    }

    fn discard_unsynced(&self, sender: u32, random: &mut SeededRng) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().lose_power(random);
        true
    }

    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool {
        let node = &self.nodes[sender as usize];
        node.boot.set(node.boot.get().wrapping_add(1));
        node.off.set(clock_offset_us);
        true
    }

    fn wipe_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().wipe();
    }

    fn kill_at_write(&self, sender: u32, nth: u64, place: Where) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().kill_in = Some((nth, place));
        true
    }

    fn fill_disk(&self, sender: u32, full: bool) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().fill(full);
        true
    }

    fn set_sync_behavior(&self, sender: u32, behavior: SyncBehavior) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().syncs = behavior;
        true
    }

    fn links(&self) -> Option<&dyn Links> {
        Some(self)
    }

    fn unused_address(&self) -> Option<SocketAddr> {
        None
    }
}

impl Links for SimFleet {
    fn begin_fault(&self, fault: &PlannedFault, until: Instant) {
        let link = self.net.link();
        self.net.set_link(match fault.kind {
            FaultKind::LinkDelay => LinkState { slower: Duration::from_micros(fault.delay.0), ..link },
            FaultKind::LinkHold => LinkState { held: Some(until), ..link },
            _ => LinkState { lost: true, ..link },
        });
    }

    fn end_fault(&self, fault: &PlannedFault) {
        let link = self.net.link();
        self.net.set_link(match fault.kind {
            FaultKind::LinkDelay => LinkState { slower: Duration::ZERO, ..link },
            FaultKind::LinkHold => LinkState { held: None, ..link },
            _ => LinkState { lost: false, ..link },
        });
    }

    fn set_endpoint_cut(&self, endpoint: u32, cut: bool) {
        self.net.cut(Host::Endpoint(endpoint), cut);
    }

    fn set_sender_cut(&self, sender: u32, cut: bool) {
        self.net.cut(Host::Sender(sender), cut);
    }
}

/// What a run shows while it goes on.
#[derive(Clone, Copy, Default)]
pub struct Show {
    /// The senders' logs.
    pub logs: bool,
    /// A line each ten simulated minutes; each minute of short days.
    pub progress: bool,
}

/// Plays a plan in simulated time.
///
/// # Errors
/// Where the world cannot be set up, or a sender does not start.
pub fn run(plan: Plan, show: Show) -> io::Result<Report> {
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
        let ground = Rc::new(RefCell::new(LinkFaults::new(&plan)));
        let net = SimNet::new(hosts, Duration::from_micros(plan.scenario.crossing.0), ground.clone());
        let mail = DatagramNetwork::new(ground.clone());
        let fleet = SimFleet { net: net.clone(), mail, nodes, origin: Instant::now(), show_logs: show.logs };
        let world = World::new(plan.clone(), net, Rc::new(fleet), ground).await?;
        let minutes = plan.length().0 / 60_000_000;
        run_scenario(&world, move |minute, operations| {
            if show.progress && (minute % 10 == 0 || minutes < 10) {
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
