//! The simulated senders, which run the daemon's code on a simulated network, disk and clock.
use super::datagrams::DatagramNetwork;
use super::disk::{Disk, KillAtWrite, ProcessFolder, WriteFailure};
use super::hosts::address;
use super::network::{SimNetwork, ZoneLinkState};
use super::process::Process;
use super::process_network::ProcessNetwork;
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::{FaultKind, WritePoint};
use crate::test_network::Host;
use crate::world::senders::{Fleet, Links, LogSink, OperatorFile, ProcessExit, SyncBehavior};
use micadrum::daemon::config::{Config, ConfigReadError};
use micadrum::daemon::ports::{LocalFuture, Log, Ports, Traces, WallClock};
use micadrum::daemon::{self, Signal};
use micadrum_config::OperatorConfig;
use micadrum_recovery::BootId;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Wall clock time at the start of every simulation, since the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Port on which senders listen for clients.
const CLIENT_PORT: u16 = 5000;
/// Port on which senders listen for their peers.
const PEER_PORT: u16 = 7000;

/// The clocks of one machine.
struct SimClock {
    origin: Instant,
    offset_us: Rc<Cell<i64>>,
}

impl WallClock for SimClock {
    fn now(&self) -> Duration {
        let micros = (EPOCH + self.origin.elapsed()).as_micros() as u64;
        Duration::from_micros(micros.saturating_add_signed(self.offset_us.get()))
    }

    fn monotonic(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// The log of one sender, which also prints its lines to standard error if `show` is set.
struct SimLog {
    sender: u32,
    origin: Instant,
    show: bool,
    sink: LogSink,
}

impl Log for SimLog {
    fn line(&self, text: &str) {
        (self.sink)(text);
        if self.show {
            eprintln!("{:10.3} n{}: {text}", self.origin.elapsed().as_secs_f64(), self.sender);
        }
    }
}

/// The latest process of a sender.
struct RunningProcess {
    process: Rc<Process>,
    signals: UnboundedSender<Signal>,
    exit: Rc<ProcessExit>,
}

/// The machine of a sender, on which its processes run one after another.
#[derive(Default)]
pub struct Node {
    disk: Rc<RefCell<Disk>>,
    /// Number of reboots of the machine, which determines its boot id; wraps around.
    boot: Cell<u8>,
    clock_offset_us: Rc<Cell<i64>>,
    running: RefCell<Option<RunningProcess>>,
}

/// The simulated senders.
pub struct SimFleet {
    /// The network for connections between hosts.
    pub network: Rc<SimNetwork>,
    /// The network for datagrams between senders.
    pub datagrams: Rc<DatagramNetwork>,
    /// The machines, by number of the sender.
    pub nodes: Vec<Node>,
    /// The time at which the simulation started.
    pub origin: Instant,
    /// Whether the senders' logs are printed.
    pub show_logs: bool,
}

impl Fleet for SimFleet {
    fn start(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        log: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>> {
        Box::pin(async move {
            let mut config = Config::parse(config.to_string().as_bytes()).map_err(io::Error::other)?;
            if let Some(OperatorFile { text, secret }) = operator {
                let operator =
                    OperatorConfig::parse("operator.toml", &text, &config.name).map_err(io::Error::other)?;
                config = config.with_operator(operator, Some(secret));
            }
            let listen = config.listen;
            // `config.seed` differs between processes, and so does their entropy.
            let mut random = SeededRng::new(0, &format!("entropy of {} {}", config.name, config.seed));
            let mut entropy = [0; 32];
            entropy.chunks_mut(8).for_each(|bytes| bytes.copy_from_slice(&random.number().to_le_bytes()));
            let node = &self.nodes[sender as usize];
            let process = Rc::<Process>::default();
            let ports = Ports {
                wall: Rc::new(SimClock { origin: self.origin, offset_us: node.clock_offset_us.clone() }),
                network: Rc::new(ProcessNetwork {
                    network: self.network.clone(),
                    datagrams: self.datagrams.clone(),
                    host: Host::Sender(sender),
                    process: process.clone(),
                }),
                storage: Rc::new(ProcessFolder { disk: node.disk.clone(), process: process.clone() }),
                log: Rc::new(SimLog { sender, origin: self.origin, show: self.show_logs, sink: log }),
                handover: None,
                traces: Traces {
                    calls: self.show_logs,
                    requests: self.show_logs,
                    peers: true,
                    recovery: true,
                    storage: false,
                },
                boot: Some(BootId([node.boot.get(); 16])),
                entropy,
            };
            let (signals, signal_receiver) = unbounded_channel();
            let exit = Rc::<ProcessExit>::default();
            let running = RunningProcess { process: process.clone(), signals, exit: exit.clone() };
            *node.running.borrow_mut() = Some(running);
            spawn_local(async move {
                // The process has its own task set, so that dropping it cancels all tasks of the process at
                // once.
                let tasks = LocalSet::new();
                let running = process.clone();
                let daemon =
                    running.unless_paused(tasks.run_until(daemon::run(config, ports, signal_receiver)));
                let is_clean = tokio::select! {
                    biased;
                    () = process.died() => false,
                    result = daemon => match result {
                        Ok(()) => true,
                        Err(e) => {
                            eprintln!("sender {sender} failed: {e}");
                            false
                        }
                    },
                };
                drop(tasks);
                process.kill();
                exit.set(is_clean);
            });
            Ok(listen)
        })
    }

    fn listen_address(&self, sender: u32) -> SocketAddr {
        SocketAddr::new(address(Host::Sender(sender)), CLIENT_PORT)
    }

    fn peer_address(&self, _: u32, other: u32) -> SocketAddr {
        SocketAddr::new(address(Host::Sender(other)), PEER_PORT)
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
        // Simulated senders have no admin endpoint.
        Box::pin(async { None })
    }

    fn save_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().save();
    }

    fn restore_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().restore();
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
        let exit = running.as_ref().map(|running| running.exit.clone());
        Box::pin(async move {
            match exit {
                Some(exit) => exit.wait().await,
                None => std::future::pending().await,
            }
        })
    }

    fn discard_unsynced(&self, sender: u32, random: &mut SeededRng) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().discard_unsynced(random);
        true
    }

    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool {
        let node = &self.nodes[sender as usize];
        node.boot.set(node.boot.get().wrapping_add(1));
        node.clock_offset_us.set(clock_offset_us);
        true
    }

    fn wipe_state_folder(&self, sender: u32) {
        self.nodes[sender as usize].disk.borrow_mut().wipe();
    }

    fn kill_at_write(&self, sender: u32, nth: u64, write_point: WritePoint) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().kill_at_write =
            Some(KillAtWrite { remaining: nth, write_point });
        true
    }

    fn fill_disk(&self, sender: u32, full: bool) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().fill(full);
        true
    }

    fn set_sync_behavior(&self, sender: u32, behavior: SyncBehavior) -> bool {
        self.nodes[sender as usize].disk.borrow_mut().sync_behavior = behavior;
        true
    }

    fn set_system_fault(&self, sender: u32, fault: &PlannedFault, fails: bool) -> bool {
        let node = &self.nodes[sender as usize];
        match fault.kind {
            FaultKind::WallClock => node.clock_offset_us.update(|offset| offset + fault.system.step_us),
            FaultKind::Folder => {
                let failure = WriteFailure { is_torn: fault.system.is_torn };
                node.disk.borrow_mut().write_failure = fails.then_some(failure);
            }
            _ => return false,
        }
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
        let link = self.network.link();
        self.network.set_link(match fault.kind {
            FaultKind::LinkDelay => {
                ZoneLinkState { added_delay: Duration::from_micros(fault.delay.0), ..link }
            }
            FaultKind::LinkHold => ZoneLinkState { held_until: Some(until), ..link },
            _ => ZoneLinkState { drops: true, ..link },
        });
    }

    fn end_fault(&self, fault: &PlannedFault) {
        let link = self.network.link();
        self.network.set_link(match fault.kind {
            FaultKind::LinkDelay => ZoneLinkState { added_delay: Duration::ZERO, ..link },
            FaultKind::LinkHold => ZoneLinkState { held_until: None, ..link },
            _ => ZoneLinkState { drops: false, ..link },
        });
    }

    fn set_endpoint_cut(&self, endpoint: u32, cut: bool) {
        self.network.set_cut(Host::Endpoint(endpoint), cut);
    }

    fn set_sender_cut(&self, sender: u32, cut: bool) {
        self.network.set_cut(Host::Sender(sender), cut);
    }
}
