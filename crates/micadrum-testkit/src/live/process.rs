//! A process of the daemon: its signals, its exit and its log.
use super::power::DurableState;
use super::relays::Relays;
use crate::world::senders::{LogSink, ProcessExit};
use std::cell::{Cell, RefCell};
use std::net::{AddrParseError, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};

/// A signal for a process.
pub(super) enum ProcessCommand {
    Pause(bool),
    Terminate,
    Reload,
    Kill,
}

/// A supervised process.
pub(super) struct RunningProcess {
    pub(super) commands: UnboundedSender<ProcessCommand>,
    pub(super) exit: Rc<ProcessExit>,
}

impl RunningProcess {
    /// Starts to supervise a process whose log is read by `log_reader`.
    pub(super) fn supervise(child: Child, log_reader: JoinHandle<()>) -> Self {
        let (commands, receiver) = unbounded_channel();
        let exit = Rc::<ProcessExit>::default();
        spawn_local(supervise(child, receiver, log_reader, exit.clone()));
        Self { commands, exit }
    }
}

async fn supervise(
    mut child: Child,
    mut commands: UnboundedReceiver<ProcessCommand>,
    log_reader: JoinHandle<()>,
    exit: Rc<ProcessExit>,
) {
    let succeeded = loop {
        tokio::select! {
            status = child.wait() => break status.is_ok_and(|status| status.success()),
            Some(command) = commands.recv() => send_signal(&mut child, command).await,
        }
    };
    // The exit is reported only after the whole log has been read.
    let _ = log_reader.await;
    exit.set(succeeded);
}

async fn send_signal(child: &mut Child, command: ProcessCommand) {
    let name = match command {
        ProcessCommand::Kill => return drop(child.start_kill()),
        ProcessCommand::Terminate => "-TERM",
        ProcessCommand::Reload => "-HUP",
        ProcessCommand::Pause(true) => "-STOP",
        ProcessCommand::Pause(false) => "-CONT",
    };
    if let Some(process) = child.id() {
        run_kill(name, process).await;
    }
}

async fn run_kill(name: &str, process: u32) {
    if let Err(error) = Command::new("kill").args([name, &process.to_string()]).status().await {
        eprintln!("cannot run kill {name} {process}: {error}");
    }
}

/// Reads the log of a process and passes on what its lines report.
pub(super) struct LogReader {
    pub(super) sender: u32,
    pub(super) relays: Rc<Relays>,
    pub(super) admin_address: Rc<Cell<Option<SocketAddr>>>,
    pub(super) durable_state: Rc<RefCell<DurableState>>,
    pub(super) sink: LogSink,
}

impl LogReader {
    /// Reads the log to its end, so that the process never blocks on a full pipe. Sends the address for
    /// clients to `address_sender` as soon as the log names it.
    pub(super) async fn read(
        self,
        log: BufReader<ChildStderr>,
        address_sender: oneshot::Sender<Result<SocketAddr, AddrParseError>>,
    ) {
        let mut lines = log.lines();
        let mut address_sender = Some(address_sender);
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(record) = line.strip_prefix("trace storage ") {
                self.durable_state.borrow_mut().apply(record);
                continue;
            }
            if is_fatal(&line) {
                eprintln!("sender {}: {line}", self.sender);
            }
            self.relays.read_log_line(self.sender, &line);
            (self.sink)(&line);
            if let Some(address) = line.strip_prefix("operators: listening on ") {
                self.admin_address.set(address.parse().ok());
            }
            if let Some(address) = line.strip_prefix("listening on ")
                && let Some(address_sender) = address_sender.take()
            {
                let _ = address_sender.send(address.parse::<SocketAddr>());
            }
        }
    }
}

/// Returns whether a line reports a fatal error, a panic, or a violation that a run-time check found.
fn is_fatal(line: &str) -> bool {
    line.starts_with("micadrum: ") || line.starts_with("violation: ") || line.contains("panicked at")
}
