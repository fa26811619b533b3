//! The checker's state of messages, calls, senders and destinations, derived from the observations so far.
use super::Invariant;
use crate::observation::Micros;
use crate::plan::Class;
use std::collections::BTreeSet;

/// Whether a sender has accepted a message, as far as its client knows.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Acceptance {
    /// The message was submitted, and the client has no answer yet.
    Pending,
    /// The sender has accepted the message.
    Accepted,
    /// The sender has rejected the message, and must not send it.
    Rejected,
    /// The client got no conclusive answer, or the machine was lost: the message is not checked.
    Unknown,
}

/// A message, from its first submission until it is forgotten.
pub(super) struct Message {
    pub(super) class: Class,
    pub(super) sender: u32,
    pub(super) vehicle: Option<u32>,
    pub(super) deadline: Micros,
    pub(super) acceptance: Acceptance,
    /// When the message ended: it was delivered, or a notification was acknowledged.
    pub(super) ended_at: Option<Micros>,
    /// Whether the message had not ended by the time it should have.
    pub(super) is_overdue: bool,
    pub(super) notified_at: Option<Micros>,
    pub(super) attempts: u32,
    /// Whether a process of its sender exited when the message was accepted and neither ended nor tried.
    pub(super) was_left_untried: bool,
    /// When the first attempt that may have taken effect was sent.
    pub(super) first_uncertain_attempt: Option<Micros>,
    pub(super) effects: u32,
    /// The calls in flight that carry the message, the latest first.
    pub(super) calls: Vec<u64>,
    pub(super) history: Vec<(Micros, String)>,
}

impl Message {
    pub(super) fn is_accepted(&self) -> bool {
        self.acceptance == Acceptance::Accepted
    }

    /// Returns whether the message is accepted and has neither ended nor been tried.
    pub(super) fn is_untried(&self) -> bool {
        self.is_accepted() && self.ended_at.is_none() && self.attempts == 0
    }

    /// Returns whether the invariants of delivery are checked for the message.
    pub(super) fn is_checked(&self) -> bool {
        self.acceptance != Acceptance::Unknown
    }

    pub(super) fn record(&mut self, at: Micros, text: String) {
        self.history.push((at, text));
    }
}

/// A call that is in flight.
pub(super) struct Call {
    pub(super) sender: u32,
    pub(super) route: u32,
    pub(super) sent_at: Micros,
    /// Ids of the call's messages.
    pub(super) ids: Vec<String>,
    /// Attempts that must not have been sent before the end of this call.
    pub(super) conflicts: Vec<Conflict>,
}

/// An attempt that violates an invariant if it was sent before the end of a certain call.
pub(super) struct Conflict {
    pub(super) invariant: Invariant,
    /// Id of the message that was sent.
    pub(super) id: String,
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
}

/// The start of a call, as observed by the endpoint.
pub(super) struct CallStart<'a> {
    pub(super) at: Micros,
    pub(super) call: u64,
    pub(super) sender: u32,
    pub(super) endpoint: &'a str,
    pub(super) route: u32,
    pub(super) ids: &'a [String],
    pub(super) sent_at: Micros,
}

impl CallStart<'_> {
    pub(super) fn first_id(&self) -> Option<&str> {
        self.ids.first().map(String::as_str)
    }
}

/// The state of a sender and its processes.
#[derive(Default)]
pub(super) struct Sender {
    /// When the latest restart began; `None` once the sender is ready again.
    pub(super) restarting_since: Option<Micros>,
    /// The sender's messages do not count as overdue until this time.
    pub(super) excused_until: Micros,
    /// When the latest process exited.
    pub(super) exited_at: Option<Micros>,
    /// When the process was asked to exit with SIGTERM; `None` if it was not, or was killed.
    pub(super) graceful_since: Option<Micros>,
    /// Whether the latest process could not answer its last requests, because it was killed.
    pub(super) may_leave_unanswered: bool,
    /// Whether the process was signalled to exit.
    pub(super) is_shutdown_requested: bool,
}

/// The outage of a route.
#[derive(Default)]
pub(super) struct Outage {
    pub(super) is_active: bool,
    /// Senders that saw a call fail or be rejected during the outage.
    pub(super) witnesses: BTreeSet<u32>,
}

/// A Retry-After that a sender received.
pub(super) struct RetryAfter {
    /// The call that was answered with it.
    pub(super) call: u64,
    /// When the Retry-After starts to apply.
    pub(super) from: Micros,
    /// The time that the Retry-After names.
    pub(super) until: Micros,
}

/// A submission whose connection closed before an answer arrived.
#[derive(Clone)]
pub(super) struct UnansweredSubmission {
    pub(super) at: Micros,
    pub(super) sender: u32,
    pub(super) id: String,
}

/// A violation that is found when an attempt is observed.
pub(super) struct Finding {
    pub(super) invariant: Invariant,
    pub(super) description: String,
}
