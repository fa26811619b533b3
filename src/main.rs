//! The `micadrum` binary: runs a sender, or executes a subcommand.
mod command;

use clap::Parser;
use command::Command;
use micadrum::daemon::config::{Config, ConfigReadError};
use micadrum::daemon::ports::{HandoverConfig, Ports, Traces};
use micadrum::daemon::system::{Folder, StandardError, SystemClock, Tcp};
use micadrum::daemon::{self, Signal};
use micadrum_config::peers::parse_key;
use micadrum_config::{DEFAULT_BOOT_ID_FILE, OperatorConfig};
use micadrum_recovery::BootId;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{Signal as Signals, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};

/// The exit code of a failed subcommand; a sender that fails to start exits with 1.
const COMMAND_FAILED: u8 = 2;

/// A message proxy that accepts messages from clients and delivers them to endpoints.
///
/// Without a command it runs as a sender. PROXY_CONFIG names the file with the platform's configuration,
/// MICADRUM_OPERATOR the optional file with the operator's configuration, and PROXY_STATE the folder for
/// persistent state. SIGHUP reloads both files; SIGTERM or SIGINT shuts the sender down gracefully.
/// MICADRUM_TRACE=calls logs each call, MICADRUM_TRACE=peers each change of the membership view.
#[derive(Parser)]
#[command(name = "micadrum", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

/// Why the sender did not start, or a subcommand cannot read a configuration.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("the environment variable {0} is not set")]
    VariableUnset(&'static str),
    #[error("cannot read {kind} {path}: {source}")]
    Unreadable { kind: &'static str, path: PathBuf, source: std::io::Error },
    #[error("invalid configuration {path}: {source}")]
    InvalidPlatformConfig { path: PathBuf, source: serde_json::Error },
    #[error("invalid operator's file {0}")]
    InvalidOperatorConfig(#[from] micadrum_config::FileError),
    #[error("invalid secret key {0}: expected 64 hexadecimal digits, as written by `micadrum key FILE`")]
    InvalidSecret(PathBuf),
    #[error(transparent)]
    Daemon(#[from] daemon::StartError),
    #[error("cannot start: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Returns the path that an environment variable holds.
fn path_variable(name: &'static str) -> Result<PathBuf, StartError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(StartError::VariableUnset(name))
}

/// Reads a file; `kind` describes it in errors.
fn read_file(kind: &'static str, path: &Path) -> Result<Vec<u8>, StartError> {
    std::fs::read(path).map_err(|source| StartError::Unreadable { kind, path: path.to_owned(), source })
}

/// Reads the platform's configuration from the file that `PROXY_CONFIG` names.
fn read_platform_config() -> Result<Config, StartError> {
    let path = path_variable("PROXY_CONFIG")?;
    let text = read_file("configuration", &path)?;
    Config::parse(&text).map_err(|source| StartError::InvalidPlatformConfig { path, source })
}

/// Reads the operator's configuration for the sender `own_name`.
fn read_operator_config(path: &Path, own_name: &str) -> Result<OperatorConfig, StartError> {
    let text = String::from_utf8_lossy(&read_file("operator's file", path)?).into_owned();
    Ok(OperatorConfig::parse(&path.display().to_string(), &text, own_name)?)
}

/// Reads the platform's configuration and, if `MICADRUM_OPERATOR` is set, the operator's.
fn read_config() -> Result<Config, StartError> {
    let config = read_platform_config()?;
    let Some(path) = std::env::var_os("MICADRUM_OPERATOR").map(PathBuf::from) else { return Ok(config) };
    let operator = read_operator_config(&path, &config.name)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let secret = operator.peers.as_ref().map(|peers| read_secret(&folder.join(&peers.secret_file)));
    Ok(config.with_operator(operator, secret.transpose()?))
}

/// Reads this sender's secret key.
fn read_secret(path: &Path) -> Result<[u8; 32], StartError> {
    let text = String::from_utf8_lossy(&read_file("secret key", path)?).into_owned();
    parse_key(text.trim()).ok_or_else(|| StartError::InvalidSecret(path.to_owned()))
}

/// Reads the kernel's boot id; returns `None` if it is not available.
fn read_boot(operator: &OperatorConfig) -> Option<BootId> {
    let configured = operator.recovery.as_ref().map(|recovery| recovery.boot_id_file.as_str());
    let text = std::fs::read_to_string(configured.unwrap_or(DEFAULT_BOOT_ID_FILE)).ok()?;
    BootId::parse(&text)
}

/// Returns random bytes, or zeros if the operator's configuration enables no feature.
fn draw_entropy(operator: &OperatorConfig) -> Result<[u8; 32], StartError> {
    let mut entropy = [0; 32];
    if *operator != OperatorConfig::default() {
        getrandom::fill(&mut entropy).map_err(std::io::Error::other)?;
    }
    Ok(entropy)
}

/// The signals that a sender handles.
struct ProcessSignals {
    hangup: Signals,
    terminate: Signals,
    interrupt: Signals,
}

impl ProcessSignals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Forwards signals and reload requests to the daemon until the daemon has ended.
    async fn forward(mut self, mut reloads: UnboundedReceiver<()>, daemon: UnboundedSender<Signal>) {
        let config = || read_config().map(Box::new).map_err(ConfigReadError::new);
        loop {
            let signal = tokio::select! {
                _ = self.terminate.recv() => Signal::Shutdown,
                _ = self.interrupt.recv() => Signal::Shutdown,
                _ = self.hangup.recv() => Signal::Reload(config()),
                Some(()) = reloads.recv() => Signal::ReloadIfChanged(config()),
            };
            if daemon.send(signal).is_err() {
                return;
            }
        }
    }
}

async fn run() -> Result<(), StartError> {
    // Handlers are installed first: without one, a signal terminates the process.
    let process_signals = ProcessSignals::install()?;
    let config = read_config()?;
    let (request_reload, reload_requests) = unbounded_channel();
    let state_folder = path_variable("PROXY_STATE")?;
    let ports = Ports {
        wall: Rc::new(SystemClock),
        network: Rc::new(Tcp),
        storage: Rc::new(Folder(state_folder.clone())),
        log: Rc::new(StandardError),
        handover: Some(HandoverConfig {
            folder: state_folder,
            request_reload: Rc::new(move || {
                let _ = request_reload.send(());
            }),
        }),
        traces: Traces::parse(&std::env::var("MICADRUM_TRACE").unwrap_or_default()),
        boot: read_boot(&config.operator),
        entropy: draw_entropy(&config.operator)?,
    };
    let (to_daemon, signals) = unbounded_channel();
    spawn_local(process_signals.forward(reload_requests, to_daemon));
    Ok(daemon::run(config, ports, signals).await?)
}

fn main() -> ExitCode {
    if let Some(command) = Arguments::parse().command {
        return match command.execute() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("micadrum: {error}");
                ExitCode::from(COMMAND_FAILED)
            }
        };
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result =
        runtime.map_err(StartError::from).and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("micadrum: {error}");
            ExitCode::FAILURE
        }
    }
}
