//! The listening socket for clients, and the task that serves it.
use super::environment::{BoundListener, Environment};
use super::events::LoopEvent;
use super::ports::Listener;
use super::{StartError, handover, ingress};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// The time limit for writing the last responses to clients after the event loop has ended.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(200);

/// The server for clients.
pub struct ClientListener {
    pub listener: Rc<dyn Listener>,
    /// Completes once the listener is closed or handed over and every request has been answered.
    pub server: JoinHandle<()>,
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
        let server = ingress::serve(
            listener.clone(),
            at,
            environment.events.clone(),
            environment.listener_state.clone(),
            environment.budget,
            environment.violations.clone(),
            &environment.ports,
        );
        listen_for_successor(environment);
        Ok(Self { listener, server: spawn_local(server) })
    }

    /// Waits until the last responses to clients are written, or a short timeout has passed.
    pub async fn finish(self) {
        let _ = tokio::time::timeout(LAST_RESPONSES_TIMEOUT, self.server).await;
    }
}

fn listen_for_successor(environment: &Environment) {
    let Some(settings) = &environment.ports.handover else { return };
    let events = environment.events.clone();
    let on_request = move |successor| drop(events.send(LoopEvent::Successor(successor)));
    spawn_local(handover::listen(settings.folder.clone(), on_request, environment.ports.log.clone()));
}
