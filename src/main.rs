//! One real sender: takes messages on from clients and delivers them to endpoints, over sockets.
mod net;

use micadrum::profile::Profile;
use net::budget::{Budget, Limits};
use net::discovery::{self, Targets};
use net::host::{Host, Input, Links};
use net::notices;
use net::server::{self, Doors};
use net::store::Store;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// How long answers on their way out may take once the host has ended.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Targets,
    settings: Profile,
}

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("${0} is not set")]
    Unset(&'static str),
    #[error("configuration {path}: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    NotConfig { path: PathBuf, source: serde_json::Error },
    #[error("configuration: seed {0:?} is not hexadecimal")]
    Seed(String),
    #[error(transparent)]
    Store(#[from] net::store::StoreError),
    #[error("settings: {0}")]
    Settings(String),
    #[error("listening on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
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
    serde_json::from_slice(&text).map_err(|source| StartError::NotConfig { path, source })
}

/// Takes over what may change while the sender runs: where discovery and the platform are reached.
fn reload(platform: &watch::Sender<SocketAddr>) {
    match config() {
        Ok(config) => {
            let moved = platform
                .send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
            eprintln!("reloaded: discovery at {}{}", config.discovery, if moved { "" } else { " as before" });
        }
        // A file that cannot be used must not stop a sender at work.
        Err(e) => eprintln!("reload: {e}; all stays as it was"),
    }
}

async fn run() -> Result<(), StartError> {
    // First of all, as without a handler a signal ends the process.
    let mut reloads = signal(SignalKind::hangup())?;
    let (mut terminated, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let config = config()?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed))?;
    let budget = Budget::new(&config.limits, config.settings.most_calls());
    let (store, damage) = Store::open(&variable("PROXY_STATE")?, budget.disk)?;
    if damage != net::store::Damage::default() {
        eprintln!("journal: {} bytes cut off at the end, {} passed over", damage.torn, damage.skipped);
    }
    let (inputs, from_all) = mpsc::unbounded_channel();
    let (notices, queue) = mpsc::unbounded_channel();
    let (doors, at_doors) = watch::channel(Doors::Open);
    let (platform, at_platform) = watch::channel(config.discovery);
    let links = Links { inputs: inputs.clone(), notices, doors };
    let host = Host::new(&config.settings, seed, config.known, store, links, budget)
        .map_err(StartError::Settings)?;
    // Only now: a sender that can be reached has taken up what it owes.
    let address = config.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })?;
    eprintln!("listening on {}", listener.local_addr()?);
    tokio::spawn(discovery::watch(at_platform.clone(), inputs.clone()));
    tokio::spawn(notices::run(at_platform, queue, inputs.clone()));
    let on_signal = inputs.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminated.recv() => drop(on_signal.send(Input::WindDown)),
                _ = interrupted.recv() => drop(on_signal.send(Input::WindDown)),
                _ = reloads.recv() => reload(&platform),
            }
        }
    });
    let server = tokio::spawn(server::serve(listener, inputs, at_doors, budget));
    host.run(from_all).await;
    let _ = tokio::time::timeout(LAST_ANSWERS, server).await;
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(StartError::from).and_then(|runtime| runtime.block_on(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("micadrum: {e}");
            ExitCode::FAILURE
        }
    }
}
