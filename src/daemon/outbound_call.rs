//! One call: what is sent, and what came back as an [`Outcome`].
use super::connection::{ANSWER_PATIENCE, CallError, Connection, MOST_ANSWER, Tally, request};
use super::events::{AttemptOutcome, CallCompletion, LoopEvent};
use super::ports::{Log, Ports};
use crate::{EndpointId, LoadReport, Outcome, TimeDelta};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

/// No told wait is longer.
const MOST_WAIT: f64 = 3600.0;
/// No limit that a report tells is higher, in calls a second.
const MOST_LIMIT: f64 = 1e6;

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
    pub parcels: Vec<BatchedMessage>,
    /// When it is given up.
    pub expires: Instant,
    pub connect_timeout: Duration,
}

/// Where the fields of a load report stand.
#[derive(Clone, Copy)]
pub struct ReportFields {
    pub left: bool,
    pub limit: bool,
}

/// What a call needs besides itself.
#[derive(Clone)]
pub struct CallContext {
    /// The machine.
    pub ports: Ports,
    /// Where the fields of load reports stand.
    pub fields: ReportFields,
    /// Messages that were written whole to endpoints.
    pub written: Arc<AtomicU64>,
    /// Room for connections whose answers are known and not yet read to their end.
    pub unread: Arc<Semaphore>,
    /// The host.
    pub host: UnboundedSender<LoopEvent>,
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchEnd {
    id: String,
    state: State,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ok,
    Error,
    Later,
    Gone,
    Exhausted,
}

impl Call {
    /// Makes the call, on `kept` or a new connection. The host hears how it ended as soon as that is known; the
    /// connection comes back if it can carry another call.
    pub async fn run(self, kept: Option<Connection>, outside: &CallContext) -> Option<Connection> {
        let done = |called| drop(outside.host.send(LoopEvent::CallCompleted(called)));
        let (connection, answer) = match self.answer(kept, outside).await {
            Ok(Some(answered)) => answered,
            Ok(None) => {
                done(self.called(self.all(Outcome::Deferred), None, None));
                return None;
            }
            Err(outcome) => {
                let over = outcome == Outcome::Success;
                let ends = self
                    .parcels
                    .iter()
                    .map(|p| AttemptOutcome { message: p.number, outcome, completes: over })
                    .collect();
                done(self.called(ends, None, None));
                return None;
            }
        };
        let (head, body) = answer.into_parts();
        let (told, report) = (told(&head.headers), outside.fields.read(&head.headers));
        let mut called = self.called(Vec::new(), told, report);
        if head.status == StatusCode::OK && self.parcels.len() == 1 {
            // Delivered, whatever the body holds: it is read only for the sake of the next call.
            called.outcomes = self
                .parcels
                .iter()
                .map(|p| AttemptOutcome { message: p.number, outcome: Outcome::Success, completes: true })
                .collect();
            done(called);
            let _room = outside.unread.try_acquire().ok()?;
            return whole(body).await.is_some().then_some(connection);
        }
        // Only a whole answer is believed: one that turns out spoilt may have run, whatever its head says. A
        // batch is answered with its whole body, and until then its messages' fates are open.
        let body = timeout_at(self.expires, whole(body)).await.ok().flatten();
        called.outcomes = match &body {
            Some(body) if head.status == StatusCode::OK => self.batch_ends(body, told, &*outside.ports.log),
            Some(_) => {
                let (outcome, over) = outcome(head.status, &head.headers, told);
                self.parcels
                    .iter()
                    .map(|p| AttemptOutcome { message: p.number, outcome, completes: over })
                    .collect()
            }
            None => self.all(Outcome::Failure),
        };
        done(called);
        body.is_some().then_some(connection)
    }

    /// Sends the request and waits for the head of its answer; none if the messages may not go out any more.
    async fn answer(
        &self,
        kept: Option<Connection>,
        outside: &CallContext,
    ) -> Result<Option<(Connection, Response<Incoming>)>, Outcome> {
        if let Some(mut kept) = kept
            && kept.is_alive().await
        {
            match self.send(&mut kept, outside).await {
                // It went stale: with no byte of the request written, a new connection carries the first copy.
                Err(Outcome::ConnectFailed) if !kept.request_begun() => {}
                answer => return answer.map(|answer| Some((kept, answer))),
            }
        }
        let Some(mut new) = self.connect(outside).await? else { return Ok(None) };
        let answer = self.send(&mut new, outside).await?;
        Ok(Some((new, answer)))
    }

    async fn send(
        &self,
        connection: &mut Connection,
        outside: &CallContext,
    ) -> Result<Response<Incoming>, Outcome> {
        let (request, body) = self.request();
        let tally = Tally { count: outside.written.clone(), adds: self.parcels.len() as u64 };
        let answer = {
            let mut sending = pin!(connection.send(request, body, Some(tally)));
            match timeout_at(self.expires, &mut sending).await {
                Ok(answer) => Ok(answer),
                // What came in the very turn in which the time is up has been read by nobody yet, as the connection is
                // driven by a task of its own; and it may tell a wait.
                Err(elapsed) => tokio::select! {
                    biased;
                    answer = sending => Ok(answer),
                    () = others_turn() => Err(elapsed),
                },
            }
        };
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(CallError::Connect(_) | CallError::Unsent(_) | CallError::Head(_))) => {
                Err(Outcome::ConnectFailed)
            }
            Ok(Err(CallError::Reset(_))) => Err(Outcome::Reset),
            Ok(Err(CallError::Spoilt(status))) => Err(self.spoilt(status)),
            // The caller drops the connection: what was never written whole then never runs.
            Err(_) if !connection.request_written() => Err(Outcome::ConnectFailed),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// What an answer stands for of which only the first line can be read: 200 to a single message is true, and
    /// anything else may have run.
    fn spoilt(&self, status: Option<u16>) -> Outcome {
        match (status, self.parcels.len()) {
            (Some(200), 1) => Outcome::Success,
            _ => Outcome::Failure,
        }
    }

    /// A new connection for the call; none if its messages may not go out any more once there is one.
    async fn connect(&self, outside: &CallContext) -> Result<Option<Connection>, Outcome> {
        let left = self.expires.saturating_duration_since(Instant::now());
        let new =
            Connection::open(&*outside.ports.network, self.address, left.min(self.connect_timeout)).await;
        let new = new.map_err(|_| Outcome::ConnectFailed)?;
        let (may_begin, allowed) = oneshot::channel();
        let messages = self.parcels.iter().map(|p| p.number).collect();
        let _ = outside.host.send(LoopEvent::Connected {
            endpoint: self.endpoint,
            messages,
            is_allowed: may_begin,
        });
        // A host that has ended has no more calls to make.
        Ok(allowed.await.unwrap_or(false).then_some(new))
    }

    fn request(&self) -> (Builder, Bytes) {
        let left = self.expires.saturating_duration_since(Instant::now()).as_secs_f64();
        let path = if self.parcels.len() > 1 { "/hook/batch" } else { "/hook" };
        let head = request(Method::POST, path, self.address).header("X-Remaining", format!("{left:.3}"));
        if let [parcel] = &self.parcels[..] {
            let mut head = head.header("X-Txn", &parcel.id);
            if let Some(key) = &parcel.idempotency_key {
                head = head.header("Idempotency-Key", key);
            }
            return (head, parcel.body.clone());
        }
        let items: Vec<_> = (self.parcels.iter())
            .map(|p| BatchItem { id: &p.id, key: p.idempotency_key.as_deref(), body: BASE64.encode(&p.body) })
            .collect();
        // Strings always have a JSON form.
        let body = serde_json::to_vec(&items).unwrap_or_default();
        (head.header(CONTENT_TYPE, "application/json"), body.into())
    }

    fn all(&self, outcome: Outcome) -> Vec<AttemptOutcome> {
        self.parcels.iter().map(|p| AttemptOutcome { message: p.number, outcome, completes: false }).collect()
    }

    fn batch_ends(&self, body: &[u8], told: Option<TimeDelta>, log: &dyn Log) -> Vec<AttemptOutcome> {
        let states: BTreeMap<String, State> = match serde_json::from_slice::<Vec<BatchEnd>>(body) {
            Ok(ends) => ends.into_iter().map(|end| (end.id, end.state)).collect(),
            Err(e) => {
                log.line(&format!("pool: a batch's answer cannot be read: {e}"));
                BTreeMap::new()
            }
        };
        let end = |parcel: &BatchedMessage| match states.get(&parcel.id) {
            Some(State::Ok) => (Outcome::Success, true),
            Some(State::Later) => (Outcome::Rejected { retry_after: told }, false),
            Some(State::Gone) => (Outcome::NotSent, true),
            Some(State::Exhausted) => (Outcome::NotSent, false),
            // What the answer does not tell of may have run.
            Some(State::Error) | None => (Outcome::Failure, false),
        };
        let ended = |p: &BatchedMessage| {
            let (outcome, completes) = end(p);
            AttemptOutcome { message: p.number, outcome, completes }
        };
        self.parcels.iter().map(ended).collect()
    }

    fn called(
        &self,
        ends: Vec<AttemptOutcome>,
        wait: Option<TimeDelta>,
        report: Option<LoadReport>,
    ) -> CallCompletion {
        CallCompletion {
            number: self.number,
            endpoint: self.endpoint,
            completed_at: Instant::now(),
            outcomes: ends,
            retry_after: wait,
            report,
        }
    }
}

/// Lets all other tasks do what they have to do by now: read, and pass on what was read.
async fn others_turn() {
    for _ in 0..3 {
        yield_now().await;
    }
}

/// The body, if it comes to its end in time and in size.
async fn whole(body: Incoming) -> Option<Bytes> {
    if body.size_hint().lower() > MOST_ANSWER as u64 {
        return None;
    }
    let read = timeout(ANSWER_PATIENCE, Limited::new(body, MOST_ANSWER).collect()).await;
    Some(read.ok()?.ok()?.to_bytes())
}

/// The outcome that a status stands for, and whether it ends the message.
fn outcome(status: StatusCode, headers: &HeaderMap, told: Option<TimeDelta>) -> (Outcome, bool) {
    match status {
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Rejected { retry_after: told }, false),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-No-Slot") => (Outcome::NotSent, false),
        StatusCode::SERVICE_UNAVAILABLE => (Outcome::Rejected { retry_after: told }, false),
        StatusCode::GATEWAY_TIMEOUT => (Outcome::NotSent, false),
        StatusCode::GONE => (Outcome::NotSent, true),
        // Nothing else is agreed on: it may have run.
        _ => (Outcome::Failure, false),
    }
}

/// A told wait: seconds, with decimals.
fn told(headers: &HeaderMap) -> Option<TimeDelta> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| TimeDelta((seconds.min(MOST_WAIT) * 1e6).ceil() as u64))
}

impl ReportFields {
    fn read(self, headers: &HeaderMap) -> Option<LoadReport> {
        let text = headers.get("X-Pressure")?.to_str().ok()?;
        let field = |name: &str| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            fields.find(|(n, _)| *n == name)?.1.trim().parse().ok()
        };
        // A report with a field that cannot be is not a report: none of it is believed.
        let left = if self.left { Some(field("x0").filter(|v| (0.0..=1.0).contains(v))?) } else { None };
        let limit =
            if self.limit { Some(field("x1").filter(|v| (0.0..=MOST_LIMIT).contains(v))?) } else { None };
        if left.is_none() && limit.is_none() {
            return None;
        }
        Some(LoadReport { remaining_share: left.unwrap_or(1.0), limit_per_second: limit.unwrap_or(0.0) })
    }
}
