//! A call to an endpoint: sends the request, and maps the response to an [`Outcome`] for each message.
mod batch;
mod response;

use super::answer_trust::{AnswerTrust, Attribution, CONFIRMATION_PERIOD, ReceivedAnswer};
use super::connection::{CallError, Connection, WrittenCounter, request};
use super::connection_pool::TakenConnection;
use super::endpoint_connection::EndpointConnection;
use super::events::{AttemptOutcome, CallCompletion, LoopEvent, UnsolicitedResponse};
use super::local_failure::is_local;
use super::ports::{Log, Ports};
use super::request_trace::{CloseReason, RequestTrace, TracedMessage};
use crate::{EndpointId, LoadReport, Outcome, TimeDelta};
use batch::BatchResults;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Builder;
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
pub use response::ReportFields;
use response::UnsolicitedHead;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How often a call yields to other tasks after its timeout, so that they read data that has already arrived.
const TIMEOUT_YIELDS: usize = 3;
/// Delay before connecting is retried after an error of the local machine.
const LOCAL_FAILURE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A message of a call, alone or in a batch.
#[derive(Clone)]
pub struct BatchedMessage {
    pub number: u32,
    pub id: String,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

impl BatchedMessage {
    fn traced(&self) -> TracedMessage<'_> {
        TracedMessage { id: &self.id, attempt: self.attempt }
    }
}

/// A call to an endpoint with one or more messages.
pub struct Call {
    pub number: u64,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub messages: Vec<BatchedMessage>,
    /// When the call began.
    pub started: Instant,
    /// When the call times out.
    pub expires: Instant,
    pub connect_timeout: Duration,
}

/// The state that all calls share.
#[derive(Clone)]
pub struct CallContext {
    /// The interfaces to the network, the log and the rest of the machine.
    pub ports: Ports,
    /// The fields that load reports contain.
    pub report_fields: ReportFields,
    /// The number of messages in requests that were written completely.
    pub written_messages: Arc<AtomicU64>,
    /// Permits to read the rest of a response after the outcome of its call is known.
    pub unread_responses: Arc<Semaphore>,
    /// What is known about the attribution of answers, shared by all calls.
    pub trust: Rc<RefCell<AnswerTrust>>,
    /// The trace of requests, connections and refusals.
    pub trace: RequestTrace,
    /// The channel to the event loop.
    pub events: UnboundedSender<LoopEvent>,
}

/// A response whose head has arrived, and its connection.
struct OpenResponse {
    connection: EndpointConnection,
    response: Response<Incoming>,
    received_at: Instant,
}

/// An exchange without a valid response head. Its connection is closed.
struct FailedExchange {
    outcome: Outcome,
    /// Whether any byte of the request was written.
    has_started: bool,
}

impl Call {
    /// Makes the call on the `idle` connection or on a new one. Sends the outcomes to the event loop as soon
    /// as they are known, and returns the connection if it can be reused.
    pub async fn run(
        self,
        idle: Option<TakenConnection<EndpointConnection>>,
        context: &CallContext,
    ) -> Option<EndpointConnection> {
        let open = match self.open(idle, context).await {
            Ok(Some(open)) => open,
            Ok(None) => {
                self.withdraw(context);
                return None;
            }
            Err(outcome) => {
                let outcomes = self.same_outcome_for_all(outcome, outcome == Outcome::Success);
                self.complete(context, outcomes, None, None);
                return None;
            }
        };
        let answer = self.received_answer(&open.connection);
        let attribution = context.trust.borrow().attribute(&answer, Instant::now());
        match attribution {
            Attribution::Certain => {
                context.trust.borrow_mut().record_attributed(&answer);
                self.finish(open, context).await
            }
            Attribution::Doubtful => self.confirm(open, answer, context).await,
            Attribution::Unknown => {
                self.abandon(open, context);
                None
            }
        }
    }

    /// Reports that nothing was sent, because the messages may no longer be sent to the endpoint.
    pub fn withdraw(&self, context: &CallContext) {
        self.complete(context, self.same_outcome_for_all(Outcome::Deferred, false), None, None);
    }

    fn received_answer(&self, connection: &EndpointConnection) -> ReceivedAnswer {
        ReceivedAnswer {
            is_first_on_connection: connection.trace.is_first_request(),
            delay: connection.connection.response_delay(),
        }
    }

    /// Reports the outcomes of a doubtful response once no other one has followed it, and closes the
    /// connection.
    async fn confirm(
        &self,
        open: OpenResponse,
        answer: ReceivedAnswer,
        context: &CallContext,
    ) -> Option<EndpointConnection> {
        let OpenResponse { connection, response, received_at } = open;
        let (head, body) = response.into_parts();
        if let Some(wait) = response::retry_after(&head.headers) {
            let endpoint = self.endpoint;
            let _ = context.events.send(LoopEvent::RetryAfter { endpoint, wait, received_at });
        }
        let body = timeout_at(self.expires, response::complete_body(body)).await.ok().flatten();
        connection.connection.end_exchange();
        let until = self.expires.min(received_at + CONFIRMATION_PERIOD);
        let is_followed = connection.receives_unsolicited(until).await;
        if !is_followed {
            context.trust.borrow_mut().record_attributed(&answer);
        }
        let is_success = head.status == StatusCode::OK && self.messages.len() == 1;
        let outcomes = match &body {
            _ if is_followed => self.same_outcome_for_all(Outcome::Reset, false),
            _ if is_success => self.same_outcome_for_all(Outcome::Success, true),
            Some(body) => self.outcomes(&head, body, context),
            None => self.same_outcome_for_all(Outcome::Failure, false),
        };
        self.report(&connection, outcomes, &head, received_at, context);
        if is_followed {
            connection.close(CloseReason::UnattributedResponse);
            return None;
        }
        self.reusable(connection, body.is_some())
    }

    /// Gives up a call whose response may belong to another call.
    fn abandon(&self, open: OpenResponse, context: &CallContext) {
        let OpenResponse { connection, response, received_at } = open;
        let is_written = connection.connection.is_request_written();
        // The connection is closed before the rest of an incomplete request is written.
        let outcome = if is_written { Outcome::Reset } else { Outcome::ConnectFailed };
        let (head, _) = response.into_parts();
        self.report(&connection, self.same_outcome_for_all(outcome, false), &head, received_at, context);
        connection.close(CloseReason::UnattributedResponse);
    }

    /// Reads the response and reports the outcomes. Returns the connection if it can carry another call.
    async fn finish(&self, open: OpenResponse, context: &CallContext) -> Option<EndpointConnection> {
        let OpenResponse { connection, response, received_at } = open;
        let (head, body) = response.into_parts();
        let is_complete = if head.status == StatusCode::OK && self.messages.len() == 1 {
            // The message is delivered whatever the body is. The body is only read so that the connection can
            // be reused.
            let outcomes = self.same_outcome_for_all(Outcome::Success, true);
            self.report(&connection, outcomes, &head, received_at, context);
            match context.unread_responses.try_acquire() {
                Ok(_permit) => response::complete_body(body).await.is_some(),
                Err(_) => false,
            }
        } else {
            // Any other response counts only if it is complete: if it is not, the endpoint may have processed
            // the messages, regardless of the head. The outcomes of a batch are in the body.
            let body = timeout_at(self.expires, response::complete_body(body)).await.ok().flatten();
            let outcomes = match &body {
                Some(body) => self.outcomes(&head, body, context),
                None => self.same_outcome_for_all(Outcome::Failure, false),
            };
            self.report(&connection, outcomes, &head, received_at, context);
            body.is_some()
        };
        self.reusable(connection, is_complete)
    }

    /// Returns the connection if the response was read completely, and closes it otherwise.
    fn reusable(&self, connection: EndpointConnection, is_complete: bool) -> Option<EndpointConnection> {
        if !is_complete {
            connection.close(CloseReason::CallFailed);
            return None;
        }
        connection.connection.end_exchange();
        Some(connection)
    }

    /// Returns the outcomes of a complete response other than the success of a single message.
    fn outcomes(&self, head: &Parts, body: &[u8], context: &CallContext) -> Vec<AttemptOutcome> {
        let retry_after = response::retry_after(&head.headers);
        if head.status == StatusCode::OK {
            return self.batch_outcomes(body, retry_after, &*context.ports.log);
        }
        let (outcome, completes) = response::outcome(head.status, &head.headers, retry_after);
        self.same_outcome_for_all(outcome, completes)
    }

    /// Traces and reports the outcomes of a response with this head.
    fn report(
        &self,
        connection: &EndpointConnection,
        outcomes: Vec<AttemptOutcome>,
        head: &Parts,
        received_at: Instant,
        context: &CallContext,
    ) {
        if let Some(first) = outcomes.first() {
            self.trace_response(connection, first.outcome);
        }
        let retry_after = response::retry_after(&head.headers);
        let report = context.report_fields.read(&head.headers);
        self.complete_at(received_at, context, outcomes, retry_after, report);
    }

    /// Sends the request, and waits for the head of the response. Returns `None` if the event loop no longer
    /// permits sending the messages.
    async fn open(
        &self,
        idle: Option<TakenConnection<EndpointConnection>>,
        context: &CallContext,
    ) -> Result<Option<OpenResponse>, Outcome> {
        if let Some(TakenConnection { mut connection, usable_at }) = idle {
            let has_to_wait = usable_at > Instant::now();
            sleep_until(usable_at).await;
            if has_to_wait && !self.is_still_allowed(context).await {
                self.return_unused(connection, context);
                return Ok(None);
            }
            if !connection.connection.is_alive().await {
                connection.close(CloseReason::ClosedByEndpoint);
            } else if !context.trust.borrow().permits_reuse(Instant::now()) {
                connection.close(CloseReason::ReuseSuspended);
            } else {
                match self.exchange(connection, context).await {
                    // The idle connection was stale. No byte of the request was written, so sending it on a
                    // new connection does not repeat it.
                    Err(FailedExchange { outcome: Outcome::ConnectFailed, has_started: false }) => {}
                    Err(failed) => return Err(failed.outcome),
                    Ok(open) => return Ok(Some(open)),
                }
            }
        }
        let Some(connection) = self.connect(context).await? else { return Ok(None) };
        self.exchange(connection, context).await.map(Some).map_err(|failed| failed.outcome)
    }

    /// Sends the request on a connection, and waits for the head of the response. Closes the connection if
    /// that fails.
    async fn exchange(
        &self,
        mut connection: EndpointConnection,
        context: &CallContext,
    ) -> Result<OpenResponse, FailedExchange> {
        connection.trace.request(self.number, self.messages.iter().map(BatchedMessage::traced));
        match self.send(&mut connection.connection, context).await {
            Ok(response) => Ok(OpenResponse { connection, response, received_at: Instant::now() }),
            Err(outcome) => {
                let answer = self.received_answer(&connection);
                let attribution = context.trust.borrow().attribute(&answer, Instant::now());
                let outcome = match outcome {
                    Outcome::Success if attribution != Attribution::Certain => Outcome::Reset,
                    outcome => outcome,
                };
                let has_started = connection.connection.has_request_started();
                self.trace_response(&connection, outcome);
                connection.close(CloseReason::CallFailed);
                Err(FailedExchange { outcome, has_started })
            }
        }
    }

    fn trace_response(&self, connection: &EndpointConnection, outcome: Outcome) {
        connection.trace.response(self.number, outcome, self.started.elapsed());
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
                // Another task drives the connection, and may not have read a response yet that arrived
                // before the timeout. Such a response is used, as it may contain a Retry-After.
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
            // The caller drops the connection, so the endpoint never processes the incomplete request.
            Err(_) if !connection.is_request_written() => Err(Outcome::ConnectFailed),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// Returns the outcome of an invalid response, of which at most the status line could be read. With
    /// status 200, a single message was delivered. Otherwise the endpoint may have processed the messages.
    fn invalid_response(&self, status: Option<u16>) -> Outcome {
        match (status, self.messages.len()) {
            (Some(200), 1) => Outcome::Success,
            _ => Outcome::Failure,
        }
    }

    /// Opens a connection. Connecting is retried until the connect timeout after an error of the local
    /// machine, which does not depend on the endpoint. If only such errors occur, the attempt is deferred and
    /// does not count.
    async fn open_connection(&self, context: &CallContext) -> Result<EndpointConnection, Outcome> {
        let time_left = self.expires.saturating_duration_since(Instant::now());
        let deadline = Instant::now() + time_left.min(self.connect_timeout);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let (network, trace) = (&*context.ports.network, &context.trace);
            let on_unsolicited = self.on_unsolicited(context);
            let opened =
                EndpointConnection::open(network, self.address, remaining, trace, on_unsolicited).await;
            match opened {
                Err(CallError::Connect(error)) if is_local(&error) => {
                    if Instant::now() + LOCAL_FAILURE_RETRY_DELAY >= deadline {
                        return Err(Outcome::Deferred);
                    }
                    sleep(LOCAL_FAILURE_RETRY_DELAY).await;
                }
                opened => return opened.map_err(|_| Outcome::ConnectFailed),
            }
        }
    }

    /// Returns the handler of what the endpoint sends while no request is in progress on a connection.
    fn on_unsolicited(&self, context: &CallContext) -> impl FnOnce(&[u8]) + 'static {
        let (endpoint, trust, events) = (self.endpoint, context.trust.clone(), context.events.clone());
        move |bytes| {
            let (head, received_at) = (UnsolicitedHead::read(bytes), Instant::now());
            let suspends_reuse = trust.borrow_mut().record_unsolicited(head.status, received_at);
            let retry_after = head.retry_after;
            let unsolicited = UnsolicitedResponse { endpoint, received_at, retry_after, suspends_reuse };
            let _ = events.send(LoopEvent::UnsolicitedResponse(unsolicited));
        }
    }

    /// Opens a connection for the call. Returns `None` if the event loop no longer permits sending the
    /// messages once the connection is open.
    async fn connect(&self, context: &CallContext) -> Result<Option<EndpointConnection>, Outcome> {
        let connection = self.open_connection(context).await?;
        let _ = context.events.send(LoopEvent::Connected(self.endpoint));
        if !self.is_still_allowed(context).await {
            connection.close(CloseReason::CallWithdrawn);
            return Ok(None);
        }
        Ok(Some(connection))
    }

    /// Asks the event loop whether the messages may still be sent.
    async fn is_still_allowed(&self, context: &CallContext) -> bool {
        let (is_allowed, allowed) = oneshot::channel();
        let messages = self.messages.iter().map(|message| message.number).collect();
        let (endpoint, address) = (self.endpoint, self.address);
        let confirm = LoopEvent::ConfirmCall { endpoint, address, messages, is_allowed };
        let _ = context.events.send(confirm);
        // After the event loop has ended, no message is sent.
        allowed.await.unwrap_or(false)
    }

    /// Returns a connection to the event loop on which nothing was sent.
    fn return_unused(&self, connection: EndpointConnection, context: &CallContext) {
        let (endpoint, address) = (self.endpoint, self.address);
        let _ = context.events.send(LoopEvent::ConnectionIdle { endpoint, address, connection });
    }

    fn request(&self) -> (Builder, Bytes) {
        let time_left = self.expires.saturating_duration_since(Instant::now()).as_secs_f64();
        let path = if self.messages.len() > 1 { "/hook/batch" } else { "/hook" };
        let head = request(Method::POST, path, self.address).header("X-Remaining", format!("{time_left:.3}"));
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

    fn same_outcome_for_all(&self, outcome: Outcome, completes: bool) -> Vec<AttemptOutcome> {
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
            log.line(&format!("calls: invalid response to a batch error={error}"));
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

/// Lets other tasks read data that has arrived, and pass it on.
async fn yield_to_others() {
    for _ in 0..TIMEOUT_YIELDS {
        yield_now().await;
    }
}
