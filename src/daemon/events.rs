//! What passes between the daemon's parts: below all of them, so that none needs to know another.
use super::config::Config;
use super::connection::Connection;
use super::endpoint_list::EndpointList;
use super::handover::Successor;
use super::journal::SubmittedMessage;
use super::maintenance::MaintenanceError;
use super::metrics::Metrics;
use crate::{EndpointId, LoadReport, Outcome, TimeDelta};
use micadrum_recovery::peer_report::EndpointReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What the client is told.
pub enum SubmitResponse {
    /// The journal holds it.
    Accepted,
    /// It cannot be understood; the text says why.
    Malformed(String),
    /// There is no room or no use for it now.
    Rejected,
    /// The sender comes back, and lets newcomers in at a rate: it has room after this.
    RetryAfter(Duration),
}

/// What reaches the loop.
pub enum LoopEvent {
    /// A client's message.
    Submit {
        /// The message.
        message: SubmittedMessage,
        /// By when it may still be delivered.
        deadline: Instant,
        /// Takes what the client is told.
        answer: oneshot::Sender<SubmitResponse>,
    },
    /// A call's end.
    CallCompleted(CallCompletion),
    /// A call has a new connection, and asks whether its messages may still go out on it.
    Connected {
        /// Where to.
        endpoint: EndpointId,
        /// The messages.
        messages: Vec<u32>,
        /// Takes the word.
        may_begin: oneshot::Sender<bool>,
    },
    /// A connection that can carry another call.
    ConnectionIdle(EndpointId, SocketAddr, Connection),
    /// News of the list.
    EndpointList(EndpointList),
    /// Notices that the platform has acknowledged.
    NotificationsAcknowledged(Vec<u32>),
    /// The process is to end; when it was told so.
    Shutdown(Instant),
    /// The configuration as it now reads, or why it cannot be read.
    Reload(Result<Box<Config>, String>),
    /// The same, where it may read as before.
    ReloadIfChanged(Result<Box<Config>, String>),
    /// A sync of the journal has ended: of which of its files, and how.
    JournalSynced(u64, std::io::Result<()>),
    /// What an operator asks.
    Admin(AdminRequest),
    /// The next process asks for this one's place.
    Successor(Successor),
}

/// What operators ask of a sender.
pub enum AdminRequest {
    /// For its figures.
    Metrics(oneshot::Sender<Rc<Metrics>>),
    /// For what it has to say of endpoints to another sender that comes back.
    PeerReport(oneshot::Sender<BTreeMap<String, EndpointReport>>),
    /// To take an endpoint out by hand, or to put it back.
    SetMaintenance {
        /// Its id in the list.
        endpoint: String,
        /// Out, or back.
        out: bool,
        /// Takes what came of it.
        done: oneshot::Sender<Result<(), AdminError>>,
    },
}

/// Why an operator hears no.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The list names no such endpoint.
    #[error("no endpoint {0:?} in the list")]
    Unknown(String),
    /// It could not be done.
    #[error(transparent)]
    Maintenance(#[from] MaintenanceError),
}

/// How a call ended.
#[derive(Debug)]
pub struct CallCompletion {
    /// The call's number.
    pub number: u64,
    /// Where it went.
    pub endpoint: EndpointId,
    /// When the end of the call was seen: waits run from here.
    pub completed_at: Instant,
    /// What became of each message, in the call's order.
    pub ends: Vec<(u32, Outcome, bool)>,
    /// A wait that the answer told.
    pub retry_after: Option<TimeDelta>,
    /// The load report that came with it.
    pub report: Option<LoadReport>,
}

/// What winding down asks of the clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Not yet open.
    Starting,
    /// All as usual.
    Accepting,
    /// The place is being given to the next process: nobody new is let in, and who is here is passed on to the address
    /// that both share, with an end to the connection.
    HandingOver,
    /// The same, and the place is the other's for good.
    HandedOver,
    /// Each connection ends with its next answer, so that its client goes elsewhere; new ones are answered too.
    Draining,
    /// The process is about to end: no new connections, and idle ones are closed.
    Closed,
}
