//! The sender as a network service: everything around the decision engine that performs I/O or reads a clock.
//!
//! The daemon runs on one thread inside a [`tokio::task::LocalSet`]; dropping the set ends all of its tasks.
//! It accesses the machine only through [`ports`].
mod accept_failure;
mod admin_server;
mod answer_trust;
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
mod endpoint_connection;
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
mod open_polls;
mod outbound_call;
mod peer_reporting;
mod poll_schedule;
pub mod ports;
mod ready_stream;
mod recovery;
mod request_trace;
mod resource_budget;
mod runtime_checks;
mod standby;
mod state_lock;
pub mod system;
mod takeover;
mod trace;
mod watch_cell;

use admin_server::AdminServer;
use client_listener::{ClientListener, LAST_RESPONSES_TIMEOUT};
use config::{Config, ConfigReadError};
use environment::{Environment, LoopStart};
use event_loop::{EventLoopError, HandoverState};
use events::{ListenerState, LoopEvent};
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
use tokio::time::timeout;

/// A signal from the platform to a running sender.
pub enum Signal {
    /// Shut down gracefully: SIGTERM or SIGINT.
    Shutdown,
    /// Apply the configuration, as read after the signal: SIGHUP.
    Reload(Result<Box<Config>, ConfigReadError>),
    /// Apply the configuration if it has changed: a SIGHUP may have been sent to the predecessor of this
    /// process.
    ReloadIfChanged(Result<Box<Config>, ConfigReadError>),
}

/// An error that prevents a sender from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The seed in the configuration is not a hexadecimal number.
    #[error("configuration: seed {0:?} is not a hexadecimal number")]
    Seed(String),
    /// The journal cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The settings are invalid, or the journal cannot be made durable.
    #[error("settings: {0}")]
    Settings(#[from] EventLoopError),
    /// Another process is running in the state folder, and the handover from it failed.
    #[error("handover: {0}")]
    Handover(#[from] HandoverError),
    /// The sender cannot join its fleet.
    #[error("peers: {0}")]
    Membership(#[from] membership::MembershipError),
    /// The listening socket for clients or operators cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error that the operating system returned.
        source: io::Error,
    },
}

/// Runs one sender until it has shut down or a successor has taken over, on the tasks of the
/// [`tokio::task::LocalSet`] that the function is called in.
///
/// # Errors
/// The sender could not start, or could not resume after a handover that failed.
pub async fn run(config: Config, ports: Ports, signals: UnboundedReceiver<Signal>) -> Result<(), StartError> {
    let (events, mut received) = unbounded_channel();
    let environment = Environment::new(&config, ports, events)?;
    let membership = environment.join_membership(&config)?;
    let admin_server = environment.serve_admin_endpoint(&config, membership.as_ref()).await?;
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
        // Clients are served only once the event loop has taken over the messages in the journal.
        let clients = match open_listener.take() {
            Some(clients) => clients,
            None => ClientListener::start(&environment, address, takeover.listener.take()).await?,
        };
        environment.accept_clients();
        takeover.confirm(&environment).await;
        let Some(handover) = event_loop.run(&mut received).await else {
            let admin_requests = finish_admin_requests(admin_server.as_ref());
            tokio::join!(shut_down(&environment, membership, clients, received), admin_requests);
            return Ok(());
        };
        drop(platform_tasks);
        let HandoverState { successor, inheritance, config, metrics } = handover;
        let log = &*environment.ports.log;
        let mut standby = Standby { events: &mut received, log, successor, metrics: metrics.clone() };
        let offer = standby.offer(&*clients.listener, takeover.lock.as_ref(), &inheritance).await;
        if offer.is_accepted {
            // The successor represents this sender in the fleet from now on, at the same address.
            drop((membership, takeover));
            environment.listener_state.set(ListenerState::HandedOver);
            standby.forward_reloads(offer.signals, clients).await;
            drop_events(&mut received);
            finish_admin_requests(admin_server.as_ref()).await;
            return Ok(());
        }
        environment.resend(offer.signals.into_events());
        start = LoopStart { config, inheritance: Some(inheritance), metrics: (*metrics).clone() };
        open_listener = Some(clients);
    }
}

/// Closes the channel to the event loop, and drops the events in it. Returns the number of submissions.
fn drop_events(received: &mut UnboundedReceiver<LoopEvent>) -> usize {
    received.close();
    let mut submissions = 0;
    while let Ok(event) = received.try_recv() {
        submissions += usize::from(matches!(event, LoopEvent::Submit { .. }));
    }
    submissions
}

/// Waits until the operators' requests that have begun to arrive are answered, or a short timeout has passed.
async fn finish_admin_requests(server: Option<&AdminServer>) {
    if let Some(server) = server {
        let _ = timeout(LAST_RESPONSES_TIMEOUT, server.finish()).await;
    }
}

/// Leaves the fleet, and waits until the last responses to clients are written.
async fn shut_down(
    environment: &Environment,
    membership: Option<membership::Handle>,
    mut clients: ClientListener,
    mut received: UnboundedReceiver<LoopEvent>,
) {
    environment.listener_state.set(ListenerState::Closed);
    // Nobody processes further events: their reply channels are closed, so that their requests are rejected.
    let submissions = drop_events(&mut received);
    let leave = async {
        if let Some(membership) = membership {
            membership.leave().await;
        }
    };
    tokio::join!(leave, clients.finish());
    environment.ports.log.line(&format!(
        "shutdown: complete submissions_dropped={submissions} connections: {}",
        clients.limits.stage_counts()
    ));
}
