//! One call to an endpoint: what is sent, and what the response means as an [`Outcome`] for each message.
mod batch;
mod response;

use super::connection::{CallError, Connection, WrittenCounter, request};
use super::events::{AttemptOutcome, CallCompletion, LoopEvent};
use super::local_failure::is_local;
use super::ports::{Log, Ports};
use crate::{EndpointId, LoadReport, Outcome, TimeDelta};
use batch::BatchResults;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Builder;
use hyper::{Method, Response, StatusCode};
pub use response::ReportFields;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

/// How often the runtime is given a turn to read what has arrived at the very end of a timeout.
const FINAL_YIELDS: usize = 3;
/// How long connecting rests after an error of this machine.
const LOCAL_FAILURE_DELAY: Duration = Duration::from_millis(20);

/// One message of a call.
#[derive(Clone)]
pub struct BatchedMessage {
    pub number: u32,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// A call to an endpoint, with one message or several.
pub struct Call {
    pub number: u64,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub messages: Vec<BatchedMessage>,
    /// When the call is given up.
    pub expires: Instant,
    pub connect_timeout: Duration,
}

/// What a call needs besides itself.
#[derive(Clone)]
pub struct CallContext {
    /// The machine.
    pub ports: Ports,
    /// Which fields load reports have.
    pub report_fields: ReportFields,
    /// Messages that were written completely to endpoints.
    pub written_messages: Arc<AtomicU64>,
    /// Permits for connections whose outcome is known and whose response is not yet read to its end.
    pub unread_responses: Arc<Semaphore>,
    /// The event loop.
    pub events: UnboundedSender<LoopEvent>,
}

/// A response whose head has arrived, and the connection that it comes on.
struct OpenResponse {
    connection: Connection,
    response: Response<Incoming>,
}

impl Call {
    /// Makes the call, on an `idle` connection or a new one. The event loop is told how it ended as soon as that is known;
    /// the connection is returned if it can carry another call.
    pub async fn run(self, idle: Option<Connection>, context: &CallContext) -> Option<Connection> {
        let open = match self.open(idle, context).await {
            Ok(Some(open)) => open,
            Ok(None) => {
                self.complete(context, self.all(Outcome::Deferred, false), None, None);
                return None;
            }
            Err(outcome) => {
                let outcomes = self.all(outcome, outcome == Outcome::Success);
                self.complete(context, outcomes, None, None);
                return None;
            }
        };
        self.finish(open, context).await
    }

    /// Reads the response and reports the outcomes.
    async fn finish(&self, open: OpenResponse, context: &CallContext) -> Option<Connection> {
        let OpenResponse { connection, response } = open;
        let (head, body) = response.into_parts();
        let retry_after = response::retry_after(&head.headers);
        let report = context.report_fields.read(&head.headers);
        if head.status == StatusCode::OK && self.messages.len() == 1 {
            // Delivered, whatever the body holds: it is read only for the sake of the next call.
            self.complete(context, self.all(Outcome::Success, true), retry_after, report);
            let _permit = context.unread_responses.try_acquire().ok()?;
            return response::complete_body(body).await.is_some().then_some(connection);
        }
        // Only a complete response is believed: the operation of one that turns out broken may have run, whatever its
        // head says. The response to a batch is its body, and until then the outcomes are open.
        let received_at = Instant::now();
        let body = timeout_at(self.expires, response::complete_body(body)).await.ok().flatten();
        let outcomes = match &body {
            Some(body) if head.status == StatusCode::OK => {
                self.batch_outcomes(body, retry_after, &*context.ports.log)
            }
            Some(_) => {
                let (outcome, completes) = response::outcome(head.status, &head.headers, retry_after);
                self.all(outcome, completes)
            }
            None => self.all(Outcome::Failure, false),
        };
        self.complete_at(received_at, context, outcomes, retry_after, report);
        body.is_some().then_some(connection)
    }

    /// Sends the request and waits for the head of its response; none if the messages may not be sent any more.
    async fn open(
        &self,
        idle: Option<Connection>,
        context: &CallContext,
    ) -> Result<Option<OpenResponse>, Outcome> {
        if let Some(mut connection) = idle
            && connection.is_alive().await
        {
            match self.send(&mut connection, context).await {
                // It went stale: with no byte of the request written, a new connection carries the first copy.
                Err(Outcome::ConnectFailed) if !connection.has_request_started() => {}
                response => return response.map(|response| Some(OpenResponse { connection, response })),
            }
        }
        let Some(mut connection) = self.connect(context).await? else { return Ok(None) };
        let response = self.send(&mut connection, context).await?;
        Ok(Some(OpenResponse { connection, response }))
    }

    async fn send(
        &self,
        connection: &mut Connection,
        context: &CallContext,
    ) -> Result<Response<Incoming>, Outcome> {
        let (request, body) = self.request();
        let messages = self.messages.len() as u64;
        let counter = WrittenCounter { total: context.written_messages.clone(), messages };
        let response = {
            let mut sending = pin!(connection.send(request, body, Some(counter)));
            match timeout_at(self.expires, &mut sending).await {
                Ok(response) => Ok(response),
                // What arrived in the very turn in which the time is up has been read by nobody yet, as the connection is
                // driven by a task of its own; and it may hold a Retry-After.
                Err(elapsed) => tokio::select! {
                    biased;
                    response = sending => Ok(response),
                    () = yield_to_others() => Err(elapsed),
                },
            }
        };
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(
                CallError::Connect(_) | CallError::IncompleteRequest(_) | CallError::InvalidRequest(_),
            )) => Err(Outcome::ConnectFailed),
            Ok(Err(CallError::Reset(_))) => Err(Outcome::Reset),
            Ok(Err(CallError::InvalidResponse(status))) => Err(self.invalid_response(status)),
            // The caller drops the connection: what was never written completely then never runs.
            Err(_) if !connection.is_request_written() => Err(Outcome::ConnectFailed),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// The outcome of a response of which only the status line can be read: 200 to a single message is true, and with
    /// anything else the operation may have run.
    fn invalid_response(&self, status: Option<u16>) -> Outcome {
        match (status, self.messages.len()) {
            (Some(200), 1) => Outcome::Success,
            _ => Outcome::Failure,
        }
    }

    /// Opens a connection. An error of this machine says nothing of the endpoint: connecting is tried again as long as it may
    /// take, and the attempt then counts as none.
    async fn open_connection(&self, context: &CallContext) -> Result<Connection, Outcome> {
        let left = self.expires.saturating_duration_since(Instant::now());
        let deadline = Instant::now() + left.min(self.connect_timeout);
        loop {
            let patience = deadline.saturating_duration_since(Instant::now());
            match Connection::open(&*context.ports.network, self.address, patience).await {
                Err(CallError::Connect(error)) if is_local(&error) => {
                    if Instant::now() + LOCAL_FAILURE_DELAY >= deadline {
                        return Err(Outcome::Deferred);
                    }
                    sleep(LOCAL_FAILURE_DELAY).await;
                }
                opened => return opened.map_err(|_| Outcome::ConnectFailed),
            }
        }
    }

    /// Opens a connection for the call; none if its messages may not be sent any more once there is one.
    async fn connect(&self, context: &CallContext) -> Result<Option<Connection>, Outcome> {
        let connection = self.open_connection(context).await?;
        let (is_allowed, allowed) = oneshot::channel();
        let messages = self.messages.iter().map(|message| message.number).collect();
        let connected = LoopEvent::Connected { endpoint: self.endpoint, messages, is_allowed };
        let _ = context.events.send(connected);
        // An event loop that has ended has no more calls to make.
        Ok(allowed.await.unwrap_or(false).then_some(connection))
    }

    fn request(&self) -> (Builder, Bytes) {
        let left = self.expires.saturating_duration_since(Instant::now()).as_secs_f64();
        let path = if self.messages.len() > 1 { "/hook/batch" } else { "/hook" };
        let head = request(Method::POST, path, self.address).header("X-Remaining", format!("{left:.3}"));
        let [message] = &self.messages[..] else {
            return (head.header(CONTENT_TYPE, "application/json"), batch::encode(&self.messages).into());
        };
        let head = head.header("X-Txn", &message.id);
        let head = match &message.idempotency_key {
            Some(key) => head.header("Idempotency-Key", key),
            None => head,
        };
        (head, message.body.clone())
    }

    fn all(&self, outcome: Outcome, completes: bool) -> Vec<AttemptOutcome> {
        let ended = |message: &BatchedMessage| AttemptOutcome { message: message.number, outcome, completes };
        self.messages.iter().map(ended).collect()
    }

    fn batch_outcomes(
        &self,
        body: &[u8],
        retry_after: Option<TimeDelta>,
        log: &dyn Log,
    ) -> Vec<AttemptOutcome> {
        let results = BatchResults::decode(body).unwrap_or_else(|error| {
            log.line(&format!("calls: response to a batch cannot be read error={error}"));
            BatchResults::default()
        });
        let ended = |message: &BatchedMessage| {
            let (outcome, completes) = results.outcome(&message.id, retry_after);
            AttemptOutcome { message: message.number, outcome, completes }
        };
        self.messages.iter().map(ended).collect()
    }

    fn complete(
        &self,
        context: &CallContext,
        outcomes: Vec<AttemptOutcome>,
        retry_after: Option<TimeDelta>,
        report: Option<LoadReport>,
    ) {
        self.complete_at(Instant::now(), context, outcomes, retry_after, report);
    }

    fn complete_at(
        &self,
        completed_at: Instant,
        context: &CallContext,
        outcomes: Vec<AttemptOutcome>,
        retry_after: Option<TimeDelta>,
        report: Option<LoadReport>,
    ) {
        let completion = CallCompletion {
            number: self.number,
            endpoint: self.endpoint,
            completed_at,
            outcomes,
            retry_after,
            report,
        };
        let _ = context.events.send(LoopEvent::CallCompleted(completion));
    }
}

/// Lets all other tasks do what they can do by now: read, and pass on what was read.
async fn yield_to_others() {
    for _ in 0..FINAL_YIELDS {
        yield_now().await;
    }
}
