//! The events and requests that the daemon's tasks send to each other. The tasks depend on this module and
//! not on each other.
use super::config::{Config, ConfigReadError};
use super::endpoint_connection::EndpointConnection;
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

/// The response of the event loop to a submitted message.
pub enum SubmitResponse {
    /// The message is accepted, and recorded in the journal.
    Accepted,
    /// The message is invalid.
    Malformed(InvalidMessage),
    /// The message is valid, but cannot be accepted now: there is no capacity or not enough time to deliver
    /// it, its destination is unknown, or it cannot be recorded.
    Rejected,
    /// The sender is recovering and accepts new messages at a limited rate: the client can retry after this
    /// time.
    RetryAfter(Duration),
}

/// The reason why a message is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidMessage {
    /// The settings contain no class of this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// The settings contain tenants, but none of this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// The class requires an idempotency key, and the message has none.
    #[error("class {0:?} needs an idempotency key")]
    MissingIdempotencyKey(String),
}

/// An event for the event loop.
pub enum LoopEvent {
    /// A client submits a message.
    Submit {
        /// The message as the client submitted it.
        message: SubmittedMessage,
        /// The time until which the message may be delivered.
        deadline: Instant,
        /// Receives the response to the client.
        reply: oneshot::Sender<SubmitResponse>,
    },
    /// A call has ended.
    CallCompleted(CallCompletion),
    /// A call has opened a connection to an endpoint.
    Connected(EndpointId),
    /// A call had to wait, and asks whether its messages may still be sent.
    ConfirmCall {
        /// The endpoint of the call.
        endpoint: EndpointId,
        /// The address that the call is made to.
        address: SocketAddr,
        /// The numbers of the call's messages.
        messages: Vec<u32>,
        /// Receives whether the messages may be sent.
        is_allowed: oneshot::Sender<bool>,
    },
    /// A connection can carry another call.
    ConnectionIdle {
        /// The endpoint that the connection was opened for.
        endpoint: EndpointId,
        /// The remote address of the connection.
        address: SocketAddr,
        /// The idle connection, for reuse.
        connection: EndpointConnection,
    },
    /// A response has arrived whose outcomes are not known yet, with a Retry-After.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// The Retry-After.
        wait: TimeDelta,
        /// When the response arrived.
        received_at: Instant,
    },
    /// An endpoint has sent something on a connection on which no request was in progress.
    UnsolicitedResponse(UnsolicitedResponse),
    /// The discovery agent has sent an endpoint list, or changes to one.
    EndpointList(EndpointList),
    /// The platform has acknowledged the notifications of these messages.
    NotificationsAcknowledged(Vec<u32>),
    /// A graceful shutdown was requested at this instant.
    Shutdown(Instant),
    /// A reload was requested. Contains the configuration as read after the request.
    Reload(Result<Box<Config>, ConfigReadError>),
    /// The configuration may have changed. Contains the configuration as it is now.
    ReloadIfChanged(Result<Box<Config>, ConfigReadError>),
    /// A sync of the journal has ended.
    JournalSynced {
        /// The number of the journal file that was synced.
        file: u64,
        /// Whether the sync succeeded.
        result: io::Result<()>,
    },
    /// A request of an operator or a peer.
    Admin(AdminRequest),
    /// In [`ListenerState::Closing`], the last client connection has closed.
    ClientsClosed,
    /// A successor asks to take over.
    Successor(Successor),
}

/// A request of an operator through the admin endpoint, or of a peer.
pub enum AdminRequest {
    /// Requests the current metrics.
    Metrics(oneshot::Sender<Rc<Metrics>>),
    /// Requests this sender's observations of endpoints, for a peer that is recovering.
    PeerReport(oneshot::Sender<BTreeMap<String, EndpointReport>>),
    /// Takes an endpoint out of service, or puts it back.
    SetMaintenance {
        /// The ID of the endpoint in the endpoint list.
        endpoint: String,
        /// Whether the endpoint enters or leaves maintenance.
        change: MaintenanceChange,
        /// Receives the result of the change.
        reply: oneshot::Sender<Result<(), AdminError>>,
    },
}

/// A change of the maintenance state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The endpoint is taken out of service.
    Enter,
    /// The endpoint is put back into service.
    Exit,
}

/// An error of an operator's request.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The endpoint list contains no endpoint with this ID.
    #[error("no endpoint {0:?} in the list")]
    UnknownEndpoint(String),
    /// The maintenance state could not be changed.
    #[error(transparent)]
    Maintenance(#[from] MaintenanceError),
}

/// The result of a call.
#[derive(Debug)]
pub struct CallCompletion {
    /// The number of the call.
    pub number: u64,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// The time at which the end of the call was observed. The Retry-After counts from this time.
    pub completed_at: Instant,
    /// The outcome of each message, in the order of the messages in the call.
    pub outcomes: Vec<AttemptOutcome>,
    /// The Retry-After of the response.
    pub retry_after: Option<TimeDelta>,
    /// The load report of the response.
    pub report: Option<LoadReport>,
}

/// Something that an endpoint sent on a connection on which no request was in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsolicitedResponse {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was received.
    pub received_at: Instant,
    /// The Retry-After, if it is a response with one.
    pub retry_after: Option<TimeDelta>,
    /// Whether connections are used for one call each because of it, and were not before.
    pub suspends_reuse: bool,
}

/// The outcome of one message in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// The number of the message in the journal.
    pub message: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the message is complete and needs no further attempt.
    pub completes: bool,
}

/// The state of the client listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Clients are not served yet.
    Starting,
    /// Clients are served.
    Accepting,
    /// A handover to a successor is in progress. No new connections are accepted. Requests on open
    /// connections are forwarded to the address that both processes share, and the connections are then
    /// closed.
    HandingOver,
    /// The successor has taken over. Requests are forwarded as in `HandingOver`.
    HandedOver,
    /// Each connection is closed after its next response, so that the client connects elsewhere. New
    /// connections are still accepted.
    Draining,
    /// The shutdown has no other work left. Idle connections are closed. Requests that have begun to arrive are
    /// still answered.
    Closing,
    /// The event loop has ended, and the process is about to exit.
    Closed,
}
