//! The network side of the destinations' endpoints, which accept calls and write the answers that the model
//! decides.
mod call;

use super::{EndpointState, World};
use crate::http::{HttpConnection, answer};
use crate::scenario::RepeatTrigger;
use crate::test_network::TestListener;
use call::Call;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The time after which an endpoint closes an idle connection, in microseconds.
pub const IDLE_TIMEOUT_US: u64 = 5_000_000;
/// How long to wait for connections that were queued while the machine was unreachable.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(20);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The first listening port of an endpoint, which has one port for each sender.
const FIRST_PORT: u16 = 5000;
/// The difference between the ports of successive addresses of an endpoint.
const PORTS_PER_GENERATION: u16 = 1000;

/// A listener of an endpoint, which serves one sender.
#[derive(Clone)]
struct EndpointListener {
    world: Rc<World>,
    endpoint: usize,
    /// The sender that connects to the listener.
    sender: u32,
    /// The value of `EndpointState::address_generation` for which the listener was opened.
    generation: u16,
}

/// Opens a listener of an endpoint for each sender, and spawns the tasks that accept connections.
///
/// # Errors
/// Returns an error if a listener cannot be opened.
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

/// Returns whether the endpoint has to stop answering itself because its machine is unreachable and the
/// network cannot drop its traffic.
fn must_stay_silent(world: &World, endpoint: &EndpointState) -> bool {
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

    fn must_stay_silent(&self) -> bool {
        must_stay_silent(&self.world, &self.world.endpoints.borrow()[self.endpoint])
    }

    fn has_moved(&self, endpoint: &EndpointState) -> bool {
        endpoint.address_generation != self.generation
    }

    /// Accepts connections until the endpoint moves to another address.
    async fn accept_connections(self, mut listener: Box<dyn TestListener>) {
        loop {
            if self.must_stay_silent() {
                self.wait_for_state(|endpoint| !must_stay_silent(&self.world, endpoint)).await;
                // Discards the connections that the operating system accepted while the machine was
                // unreachable.
                while timeout(STALE_CONNECTION_WINDOW, listener.accept()).await.is_ok() {}
            }
            let stopped =
                |endpoint: &EndpointState| endpoint.condition.process_down || self.has_moved(endpoint);
            let accepted = tokio::select! {
                biased;
                () = self.wait_for_state(|endpoint| must_stay_silent(&self.world, endpoint)) => continue,
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

    /// Closes the listener while the endpoint's process is down, so that connections are refused, and opens
    /// it again.
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

    /// Serves the calls on a connection sequentially.
    async fn serve(&self, mut http: HttpConnection) {
        let closed = |endpoint: &EndpointState| {
            endpoint.condition.process_down || endpoint.address_generation > self.generation + 1
        };
        loop {
            let next = tokio::select! {
                biased;
                () = self.wait_for_state(closed) => return,
                () = self.wait_for_state(|endpoint| must_stay_silent(&self.world, endpoint)) => {
                    // The connection does not survive the machine being unreachable.
                    self.wait_for_state(|endpoint| !must_stay_silent(&self.world, endpoint)).await;
                    return;
                }
                next = timeout(Duration::from_micros(IDLE_TIMEOUT_US), http.read(false)) => next,
            };
            let Ok(Ok(Some(message))) = next else { return };
            let repetition = self.world.endpoints.borrow()[self.endpoint].condition.repetition;
            self.world.repeat_answer(&mut http, repetition, RepeatTrigger::NextRequest);
            let Some(call) = Call::read(&self.world, self.endpoint, self.sender, &message) else {
                let _ = http.write(&answer("400 Bad Request", "", "")).await;
                return;
            };
            let Some(reusable) = call.serve(&self.world, http).await else { return };
            http = reusable;
        }
    }
}
