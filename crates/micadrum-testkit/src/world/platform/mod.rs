//! The platform, which has an agent on each sender's machine that serves discovery and accepts notifications.
mod agent;

pub(super) use agent::deliver_current_list;
pub use agent::{Agent, ListedEndpoint};

use super::World;
use super::messages::MessageOutcome;
use crate::http::{HttpConnection, Message, answer};
use crate::observation::{Micros, Observation};
use crate::plan::{MAX_POLL_INTERVAL, SeededRng};
use crate::scenario::{Discovery, RepeatTrigger};
use crate::test_network::{Host, TestConnection};
use agent::{AGENT_PORT, record_delivered_list};
use serde::Deserialize;
use serde_json::json;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The longest time from an answer to the next request within which a watch counts as uninterrupted.
const WATCH_GAP_US: Micros = 200_000;
/// The time after which a watching sender counts as informed of a list that its agent has received.
const WATCH_DELIVERY_DELAY: Duration = Duration::from_millis(250);
/// The time after which a sender counts as informed by an agent that has moved.
const AGENT_MOVE_GRACE_US: Micros = 4_000_000;
/// The longest time that a request may wait in the queue of discovery; longer waits are rejected.
const MAX_DISCOVERY_QUEUE_US: Micros = 2_000_000;
/// The factor by which a sender may lengthen its polling interval after a failed request.
const FAILED_POLL_FACTOR: Micros = 4;

#[derive(Deserialize)]
struct Notification {
    id: String,
    state: String,
    after_ms: Option<u64>,
}

/// Sends the present endpoint list to all agents, to each after a random delay.
pub(super) fn publish(world: &Rc<World>) {
    let revision = world.revision.get() + 1;
    world.revision.set(revision);
    let list = world.endpoint_list();
    let max_delay_seconds = world.plan.scenario.list_delay.as_secs();
    for sender in 0..world.plan.senders.len() {
        let mut random = SeededRng::new(world.plan.seed, &format!("list {revision} {sender}"));
        let delay = Duration::from_secs_f64(random.between(0.0, max_delay_seconds)) + world.list_lag.get();
        spawn_local(deliver_to_agent(world.clone(), sender as u32, revision, list.clone(), delay));
    }
}

async fn deliver_to_agent(
    world: Rc<World>,
    sender: u32,
    revision: u64,
    list: Vec<ListedEndpoint>,
    delay: Duration,
) {
    let agent = &world.agents[sender as usize];
    sleep(delay).await;
    // `silent_until` may be extended during the wait.
    while agent.silent_until.get() > world.now() {
        world.wait_until(agent.silent_until.get()).await;
    }
    agent.receive(revision, list.clone());
    wait_until_informed(&world, sender, revision).await;
    record_delivered_list(&world, sender, revision, &list);
}

/// Waits until the sender counts as informed of a revision that its agent has received, which depends on the
/// discovery mode of the scenario.
async fn wait_until_informed(world: &World, sender: u32, revision: u64) {
    let agent = &world.agents[sender as usize];
    match world.plan.scenario.discovery {
        Discovery::Pushed => {
            sleep(WATCH_DELIVERY_DELAY).await;
            while agent.not_informed_before.get() > world.now() {
                world.wait_until(agent.not_informed_before.get()).await;
            }
        }
        Discovery::OnRequest => wait_until_poll_due(world, agent, revision).await,
    }
}

/// Waits until a revision has been delivered to the sender, or until the sender's next poll is overdue.
async fn wait_until_poll_due(world: &World, agent: &Agent, revision: u64) {
    let listed_at = world.now();
    while agent.delivered_revision.get() < revision {
        let factor = if agent.last_request_failed.get() { FAILED_POLL_FACTOR } else { 1 };
        let due = listed_at.max(agent.last_request_at.get()) + factor * MAX_POLL_INTERVAL.0;
        if world.now() >= due && agent.pending_watches.get() == 0 {
            break;
        }
        world.wait_until(due.max(world.now() + WATCH_GAP_US)).await;
    }
}

/// Moves a sender's agent to another address, where its revisions start again at 1, and reloads the sender's
/// configuration with that address.
///
/// # Errors
/// Returns an error if the agent cannot listen at the new address.
pub(super) async fn move_agent(world: &Rc<World>, sender: u32) -> io::Result<()> {
    let agent = &world.agents[sender as usize];
    let generation = agent.address_generation.get() + 1;
    let listener = world.network.listen(Host::Sender(sender), AGENT_PORT + generation).await?;
    agent.address_generation.set(generation);
    agent.revision_base.set(agent.received.borrow().revision - 1);
    agent.not_informed_before.set(world.now() + AGENT_MOVE_GRACE_US);
    agent.address.set(listener.address());
    *agent.listener.borrow_mut() = Some(listener);
    serve(world, sender);
    // Ends the requests that wait at the old address.
    agent.changed.notify_waiters();
    let seed_text = format!("sender {sender} at agent {generation}");
    let seed = SeededRng::new(world.plan.seed, &seed_text).number();
    world.fleet.reload(sender, world.config(sender, world.fleet.listen_address(sender), seed));
    Ok(())
}

/// Spawns a task that serves a sender's agent at its present address.
pub(super) fn serve(world: &Rc<World>, sender: u32) {
    let agent = &world.agents[sender as usize];
    let Some(listener) = agent.listener.borrow_mut().take() else { return };
    let generation = agent.address_generation.get();
    let world = world.clone();
    spawn_local(async move {
        while let Ok(connection) = listener.accept().await {
            spawn_local(serve_connection(world.clone(), sender, generation, connection));
        }
    });
}

async fn serve_connection(
    world: Rc<World>,
    sender: u32,
    generation: u16,
    connection: Box<dyn TestConnection>,
) {
    let agent = &world.agents[sender as usize];
    let mut http = HttpConnection::new(connection);
    while let Ok(Some(message)) = http.read(false).await {
        world.repeat_answer(&mut http, agent.repetition.get(), RepeatTrigger::NextRequest);
        let answer = answer_request(&world, sender, &message).await;
        let is_current = agent.address_generation.get() == generation;
        let Some(text) = answer.filter(|_| is_current) else { return };
        if http.write_answer(text).await.is_err() {
            return;
        }
        world.repeat_answer(&mut http, agent.repetition.get(), RepeatTrigger::Answer);
    }
}

/// Returns the answer to a request to the agent, or `None` if the agent closes the connection instead.
async fn answer_request(world: &Rc<World>, sender: u32, message: &Message) -> Option<Vec<u8>> {
    let agent = &world.agents[sender as usize];
    if message.path == "/v1/notices" {
        if agent.notifications_ignored_until.get() > world.now() {
            return None;
        }
        return Some(accept_notifications(world, sender, &message.body));
    }
    if agent.silent_until.get() > world.now() {
        world.wait_until(agent.silent_until.get()).await;
        return None;
    }
    sleep(agent.answer_delay.get()).await;
    let process = agent.process_generation.get();
    agent.last_request_at.set(world.now());
    match wait_in_discovery_queue(world, agent, process).await {
        QueueExit::Served => agent.last_request_failed.set(false),
        QueueExit::Rejected => return Some(answer("503 Service Unavailable", "", "")),
        QueueExit::Abandoned => return None,
    }
    if let Some(watch) = Watch::parse(&message.path) {
        match wait_for_change(world, agent, &watch, process).await {
            WatchEnd::Changed => {}
            WatchEnd::TimedOut => return Some(unchanged_list(watch.revision)),
            WatchEnd::Abandoned => return None,
        }
    }
    // The answer contains the complete list, so an endpoint that is missing from it no longer serves.
    agent.last_answer_at.set(world.now());
    let list = agent.snapshot(sender);
    deliver_current_list(world, sender);
    Some(answer("200 OK", "", &list.to_string()))
}

/// The result of waiting in the queue of discovery.
enum QueueExit {
    Served,
    Rejected,
    /// The process that sent the request has ended.
    Abandoned,
}

/// Waits until discovery serves a request. The scenario may limit its requests per second, but the next
/// request of an uninterrupted watch is served at once.
async fn wait_in_discovery_queue(world: &World, agent: &Agent, process: u32) -> QueueExit {
    let last_answer_at = agent.last_answer_at.get();
    let continues = last_answer_at > 0 && world.now() < last_answer_at + WATCH_GAP_US;
    let (Some(requests_per_second), false) = (world.plan.scenario.discovery_capacity, continues) else {
        return QueueExit::Served;
    };
    let service_us = (1e6 / requests_per_second.0) as Micros;
    let served_at = world.discovery_idle_at.get().max(world.now()) + service_us;
    if served_at > world.now() + MAX_DISCOVERY_QUEUE_US {
        agent.last_request_failed.set(true);
        world.wait_until(world.now() + MAX_DISCOVERY_QUEUE_US).await;
        return QueueExit::Rejected;
    }
    world.discovery_idle_at.set(served_at);
    world.wait_until(served_at).await;
    if agent.process_generation.get() == process { QueueExit::Served } else { QueueExit::Abandoned }
}

/// The parameters of a request that waits for a later revision.
struct Watch {
    revision: u64,
    max_wait: Duration,
}

impl Watch {
    fn parse(path: &str) -> Option<Self> {
        let (_, query) = path.split_once('?')?;
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        Some(Self { revision: number("from")?, max_wait: Duration::from_millis(number("hold_ms")?) })
    }
}

/// The result of a watch.
enum WatchEnd {
    Changed,
    TimedOut,
    /// The process that watched has ended, or the agent has moved.
    Abandoned,
}

async fn wait_for_change(world: &World, agent: &Agent, watch: &Watch, process: u32) -> WatchEnd {
    let generation = agent.address_generation.get();
    let has_moved = || agent.address_generation.get() != generation;
    let change = async {
        loop {
            let changed = agent.changed.notified();
            if agent.has_later_revision(watch.revision) || has_moved() {
                return;
            }
            changed.await;
        }
    };
    agent.pending_watches.set(agent.pending_watches.get() + 1);
    let waited = timeout(watch.max_wait, change).await;
    if agent.process_generation.get() != process {
        return WatchEnd::Abandoned;
    }
    agent.pending_watches.set(agent.pending_watches.get().saturating_sub(1));
    agent.last_answer_at.set(world.now());
    agent.last_request_at.set(world.now());
    match waited {
        _ if has_moved() => WatchEnd::Abandoned,
        Ok(()) => WatchEnd::Changed,
        Err(_) => WatchEnd::TimedOut,
    }
}

fn unchanged_list(revision: u64) -> Vec<u8> {
    let list = json!({"revision": revision, "complete": false, "members": []});
    answer("200 OK", "", &list.to_string())
}

fn accept_notifications(world: &World, sender: u32, body: &[u8]) -> Vec<u8> {
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let notifications: Option<Vec<Notification>> =
        lines.map(|line| serde_json::from_slice(line).ok()).collect();
    let Some(notifications) = notifications else { return answer("400 Bad Request", "", "") };
    for notification in notifications {
        accept_notification(world, sender, &notification);
    }
    b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
}

fn accept_notification(world: &World, sender: u32, notification: &Notification) {
    let returned = notification.state == "returned";
    let mut messages = world.messages.borrow_mut();
    // A sender may only send notifications of messages that were submitted to it.
    let id = match messages.get(&notification.id) {
        Some(message) if message.sender == sender => notification.id.clone(),
        _ => format!("{} (not submitted to this sender)", notification.id),
    };
    world.observe(Observation::Notified { id, returned });
    let retry_after = notification.after_ms.map(Duration::from_millis);
    let outcome = if returned { MessageOutcome::Returned(retry_after) } else { MessageOutcome::Failed };
    messages.complete(&notification.id, outcome);
}
