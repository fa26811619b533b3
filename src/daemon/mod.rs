//! The sender on real sockets: everything around the decision engine that does I/O or reads a clock.
//!
//! The daemon runs on one thread inside a [`tokio::task::LocalSet`]; whoever drops the set ends all tasks of
//! the daemon. What the daemon needs of the machine comes through [`ports`].
mod accept_failure;
mod admin_server;
mod checkpoint;
mod class_registry;
mod client_listener;
mod clock;
pub mod config;
mod config_schema;
mod connection;
mod connection_pool;
mod discovery;
mod durability;
pub mod endpoint_list;
mod environment;
mod error_log_limit;
mod event_loop;
mod events;
mod frame;
mod handover;
mod ingress;
mod journal;
mod journal_opening;
mod listening;
mod local_failure;
mod maintenance;
mod membership;
mod metrics;
mod notifications;
mod outbound_call;
mod peer_reporting;
mod poll_schedule;
pub mod ports;
mod ready_stream;
mod recovery;
mod resource_budget;
mod runtime_checks;
mod standby;
mod state_lock;
pub mod system;
mod takeover;
mod trace;
mod watch_cell;

use client_listener::ClientListener;
use config::{Config, ConfigReadError};
use environment::{Environment, LoopStart};
use event_loop::{EventLoopError, HandoverState};
use events::ListenerState;
pub use handover::HandoverError;
use journal::JournalError;
use metrics::Metrics;
use ports::Ports;
use standby::Standby;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use takeover::Takeover;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// What the platform asks of a running sender.
pub enum Signal {
    /// To shut down gracefully: SIGTERM or SIGINT.
    Shutdown,
    /// To follow the configuration as it reads now: SIGHUP.
    Reload(Result<Box<Config>, ConfigReadError>),
    /// To follow the configuration if it has changed: a SIGHUP may have gone to the predecessor of this
    /// process.
    ReloadIfChanged(Result<Box<Config>, ConfigReadError>),
}

/// Why a sender could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The seed in the configuration is not a number.
    #[error("configuration: seed {0:?} is not hexadecimal")]
    Seed(String),
    /// The journal cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The settings cannot be used, or the journal cannot be made durable.
    #[error("settings: {0}")]
    Settings(#[from] EventLoopError),
    /// A process is at work in the state folder, and does not hand over.
    #[error("handover: {0}")]
    Handover(#[from] HandoverError),
    /// The sender cannot join its fleet.
    #[error("peers: {0}")]
    Membership(#[from] membership::MembershipError),
    /// The address for clients or operators cannot be listened at.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// Runs one sender until it has shut down or a successor has taken over, on the tasks of the
/// [`tokio::task::LocalSet`] that the function is called in.
///
/// # Errors
/// The sender could not start. Once it listens, it ends only in good order.
pub async fn run(config: Config, ports: Ports, signals: UnboundedReceiver<Signal>) -> Result<(), StartError> {
    let (events, mut received) = unbounded_channel();
    let environment = Environment::new(&config, ports, events)?;
    let membership = environment.join_membership(&config)?;
    environment.serve_admin_endpoint(&config, membership.as_ref()).await?;
    environment.forward_signals(signals);
    let mut takeover = Takeover::enter(&environment).await?;
    let mut start = LoopStart {
        config: Rc::new(config),
        inheritance: takeover.inheritance.take(),
        metrics: Metrics::default(),
    };
    let mut open_listener = None;
    loop {
        let address = start.config.listen;
        let journal = environment.open_journal(&start, membership.as_ref()).await?;
        let (notifications, to_notify) = unbounded_channel();
        let event_loop = environment.set_up_event_loop(start, journal, membership.as_ref(), notifications)?;
        let platform_tasks = environment.spawn_platform_tasks(&event_loop, to_notify);
        // Only now: a sender that can be reached has taken over the messages in its journal.
        let clients = match open_listener.take() {
            Some(clients) => clients,
            None => ClientListener::start(&environment, address, takeover.listener.take()).await?,
        };
        environment.accept_clients();
        takeover.confirm(&environment).await;
        let Some(handover) = event_loop.run(&mut received).await else {
            shut_down(&environment, membership, clients).await;
            return Ok(());
        };
        drop(platform_tasks);
        let HandoverState { successor, inheritance, config, metrics } = handover;
        let log = &*environment.ports.log;
        let mut standby = Standby { events: &mut received, log, successor, metrics: metrics.clone() };
        let offer = standby.offer(&*clients.listener, takeover.lock.as_ref(), &inheritance).await;
        if offer.is_accepted {
            // The successor speaks for this sender from now on, at the same address.
            drop((membership, takeover));
            environment.listener_state.set(ListenerState::HandedOver);
            standby.forward_reloads(offer.signals, clients).await;
            return Ok(());
        }
        environment.resend(offer.signals.into_events());
        start = LoopStart { config, inheritance: Some(inheritance), metrics: (*metrics).clone() };
        open_listener = Some(clients);
    }
}

/// Leaves the fleet, and gives the last responses to clients time to go out.
async fn shut_down(
    environment: &Environment,
    membership: Option<membership::Handle>,
    clients: ClientListener,
) {
    if let Some(membership) = membership {
        membership.leave().await;
    }
    // Whoever came until now has a response.
    environment.listener_state.set(ListenerState::Closed);
    clients.finish().await;
}
