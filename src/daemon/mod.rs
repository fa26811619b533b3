//! The sender on real sockets: everything round the decision module that does I/O or reads a clock.
//!
//! It runs on one thread inside a [`tokio::task::LocalSet`]; whoever drops that ends all of its tasks. What it
//! needs of the machine comes through [`ports`].
mod budget;
mod call;
mod classes;
pub mod config;
mod connection;
mod discovery;
mod figures;
mod host;
mod input;
mod latest;
mod maintenance;
mod management;
mod notices;
mod over;
mod pool;
pub mod ports;
mod server;
mod shape;
mod store;
pub mod system;
pub mod targets;

use budget::Budget;
use config::Config;
use host::{Host, Links, Start};
use input::{Doors, Input};
use latest::Latest;
use ports::Ports;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use store::{Damage, Store, StoreError};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// How long answers on their way out may take once the host has ended.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// What the platform asks of a running sender.
pub enum Signal {
    /// To wind down and end: SIGTERM or SIGINT.
    WindDown,
    /// To follow the configuration as it now reads, or the word that it cannot be read: SIGHUP.
    Reload(Result<Box<Config>, String>),
}

/// Why a sender could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The seed in the configuration is no number.
    #[error("configuration: seed {0:?} is not hexadecimal")]
    Seed(String),
    /// The journal cannot be opened.
    #[error("{0}")]
    Store(String),
    /// The settings cannot be acted on.
    #[error("settings: {0}")]
    Settings(String),
    /// Clients cannot be listened for.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

impl From<StoreError> for StartError {
    fn from(error: StoreError) -> Self {
        Self::Store(error.to_string())
    }
}

/// Runs one sender until it has wound down, on the tasks of the [`tokio::task::LocalSet`] that it is called in.
///
/// # Errors
/// Why it could not start; once it listens, it ends only in good order.
pub async fn run(
    config: Config,
    ports: Ports,
    mut signals: UnboundedReceiver<Signal>,
) -> Result<(), StartError> {
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    let budget = Budget::new(&config.limits, config.settings.most_calls(), config.management.is_some());
    let shape = config.shape();
    let (store, damage) = Store::open(ports.storage.clone(), budget.disk)?;
    if damage != Damage::default() {
        let Damage { torn, skipped } = damage;
        ports.log.line(&format!("journal: {torn} bytes cut off at the end, {skipped} passed over"));
    }
    let (inputs, from_all) = unbounded_channel();
    let (notices, queue) = unbounded_channel();
    let doors = Latest::new(Doors::Open);
    let platform = Latest::new(config.discovery);
    let links = Links { inputs: inputs.clone(), notices, doors: doors.clone(), platform: platform.clone() };
    let start = Start { profile: &config.settings, shape, seed, known: config.known };
    let host = Host::new(start, store, links, budget, ports.clone()).map_err(StartError::Settings)?;
    // Only now: a sender that can be reached has taken up what it owes.
    let address = config.listen;
    let listener = ports.network.listen(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    let listens = listener.local_addr().map_err(|source| StartError::Listen { address, source })?;
    ports.log.line(&format!("listening on {listens}"));
    if let Some(address) = config.management {
        let listener = ports.network.listen(address).await;
        let listener = listener.map_err(|source| StartError::Listen { address, source })?;
        let listens = listener.local_addr().map_err(|source| StartError::Listen { address, source })?;
        ports.log.line(&format!("operators: listening on {listens}"));
        spawn_local(management::serve(listener, inputs.clone(), doors.clone(), ports.log.clone()));
    }
    spawn_local(discovery::watch(platform.clone(), inputs.clone(), ports.clone()));
    spawn_local(notices::run(platform.clone(), queue, inputs.clone(), ports.clone()));
    let on_signal = inputs.clone();
    spawn_local(async move {
        while let Some(signal) = signals.recv().await {
            let input = match signal {
                Signal::WindDown => Input::WindDown,
                Signal::Reload(config) => Input::Reload(config),
            };
            let _ = on_signal.send(input);
        }
    });
    let server = spawn_local(server::serve(listener, inputs, doors.clone(), budget, ports.log.clone()));
    host.run(from_all).await;
    // Whoever comes until now has heard an answer.
    doors.set(Doors::Shut);
    let _ = tokio::time::timeout(LAST_ANSWERS, server).await;
    Ok(())
}
