//! One real sender: takes messages on from clients and delivers them to endpoints, over sockets.
use clap::Parser;
use micadrum::daemon::config::Config;
use micadrum::daemon::ports::Ports;
use micadrum::daemon::system::{Folder, StandardError, SystemClock, Tcp};
use micadrum::daemon::{self, Signal};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

/// One sender: takes messages on from clients and delivers them to endpoints.
///
/// It reads its configuration from the file that PROXY_CONFIG names, and keeps what outlasts it in the folder that
/// PROXY_STATE names. SIGHUP reads the configuration again, SIGTERM winds it down. With MICADRUM_TRACE=calls it logs
/// a line a call.
#[derive(Parser)]
#[command(name = "micadrum", version)]
struct Arguments {}

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("${0} is not set")]
    Unset(&'static str),
    #[error("configuration {path}: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    NotConfig { path: PathBuf, source: serde_json::Error },
    #[error(transparent)]
    Daemon(#[from] daemon::StartError),
    #[error("starting: {0}")]
    Runtime(#[from] std::io::Error),
}

fn variable(name: &'static str) -> Result<PathBuf, StartError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(StartError::Unset(name))
}

fn config() -> Result<Config, StartError> {
    let path = variable("PROXY_CONFIG")?;
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(source) => return Err(StartError::Unreadable { path, source }),
    };
    Config::parse(&text).map_err(|source| StartError::NotConfig { path, source })
}

async fn run() -> Result<(), StartError> {
    // First of all, as without a handler a signal ends the process.
    let mut reloads = signal(SignalKind::hangup())?;
    let (mut terminated, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let config = config()?;
    let ports = Ports {
        wall: Rc::new(SystemClock),
        network: Rc::new(Tcp),
        storage: Rc::new(Folder(variable("PROXY_STATE")?)),
        log: Rc::new(StandardError),
        handover: Some(variable("PROXY_STATE")?),
        trace: std::env::var_os("MICADRUM_TRACE").is_some_and(|what| what == "calls"),
    };
    let (to_daemon, signals) = unbounded_channel();
    spawn_local(async move {
        loop {
            let signal = tokio::select! {
                _ = terminated.recv() => Signal::WindDown,
                _ = interrupted.recv() => Signal::WindDown,
                _ = reloads.recv() => Signal::Reload(self::config().map(Box::new).map_err(|e| e.to_string())),
            };
            if to_daemon.send(signal).is_err() {
                return;
            }
        }
    });
    Ok(daemon::run(config, ports, signals).await?)
}

fn main() -> ExitCode {
    let Arguments {} = Arguments::parse();
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
