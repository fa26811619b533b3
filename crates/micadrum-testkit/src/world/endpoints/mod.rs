//! The destinations' endpoints on the network: they accept calls and write the answers that the model decides.
mod call;

use super::{EndpointState, World};
use crate::http::{HttpConnection, answer};
use crate::test_network::TestListener;
use call::Call;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// An endpoint closes a connection that was idle for this long, in microseconds.
pub const IDLE_TIMEOUT_US: u64 = 5_000_000;
/// Connections to a machine that was unreachable show within this.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(20);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The first port of an endpoint; each sender has its own.
const FIRST_PORT: u16 = 5000;
/// Ports from one address of an endpoint to the next, after a move.
const PORTS_PER_GENERATION: u16 = 1000;

/// One of the listeners of an endpoint.
#[derive(Clone)]
struct EndpointListener {
    world: Rc<World>,
    endpoint: usize,
    /// The sender that connects here.
    sender: u32,
    /// The endpoint's address generation to which this listener belongs.
    generation: u16,
}

/// Opens the listeners of an endpoint, one for each sender, and runs them as the endpoint's condition requires.
pub(super) async fn open(world: &Rc<World>, endpoint: usize) -> io::Result<()> {
    let generation = world.endpoints.borrow()[endpoint].address_generation;
    let mut addresses = Vec::new();
    for sender in 0..world.plan.senders.len() as u32 {
        let port = FIRST_PORT + generation * PORTS_PER_GENERATION + sender as u16;
        let listener = world.network.listen(World::host_of(endpoint), port).await?;
        addresses.push(listener.address());
        let endpoint_listener = EndpointListener { world: world.clone(), endpoint, sender, generation };
        spawn_local(endpoint_listener.accept_connections(listener));
    }
    world.endpoints.borrow_mut()[endpoint].addresses = addresses;
    Ok(())
}

/// Returns whether the endpoint has to stay silent by itself, as its machine is unreachable and the network cannot be
/// cut.
fn is_mute(world: &World, endpoint: &EndpointState) -> bool {
    endpoint.condition.unreachable && world.fleet.links().is_none()
}

/// Waits until the state of an endpoint satisfies a condition.
async fn wait_for_state(world: &World, endpoint: usize, condition: impl Fn(&EndpointState) -> bool) {
    loop {
        let changed = world.endpoint_changed.notified();
        if condition(&world.endpoints.borrow()[endpoint]) {
            return;
        }
        changed.await;
    }
}

impl EndpointListener {
    async fn wait_for_state(&self, condition: impl Fn(&EndpointState) -> bool) {
        wait_for_state(&self.world, self.endpoint, condition).await;
    }

    fn is_mute(&self) -> bool {
        is_mute(&self.world, &self.world.endpoints.borrow()[self.endpoint])
    }

    fn has_moved(&self, endpoint: &EndpointState) -> bool {
        endpoint.address_generation != self.generation
    }

    /// Accepts connections until the endpoint has moved to another address.
    async fn accept_connections(self, mut listener: Box<dyn TestListener>) {
        loop {
            if self.is_mute() {
                self.wait_for_state(|endpoint| !is_mute(&self.world, endpoint)).await;
                // Connections that the system accepted meanwhile never reached an unreachable machine.
                while timeout(STALE_CONNECTION_WINDOW, listener.accept()).await.is_ok() {}
            }
            let stopped =
                |endpoint: &EndpointState| endpoint.condition.process_down || self.has_moved(endpoint);
            let accepted = tokio::select! {
                biased;
                () = self.wait_for_state(|endpoint| is_mute(&self.world, endpoint)) => continue,
                () = self.wait_for_state(stopped) => None,
                accepted = listener.accept() => Some(accepted),
            };
            match accepted {
                Some(Ok(connection)) => {
                    let server = self.clone();
                    spawn_local(async move { server.serve(HttpConnection::new(connection)).await });
                }
                Some(Err(_)) => sleep(ACCEPT_RETRY_DELAY).await,
                None if self.has_moved(&self.world.endpoints.borrow()[self.endpoint]) => return,
                None => listener = self.restart(listener).await,
            }
        }
    }

    /// Closes the listener, so that connections are refused, until the endpoint's process runs again.
    async fn restart(&self, listener: Box<dyn TestListener>) -> Box<dyn TestListener> {
        let port = listener.address().port();
        drop(listener);
        self.wait_for_state(|endpoint| !endpoint.condition.process_down).await;
        loop {
            match self.world.network.listen(World::host_of(self.endpoint), port).await {
                Ok(listener) => return listener,
                Err(_) => sleep(LISTEN_RETRY_DELAY).await,
            }
        }
    }

    /// Serves the calls on one connection, one after another.
    async fn serve(&self, mut http: HttpConnection) {
        let closed = |endpoint: &EndpointState| {
            endpoint.condition.process_down || endpoint.address_generation > self.generation + 1
        };
        loop {
            let next = tokio::select! {
                biased;
                () = self.wait_for_state(closed) => return,
                () = self.wait_for_state(|endpoint| is_mute(&self.world, endpoint)) => {
                    // The connection is gone when the machine is reachable again.
                    self.wait_for_state(|endpoint| !is_mute(&self.world, endpoint)).await;
                    return;
                }
                next = timeout(Duration::from_micros(IDLE_TIMEOUT_US), http.read(false)) => next,
            };
            let Ok(Ok(Some(message))) = next else { return };
            let Some(call) = Call::read(&self.world, self.endpoint, self.sender, &message) else {
                let _ = http.write(&answer("400 Bad Request", "", "")).await;
                return;
            };
            let Some(reusable) = call.serve(&self.world, http).await else { return };
            http = reusable;
        }
    }
}
