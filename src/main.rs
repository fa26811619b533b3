//! One real sender: takes messages on from clients and delivers them to endpoints, over sockets.
mod command;

use clap::Parser;
use command::What;
use micadrum::daemon::config::Config;
use micadrum::daemon::ports::{HandoverConfig, Ports, Traces};
use micadrum::daemon::system::{Folder, StandardError, SystemClock, Tcp};
use micadrum::daemon::{self, Signal};
use micadrum_config::OperatorConfig;
use micadrum_recovery::Boot;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

/// One sender: takes messages on from clients and delivers them to endpoints.
///
/// Without a command it runs. It reads its configuration from the file that PROXY_CONFIG names, what its operators turn
/// on besides from the one that MICADRUM_OPERATOR names, if any, and keeps what outlasts it in the folder that
/// PROXY_STATE names. SIGHUP reads both files again, SIGTERM winds it down. With MICADRUM_TRACE=calls it logs a line a
/// call, with MICADRUM_TRACE=peers a line a change of what it believes of its peers.
#[derive(Parser)]
#[command(name = "micadrum", version)]
struct Arguments {
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("${0} is not set")]
    Unset(&'static str),
    #[error("{what} {path}: {source}")]
    Unreadable { what: &'static str, path: PathBuf, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    NotConfig { path: PathBuf, source: serde_json::Error },
    #[error("operator's file {0}")]
    NotOperator(#[from] micadrum_config::FileError),
    #[error("secret {0}: no key: 64 hexadecimal digits, as `micadrum key FILE` writes them")]
    NotSecret(PathBuf),
    #[error(transparent)]
    Daemon(#[from] daemon::StartError),
    #[error("starting: {0}")]
    Runtime(#[from] std::io::Error),
}

fn variable(name: &'static str) -> Result<PathBuf, StartError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(StartError::Unset(name))
}

fn read(what: &'static str, path: &Path) -> Result<Vec<u8>, StartError> {
    std::fs::read(path).map_err(|source| StartError::Unreadable { what, path: path.to_owned(), source })
}

/// The platform's configuration.
fn platform() -> Result<Config, StartError> {
    let path = variable("PROXY_CONFIG")?;
    let text = read("configuration", &path)?;
    Config::parse(&text).map_err(|source| StartError::NotConfig { path, source })
}

/// The operator's file for the sender of that name.
fn operator(path: &Path, own: &str) -> Result<OperatorConfig, StartError> {
    let text = String::from_utf8_lossy(&read("operator's file", path)?).into_owned();
    Ok(OperatorConfig::parse(&path.display().to_string(), &text, own)?)
}

/// The platform's configuration with what the operators turn on.
fn config() -> Result<Config, StartError> {
    let config = platform()?;
    let Some(path) = std::env::var_os("MICADRUM_OPERATOR").map(PathBuf::from) else { return Ok(config) };
    let operator = operator(&path, &config.name)?;
    let secret = match &operator.peers {
        Some(peers) => {
            let path = path.parent().unwrap_or(Path::new("")).join(&peers.secret_file);
            let text = String::from_utf8_lossy(&read("secret", &path)?).into_owned();
            Some(micadrum_config::peers::parse_key(text.trim()).ok_or(StartError::NotSecret(path))?)
        }
        None => None,
    };
    Ok(config.with_operator(operator, secret))
}

async fn run() -> Result<(), StartError> {
    // First of all, as without a handler a signal ends the process.
    let mut reloads = signal(SignalKind::hangup())?;
    let (mut terminated, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let config = config()?;
    let mut entropy = [0; 32];
    if config.operator != OperatorConfig::default() {
        getrandom::fill(&mut entropy).map_err(|e| StartError::Runtime(std::io::Error::other(e)))?;
    }
    let boot = config.operator.recovery.as_ref().and_then(|recovery| {
        let text = std::fs::read_to_string(&recovery.boot_id_file);
        text.ok().and_then(|text| Boot::parse(&text))
    });
    let (reread, mut rereads) = unbounded_channel();
    let ports = Ports {
        wall: Rc::new(SystemClock),
        network: Rc::new(Tcp),
        storage: Rc::new(Folder(variable("PROXY_STATE")?)),
        log: Rc::new(StandardError),
        handover: Some(HandoverConfig {
            folder: variable("PROXY_STATE")?,
            reread: Rc::new(move || {
                let _ = reread.send(());
            }),
        }),
        traces: Traces::named(&std::env::var("MICADRUM_TRACE").unwrap_or_default()),
        boot,
        entropy,
    };
    let (to_daemon, signals) = unbounded_channel();
    let read = || self::config().map(Box::new).map_err(|e| e.to_string());
    spawn_local(async move {
        loop {
            let signal = tokio::select! {
                _ = terminated.recv() => Signal::Shutdown,
                _ = interrupted.recv() => Signal::Shutdown,
                _ = reloads.recv() => Signal::Reload(read()),
                Some(()) = rereads.recv() => Signal::ReloadIfChanged(read()),
            };
            if to_daemon.send(signal).is_err() {
                return;
            }
        }
    });
    Ok(daemon::run(config, ports, signals).await?)
}

fn main() -> ExitCode {
    if let Some(what) = Arguments::parse().what {
        return match what.carry_out() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("micadrum: {e}");
                ExitCode::from(2)
            }
        };
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(StartError::from).and_then(|rt| LocalSet::new().block_on(&rt, run()));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("micadrum: {e}");
            ExitCode::FAILURE
        }
    }
}
