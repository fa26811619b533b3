//! Trace lines that follow requests on their connections: each request with the IDs of its messages, its
//! response, why a connection was closed, and why a message was refused.
//!
//! The traces are off by default, as they add several lines for each call. Lines carry no time; the reader of
//! the log adds it.
use super::ports::Log;
use crate::Outcome;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Writes trace lines of requests to the log if they are enabled. Clones share the numbering of connections.
#[derive(Clone)]
pub struct RequestTrace {
    log: Option<Rc<dyn Log>>,
    last_connection: Rc<Cell<u64>>,
}

/// A message of a traced request.
pub struct TracedMessage<'a> {
    /// The ID that the client assigned.
    pub id: &'a str,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// Why a connection to an endpoint was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The call on it has no complete, valid response.
    CallFailed,
    /// The event loop no longer permitted its call.
    CallWithdrawn,
    /// It was idle for longer than the idle timeout.
    IdleTimeout,
    /// The pool of idle connections was full.
    PoolFull,
    /// Its endpoint is draining, removed, in maintenance, or has another address.
    EndpointOutOfService,
    /// The endpoint closed it while it was idle.
    ClosedByEndpoint,
    /// The endpoint sent something on it while no request was in progress.
    UnsolicitedResponse,
    /// The response on it may belong to another call.
    UnattributedResponse,
    /// Connections are used for one call each.
    ReuseSuspended,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::CallFailed => "call_failed",
            Self::CallWithdrawn => "call_withdrawn",
            Self::IdleTimeout => "idle_timeout",
            Self::PoolFull => "pool_full",
            Self::EndpointOutOfService => "endpoint_out_of_service",
            Self::ClosedByEndpoint => "closed_by_endpoint",
            Self::UnsolicitedResponse => "unsolicited_response",
            Self::UnattributedResponse => "unattributed_response",
            Self::ReuseSuspended => "reuse_suspended",
        })
    }
}

/// Why a submitted message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The journal lacks records and is being rewritten.
    JournalFailing,
    /// The sender recovers from a restart.
    Recovering,
    /// The engine has no capacity for the message's destination.
    NoCapacity,
    /// The record of the message could not be written.
    JournalWriteFailed,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::JournalFailing => "journal_failing",
            Self::Recovering => "recovering",
            Self::NoCapacity => "no_capacity",
            Self::JournalWriteFailed => "journal_write_failed",
        })
    }
}

impl RequestTrace {
    /// Writes lines to `log` if traces are `enabled`.
    pub fn new(enabled: bool, log: Rc<dyn Log>) -> Self {
        Self { log: enabled.then_some(log), last_connection: Rc::default() }
    }

    /// Returns the trace of a new connection to `endpoint`.
    pub fn connection(&self, endpoint: SocketAddr) -> ConnectionTrace {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        ConnectionTrace { log: self.log.clone(), number, endpoint, requests: 0 }
    }

    /// Traces that a message was refused.
    pub fn refused(&self, id: &str, reason: RefusalReason) {
        if let Some(log) = &self.log {
            log.line(&format!("trace refused id={id} reason={reason}"));
        }
    }
}

/// Writes the trace lines of one connection.
pub struct ConnectionTrace {
    log: Option<Rc<dyn Log>>,
    number: u64,
    endpoint: SocketAddr,
    requests: u64,
}

impl ConnectionTrace {
    /// Traces that a request is about to be sent.
    pub fn request<'a>(&mut self, call: u64, messages: impl Iterator<Item = TracedMessage<'a>>) {
        self.requests += 1;
        let Some(log) = &self.log else { return };
        let messages: Vec<_> =
            messages.map(|message| format!("{}:{}", message.id, message.attempt)).collect();
        let Self { number, endpoint, requests, .. } = self;
        log.line(&format!(
            "trace request call={call} connection={number} use={requests} endpoint={endpoint} messages={}",
            messages.join(",")
        ));
    }

    /// Traces the outcome that a request's response, or the lack of one, gave its first message.
    pub fn response(&self, call: u64, outcome: Outcome, elapsed: Duration) {
        let Some(log) = &self.log else { return };
        let (number, elapsed) = (self.number, elapsed.as_micros());
        log.line(&format!(
            "trace response call={call} connection={number} outcome={} elapsed_us={elapsed}",
            super::trace::outcome_name(outcome)
        ));
    }

    /// Returns whether at most one request was sent on the connection.
    pub fn is_first_request(&self) -> bool {
        self.requests <= 1
    }

    /// Traces that the connection was closed.
    pub fn closed(&self, reason: CloseReason) {
        let Some(log) = &self.log else { return };
        let Self { number, requests, .. } = self;
        log.line(&format!("trace closed connection={number} uses={requests} reason={reason}"));
    }
}
