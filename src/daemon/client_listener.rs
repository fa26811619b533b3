//! The listening socket for clients, and the task that serves it.
use super::environment::{BoundListener, Environment};
use super::events::LoopEvent;
use super::ingress::{
    self, Closable, ConnectionLimits, ConnectionSettings, HEAD_TIMEOUT, IngressContext, MAX_HEAD_BYTES,
    MIN_UNSERVED_AGE, UnansweredRequests,
};
use super::ports::Listener;
use super::{StartError, handover};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// The time limit for writing the last responses to clients after the event loop has ended.
pub const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(200);

/// The server for clients.
pub struct ClientListener {
    pub listener: Rc<dyn Listener>,
    /// Completes once the listener is closed or handed over and every request has been answered.
    pub server: JoinHandle<()>,
    /// The limits of the clients' connections.
    pub limits: Arc<ConnectionLimits>,
}

impl ClientListener {
    /// Starts to serve clients on the `inherited` listening socket, or else at `address`, and to listen for a
    /// successor.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub async fn start(
        environment: &Environment,
        address: SocketAddr,
        inherited: Option<OwnedFd>,
    ) -> Result<Self, StartError> {
        let BoundListener { listener, at } = environment.listen(address, inherited).await?;
        environment.ports.log.line(&format!("listening on {at}"));
        let listener = Rc::<dyn Listener>::from(listener);
        let budget = &environment.budget;
        let limits = ConnectionLimits::new(
            budget.client_connections,
            budget.request_bytes,
            Closable::Idle,
            MIN_UNSERVED_AGE,
        );
        let context = ingress_context(environment, at);
        let log = environment.ports.log.clone();
        let server = spawn_local(ingress::serve(listener.clone(), limits.clone(), context, log));
        listen_for_successor(environment);
        Ok(Self { listener, server, limits })
    }

    /// Waits until the last responses to clients are written, or a short timeout has passed.
    pub async fn finish(&mut self) {
        let _ = tokio::time::timeout(LAST_RESPONSES_TIMEOUT, &mut self.server).await;
    }
}

fn ingress_context(environment: &Environment, address: SocketAddr) -> IngressContext {
    let (log, listener) = (environment.ports.log.clone(), environment.listener_state.clone());
    let unanswered = UnansweredRequests::new("ingress", log, listener, environment.violations.clone());
    let connections = ConnectionSettings {
        head_timeout: HEAD_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        keep_alive: true,
        state: environment.listener_state.clone(),
        unanswered: Rc::new(unanswered),
    };
    IngressContext {
        events: environment.events.clone(),
        state: environment.listener_state.clone(),
        network: environment.ports.network.clone(),
        address,
        connections,
    }
}

fn listen_for_successor(environment: &Environment) {
    let Some(settings) = &environment.ports.handover else { return };
    let events = environment.events.clone();
    let on_request = move |successor| drop(events.send(LoopEvent::Successor(successor)));
    spawn_local(handover::listen(settings.folder.clone(), on_request, environment.ports.log.clone()));
}
