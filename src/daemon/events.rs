//! The messages between the daemon's tasks. This module lies below all of them, so that none needs to know
//! another.
use super::config::{Config, ConfigReadError};
use super::connection::Connection;
use super::endpoint_list::EndpointList;
use super::handover::Successor;
use super::journal::SubmittedMessage;
use super::maintenance::MaintenanceError;
use super::metrics::Metrics;
use crate::{EndpointId, LoadReport, Outcome, TimeDelta};
use micadrum_recovery::peer_report::EndpointReport;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How the event loop responds to a submitted message.
pub enum SubmitResponse {
    /// The journal holds the message.
    Accepted,
    /// The message cannot be understood.
    Malformed(InvalidMessage),
    /// There is no capacity for the message now, or no use in it.
    Rejected,
    /// The sender recovers and accepts new messages at a limited rate: it has capacity after this time.
    RetryAfter(Duration),
}

/// Why a message cannot be understood.
#[derive(Debug, thiserror::Error)]
pub enum InvalidMessage {
    /// The settings do not name the class.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// The settings name tenants, and not this one.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// Messages of the class need an idempotency key, and this one has none.
    #[error("class {0:?} needs an idempotency key")]
    MissingIdempotencyKey(String),
}

/// An event for the event loop.
pub enum LoopEvent {
    /// A client submits a message.
    Submit {
        /// The message.
        message: SubmittedMessage,
        /// Until when the message may be delivered.
        deadline: Instant,
        /// Takes the response to the client.
        reply: oneshot::Sender<SubmitResponse>,
    },
    /// A call has ended.
    CallCompleted(CallCompletion),
    /// A call has a new connection, and asks whether its messages may still be sent.
    Connected {
        /// The endpoint of the call.
        endpoint: EndpointId,
        /// The numbers of the call's messages.
        messages: Vec<u32>,
        /// Takes the answer.
        is_allowed: oneshot::Sender<bool>,
    },
    /// A connection can carry another call.
    ConnectionIdle {
        /// The endpoint that the connection was opened for.
        endpoint: EndpointId,
        /// The address that the connection leads to.
        address: SocketAddr,
        /// The connection.
        connection: Connection,
    },
    /// The discovery agent has sent an endpoint list, or changes to one.
    EndpointList(EndpointList),
    /// The platform has acknowledged the notifications of these messages.
    NotificationsAcknowledged(Vec<u32>),
    /// The process is to shut down gracefully, since this instant.
    Shutdown(Instant),
    /// The configuration is to be read again: how it reads now.
    Reload(Result<Box<Config>, ConfigReadError>),
    /// The configuration may have changed: how it reads now.
    ReloadIfChanged(Result<Box<Config>, ConfigReadError>),
    /// A sync of the journal has ended.
    JournalSynced {
        /// Which of the journal's files was synced.
        file: u64,
        /// Whether the sync succeeded.
        result: io::Result<()>,
    },
    /// A request through the admin endpoint, or of a peer.
    Admin(AdminRequest),
    /// A successor asks to take over.
    Successor(Successor),
}

/// What operators and peers ask of a sender.
pub enum AdminRequest {
    /// Returns the metrics.
    Metrics(oneshot::Sender<Rc<Metrics>>),
    /// Returns what this sender reports of endpoints to a peer that recovers.
    PeerReport(oneshot::Sender<BTreeMap<String, EndpointReport>>),
    /// Takes an endpoint out of service, or puts it back.
    SetMaintenance {
        /// The ID of the endpoint in the endpoint list.
        endpoint: String,
        /// What is to change.
        change: MaintenanceChange,
        /// Takes the result.
        reply: oneshot::Sender<Result<(), AdminError>>,
    },
}

/// What an operator changes about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The endpoint is taken out of service.
    Enter,
    /// The endpoint is put back into service.
    Exit,
}

/// Why an operator's request fails.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The endpoint list names no such endpoint.
    #[error("no endpoint {0:?} in the list")]
    UnknownEndpoint(String),
    /// The change could not be made.
    #[error(transparent)]
    Maintenance(#[from] MaintenanceError),
}

/// How a call ended.
#[derive(Debug)]
pub struct CallCompletion {
    /// The number of the call.
    pub number: u64,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// When the end of the call was seen: a Retry-After runs from here.
    pub completed_at: Instant,
    /// How each message fared, in the order in which the call carried them.
    pub outcomes: Vec<AttemptOutcome>,
    /// The Retry-After of the response.
    pub retry_after: Option<TimeDelta>,
    /// The load report of the response.
    pub report: Option<LoadReport>,
}

/// How one message fared in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// The number of the message.
    pub message: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether nothing is left to do for the message.
    pub completes: bool,
}

/// What the listener does with the connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Clients are not served yet.
    Starting,
    /// Clients are served.
    Accepting,
    /// The handover to a successor is under way: nobody new is let in, and requests on open connections are
    /// forwarded to the address that both processes share, with an end to the connection.
    HandingOver,
    /// The successor has taken over for good; requests are forwarded as under `HandingOver`.
    HandedOver,
    /// Each connection ends with its next response, so that its client goes elsewhere; new ones are served,
    /// too.
    Draining,
    /// The process is about to end: there are no new connections, and idle ones are closed.
    Closed,
}
