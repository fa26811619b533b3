//! The invariants, and the verdict on a run.
use crate::observation::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of violations that are kept with their history; more are only counted.
const MAX_KEPT_VIOLATIONS: usize = 200;

/// The invariants of message delivery and membership, each named by its violation. In JSON some keep a former name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Every accepted message ends: it is delivered, or its client is notified that it is not.
    Lost,
    /// Every accepted message ends soon after its deadline.
    Late,
    /// Only accepted messages are sent, and none after the notification of its end.
    SentAfterEnd,
    /// A charge takes effect at most once, and so does a trip record: neither is sent again or returned when an earlier
    /// attempt may have taken effect and the destination no longer recognizes the repeat.
    #[serde(rename = "doubled")]
    Duplicated,
    /// A message has at most one call in flight.
    #[serde(rename = "beside")]
    ConcurrentAttempts,
    /// A message has at most [`MAX_ATTEMPTS`](crate::plan::MAX_ATTEMPTS) attempts.
    #[serde(rename = "attempts")]
    TooManyAttempts,
    /// No call goes to an endpoint that its sender knows to drain or to be gone.
    #[serde(rename = "drain")]
    SentToDraining,
    /// A destination in slow start is not overloaded by senders that have seen its outage.
    #[serde(rename = "pushed-over")]
    OverloadedInSlowStart,
    /// The messages of one ordering key are sent one after the other, in their order.
    #[serde(rename = "order")]
    OutOfOrder,
    /// No call is made before the time that a Retry-After names.
    #[serde(rename = "wait")]
    RetryAfterIgnored,
    /// A sender's process ends only when it is told to.
    Crash,
    /// Membership views are right soon after the last change.
    #[serde(rename = "view")]
    WrongView,
    /// No sender that runs without a fault is declared dead.
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
    /// The invariant.
    pub rule: Invariant,
    /// When it was violated, in microseconds from the start of the run.
    pub at: Micros,
    /// Id of the message, if the violation is about one.
    pub id: Option<String>,
    /// What happened.
    pub what: String,
    /// All observations of the message, in their order.
    pub history: Vec<String>,
}

/// The verdict on a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Number of violations of each invariant; invariants that hold are left out.
    pub counts: BTreeMap<Invariant, usize>,
    /// The first violations.
    pub breaks: Vec<Violation>,
    /// Destinations that failed by overload in slow start, whatever the cause: a line for each.
    pub fell: Vec<String>,
    /// Number of accepted messages.
    pub accepted: usize,
    /// Number of accepted messages that had not been tried when their sender's process ended. The standing test fails a
    /// run in which more than half of them are in `ended_untried`.
    pub left_untried: usize,
    /// Number of those messages that ended by a notification without any call.
    pub ended_untried: usize,
}

impl Verdict {
    /// Returns whether all invariants hold.
    pub fn clean(&self) -> bool {
        self.counts.is_empty()
    }

    /// Counts a violation, and keeps it if it is one of the first.
    pub(super) fn add(&mut self, violation: Violation) {
        *self.counts.entry(violation.rule).or_default() += 1;
        if self.breaks.len() < MAX_KEPT_VIOLATIONS {
            self.breaks.push(violation);
        }
    }
}
