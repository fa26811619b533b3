//! Checks the invariants of a run, from the observations of destinations, the platform and clients and never
//! from the state of a sender. The checker does no I/O and reads no clock; observations are passed to it in
//! chronological order.
//!
//! [`InvariantChecker`] dispatches the observations. `messages` and `calls` maintain the state of messages
//! and calls; each of the other modules checks one invariant, or two that need the same state.
mod attempt_limit;
mod calls;
mod completion;
mod concurrency;
mod draining;
mod duplicates;
mod membership_views;
mod messages;
mod ordering;
mod overload;
mod processes;
mod retry_after;
mod sent_after_end;
mod state;
mod violation;

pub use membership_views::check_membership_views;
pub use violation::{Invariant, Verdict, Violation};

use crate::observation::{Micros, Observation};
use state::{Call, CallStart, Message, Outage, RetryAfter, Sender, UnansweredSubmission};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tolerance of time limits in live runs, in microseconds.
const TOLERANCE_MICROS: Micros = 50_000;
/// Time after its deadline by which a message must have ended, in microseconds.
const COMPLETION_SLACK_MICROS: Micros = 300_000;
/// Time after a restarted sender is ready during which its messages do not count as overdue, in microseconds.
const READY_SLACK_MICROS: Micros = 1_500_000;

/// Checks the observations of one run.
#[derive(Default)]
pub struct InvariantChecker {
    messages: BTreeMap<String, Message>,
    /// When messages are to be checked for having ended, with their ids.
    completion_checks: BTreeSet<(Micros, String)>,
    calls: BTreeMap<u64, Call>,
    /// Ids of the messages of each sender and ordering key, in the order of their submission.
    ordering_keys: BTreeMap<(u32, u32), VecDeque<String>>,
    senders: BTreeMap<u32, Sender>,
    /// When discovery first listed an endpoint to a sender as not in service.
    unlisted_since: BTreeMap<(u32, String), Micros>,
    /// The Retry-After times that senders received, by sender and route.
    retry_after: BTreeMap<(u32, u32), Vec<RetryAfter>>,
    /// The latest outage of each route.
    outages: BTreeMap<u32, Outage>,
    /// Submissions without an answer whose sender's process may still be observed to have exited.
    unanswered_submissions: VecDeque<UnansweredSubmission>,
    /// Calls whose process has exited, with the time of the exit.
    orphaned_calls: VecDeque<(Micros, u64)>,
    verdict: Verdict,
}

impl InvariantChecker {
    /// Checks one observation.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.run_due_checks(at);
        match observation {
            Observation::Submitted { .. } => self.submitted(at, observation),
            Observation::Answered { id, answer } => self.answered(at, id, *answer),
            Observation::TookEffect { id } => self.took_effect(at, id),
            Observation::Notified { id, returned } => self.notified(at, id, *returned),
            Observation::CallBegan { call, sender, endpoint, route, ids, sent_at } => {
                let (call, sender, route, sent_at) = (*call, *sender, *route, *sent_at);
                self.call_began(&CallStart { at, call, sender, endpoint, route, ids, sent_at });
            }
            Observation::CallAnswered { call, ends, retry_after, received_at, in_flight_until } => {
                self.replied(at, *call, ends);
                self.note_retry_after(at, *call, *retry_after, *received_at);
                self.call_ended(at, *call, *in_flight_until);
            }
            // No call can have been checked against this Retry-After yet: it applies only after the answer's
            // receipt.
            Observation::AnswerLost { call } => self.forget_retry_after(*call),
            Observation::CallClosed { call, closed_at } => self.closed(at, *call, *closed_at),
            _ => self.observe_environment(at, observation),
        }
    }

    /// Checks an observation of processes, discovery, the platform or destinations.
    fn observe_environment(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::Ready { sender } => self.ready(at, *sender),
            Observation::ShutdownRequested { sender, killed } => {
                self.shutdown_requested(at, *sender, *killed)
            }
            Observation::Exited { sender, expected } => self.exited(at, *sender, *expected),
            Observation::MachineLost { sender } => self.machine_lost(at, *sender),
            Observation::NotificationsBlocked { sender, until } | Observation::Paused { sender, until } => {
                self.excuse(*sender, *until)
            }
            Observation::Listed { sender, endpoint, serving } => self.listed(at, *sender, endpoint, *serving),
            Observation::Outage { route, began } => self.outage(*route, *began),
            Observation::Overloaded { route, senders, budget, endpoint } => {
                self.overloaded(at, *route, senders, *budget, endpoint);
            }
            _ => {}
        }
    }

    /// Returns the verdict at the end of the run, by which all accepted messages must have ended.
    pub fn verdict(mut self, at: Micros) -> Verdict {
        self.run_due_checks(Micros::MAX);
        let open: Vec<u64> = self.calls.keys().copied().collect();
        for call in open {
            self.closed(at, call, at);
        }
        self.verdict
    }

    fn run_due_checks(&mut self, now: Micros) {
        self.check_due_messages(now);
        self.check_unanswered_submissions(now);
        self.end_orphaned_calls(now);
    }

    /// Records a violation of an invariant, with the history of the affected message.
    fn report(&mut self, invariant: Invariant, at: Micros, id: Option<&str>, description: String) {
        let history = id.map_or(Vec::new(), |id| self.history(id));
        self.verdict.add(Violation { invariant, at, id: id.map(str::to_owned), description, history });
    }

    fn history(&self, id: &str) -> Vec<String> {
        let line = |(at, text): &(Micros, String)| format!("{} {text}", seconds(*at));
        self.messages.get(id).map_or(Vec::new(), |message| message.history.iter().map(line).collect())
    }
}

/// Formats a time in seconds, to the millisecond.
pub fn seconds(at: Micros) -> String {
    format!("{}.{:03}", at / 1_000_000, at / 1_000 % 1_000)
}

#[cfg(test)]
mod tests;
