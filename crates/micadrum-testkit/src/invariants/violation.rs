//! The invariants, and the verdict on a run.
use crate::observation::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of violations that are kept with their history; more are only counted.
const MAX_KEPT_VIOLATIONS: usize = 200;

/// The invariants of message delivery and membership, each named after its violation. Some have another name
/// in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Every accepted message ends: it is delivered, or its client is notified that it is not.
    Lost,
    /// Every accepted message ends soon after its deadline.
    Late,
    /// Only accepted messages are sent, and no message is sent after the notification of its end.
    SentAfterEnd,
    /// A charge takes effect at most once, and so does a trip record: neither is sent again or returned when
    /// an earlier attempt may have taken effect and the destination no longer recognizes the repeat.
    #[serde(rename = "doubled")]
    Duplicated,
    /// A message has at most one call in flight.
    #[serde(rename = "beside")]
    ConcurrentAttempts,
    /// A message has at most [`MAX_ATTEMPTS`](crate::plan::MAX_ATTEMPTS) attempts.
    #[serde(rename = "attempts")]
    TooManyAttempts,
    /// No call goes to an endpoint that its sender knows to be draining or removed.
    #[serde(rename = "drain")]
    SentToDraining,
    /// A destination in slow start is not overloaded by senders that have seen its outage.
    #[serde(rename = "pushed-over")]
    OverloadedInSlowStart,
    /// The messages of one ordering key are sent one after the other, in their order.
    #[serde(rename = "order")]
    OutOfOrder,
    /// No call is sent before the time that a Retry-After names.
    #[serde(rename = "wait")]
    RetryAfterIgnored,
    /// A sender's process exits only when it is signalled to.
    Crash,
    /// Membership views are correct soon after the last change of the fleet.
    #[serde(rename = "view")]
    WrongView,
    /// No running sender is declared dead while no fault is active.
    #[serde(rename = "accused")]
    FalseDeath,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Self; 13] = [
        Self::Lost,
        Self::Late,
        Self::SentAfterEnd,
        Self::Duplicated,
        Self::ConcurrentAttempts,
        Self::TooManyAttempts,
        Self::SentToDraining,
        Self::OverloadedInSlowStart,
        Self::OutOfOrder,
        Self::RetryAfterIgnored,
        Self::Crash,
        Self::WrongView,
        Self::FalseDeath,
    ];
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The invariant that is violated.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// When it was violated, in microseconds from the start of the run.
    pub at: Micros,
    /// Id of the message, if the violation is about one.
    pub id: Option<String>,
    /// How the invariant was violated.
    #[serde(rename = "what")]
    pub description: String,
    /// All observations of the message, in their order.
    pub history: Vec<String>,
}

/// The verdict on a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Number of violations of each invariant; invariants that hold are left out.
    pub counts: BTreeMap<Invariant, usize>,
    /// The first violations; later ones are only counted.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Descriptions of the destinations that failed by overload in slow start, whether or not that is a
    /// violation.
    #[serde(rename = "fell")]
    pub overloads: Vec<String>,
    /// Number of accepted messages.
    pub accepted: usize,
    /// Number of accepted messages that had not been tried when their sender's process exited. The acceptance
    /// test fails a run in which more than half of them are counted in `ended_untried`.
    pub left_untried: usize,
    /// Number of those messages whose end was notified without any call.
    pub ended_untried: usize,
}

impl Verdict {
    /// Returns whether all invariants hold.
    pub fn all_hold(&self) -> bool {
        self.counts.is_empty()
    }

    /// Counts a violation, and keeps it if it is one of the first.
    pub(super) fn add(&mut self, violation: Violation) {
        *self.counts.entry(violation.invariant).or_default() += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}
