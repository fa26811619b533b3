//! The senders of a live run, as processes of the built daemon.
use super::power::DurableState;
use super::process::{LogReader, ProcessCommand, RunningProcess};
use super::relays::Relays;
use super::system_faults::SystemFaults;
use crate::link_faults::hex;
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::WritePoint;
use crate::world::senders::{Fleet, Links, LogSink, OperatorFile, SyncBehavior};
use micadrum::daemon::ports::LocalFuture;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// The machine of a sender, which outlives its processes.
pub(super) struct Node {
    /// Holds the configuration and the state folder.
    folder: TempDir,
    /// The state folder of the sender's processes.
    state: PathBuf,
    /// Control over the processes' system calls, if the plan has faults of them.
    pub(super) system_faults: Option<SystemFaults>,
    /// The copy of the state folder that a fault saves and restores.
    saved_state: PathBuf,
    boot_count: Cell<u32>,
    /// The part of the state folder that survives a power loss.
    durable_state: Rc<RefCell<DurableState>>,
    running: RefCell<Option<RunningProcess>>,
    address: Cell<Option<SocketAddr>>,
    /// The address of the admin endpoint, once the process has logged it.
    admin_address: Rc<Cell<Option<SocketAddr>>>,
}

impl Node {
    /// Creates a machine with empty folders, and with control over its system calls if `seed` is given.
    pub(super) fn new(seed: Option<u64>) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let (state, saved_state) = (folder.path().join("state"), folder.path().join("copy"));
        let system_faults = seed.map(|seed| SystemFaults::create(folder.path(), seed)).transpose()?;
        Ok(Self {
            system_faults,
            folder,
            state,
            saved_state,
            boot_count: Cell::default(),
            durable_state: Rc::default(),
            running: RefCell::default(),
            address: Cell::default(),
            admin_address: Rc::default(),
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes the operator's file and the files that it names, and returns its path.
    fn write_operator_file(&self, operator: OperatorFile) -> io::Result<PathBuf> {
        let OperatorFile { text, secret } = operator;
        let (file, boot_id) = (self.path("operator.toml"), self.path("boot_id"));
        std::fs::write(&file, with_boot_id(&text, &boot_id)?)?;
        std::fs::write(&boot_id, format!("{:032x}\n", self.boot_count.get()))?;
        std::fs::write(self.path("peers.secret"), hex(&secret))?;
        Ok(file)
    }
}

/// The senders' processes.
pub(super) struct LiveFleet {
    /// The binary of the daemon.
    pub(super) daemon: PathBuf,
    /// The machines, by sender.
    pub(super) nodes: Vec<Node>,
    /// The relays of the traffic between the senders.
    pub(super) relays: Rc<Relays>,
    /// The kinds of traces that processes log: the value of `MICADRUM_TRACE`.
    pub(super) traces: &'static str,
}

/// Replaces the folder `to` with copies of the regular files in `from`.
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

/// Returns the text of the operator's file with the path of the boot id added to the `[recovery]` table, if
/// it has one.
fn with_boot_id(text: &str, path: &Path) -> io::Result<String> {
    let mut table: toml::Table = toml::from_str(text).map_err(io::Error::other)?;
    if let Some(toml::Value::Table(recovery)) = table.get_mut("recovery") {
        recovery.insert("boot_id".to_owned(), path.display().to_string().into());
    }
    toml::to_string(&table).map_err(io::Error::other)
}

impl LiveFleet {
    /// Starts the process of a sender, and returns its address for clients.
    async fn spawn(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        sink: LogSink,
    ) -> io::Result<SocketAddr> {
        let node = &self.nodes[sender as usize];
        let mut child = self.spawn_child(node, &config, operator)?;
        let log = child.stderr.take().map(BufReader::new);
        let reader = LogReader {
            sender,
            relays: self.relays.clone(),
            admin_address: node.admin_address.clone(),
            durable_state: node.durable_state.clone(),
            sink,
        };
        let (address_sender, address_receiver) = oneshot::channel();
        let log_reader = spawn_local(async move {
            if let Some(log) = log {
                reader.read(log, address_sender).await;
            }
        });
        *node.running.borrow_mut() = Some(RunningProcess::supervise(child, log_reader));
        let address = address_receiver
            .await
            .map_err(|_| io::Error::other(format!("sender {sender} exited before it listened")))?;
        let address = address.map_err(io::Error::other)?;
        node.address.set(Some(address));
        Ok(address)
    }

    /// Writes the files of a process and starts it.
    fn spawn_child(
        &self,
        node: &Node,
        config: &serde_json::Value,
        operator: Option<OperatorFile>,
    ) -> io::Result<Child> {
        let file = node.path("config.json");
        std::fs::create_dir_all(&node.state)?;
        std::fs::write(&file, config.to_string())?;
        let mut command = Command::new(&self.daemon);
        if let Some(operator) = operator {
            let operator_file = node.write_operator_file(operator)?;
            command.env("MICADRUM_OPERATOR", operator_file).env("MICADRUM_TRACE", self.traces);
        }
        if let Some(faults) = &node.system_faults {
            faults.preload(&mut command, &node.state);
        }
        command
            .env("PROXY_CONFIG", &file)
            .env("PROXY_STATE", &node.state)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", self.daemon.display())))
    }

    fn send(&self, sender: u32, command: ProcessCommand) {
        if let Some(running) = &*self.nodes[sender as usize].running.borrow() {
            let _ = running.commands.send(command);
        }
    }
}

impl Fleet for LiveFleet {
    fn start(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        log: LogSink,
    ) -> LocalFuture<'_, io::Result<SocketAddr>> {
        Box::pin(self.spawn(sender, config, operator, log))
    }

    fn peer_address(&self, sender: u32, other: u32) -> SocketAddr {
        self.relays.address(sender, other)
    }

    fn pause(&self, sender: u32, paused: bool) {
        self.send(sender, ProcessCommand::Pause(paused));
    }

    fn admin_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    fn admin_status(&self, sender: u32) -> LocalFuture<'_, Option<String>> {
        let address = self.nodes[sender as usize].admin_address.get();
        Box::pin(async move {
            let mut connection = TcpStream::connect(address?).await.ok()?;
            connection
                .write_all(b"GET /status/peers/all HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut text = String::new();
            connection.read_to_string(&mut text).await.ok()?;
            text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
        })
    }

    fn save_state_folder(&self, sender: u32) {
        let node = &self.nodes[sender as usize];
        if let Err(error) = copy_files(&node.state, &node.saved_state) {
            eprintln!("sender {sender}: cannot save the state folder: {error}");
        }
    }

    fn restore_state_folder(&self, sender: u32) {
        let node = &self.nodes[sender as usize];
        if let Err(error) = copy_files(&node.saved_state, &node.state) {
            eprintln!("sender {sender}: cannot restore the state folder: {error}");
        }
    }

    fn listen_address(&self, sender: u32) -> SocketAddr {
        // A sender keeps its address across restarts.
        let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.nodes[sender as usize].address.get().unwrap_or(unassigned)
    }

    fn terminate(&self, sender: u32) {
        self.send(sender, ProcessCommand::Terminate);
    }

    fn reload(&self, sender: u32, config: serde_json::Value) {
        let file = self.nodes[sender as usize].folder.path().join("config.json");
        match std::fs::write(&file, config.to_string()) {
            Ok(()) => self.send(sender, ProcessCommand::Reload),
            Err(error) => eprintln!("cannot write {}: {error}", file.display()),
        }
    }

    fn kill(&self, sender: u32) {
        self.send(sender, ProcessCommand::Kill);
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
        // The operating system keeps the unsynced writes of a killed process, so they are truncated here.
        let node = &self.nodes[sender as usize];
        let result = node.durable_state.borrow_mut().truncate_files(&node.state, random);
        if let Err(error) = &result {
            eprintln!("sender {sender}: cannot discard unsynced data: {error}");
        }
        result.is_ok()
    }

    fn reboot(&self, sender: u32, clock_offset_us: i64) -> bool {
        let node = &self.nodes[sender as usize];
        node.boot_count.set(node.boot_count.get() + 1);
        // The clock of the host machine cannot be set.
        clock_offset_us == 0
    }

    fn wipe_state_folder(&self, sender: u32) {
        if let Err(error) = std::fs::remove_dir_all(&self.nodes[sender as usize].state) {
            eprintln!("sender {sender}: cannot remove the state folder: {error}");
        }
    }

    fn kill_at_write(&self, _: u32, _: u64, _: WritePoint) -> bool {
        false
    }

    fn fill_disk(&self, _: u32, _: bool) -> bool {
        false
    }

    fn set_sync_behavior(&self, _: u32, _: SyncBehavior) -> bool {
        false
    }

    fn set_system_fault(&self, sender: u32, fault: &PlannedFault, fails: bool) -> bool {
        let Some(faults) = &self.nodes[sender as usize].system_faults else { return false };
        if let Err(error) = faults.set(fault, fails) {
            eprintln!("sender {sender}: cannot set a system fault: {error}");
            return false;
        }
        true
    }

    fn links(&self) -> Option<&dyn Links> {
        None
    }

    fn unused_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))
    }
}
