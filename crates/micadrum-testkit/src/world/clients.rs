//! The clients: gantry, billing and account programs that submit messages to the senders over HTTP.
use super::World;
use super::messages::{MessageOutcome, SubmittedMessage};
use super::request_cuts::RequestCut;
use crate::http::HttpConnection;
use crate::observation::{Micros, Observation, SubmissionAnswer};
use crate::plan::{Arrival, SeededRng, TENANTS};
use crate::test_network::Host;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The longest time that a client waits for a connection or an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest time from the last byte of a request to the close of its connection that it may have crossed.
const MAX_CROSSING: Duration = Duration::from_millis(30);
const MAX_RETRIES: usize = 2;
/// The shortest time to its deadline with which a client submits a message.
const MIN_REMAINING_US: Micros = 500_000;
/// Bounds of the delay before a retry.
const MIN_RETRY_DELAY_SECONDS: f64 = 0.1;
const MAX_RETRY_DELAY_SECONDS: f64 = 0.6;
/// Bounds of the delay before a client resubmits a message after its sender's machine was lost.
const MIN_LOSS_DETECTION_SECONDS: f64 = 0.36;
const MAX_LOSS_DETECTION_SECONDS: f64 = 1.9;
/// The share of messages that are submitted a second time under the same id, regardless of their outcome.
const DUPLICATE_SHARE: f64 = 0.01;
/// Bounds of the delay before a duplicate is submitted.
const MIN_DUPLICATE_DELAY_SECONDS: f64 = 0.05;
const MAX_DUPLICATE_DELAY_SECONDS: f64 = 12.0;
/// The number of idle connections that the clients keep open to each sender.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The state that all clients share.
struct Clients {
    /// The idle connections, by sender.
    idle: RefCell<BTreeMap<u32, Vec<HttpConnection>>>,
    /// Locks that allow one submission at a time for each vehicle, by vehicle.
    vehicle_locks: RefCell<BTreeMap<u32, Rc<Mutex<()>>>>,
}

/// Submits all messages of the plan, each at its scheduled time.
pub(super) async fn submit_all(world: &Rc<World>, started_at: Micros) {
    let clients = Rc::new(Clients { idle: RefCell::default(), vehicle_locks: RefCell::default() });
    let plan = world.plan.clone();
    for arrival in plan.arrivals() {
        world.wait_until(started_at + arrival.at.0).await;
        let (world, clients) = (world.clone(), clients.clone());
        spawn_local(async move { Operation::new(&world, &clients, arrival).run().await });
    }
}

/// What a client declares in `X-Resent` about the earlier message when it submits an operation again.
#[derive(Clone, Copy)]
enum Resubmission {
    /// The earlier message was not executed.
    NotExecuted,
    /// The earlier message may have been executed.
    Uncertain,
}

impl Resubmission {
    fn header_value(self) -> &'static str {
        match self {
            Self::NotExecuted => "1",
            Self::Uncertain => "again",
        }
    }
}

/// The response to a submission, and the channel that receives the outcome of the message.
struct Submission {
    response: SubmissionAnswer,
    outcome: oneshot::Receiver<MessageOutcome>,
}

/// An operation of a client, which may be submitted several times.
struct Operation<'a> {
    world: &'a Rc<World>,
    clients: &'a Clients,
    arrival: Arrival,
    random: SeededRng,
    started_at: Micros,
    body: Rc<[u8]>,
}

impl<'a> Operation<'a> {
    fn new(world: &'a Rc<World>, clients: &'a Clients, arrival: Arrival) -> Self {
        let random = SeededRng::new(world.plan.seed, &format!("operation {}", arrival.number));
        let mut body = format!("{:016x}", arrival.number).into_bytes();
        body.resize(arrival.body, b'.');
        let started_at = world.now();
        world.recorder().operation_submitted(&arrival, started_at);
        Self { world, clients, arrival, random, started_at, body: body.into() }
    }

    async fn run(mut self) {
        let vehicle_lock = self.arrival.vehicle.map(|vehicle| self.clients.vehicle_lock(vehicle));
        let mut resubmission = None;
        for _ in 0..=MAX_RETRIES {
            let Some(submission) = self.submit_in_order(vehicle_lock.as_deref(), resubmission).await else {
                break;
            };
            resubmission = self.wait_for_retry(submission).await;
            if resubmission.is_none() {
                break;
            }
        }
        drop(vehicle_lock);
        if let Some(vehicle) = self.arrival.vehicle {
            self.clients.release_vehicle_lock(vehicle);
        }
    }

    /// Submits the operation while no other operation of its vehicle is being submitted. Returns `None` if
    /// too little time is left.
    async fn submit_in_order(
        &mut self,
        vehicle_lock: Option<&Mutex<()>>,
        resubmission: Option<Resubmission>,
    ) -> Option<Submission> {
        let _guard = match vehicle_lock {
            Some(lock) => Some(lock.lock().await),
            None => None,
        };
        let deadline = self.started_at + self.arrival.class.deadline().0;
        let remaining = deadline.saturating_sub(self.world.now());
        if remaining < MIN_REMAINING_US {
            return None;
        }
        Some(self.submit(remaining, resubmission).await)
    }

    /// Waits until the operation may be submitted again. Returns `None` if it must not be.
    async fn wait_for_retry(&mut self, submission: Submission) -> Option<Resubmission> {
        match submission.response {
            SubmissionAnswer::Accepted => self.wait_for_outcome(submission.outcome).await,
            SubmissionAnswer::Rejected => {
                sleep(self.retry_delay()).await;
                Some(Resubmission::NotExecuted)
            }
            SubmissionAnswer::TimedOut | SubmissionAnswer::ConnectionClosed => {
                sleep(self.retry_delay()).await;
                Some(Resubmission::Uncertain)
            }
            SubmissionAnswer::Failed => None,
        }
    }

    async fn wait_for_outcome(&mut self, outcome: oneshot::Receiver<MessageOutcome>) -> Option<Resubmission> {
        match outcome.await {
            Ok(MessageOutcome::Returned(retry_after)) => {
                sleep(retry_after.unwrap_or_default().max(self.retry_delay())).await;
                Some(Resubmission::NotExecuted)
            }
            Ok(MessageOutcome::Lost) => {
                let delay = self.random.between(MIN_LOSS_DETECTION_SECONDS, MAX_LOSS_DETECTION_SECONDS);
                sleep(Duration::from_secs_f64(delay)).await;
                Some(Resubmission::Uncertain)
            }
            Ok(MessageOutcome::Delivered | MessageOutcome::Failed) | Err(_) => None,
        }
    }

    fn retry_delay(&mut self) -> Duration {
        let delay = self.random.between(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS);
        Duration::from_secs_f64(delay)
    }

    /// Submits the operation once, as a message with a new random id.
    async fn submit(&mut self, remaining: Micros, resubmission: Option<Resubmission>) -> Submission {
        let id = self.random.id();
        let has_duplicate = self.random.chance(DUPLICATE_SHARE);
        let duplicate_delay = self.random.between(MIN_DUPLICATE_DELAY_SECONDS, MAX_DUPLICATE_DELAY_SECONDS);
        let number = self.random.number();
        let (listener, outcome) = oneshot::channel();
        let number = self.arrival.vehicle.map_or(number, u64::from);
        let Some(sender) = self.world.select_sender(number) else {
            return Submission { response: SubmissionAnswer::Rejected, outcome };
        };
        let request = self.request_bytes(&id, remaining, resubmission);
        let now = self.world.now();
        self.world.messages.borrow_mut().add(now, id.clone(), self.message(sender, listener));
        let Some(connection) = self.clients.connection(self.world, sender).await else {
            return Submission { response: SubmissionAnswer::Rejected, outcome };
        };
        let submitted = || self.submitted(&id, sender, now + remaining);
        self.world.observe(submitted());
        let cut = self.world.draw_request_cut(sender, &id, request.len());
        let response = self.send_with_retry(sender, connection, &request, cut).await;
        self.world.observe(Observation::Answered { id: id.clone(), answer: response });
        if has_duplicate && response == SubmissionAnswer::Accepted {
            let delay = Duration::from_secs_f64(duplicate_delay);
            schedule_duplicate(self.world.clone(), sender, delay, request, submitted());
        }
        Submission { response, outcome }
    }

    fn message(&self, sender: u32, listener: oneshot::Sender<MessageOutcome>) -> SubmittedMessage {
        SubmittedMessage {
            class: self.arrival.class,
            key: self.arrival.key.clone(),
            destination: self.arrival.destination,
            body: self.body.clone(),
            sender,
            attempted: false,
            outcome_listener: Some(listener),
        }
    }

    fn submitted(&self, id: &str, sender: u32, deadline: Micros) -> Observation {
        Observation::Submitted {
            id: id.to_owned(),
            operation: self.arrival.number,
            sender,
            class: self.arrival.class,
            vehicle: self.arrival.vehicle,
            deadline,
        }
    }

    fn request_bytes(&self, id: &str, remaining: Micros, resubmission: Option<Resubmission>) -> Vec<u8> {
        let arrival = &self.arrival;
        let mut head = format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Org: {}\r\n\
             X-Remaining: {:.6}\r\nIdempotency-Key: {}\r\nX-Envelope: dest={}\r\nContent-Length: {}\r\n",
            arrival.class.name(),
            TENANTS[arrival.tenant].0,
            remaining as f64 / 1e6,
            arrival.key,
            arrival.destination,
            self.body.len(),
        );
        if let Some(vehicle) = arrival.vehicle {
            head.push_str(&format!("X-Entity: {vehicle:016x}\r\n"));
        }
        if let Some(resubmission) = resubmission {
            head.push_str(&format!("X-Resent: {}\r\n", resubmission.header_value()));
        }
        let mut request = head.into_bytes();
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(&self.body);
        request
    }

    /// Sends a request, in two pieces if `cut` says so, and retries it whole on a new connection if the
    /// connection was closed before the sender can have answered.
    async fn send_with_retry(
        &self,
        sender: u32,
        mut connection: ClientConnection,
        request: &[u8],
        cut: Option<RequestCut>,
    ) -> SubmissionAnswer {
        let mut exchange = self.send(sender, &mut connection, request, cut).await;
        let may_send_again = match exchange {
            Exchange::Ended(_) => false,
            Exchange::ClosedBeforeEnd => true,
            // A sender that is running may close a connection only between requests.
            Exchange::Crossed => connection.is_reused || !self.world.senders[sender as usize].is_accepting(),
        };
        if may_send_again && let Some(new) = self.clients.new_connection(self.world, sender).await {
            connection = new;
            exchange = self.send(sender, &mut connection, request, None).await;
        }
        self.clients.release(sender, connection);
        match exchange {
            Exchange::Ended(answer) => answer,
            // A request that was not written completely cannot have been accepted.
            Exchange::ClosedBeforeEnd => SubmissionAnswer::Rejected,
            // A sender that is shutting down may close a connection on which it has read nothing, and refuse
            // the new one: the outcome is unknown, as after a timeout.
            Exchange::Crossed if !self.world.senders[sender as usize].is_accepting() => {
                SubmissionAnswer::TimedOut
            }
            Exchange::Crossed => SubmissionAnswer::ConnectionClosed,
        }
    }

    async fn send(
        &self,
        sender: u32,
        connection: &mut ClientConnection,
        request: &[u8],
        cut: Option<RequestCut>,
    ) -> Exchange {
        let http = &mut connection.http;
        connection.is_reusable = false;
        let mut rest = request;
        if let Some(RequestCut { first_bytes, pause }) = cut {
            let (first, second) = request.split_at(first_bytes);
            rest = second;
            if http.write(first).await.is_err() {
                return Exchange::ClosedBeforeEnd;
            }
            // The sender may answer or close before it has the whole request.
            match timeout(pause, http.read(true)).await {
                Err(_) => {}
                Ok(Ok(Some(answer))) => return Exchange::Ended(submission_answer(answer.status)),
                Ok(_) => return Exchange::ClosedBeforeEnd,
            }
        }
        let written_at = Instant::now();
        let exchange = async {
            http.write(rest).await.ok()?;
            http.read(true).await.ok().flatten()
        };
        let answer = match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Some(answer)) => answer,
            Ok(None) if written_at.elapsed() < MAX_CROSSING => return Exchange::Crossed,
            Ok(None) => return Exchange::Ended(SubmissionAnswer::ConnectionClosed),
            Err(_) => return Exchange::Ended(SubmissionAnswer::TimedOut),
        };
        let is_accepting = self.world.senders[sender as usize].is_accepting();
        connection.is_reusable = answer.field("connection") != Some("close") && is_accepting;
        Exchange::Ended(submission_answer(answer.status))
    }
}

/// How an attempt to submit a message on one connection ended.
enum Exchange {
    /// With an answer, or without one in a way that does not permit to send the request again.
    Ended(SubmissionAnswer),
    /// The sender closed the connection before the request was written completely.
    ClosedBeforeEnd,
    /// The connection closed so soon after the last byte that the two may have crossed.
    Crossed,
}

/// Returns what an answer with this status code means.
fn submission_answer(status: u16) -> SubmissionAnswer {
    match status {
        200 | 202 => SubmissionAnswer::Accepted,
        429 | 503 => SubmissionAnswer::Rejected,
        _ => SubmissionAnswer::Failed,
    }
}

/// Submits the same message under the same id once more after a delay, as a restarted client does, unless the
/// sender's machine is lost first. The sender does not have to deliver the message again for it.
fn schedule_duplicate(
    world: Rc<World>,
    sender: u32,
    delay: Duration,
    request: Vec<u8>,
    submitted: Observation,
) {
    let lost_machines = world.senders[sender as usize].lost_machines();
    spawn_local(async move {
        sleep(delay).await;
        if world.senders[sender as usize].lost_machines() == lost_machines {
            submit_duplicate(&world, sender, &request, submitted).await;
        }
    });
}

async fn submit_duplicate(world: &Rc<World>, sender: u32, request: &[u8], submitted: Observation) {
    let Observation::Submitted { deadline, .. } = submitted else { return };
    let Some(address) = world.senders[sender as usize].address() else { return };
    if world.now() + MIN_REMAINING_US > deadline {
        return;
    }
    let connected = timeout(REQUEST_TIMEOUT, world.network.connect(Host::Sender(sender), address)).await;
    let Ok(Ok(connection)) = connected else { return };
    let mut http = HttpConnection::new(connection);
    world.observe(submitted);
    if http.write(request).await.is_ok() {
        let _ = timeout(REQUEST_TIMEOUT, http.read(true)).await;
    }
}

/// A client's connection to a sender.
struct ClientConnection {
    http: HttpConnection,
    is_reused: bool,
    is_reusable: bool,
}

impl Clients {
    fn vehicle_lock(&self, vehicle: u32) -> Rc<Mutex<()>> {
        self.vehicle_locks.borrow_mut().entry(vehicle).or_default().clone()
    }

    /// Removes the lock of a vehicle if no operation uses it.
    fn release_vehicle_lock(&self, vehicle: u32) {
        let mut locks = self.vehicle_locks.borrow_mut();
        if locks.get(&vehicle).is_some_and(|lock| Rc::strong_count(lock) == 1) {
            locks.remove(&vehicle);
        }
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn connection(&self, world: &World, sender: u32) -> Option<ClientConnection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&sender).and_then(Vec::pop);
            let Some(mut http) = idle else { return self.new_connection(world, sender).await };
            if !http.is_closed().await {
                return Some(ClientConnection { http, is_reused: true, is_reusable: false });
            }
        }
    }

    async fn new_connection(&self, world: &World, sender: u32) -> Option<ClientConnection> {
        let address = world.senders[sender as usize].address()?;
        let connecting = world.network.connect(Host::Sender(sender), address);
        let connection = timeout(REQUEST_TIMEOUT, connecting).await.ok()?.ok()?;
        let http = HttpConnection::new(connection);
        Some(ClientConnection { http, is_reused: false, is_reusable: false })
    }

    /// Keeps a connection for reuse, if it is reusable and the sender has fewer than the maximum of idle
    /// connections.
    fn release(&self, sender: u32, connection: ClientConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(sender).or_default();
        if connection.is_reusable && connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection.http);
        }
    }
}
