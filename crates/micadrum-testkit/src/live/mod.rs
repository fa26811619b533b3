//! The built daemon as processes on loopback, with real signals, kills and restarts.
mod links;
mod power;
mod relays;

use crate::link_faults::{LinkFaults, hex};
use crate::plan::{Plan, SeededRng};
use crate::report::Report;
use crate::scenario::{FaultKind, Where};
use crate::stand_in_network::{Host, StandInConnection, StandInListener, StandInNetwork};
use crate::world::senders::{Fleet, Links, LogSink, OperatorFile, ProcessExit, SyncBehavior};
use crate::world::{World, run_scenario};
use micadrum::daemon::ports::{Listener, LocalFuture, Network, Stream};
use micadrum::daemon::system::Tcp;
use power::Lasts;
use relays::Relays;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

struct Loopback;

struct TcpStandInListener {
    listener: Box<dyn Listener>,
    address: SocketAddr,
}

/// Ports below this are names within a host of the world.
const FIRST_FREE: u16 = 10_000;

impl StandInNetwork for Loopback {
    fn connect(&self, _: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>> {
        Box::pin(async move { Ok(Box::new(Tcp.connect(to).await?) as Box<dyn StandInConnection>) })
    }

    fn listen(&self, _: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn StandInListener>>> {
        Box::pin(async move {
            // A free port at first; the same one where the door was there before.
            let port = if port < FIRST_FREE { 0 } else { port };
            let listener = Tcp.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, port))).await?;
            let address = listener.local_addr()?;
            Ok(Box::new(TcpStandInListener { listener, address }) as Box<dyn StandInListener>)
        })
    }
}

impl StandInListener for TcpStandInListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>> {
        Box::pin(async move { Ok(Box::new(self.listener.accept().await?) as Box<dyn StandInConnection>) })
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A real connection tells nothing but what has come.
impl StandInConnection for Box<dyn Stream> {
    fn sent(&self) -> Option<Instant> {
        None
    }

    fn ended_at(&self) -> Option<Instant> {
        None
    }

    fn delay(&self) -> Duration {
        Duration::ZERO
    }

    fn arrives(&self) -> bool {
        true
    }
}

enum Stop {
    Pause(bool),
    Terminate,
    Reload,
    Kill,
}

struct Running {
    stop: UnboundedSender<Stop>,
    ended: Rc<ProcessExit>,
}

struct Node {
    /// Configuration and log; not the folder that lasts, which may be emptied.
    folder: TempDir,
    state: PathBuf,
    /// A copy of the folder that lasts.
    copy: PathBuf,
    /// Runs of its machine so far.
    boots: Cell<u32>,
    /// What of its folder outlasts the machine.
    lasts: Rc<RefCell<Lasts>>,
    running: RefCell<Option<Running>>,
    address: Cell<Option<SocketAddr>>,
    /// The operators' door of its process.
    door: Rc<Cell<Option<SocketAddr>>>,
}

struct LiveFleet {
    daemon: PathBuf,
    nodes: Vec<Node>,
    relays: Rc<Relays>,
    /// What processes tell of in their logs for the kit.
    traces: &'static str,
}

/// Copies the plain files of a folder, in place of what the other holds.
fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    if to.exists() {
        std::fs::remove_dir_all(to)?;
    }
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// The operator's file with where this machine says which run of it this is, if it has a part for that.
fn with_boot_id(text: &str, path: &Path) -> io::Result<String> {
    let mut table: toml::Table = toml::from_str(text).map_err(io::Error::other)?;
    if let Some(toml::Value::Table(recovery)) = table.get_mut("recovery") {
        recovery.insert("boot_id".to_owned(), path.display().to_string().into());
    }
    toml::to_string(&table).map_err(io::Error::other)
}

async fn signal(name: &str, process: u32) {
    if let Err(e) = Command::new("kill").args([name, &process.to_string()]).status().await {
        eprintln!("kill: {e}");
    }
}

impl LiveFleet {
    async fn spawn(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        log_lines: LogSink,
    ) -> io::Result<SocketAddr> {
        let node = &self.nodes[sender as usize];
        let file = node.folder.path().join("config.json");
        std::fs::create_dir_all(&node.state)?;
        std::fs::write(&file, config.to_string())?;
        let mut command = Command::new(&self.daemon);
        if let Some(OperatorFile { text, secret }) = operator {
            let file = node.folder.path().join("operator.toml");
            std::fs::write(&file, with_boot_id(&text, &node.folder.path().join("boot_id"))?)?;
            std::fs::write(node.folder.path().join("boot_id"), format!("{:032x}\n", node.boots.get()))?;
            std::fs::write(node.folder.path().join("peers.secret"), hex(&secret))?;
            command.env("MICADRUM_OPERATOR", file).env("MICADRUM_TRACE", self.traces);
        }
        let mut child = command
            .env("PROXY_CONFIG", &file)
            .env("PROXY_STATE", &node.state)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.daemon.display())))?;
        let log = child.stderr.take().map(BufReader::new);
        let (told, listens) = oneshot::channel();
        let (relays, door, lasts) = (self.relays.clone(), node.door.clone(), node.lasts.clone());
        let reading = spawn_local(async move {
            let Some(log) = log else { return };
            let mut lines = log.lines();
            let mut told = Some(told);
            // Read on to the end, so that the process never waits for room in the pipe.
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(told) = line.strip_prefix("trace storage ") {
                    lasts.borrow_mut().told(told);
                    continue;
                }
                relays.logged(sender, &line);
                log_lines(&line);
                if let Some(at) = line.strip_prefix("operators: listening on ") {
                    door.set(at.parse().ok());
                }
                if let Some(address) = line.strip_prefix("listening on ")
                    && let Some(told) = told.take()
                {
                    let _ = told.send(address.parse::<SocketAddr>());
                }
            }
        });
        let (stop, mut stops) = unbounded_channel();
        let ended = Rc::<ProcessExit>::default();
        *node.running.borrow_mut() = Some(Running { stop, ended: ended.clone() });
        spawn_local(async move {
            let in_order = loop {
                tokio::select! {
                    status = child.wait() => break status.is_ok_and(|status| status.success()),
                    Some(stop) = stops.recv() => match (stop, child.id()) {
                        (Stop::Kill, _) => drop(child.start_kill()),
                        (Stop::Terminate, Some(id)) => signal("-TERM", id).await,
                        (Stop::Reload, Some(id)) => signal("-HUP", id).await,
                        (Stop::Pause(true), Some(id)) => signal("-STOP", id).await,
                        (Stop::Pause(false), Some(id)) => signal("-CONT", id).await,
                        (Stop::Terminate | Stop::Reload | Stop::Pause(_), None) => {}
                    },
                }
            };
            // All that it said before it ended counts.
            let _ = reading.await;
            ended.set(in_order);
        });
        let address =
            listens.await.map_err(|_| io::Error::other(format!("sender {sender} does not listen")))?;
        let address = address.map_err(io::Error::other)?;
        node.address.set(Some(address));
        Ok(address)
    }

    fn stop(&self, sender: u32, stop: Stop) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            let _ = running.stop.send(stop);
        }
    }
}

impl Fleet for LiveFleet {
    fn start(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        lines: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>> {
        Box::pin(self.spawn(sender, config, operator, lines))
    }

    fn peer_address(&self, sender: u32, other: u32) -> SocketAddr {
        self.relays.door(sender, other)
    }

    fn pause(&self, sender: u32, paused: bool) {
        self.stop(sender, Stop::Pause(paused));
    }

    fn admin_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    fn admin_status(&self, sender: u32) -> LocalFuture<'_, Option<String>> {
        let door = self.nodes[sender as usize].door.get();
        Box::pin(async move {
            let mut line = TcpStream::connect(door?).await.ok()?;
            line.write_all(b"GET /status/peers/all HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut text = String::new();
            line.read_to_string(&mut text).await.ok()?;
            text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
        })
    }

    fn save_state_folder(&self, sender: u32) {
        let node = &self.nodes[sender as usize];
        if let Err(error) = copy_files(&node.state, &node.copy) {
            eprintln!("sender {sender}: {error}");
        }
    }

    fn restore_state_folder(&self, sender: u32) {
        let node = &self.nodes[sender as usize];
        if let Err(error) = copy_files(&node.copy, &node.state) {
            eprintln!("sender {sender}: {error}");
        }
    }

    fn listen_address(&self, sender: u32) -> SocketAddr {
        // Under its address again after a restart.
        let first = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.nodes[sender as usize].address.get().unwrap_or(first)
    }

    fn terminate(&self, sender: u32) {
        self.stop(sender, Stop::Terminate);
    }

    fn reload(&self, sender: u32, config: serde_json::Value) {
        let file = self.nodes[sender as usize].folder.path().join("config.json");
        match std::fs::write(&file, config.to_string()) {
            Ok(()) => self.stop(sender, Stop::Reload),
            Err(e) => eprintln!("{}: {e}", file.display()),
        }
    }

    fn kill(&self, sender: u32) {
        self.stop(sender, Stop::Kill);
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
        // This machine keeps what a killed process wrote: what it did not sync is cut off by hand.
        let node = &self.nodes[sender as usize];
        let cut = node.lasts.borrow_mut().cut_back(&node.state, random);
        if let Err(e) = &cut {
            eprintln!("sender {sender}: {e}");
        }
        cut.is_ok()
    }

    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool {
        let node = &self.nodes[sender as usize];
        node.boots.set(node.boots.get() + 1);
        // This machine's clock is its own.
        clock_offset_us == 0
    }

    fn wipe_state_folder(&self, sender: u32) {
        if let Err(e) = std::fs::remove_dir_all(&self.nodes[sender as usize].state) {
            eprintln!("sender {sender}: {e}");
        }
    }

    fn kill_at_write(&self, _: u32, _: u64, _: Where) -> bool {
        false
    }

    fn fill_disk(&self, _: u32, _: bool) -> bool {
        false
    }

    fn set_sync_behavior(&self, _: u32, _: SyncBehavior) -> bool {
        false
    }

    fn links(&self) -> Option<&dyn Links> {
        None
    }

    fn unused_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))
    }
}

/// Plays a plan with the daemon's binary, in real time; it lies beside this program's own if none is named.
///
/// # Errors
/// Where there is no such binary, or a process or a stand-in cannot be started.
pub fn run(plan: Plan, daemon: Option<PathBuf>) -> io::Result<Report> {
    let daemon = match daemon {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("micadrum"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let plan = Rc::new(plan);
    LocalSet::new().block_on(&runtime, async move {
        let node = |_| {
            let folder = tempfile::tempdir()?;
            let (state, copy) = (folder.path().join("state"), folder.path().join("copy"));
            Ok(Node {
                folder,
                state,
                copy,
                boots: Cell::default(),
                lasts: Rc::default(),
                running: RefCell::default(),
                address: Cell::default(),
                door: Rc::default(),
            })
        };
        let nodes = plan.senders.iter().map(node).collect::<io::Result<_>>()?;
        let ground = Rc::new(RefCell::new(LinkFaults::new(&plan)));
        let spoken = if plan.scenario.has_peers() { plan.senders.len() } else { 0 };
        let relays = Rc::new(Relays::open(spoken, &ground).await?);
        let power = plan.faults.iter().any(|fault| fault.kind == FaultKind::PowerLoss);
        let traces = if power { "peers,recovery,storage" } else { "peers,recovery" };
        let fleet = Rc::new(LiveFleet { daemon, nodes, relays, traces });
        let world = World::new(plan.clone(), Rc::new(Loopback), fleet, ground).await?;
        run_scenario(&world, |_, _| {}).await?;
        let now = world.now();
        let mut recorder = world.into_recorder();
        let verdict = recorder.verdict(now, plan.scenario.has_peers());
        Ok(Report::new(&plan, &recorder, verdict, true))
    })
}
