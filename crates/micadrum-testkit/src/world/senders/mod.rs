//! The senders under test: starts and supervises their processes, and selects the sender of each client
//! request as a load balancer does.
mod fleet;
mod supervisor;

pub use fleet::{Fleet, Links, LogSink, OperatorFile, ProcessExit, SyncBehavior};

use super::request_cuts::RequestCuts;
use super::{World, platform};
use crate::history::HistoryEvent;
use crate::http::HttpConnection;
use crate::observation::{Micros, Observation};
use crate::plan::SeededRng;
use crate::scenario::{FolderContent, StopMethod, WritePoint};
use crate::test_network::Host;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use supervisor::{SenderCommand, supervise};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The longest time for a process to become ready; a slower start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(25);
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// How a machine recovers from a power loss.
#[derive(Clone, Copy)]
pub(super) struct PowerRecovery {
    /// How long the machine stays off, or `None` if it never comes back.
    pub downtime: Option<Duration>,
    /// The offset of the machine's clock afterwards, in microseconds.
    pub clock_offset_us: i64,
}

/// The state of a sender as the clients and the load balancer see it.
#[derive(Default)]
pub struct SenderState {
    address: Cell<Option<SocketAddr>>,
    lost_machines: Cell<u32>,
    is_accepting: Cell<bool>,
    /// The time since which the sender has been down, or `None` while it runs.
    down_since: Cell<Option<Micros>>,
    /// How its clients cut their requests at present.
    pub(super) request_cuts: Cell<Option<RequestCuts>>,
    commands: RefCell<Option<UnboundedSender<SenderCommand>>>,
}

impl SenderState {
    /// Returns whether the sender is ready and not shutting down.
    pub(super) fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Returns the number of times that the sender has lost its machine and the messages on it.
    pub(super) fn lost_machines(&self) -> u32 {
        self.lost_machines.get()
    }

    /// Returns the sender's address for clients, or `None` before it was first ready.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    fn send(&self, command: SenderCommand) {
        if let Some(commands) = &*self.commands.borrow() {
            let _ = commands.send(command);
        }
    }
}

impl World {
    /// Returns the sender that the load balancer selects for a client, or `None` if all are known to be down.
    /// The first choice is `number` modulo the number of senders, followed by the senders after it.
    pub(super) fn select_sender(&self, number: u64) -> Option<u32> {
        let detection_delay = self.plan.scenario.balancer_failover_delay.0;
        let count = self.senders.len() as u64;
        (0..count).map(|offset| ((number + offset) % count) as u32).find(|sender| {
            let down_since = self.senders[*sender as usize].down_since.get();
            down_since.is_none_or(|since| self.now() < since + detection_delay)
        })
    }

    /// Stops a sender and starts it again after `down`, with its state folder as `folder` specifies.
    pub(super) fn restart(&self, sender: u32, how: StopMethod, down: Duration, folder: FolderContent) {
        self.senders[sender as usize].send(SenderCommand::Restart { how, down, folder });
    }

    /// Cuts the power of a sender's machine, which then recovers as `recovery` specifies.
    pub(super) fn lose_power(&self, sender: u32, recovery: PowerRecovery, folder: FolderContent) {
        self.senders[sender as usize].send(SenderCommand::LosePower { recovery, folder });
    }

    /// Kills a sender at the `nth` write to its journal, and starts it again after `down`.
    pub(super) fn kill_at_write(&self, sender: u32, nth: u64, place: WritePoint, down: Duration) {
        self.senders[sender as usize].send(SenderCommand::KillAtWrite { nth, place, down });
    }
}

/// Starts all senders one after another, each once the previous one is ready, and spawns their supervisors.
///
/// # Errors
/// Returns an error if a sender does not start.
pub(super) async fn start_all(world: &Rc<World>) -> io::Result<()> {
    for sender in 0..world.senders.len() as u32 {
        start(world, sender, 0).await?;
        let (commands, receiver) = unbounded_channel();
        *world.senders[sender as usize].commands.borrow_mut() = Some(commands);
        spawn_local(supervise(world.clone(), sender, receiver));
    }
    Ok(())
}

/// Starts a sender that has been restarted `restarts` times, this start included.
async fn start(world: &Rc<World>, sender: u32, restarts: u64) -> io::Result<()> {
    let seed = SeededRng::new(world.plan.seed, &format!("sender {sender} {restarts}")).number();
    let config = world.config(sender, world.fleet.listen_address(sender), seed);
    // The configuration contains the agent's present endpoint list.
    platform::deliver_current_list(world, sender);
    world.agents[sender as usize].reset_for_process(world.now());
    let started = timeout(START_TIMEOUT, start_until_ready(world, sender, config)).await;
    let address = started
        .map_err(|_| io::Error::other(format!("sender {sender} was not ready within {START_TIMEOUT:?}")))??;
    // The supervisor handles a process that exited before it was ready.
    let Some(address) = address else { return Ok(()) };
    let state = &world.senders[sender as usize];
    state.address.set(Some(address));
    state.is_accepting.set(true);
    state.down_since.set(None);
    world.observe(Observation::Ready { sender });
    if restarts == 0 {
        world.fleet.save_state_folder(sender);
    }
    Ok(())
}

/// Starts a process and waits until it is ready. Returns its address, or `None` if the process exits before.
async fn start_until_ready(
    world: &Rc<World>,
    sender: u32,
    config: serde_json::Value,
) -> io::Result<Option<SocketAddr>> {
    let operator = world.operator_file(sender);
    let recorder = world.clone();
    let log: LogSink = Rc::new(move |line| recorder.record_log_line(sender, line));
    world.record(sender, HistoryEvent::Started);
    let address = world.fleet.start(sender, config, operator, log).await?;
    let ready = async {
        while !is_ready(world, sender, address).await {
            sleep(READINESS_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        biased;
        _ = world.fleet.wait_for_exit(sender) => Ok(None),
        () = ready => Ok(Some(address)),
    }
}

async fn is_ready(world: &World, sender: u32, address: SocketAddr) -> bool {
    let poll = async {
        let connection = world.network.connect(Host::Sender(sender), address).await.ok()?;
        let mut http = HttpConnection::new(connection);
        let request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        http.write(request).await.ok()?;
        http.read(true).await.ok().flatten()
    };
    matches!(timeout(READINESS_TIMEOUT, poll).await, Ok(Some(answer)) if answer.status == 200)
}
